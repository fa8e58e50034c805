//! Decoded entries of the platform's target list.

use crate::ids::InstanceId;
use crate::mirror::{ExpiryHold, MirrorChange, RemovalStep};
use crate::targets::{TargetEntry, TargetPhase, TargetStats};
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;

/// Decodes a target's entry from its identity and value.
type ReadTarget = fn(&str, &[u8]) -> Result<TargetEntry, String>;

/// Change of the target list that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNotice {
    /// The entry cannot be decoded: key and reason.
    Malformed(Arc<str>, String),
    /// The target was removed.
    Gone(Arc<str>),
    /// The key was removed, but its lease may have expired because of an outage of the store.
    Held(Arc<str>),
}

/// The targets of the list, with their statistics.
#[derive(Debug)]
pub struct TargetRegistry {
    prefix: &'static str,
    read: ReadTarget,
    entries: HashMap<Arc<str>, Arc<TargetEntry>>,
    stats: HashMap<InstanceId, Arc<TargetStats>>,
    hold: ExpiryHold,
}

impl TargetRegistry {
    /// Creates an empty list for the keys with `prefix`.
    pub fn new(prefix: &'static str, read: ReadTarget) -> Self {
        Self {
            prefix,
            read,
            entries: HashMap::new(),
            stats: HashMap::new(),
            hold: ExpiryHold::default(),
        }
    }

    /// All known targets.
    pub fn entries(&self) -> Vec<Arc<TargetEntry>> {
        self.entries.values().map(Arc::clone).collect()
    }

    /// Records that a call to the store failed.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.hold.on_failure(now);
    }

    /// Applies changes of the list, in order, and returns what is to be logged.
    pub fn on_changes(&mut self, changes: &[MirrorChange], now: MonoTime) -> Vec<TargetNotice> {
        self.hold.on_reply(now);
        let mut notices = Vec::new();
        for change in changes {
            match change {
                MirrorChange::Written(item) => {
                    self.hold.on_written(&item.key);
                    notices.extend(self.write(&item.key, &item.value));
                }
                MirrorChange::Removed(key) => notices.extend(self.remove(key)),
                MirrorChange::Lost(key) => notices.extend(self.hold_lost(key, now)),
                MirrorChange::Synced => {}
            }
        }
        notices
    }

    /// Drops entries whose key was not written again within the grace period.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<TargetNotice> {
        let due = self.hold.take_expired(now);
        let gone = due
            .into_iter()
            .filter(|key| self.entries.remove(key).is_some());
        gone.map(TargetNotice::Gone).collect()
    }

    fn write(&mut self, key: &Arc<str>, value: &[u8]) -> Option<TargetNotice> {
        let id = key.strip_prefix(self.prefix).unwrap_or(key);
        match (self.read)(id, value) {
            Ok(mut entry) => {
                let known = self.entries.get(key);
                match known {
                    Some(known) if !known.is_same_run(&entry) => {
                        self.stats.remove(&entry.id);
                    }
                    // A run that leaves does not come back. Its entry may do so for a moment, after
                    // a restore of the store.
                    Some(known) if known.phase == TargetPhase::Leaving && entry.started_ms > 0 => {
                        entry.phase = known.phase;
                    }
                    _ => {}
                }
                let stats = self.stats.entry(entry.id.clone()).or_default();
                entry.stats = Arc::clone(stats);
                if !entry.is_ready() {
                    let _known = entry.stats.mark_leaving();
                }
                self.entries.insert(Arc::clone(key), Arc::new(entry));
                None
            }
            Err(reason) => {
                // An entry that cannot be decoded names no target, so its predecessor does not
                // count either.
                self.entries.remove(key);
                Some(TargetNotice::Malformed(Arc::clone(key), reason))
            }
        }
    }

    fn hold_lost(&mut self, key: &Arc<str>, now: MonoTime) -> Option<TargetNotice> {
        let is_known = self.entries.contains_key(key);
        is_known.then(|| {
            self.hold.on_lost(key, now);
            TargetNotice::Held(Arc::clone(key))
        })
    }

    fn remove(&mut self, key: &Arc<str>) -> Option<TargetNotice> {
        if !self.entries.contains_key(key) {
            return None;
        }
        match self.hold.on_removed(key) {
            RemovalStep::HoldUntil(_) => Some(TargetNotice::Held(Arc::clone(key))),
            RemovalStep::Remove => {
                let entry = self.entries.remove(key)?;
                self.stats.remove(&entry.id);
                Some(TargetNotice::Gone(Arc::clone(key)))
            }
        }
    }
}
