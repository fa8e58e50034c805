//! Detects stalled streams by the time since their last event. Performs no I/O.

use crate::routing::GapEstimate;
use crate::units::MonoTime;
use std::time::Duration;

/// Lower limit of the gap between events after which a chain counts as stalled: longer than the
/// gaps caused by prefill of other prompts, and short enough to resume elsewhere before the caller
/// notices.
const MIN_STALL_TIME: Duration = Duration::from_millis(120);
/// Upper limit of that gap, also used between the first and the second event.
const MAX_STALL_TIME: Duration = Duration::from_millis(400);
/// Silence after which the targets of a chain count as failing although no other chain can take its
/// stream over.
const LONG_STALL_TIME: Duration = Duration::from_millis(1_700);
/// Silence after which a stream that has brought events counts as broken rather than slow.
const BROKEN_STALL_TIME: Duration = Duration::from_millis(500);
/// Interval at which other chains are checked for capacity while waiting for a stalled one.
const ALTERNATIVE_POLL: Duration = Duration::from_millis(50);

/// What to do while no event arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallStep {
    /// Wait for this long.
    Wait(Duration),
    /// The attempt has stalled: look for another chain, and again after this long if there is none.
    /// The attempt goes on meanwhile, as targets may be silent for a while and go on.
    SeekOther(Duration),
}

/// Stall detection for one attempt of a stream. From the second event on, the limit follows the
/// mean and the deviation of the gaps between its events, see [`GapEstimate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StallDetector {
    gaps: GapEstimate,
    started: MonoTime,
    last_event: Option<MonoTime>,
    limit: Duration,
}

impl StallDetector {
    /// Detector of an attempt that was sent at `started` and whose first event may take
    /// `first_limit`.
    pub fn new(started: MonoTime, first_limit: Duration) -> Self {
        Self {
            gaps: GapEstimate::default(),
            started,
            last_event: None,
            limit: first_limit,
        }
    }

    /// Records an event at `now`; returns the time to the first event when it was the first.
    pub fn on_event(&mut self, now: MonoTime) -> Option<Duration> {
        let previous = self.last_event.replace(now);
        if let Some(previous) = previous {
            self.gaps.observe(now.since(previous));
        }
        let limit = self.gaps.timeout(MIN_STALL_TIME, MAX_STALL_TIME);
        self.limit = limit.unwrap_or(MAX_STALL_TIME);
        previous.is_none().then(|| now.since(self.started))
    }

    /// Time since the last event, or since the attempt was sent.
    pub fn idle_time(&self, now: MonoTime) -> Duration {
        now.since(self.last_event.unwrap_or(self.started))
    }

    /// True when the attempt has been silent for so long that its chain is likely to have failed.
    pub fn is_long_stalled(&self, now: MonoTime) -> bool {
        self.idle_time(now) >= LONG_STALL_TIME
    }

    /// True when events have come and then stopped for so long that the attempt is unlikely to
    /// continue. One that waits for its first event may only be queued.
    pub fn is_broken(&self, now: MonoTime) -> bool {
        self.last_event.is_some() && self.idle_time(now) >= BROKEN_STALL_TIME
    }

    /// The step to take at `now`.
    pub fn next_step(&self, now: MonoTime) -> StallStep {
        let idle_time = self.idle_time(now);
        if idle_time < self.limit {
            StallStep::Wait(self.limit.saturating_sub(idle_time))
        } else {
            StallStep::SeekOther(ALTERNATIVE_POLL)
        }
    }
}
