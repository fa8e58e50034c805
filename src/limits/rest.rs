//! Rest that a target has asked this daemon for.

use crate::units::MonoTime;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Longest rest that is kept: a target that names a longer one by mistake is not lost for good.
const MAX_REST: Duration = Duration::from_secs(60);
/// Requests that are sent after the rest before the target has responded to any.
const FIRST_REQUESTS: u32 = 2;
/// Time after the rest for which only these are sent.
const TRIAL_TIME: Duration = Duration::from_millis(500);

/// Whether a target may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RestPhase {
    /// It has not asked for rest, or has responded since.
    Over,
    /// It rests until this time.
    Resting(MonoTime),
    /// The rest is over, and so many requests may still be sent until this time.
    Trial(u32, MonoTime),
}

/// Rest of one run of a target. Takes no lock.
#[derive(Debug, Default)]
pub(super) struct RestCell {
    /// End of the rest in microseconds of the clock; 0 without one.
    until: AtomicU64,
    /// Requests that may still be sent in the trial.
    trials: AtomicU32,
}

impl RestCell {
    /// Begins a rest. Of several, the one that ends last counts. Returns false when nothing changes.
    pub(super) fn begin(&self, rest: Duration, now: MonoTime) -> bool {
        let until = now.after(rest.min(MAX_REST)).0;
        self.trials.store(FIRST_REQUESTS, Ordering::Relaxed);
        until > self.until.fetch_max(until, Ordering::AcqRel)
    }

    /// Records a response that did not ask for rest: after the rest, the target may be asked as usual.
    pub(super) fn on_response(&self, now: MonoTime) {
        let until = self.until.load(Ordering::Acquire);
        if until != 0 && until <= now.0 {
            // A rest that has begun meanwhile stays.
            let _kept = self
                .until
                .compare_exchange(until, 0, Ordering::AcqRel, Ordering::Acquire);
        }
    }

    /// Time until which the target rests; `None` when it does not.
    pub(super) fn resting_until(&self, now: MonoTime) -> Option<MonoTime> {
        match self.phase(now) {
            RestPhase::Resting(until) => Some(until),
            RestPhase::Over | RestPhase::Trial(..) => None,
        }
    }

    /// Time before which no request may be sent; `None` if one may be sent now.
    pub(super) fn held_back_until(&self, now: MonoTime) -> Option<MonoTime> {
        match self.phase(now) {
            RestPhase::Resting(until) | RestPhase::Trial(0, until) => Some(until),
            RestPhase::Over | RestPhase::Trial(..) => None,
        }
    }

    /// Takes the right to send one request. Returns the time before which there is none.
    pub(super) fn take(&self, now: MonoTime) -> Option<MonoTime> {
        let RestPhase::Trial(_, until) = self.phase(now) else {
            return self.held_back_until(now);
        };
        let taken = self
            .trials
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                left.checked_sub(1)
            });
        taken.is_err().then_some(until)
    }

    /// Gives the right to send one request back.
    pub(super) fn give_back(&self, now: MonoTime) {
        if let RestPhase::Trial(..) = self.phase(now) {
            self.trials.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn phase(&self, now: MonoTime) -> RestPhase {
        let until = MonoTime(self.until.load(Ordering::Acquire));
        let trial_end = until.after(TRIAL_TIME);
        if until.0 == 0 || now >= trial_end {
            RestPhase::Over
        } else if now < until {
            RestPhase::Resting(until)
        } else {
            RestPhase::Trial(self.trials.load(Ordering::Acquire), trial_end)
        }
    }
}
