//! When this daemon was last in contact with the store.

use crate::units::MonoTime;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Contact of this daemon with the store, updated by all of its calls.
#[derive(Debug, Default)]
pub struct StoreContactCell {
    /// Microseconds of the clock; 0 before the first contact.
    confirmed_at: AtomicU64,
    failures: AtomicU64,
}

impl StoreContactCell {
    /// Records that the store has answered a call that was sent at `sent`.
    pub fn on_reply(&self, sent: MonoTime) {
        self.confirmed_at.fetch_max(sent.0, Ordering::AcqRel);
    }

    /// Records that the store has not answered a call.
    pub fn on_failure(&self) {
        self.failures.fetch_add(1, Ordering::AcqRel);
    }

    /// Time since the last contact; `None` before the first one.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        match self.confirmed_at.load(Ordering::Acquire) {
            0 => None,
            at => Some(now.since(MonoTime(at))),
        }
    }

    /// Number of calls that the store has not answered.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Acquire)
    }
}
