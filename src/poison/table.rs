//! Crash counts of requests that crash the engines that run them, by fingerprint.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::units::MonoTime;
use arc_swap::ArcSwap;
use std::collections::HashMap;

/// Most fingerprints that are kept; those that expire first are dropped first.
const MAX_ENTRIES: usize = 1_024;

/// Crashes recorded for a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonEntry {
    /// Crashes of engines under such a request without a token in between.
    pub crashes: u32,
    /// Time at which the entry expires.
    pub until: MonoTime,
}

/// Fingerprints of suspected and refused requests. Requests read it without locks; it is nearly
/// always empty.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: ArcSwap<HashMap<PoisonFingerprint, PoisonEntry>>,
}

impl PoisonTable {
    /// True when no fingerprint is recorded, so that a request need not compute its own.
    pub fn is_empty(&self) -> bool {
        self.entries.load().is_empty()
    }

    /// Crashes recorded for a fingerprint; 0 when it is unknown or has expired.
    pub fn crashes(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> u32 {
        let entries = self.entries.load();
        let entry = entries.get(&fingerprint);
        entry.map_or(0, |entry| if entry.until > now { entry.crashes } else { 0 })
    }

    /// Records crashes, keeping the higher count and the later expiry. Returns true when the count
    /// has risen.
    pub fn record(
        &self,
        fingerprint: PoisonFingerprint,
        entry: PoisonEntry,
        now: MonoTime,
    ) -> bool {
        let before = self.crashes(fingerprint, now);
        self.entries.rcu(|entries| {
            let mut next: HashMap<_, _> = entries
                .iter()
                .filter(|(_, known)| known.until > now)
                .map(|(key, known)| (*key, *known))
                .collect();
            let known = next.entry(fingerprint).or_insert(entry);
            known.crashes = known.crashes.max(entry.crashes);
            known.until = known.until.max(entry.until);
            drop_first_to_expire(&mut next);
            next
        });
        entry.crashes > before
    }

    /// Removes a fingerprint that has fewer than `limit` crashes, as such a request got a token.
    pub fn clear(&self, fingerprint: PoisonFingerprint, limit: u32) {
        self.entries.rcu(|entries| {
            let mut next = HashMap::clone(entries);
            if next
                .get(&fingerprint)
                .is_some_and(|known| known.crashes < limit)
            {
                next.remove(&fingerprint);
            }
            next
        });
    }

    /// All entries that have not expired.
    pub fn entries(&self, now: MonoTime) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let entries = self.entries.load();
        let known = entries.iter().filter(|(_, entry)| entry.until > now);
        known.map(|(key, entry)| (*key, *entry)).collect()
    }
}

fn drop_first_to_expire(entries: &mut HashMap<PoisonFingerprint, PoisonEntry>) {
    while entries.len() > MAX_ENTRIES {
        let next_to_expire = entries.iter().min_by_key(|(_, entry)| entry.until);
        let Some(fingerprint) = next_to_expire.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
