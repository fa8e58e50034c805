//! How long to wait for a stream's next event. Does no I/O.

use crate::routing::GapEstimate;
use crate::units::MonoTime;
use std::time::Duration;

/// Shortest pause within a stream after which its chain counts as stalled: above the pauses that the
/// reading of other prompts causes, and early enough to go on elsewhere before the caller notices.
const MIN_STALL_TIME: Duration = Duration::from_millis(120);
/// Longest such pause.
const MAX_STALL_TIME: Duration = Duration::from_millis(400);
/// Pause for which a stalled chain is waited for while no other has room: the event may still come,
/// and breaking off would help nobody. Callers give up after two seconds.
const MAX_STALL_WAIT: Duration = Duration::from_millis(1_700);
/// Period of looking whether another chain has room meanwhile.
const ALTERNATIVE_POLL: Duration = Duration::from_millis(50);

/// What to do when no event has come in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallStep {
    /// Wait for this long.
    Wait(Duration),
    /// Give the attempt up.
    GiveUp,
}

/// Pace of one attempt of a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StallDetector {
    gaps: GapEstimate,
    started: MonoTime,
    last_event: Option<MonoTime>,
    limit: Duration,
}

impl StallDetector {
    /// An attempt that was sent at `started` and whose first event may take `first_limit`.
    pub fn new(started: MonoTime, first_limit: Duration) -> Self {
        Self {
            gaps: GapEstimate::default(),
            started,
            last_event: None,
            limit: first_limit,
        }
    }

    /// Takes in an event; the time to the first one is returned.
    pub fn on_event(&mut self, now: MonoTime) -> Option<Duration> {
        let previous = self.last_event.replace(now);
        if let Some(previous) = previous {
            self.gaps.observe(now.since(previous));
        }
        let limit = self.gaps.timeout(MIN_STALL_TIME, MAX_STALL_TIME);
        self.limit = limit.unwrap_or(MAX_STALL_TIME);
        previous.is_none().then(|| now.since(self.started))
    }

    /// What to do at `now`, given whether another chain could go on.
    pub fn next_step(&self, now: MonoTime, has_alternative: impl FnOnce() -> bool) -> StallStep {
        let silence = now.since(self.last_event.unwrap_or(self.started));
        if silence < self.limit {
            return StallStep::Wait(self.limit.saturating_sub(silence));
        }
        if silence >= MAX_STALL_WAIT || has_alternative() {
            return StallStep::GiveUp;
        }
        StallStep::Wait(ALTERNATIVE_POLL)
    }
}
