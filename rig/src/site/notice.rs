//! What stand-in servers say in their answers beside the answer itself: that they want to rest, or that they
//! leave. The requests that reach them all the same are counted.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Field in which a server names the seconds for which it wants no requests.
pub(super) const REST_FIELD: &str = "Retry-After";
/// Field in which a server says that it leaves.
pub(super) const LEAVING_FIELD: &str = "Server-Leaving";
/// Time from an answer for which requests may still be on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct NoticeState {
    rest: Option<Arc<str>>,
    is_leaving: bool,
    arrivals: Vec<Instant>,
    /// Answers that asked for rest, and the time that they named.
    rests: Vec<(Instant, Duration)>,
    /// First answer that said that the server leaves.
    left_at: Option<Instant>,
}

/// What one server says, and what has reached it.
#[derive(Debug, Default)]
pub struct NoticeLedger {
    state: Mutex<NoticeState>,
}

impl NoticeLedger {
    /// Turns all requests away from now on and asks for rest with this text; `None` ends that.
    pub fn set_rest(&self, text: Option<&str>) {
        self.lock().rest = text.map(Arc::from);
    }

    /// Says in all answers from now on that the server leaves, or no longer.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Counts a request that has just arrived.
    pub(super) fn record_arrival(&self) {
        self.lock().arrivals.push(Instant::now());
    }

    /// Text with which the server asks for rest in the answer that it is about to give.
    pub(super) fn take_rest(&self) -> Option<Arc<str>> {
        let mut state = self.lock();
        let rest = state.rest.clone()?;
        let seconds = rest.parse().ok();
        let length = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        if let Some(length) = length {
            state.rests.push((Instant::now(), length));
        }
        Some(rest)
    }

    /// True if the answer that the server is about to give says that it leaves.
    pub(super) fn take_leaving(&self) -> bool {
        let mut state = self.lock();
        if state.is_leaving {
            state.left_at.get_or_insert(Instant::now());
        }
        state.is_leaving
    }

    /// Requests that have arrived.
    pub fn arrivals(&self) -> usize {
        self.lock().arrivals.len()
    }

    /// Most requests that arrived between half a second after an answer that asked for rest and the end of
    /// that rest.
    pub fn most_in_a_rest(&self) -> usize {
        let state = self.lock();
        let counts = state.rests.iter().map(|(at, length)| {
            let is_inside = |arrival: &&Instant| {
                let after = arrival.saturating_duration_since(*at);
                after > ON_THE_WAY && after < *length
            };
            state.arrivals.iter().filter(is_inside).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Requests that arrived later than `after` from the first answer that said that the server leaves.
    pub fn arrivals_after_leaving(&self, after: Duration) -> usize {
        let state = self.lock();
        let Some(left_at) = state.left_at else {
            return 0;
        };
        let is_late = |at: &&Instant| at.saturating_duration_since(left_at) > after;
        state.arrivals.iter().filter(is_late).count()
    }

    fn lock(&self) -> MutexGuard<'_, NoticeState> {
        self.state.lock().expect("ledger is never poisoned")
    }
}
