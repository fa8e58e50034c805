//! Requests that crash the targets that run them, known by a digest of what they ask.

use crate::config::ModelEntry;
use crate::units::MonoTime;
use arc_swap::ArcSwap;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;

/// Fingerprints kept; those that expire first are dropped first.
const MAX_ENTRIES: usize = 1_024;

/// Digest of a model and a prompt, the same for all teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoisonFingerprint(pub u128);

impl PoisonFingerprint {
    /// Digest of a prompt for a model.
    pub fn new(entry: &ModelEntry, prompt: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(entry.spec.model.as_str().as_bytes());
        hasher.update([0]);
        hasher.update(prompt.as_bytes());
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for PoisonFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonEntry {
    /// Crashes of targets under such a request without a token in between.
    pub crashes: u32,
    /// Time at which it is forgotten.
    pub until: MonoTime,
}

/// Fingerprints under suspicion or refused. Read by requests without locks; nearly always empty.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: ArcSwap<HashMap<PoisonFingerprint, PoisonEntry>>,
}

impl PoisonTable {
    /// True when no fingerprint is known, so that none needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.load().is_empty()
    }

    /// Crashes known of a fingerprint.
    pub fn crashes(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> u32 {
        let entries = self.entries.load();
        let entry = entries.get(&fingerprint);
        entry.map_or(0, |entry| if entry.until > now { entry.crashes } else { 0 })
    }

    /// Takes note of crashes; the higher count and the later time stand. True when this is news.
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
            drop_oldest(&mut next);
            next
        });
        entry.crashes > before
    }

    /// Clears a fingerprint that has fewer than `limit` crashes: such a request has got a token.
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

    /// All that is known and has not expired.
    pub fn entries(&self, now: MonoTime) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let entries = self.entries.load();
        let known = entries.iter().filter(|(_, entry)| entry.until > now);
        known.map(|(key, entry)| (*key, *entry)).collect()
    }
}

fn drop_oldest(entries: &mut HashMap<PoisonFingerprint, PoisonEntry>) {
    while entries.len() > MAX_ENTRIES {
        let oldest = entries.iter().min_by_key(|(_, entry)| entry.until);
        let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
