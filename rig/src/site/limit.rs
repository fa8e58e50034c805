//! Rate limits that the stand-in servers name in their responses, and the arrivals that they count.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Field in which a server names the requests a second that it takes from all daemons together.
pub(super) const LIMIT_FIELD: &str = "Server-Limit";

/// Limit that one server names, and the requests that have reached it.
#[derive(Debug, Default)]
pub struct LimitLedger {
    state: Mutex<LimitState>,
}

#[derive(Debug, Default)]
struct LimitState {
    limit: Option<Arc<str>>,
    arrivals: Vec<Instant>,
}

impl LimitLedger {
    /// Names this limit in all responses from now on; none when it is `None`.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(Arc::from);
    }

    /// Limit that it names.
    pub(super) fn limit(&self) -> Option<Arc<str>> {
        self.lock().limit.clone()
    }

    /// Counts a request that has just arrived.
    pub(super) fn record_arrival(&self) {
        self.lock().arrivals.push(Instant::now());
    }

    /// Requests that arrived after `from`.
    pub fn arrivals_since(&self, from: Instant) -> usize {
        let state = self.lock();
        state.arrivals.iter().filter(|at| **at >= from).count()
    }

    /// Most requests that arrived in any span of this length after `from`.
    pub fn busiest_window(&self, from: Instant, length: Duration) -> usize {
        let state = self.lock();
        let counted: Vec<Instant> = state
            .arrivals
            .iter()
            .filter(|at| **at >= from)
            .copied()
            .collect();
        let in_window = |start: &Instant| {
            let window = counted.iter().skip_while(|at| *at < start);
            window.take_while(|at| **at < *start + length).count()
        };
        counted.iter().map(in_window).max().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().expect("ledger is never poisoned")
    }
}
