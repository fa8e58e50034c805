//! Tells keys that lapsed because the store was away from keys that were removed.
//!
//! While the store is away, the leases of healthy owners may run out. Their keys come back soon after
//! it does; until then they are held.

use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after the store's return within which a healthy owner has written its key again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Failures at most this old make a removal count as a lapse.
const OUTAGE_MEMORY: Duration = Duration::from_millis(2_500);

/// What to do about a key that is gone from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalStep {
    /// It was removed.
    Remove,
    /// It may come back until this time.
    HoldUntil(MonoTime),
}

/// Holds keys that may have lapsed.
#[derive(Debug, Default)]
pub struct ExpiryHold {
    last_failure: Option<MonoTime>,
    returned: Option<MonoTime>,
    held: HashMap<Arc<str>, MonoTime>,
}

impl ExpiryHold {
    /// A call to the store failed.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.last_failure = Some(now);
        self.returned = None;
    }

    /// The store answered.
    pub fn on_answer(&mut self, now: MonoTime) {
        if self.last_failure.is_some() && self.returned.is_none() {
            self.returned = Some(now);
        }
        let over = self
            .returned
            .is_some_and(|at| now.since(at) > OUTAGE_MEMORY);
        if over {
            self.last_failure = None;
            self.returned = None;
        }
    }

    /// A key is gone.
    pub fn on_removed(&mut self, key: &Arc<str>) -> RemovalStep {
        let Some(returned) = self.returned else {
            return RemovalStep::Remove;
        };
        let until = returned.after(RETURN_TIME);
        self.held.insert(Arc::clone(key), until);
        RemovalStep::HoldUntil(until)
    }

    /// A key was written.
    pub fn on_written(&mut self, key: &Arc<str>) {
        self.held.remove(key);
    }

    /// Keys whose time to come back is over.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<Arc<str>> {
        let due = self.held.iter().filter(|(_, until)| **until <= now);
        let due: Vec<Arc<str>> = due.map(|(key, _)| Arc::clone(key)).collect();
        for key in &due {
            self.held.remove(key);
        }
        due
    }
}
