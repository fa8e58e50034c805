//! Settings of a soak run and the bounds of the rules that it checks.

use crate::soak::fault::FaultPair;
use std::path::PathBuf;
use std::time::Duration;

/// What a run plays.
#[derive(Debug, Clone)]
pub struct SoakSpec {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Time for which faults are begun.
    pub span: Duration,
    /// Pairs of faults in place of those that the seed chooses; none for those.
    pub pairs: Vec<FaultPair>,
    /// Number of daemons, each a process.
    pub daemons: usize,
    /// Folder for settings files and logs.
    pub out: PathBuf,
    /// Program of a daemon.
    pub program: PathBuf,
}

/// Bounds of the rules, as the deployments state them.
#[derive(Debug, Clone, Copy)]
pub struct RuleBounds;

impl RuleBounds {
    /// Time without a fault after which a daemon is in touch.
    pub const CONTACT: Duration = Duration::from_secs(3);
    /// Time in which a configuration takes force.
    pub const CONFIG: Duration = Duration::from_secs(2);
    /// Time in which a server that leaves gets no more requests.
    pub const DRAIN: Duration = Duration::from_secs(2);
    /// Time from SIGTERM to SIGKILL.
    pub const GRACE: Duration = Duration::from_secs(8);
    /// Time in which a planned end of a connection may cross a request.
    pub const LOSS_SLACK: Duration = Duration::from_millis(200);
    /// Time after the last fault in which requests are served again.
    pub const RECOVER: Duration = Duration::from_secs(12);
    /// Share of repeats that the daemons may add.
    pub const RETRY_RATIO: f64 = 0.2;
    /// Repeats that are always allowed.
    pub const RETRY_EXTRA: f64 = 40.0;
    /// Window in which repeats are counted.
    pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
    /// Time after which a late answer, a late repeat or work for nobody counts.
    pub const HALF_SECOND: Duration = Duration::from_millis(500);
    /// Timeout of all routes; a changed one is longer.
    pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
    /// Deadline that callers state, in milliseconds.
    pub const DEADLINE_MS: f64 = 3_000.0;
    /// Servers that one request may be sent to.
    pub const MAX_ATTEMPTS: usize = 2;
}
