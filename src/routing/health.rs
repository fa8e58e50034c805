//! Health of an engine: ejection after failures, then one trial request at a time, and slow start.

use crate::units::MonoTime;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Ejection time after the first failure in a row; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// Ejection time when too many engines are ejected already.
const CAPPED_EJECTION: Duration = Duration::from_millis(250);
/// Time for which a trial request keeps other requests away from an engine that has failed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of slow start, after which an engine that has joined or returned gets its full share.
const SLOW_START_TIME: Duration = Duration::from_secs(2);
/// Factor on the expected time of an engine at the beginning of slow start.
const SLOW_START_FACTOR: f64 = 4.0;

/// Failures, ejection and slow start of one engine.
#[derive(Debug, Default)]
pub struct TargetHealth {
    failures: AtomicU32,
    /// End of the ejection or of the wait for a trial, as [`MonoTime`].
    ejected_until: AtomicU64,
    /// Beginning of slow start, as [`MonoTime`]; 0 before the engine joins.
    slow_start_from: AtomicU64,
}

impl TargetHealth {
    /// True when the engine is neither ejected nor waiting for the end of a trial request.
    pub fn admits(&self, now: MonoTime) -> bool {
        self.ejected_until.load(Ordering::Acquire) <= now.0
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Records a failure and ejects the engine for a time that doubles with each failure in a row,
    /// or for a short time when `is_capped`.
    pub fn record_failure(&self, now: MonoTime, is_capped: bool) {
        let before = self.failures.fetch_add(1, Ordering::AcqRel);
        let doubled = FIRST_EJECTION * (1 << before.min(5));
        let span = if is_capped {
            CAPPED_EJECTION
        } else {
            doubled.min(MAX_EJECTION)
        };
        let until = now.after(span);
        self.ejected_until.store(until.0, Ordering::Release);
        self.slow_start_from.store(until.0, Ordering::Release);
    }

    /// Records that a request was assigned to the engine. After a failure this request is a trial:
    /// the engine admits no other one until it has succeeded or the trial has timed out.
    pub fn record_request(&self, now: MonoTime) {
        if self.failures() > 0 {
            let until = now.after(TRIAL_TIMEOUT).0;
            self.ejected_until.fetch_max(until, Ordering::AcqRel);
        }
    }

    /// Records a generated token: the engine works, so its ejection ends.
    pub fn record_success(&self) {
        if self.failures() > 0 {
            self.failures.store(0, Ordering::Release);
            self.ejected_until.store(0, Ordering::Release);
        }
    }

    /// Begins slow start when the engine is usable for the first time.
    pub fn record_join(&self, now: MonoTime) {
        let order = Ordering::AcqRel;
        let first =
            self.slow_start_from
                .compare_exchange(0, now.0.max(1), order, Ordering::Acquire);
        if first.is_err() {
            // The engine has joined before.
        }
    }

    /// Factor on the engine's expected time, which falls to 1 during slow start.
    pub fn slow_start_factor(&self, now: MonoTime) -> f64 {
        let since = self.slow_start_from.load(Ordering::Relaxed);
        let age = now.since(MonoTime(since));
        if since == 0 || age >= SLOW_START_TIME {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        1.0 + (SLOW_START_FACTOR - 1.0) * left
    }
}
