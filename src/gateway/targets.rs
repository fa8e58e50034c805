//! Keeps the targets in step with the platform's list.

use crate::ids::InstanceId;
use crate::mirror::{ExpiryHold, MirrorChange, RemovalStep};
use crate::targets::{TargetEntry, TargetStats};
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;

/// Reads a target's entry from its identity and value.
type ReadTarget = fn(&str, &[u8]) -> Result<TargetEntry, String>;

/// A change that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNote {
    /// The entry cannot be read: identity and reason.
    Malformed(Arc<str>, String),
    /// The target is gone.
    Gone(Arc<str>),
    /// The entry may have lapsed in an outage of the store.
    Held(Arc<str>),
}

/// The targets of the list.
#[derive(Debug)]
pub struct TargetRegistry {
    prefix: &'static str,
    read: ReadTarget,
    entries: HashMap<Arc<str>, Arc<TargetEntry>>,
    gauges: HashMap<InstanceId, Arc<TargetStats>>,
    lapses: ExpiryHold,
}

impl TargetRegistry {
    /// An empty list.
    pub fn new(prefix: &'static str, read: ReadTarget) -> Self {
        Self {
            prefix,
            read,
            entries: HashMap::new(),
            gauges: HashMap::new(),
            lapses: ExpiryHold::default(),
        }
    }

    /// The targets.
    pub fn entries(&self) -> Vec<Arc<TargetEntry>> {
        self.entries.values().map(Arc::clone).collect()
    }

    /// The store did not answer.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.lapses.on_failure(now);
    }

    /// Takes in changes of the list.
    pub fn on_changes(&mut self, changes: &[MirrorChange], now: MonoTime) -> Vec<TargetNote> {
        self.lapses.on_answer(now);
        let mut notes = Vec::new();
        for change in changes {
            match change {
                MirrorChange::Written(item) => {
                    self.lapses.on_written(&item.key);
                    notes.extend(self.write(&item.key, &item.value));
                }
                MirrorChange::Removed(key) => notes.extend(self.remove(key)),
                MirrorChange::Synced => {}
            }
        }
        notes
    }

    /// Drops entries that lapsed and have not come back in time.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<TargetNote> {
        let due = self.lapses.take_expired(now);
        let gone = due
            .into_iter()
            .filter(|key| self.entries.remove(key).is_some());
        gone.map(TargetNote::Gone).collect()
    }

    fn write(&mut self, key: &Arc<str>, value: &[u8]) -> Option<TargetNote> {
        let id = key.strip_prefix(self.prefix).unwrap_or(key);
        match (self.read)(id, value) {
            Ok(mut entry) => {
                let gauge = self.gauges.entry(entry.id.clone()).or_default();
                entry.stats = Arc::clone(gauge);
                self.entries.insert(Arc::clone(key), Arc::new(entry));
                None
            }
            Err(reason) => {
                // An entry that cannot be read names no target.
                self.entries.remove(key);
                Some(TargetNote::Malformed(Arc::clone(key), reason))
            }
        }
    }

    fn remove(&mut self, key: &Arc<str>) -> Option<TargetNote> {
        if !self.entries.contains_key(key) {
            return None;
        }
        match self.lapses.on_removed(key) {
            RemovalStep::HoldUntil(_) => Some(TargetNote::Held(Arc::clone(key))),
            RemovalStep::Remove => {
                let entry = self.entries.remove(key)?;
                self.gauges.remove(&entry.id);
                Some(TargetNote::Gone(Arc::clone(key)))
            }
        }
    }
}
