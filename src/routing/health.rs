//! Health of an engine: ejection after failures, one trial request at a time afterwards, and slow
//! start.

use crate::units::MonoTime;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Time without new requests after the first failure in a row; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time without new requests.
const LONGEST_EJECTION: Duration = Duration::from_secs(16);
/// Time for which an engine is avoided when too many are ejected already.
const SHORT_EJECTION: Duration = Duration::from_millis(250);
/// Time for which a trial request keeps others away from an engine that had failed.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Time over which an engine that joins or comes back gets its full share.
const SLOW_START: Duration = Duration::from_secs(2);
/// Factor on the expected time of an engine that has just joined.
const SLOW_START_FACTOR: f64 = 4.0;

/// Failures, ejection and slow start of one engine.
#[derive(Debug, Default)]
pub struct TargetHealth {
    failures: AtomicU32,
    closed_until: AtomicU64,
    open_since: AtomicU64,
}

impl TargetHealth {
    /// True when the engine may get a request.
    pub fn admits(&self, now: MonoTime) -> bool {
        self.closed_until.load(Ordering::Acquire) <= now.0
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Takes note of a failure and closes the engine for a time that doubles with each failure in
    /// a row, or for a short time when `is_capped`.
    pub fn record_failure(&self, now: MonoTime, is_capped: bool) {
        let before = self.failures.fetch_add(1, Ordering::AcqRel);
        let doubled = FIRST_EJECTION * (1 << before.min(5));
        let span = if is_capped {
            SHORT_EJECTION
        } else {
            doubled.min(LONGEST_EJECTION)
        };
        let until = now.after(span);
        self.closed_until.store(until.0, Ordering::Release);
        self.open_since.store(until.0, Ordering::Release);
    }

    /// Takes note of a request that was chosen for the engine. After failures it is a trial, and
    /// the engine takes no other one until it has succeeded or some time has passed.
    pub fn record_request(&self, now: MonoTime) {
        if self.failures() > 0 {
            let until = now.after(TRIAL_TIME).0;
            self.closed_until.fetch_max(until, Ordering::AcqRel);
        }
    }

    /// Takes note of a token: the engine works.
    pub fn record_success(&self) {
        if self.failures() > 0 {
            self.failures.store(0, Ordering::Release);
            self.closed_until.store(0, Ordering::Release);
        }
    }

    /// Takes note that the engine can be used from now on, unless that was known.
    pub fn record_join(&self, now: MonoTime) {
        let order = Ordering::AcqRel;
        let first = self
            .open_since
            .compare_exchange(0, now.0.max(1), order, Ordering::Acquire);
        if first.is_err() {
            // It joined before.
        }
    }

    /// Factor on the expected time while the engine is new; falls to 1.
    pub fn slow_start_factor(&self, now: MonoTime) -> f64 {
        let since = self.open_since.load(Ordering::Relaxed);
        let age = now.since(MonoTime(since));
        if since == 0 || age >= SLOW_START {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + (SLOW_START_FACTOR - 1.0) * left
    }
}
