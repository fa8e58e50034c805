//! How long to wait for a stream's next event. Does no I/O.

use crate::routing::GapEstimate;
use crate::units::MonoTime;
use std::time::Duration;

/// Shortest pause within a stream after which its chain counts as stalled: above the pauses that the
/// reading of other prompts causes, and early enough to go on elsewhere before the caller notices.
const STALL_FLOOR: Duration = Duration::from_millis(120);
/// Longest such pause.
const STALL_CEILING: Duration = Duration::from_millis(400);
/// Pause for which a stalled chain is waited for while no other has room: the event may still come,
/// and breaking off would help nobody. Callers give up after two seconds.
const LAST_WAIT: Duration = Duration::from_millis(1_700);
/// Period of looking whether another chain has room meanwhile.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// What to do when no event has come in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait for this long.
    Wait(Duration),
    /// Give the attempt up.
    GiveUp,
}

/// Pace of one attempt of a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamPace {
    gaps: GapEstimate,
    started: MonoTime,
    last_event: Option<MonoTime>,
    limit: Duration,
}

impl StreamPace {
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
        let before = self.last_event.replace(now);
        if let Some(before) = before {
            self.gaps.observe(now.since(before));
        }
        let limit = self.gaps.timeout(STALL_FLOOR, STALL_CEILING);
        self.limit = limit.unwrap_or(STALL_CEILING);
        before.is_none().then(|| now.since(self.started))
    }

    /// What to do at `now`, given whether another chain could go on.
    pub fn next_step(&self, now: MonoTime, has_alternative: impl FnOnce() -> bool) -> SilenceStep {
        let silence = now.since(self.last_event.unwrap_or(self.started));
        if silence < self.limit {
            return SilenceStep::Wait(self.limit.saturating_sub(silence));
        }
        if silence >= LAST_WAIT || has_alternative() {
            return SilenceStep::GiveUp;
        }
        SilenceStep::Wait(LOOK_PERIOD)
    }
}
