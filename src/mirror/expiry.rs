//! Distinguishes keys whose lease expired because of a store outage from keys that were removed.
//!
//! During an outage of the store, the leases of healthy owners may expire. The owners write their
//! keys again soon after the store is back; until then the keys are held.

use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Grace period after the store's return, within which a healthy owner has written its key again.
const REWRITE_GRACE: Duration = Duration::from_secs(2);
/// Time after the store's return for which a removal counts as an expiry caused by the outage.
const EXPIRY_WINDOW: Duration = Duration::from_millis(2_500);

/// What to do about a key that was removed from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalStep {
    /// Drop the key: its owner removed it, or its lease expired while the store was up.
    Remove,
    /// The key may be written again: keep it until this time.
    HoldUntil(MonoTime),
}

/// Holds keys that a restore lost, and keys whose lease may have expired because of an outage.
#[derive(Debug, Default)]
pub struct ExpiryHold {
    last_failure: Option<MonoTime>,
    store_returned: Option<MonoTime>,
    held: HashMap<Arc<str>, MonoTime>,
}

impl ExpiryHold {
    /// Records that a call to the store failed.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.last_failure = Some(now);
        self.store_returned = None;
    }

    /// Records that the store answered.
    pub fn on_reply(&mut self, now: MonoTime) {
        if self.last_failure.is_some() && self.store_returned.is_none() {
            self.store_returned = Some(now);
        }
        let is_over = self
            .store_returned
            .is_some_and(|at| now.since(at) > EXPIRY_WINDOW);
        if is_over {
            self.last_failure = None;
            self.store_returned = None;
        }
    }

    /// Decides about a key that was removed from the store.
    pub fn on_removed(&mut self, key: &Arc<str>) -> RemovalStep {
        let Some(store_returned) = self.store_returned else {
            return RemovalStep::Remove;
        };
        let until = store_returned.after(REWRITE_GRACE);
        self.held.insert(Arc::clone(key), until);
        RemovalStep::HoldUntil(until)
    }

    /// Holds a key that a restore of the store lost.
    pub fn on_lost(&mut self, key: &Arc<str>, now: MonoTime) {
        self.held.insert(Arc::clone(key), now.after(REWRITE_GRACE));
    }

    /// Records that a key was written; it is no longer held.
    pub fn on_written(&mut self, key: &Arc<str>) {
        self.held.remove(key);
    }

    /// Removes and returns the held keys whose grace period is over.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<Arc<str>> {
        let due = self.held.iter().filter(|(_, until)| **until <= now);
        let due: Vec<Arc<str>> = due.map(|(key, _)| Arc::clone(key)).collect();
        for key in &due {
            self.held.remove(key);
        }
        due
    }
}
