//! Whether a target sheds load: it turns requests away without saying for how long.
//!
//! Such a target looks idle, so the least loaded one would be asked again by each request. It is used only
//! where no other is left, for a time that doubles with each refusal. After that time, one request at a
//! time tries it, until a response ends the series.

use crate::units::MonoTime;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Time for which the first refusal counts.
const BASE_TIME: Duration = Duration::from_millis(200);
/// Longest time for which a refusal counts.
const MAX_TIME: Duration = Duration::from_secs(3);
/// Refusals after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Shortest interval between two requests that try the target afterwards.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Refusals of one target in a row. Takes no lock.
#[derive(Debug, Default)]
pub struct SheddingCell {
    refusals: AtomicU32,
    /// Time until which the target is avoided, in microseconds of the clock.
    until: AtomicU64,
    /// Time until which the last request that tries it may still be under way.
    trial_until: AtomicU64,
}

impl SheddingCell {
    /// Records that the target has turned a request away. Refusals of requests that were sent at the
    /// same time count as one.
    pub fn on_refusal(&self, now: MonoTime) {
        if now.0 < self.until.load(Ordering::Acquire) {
            return;
        }
        let doublings = self.refusals.fetch_add(1, Ordering::AcqRel);
        let time = BASE_TIME.saturating_mul(1 << doublings.min(MAX_DOUBLINGS));
        self.until
            .store(now.after(time.min(MAX_TIME)).0, Ordering::Release);
    }

    /// Records a response to a request that the target has run.
    pub fn on_response(&self) {
        if self.refusals.load(Ordering::Acquire) != 0 {
            self.refusals.store(0, Ordering::Release);
            self.until.store(0, Ordering::Release);
        }
    }

    /// True while other targets are preferred.
    pub fn is_shedding(&self, now: MonoTime) -> bool {
        let until = self.until.load(Ordering::Acquire);
        let trial_until = self.trial_until.load(Ordering::Acquire);
        self.refusals.load(Ordering::Acquire) > 0 && now.0 < until.max(trial_until)
    }

    /// Records that a request is sent to the target: while it has not responded, further ones wait for a
    /// moment.
    pub fn on_send(&self, now: MonoTime) {
        if self.refusals.load(Ordering::Acquire) > 0 {
            let until = now.after(TRIAL_INTERVAL).0;
            self.trial_until.store(until, Ordering::Release);
        }
    }
}
