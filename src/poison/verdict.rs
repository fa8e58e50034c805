//! Decides which fingerprints explain the crashes that are recorded.
//!
//! The fingerprint beside most crashes explains them, and so the crashes of all others that were
//! beside it. What others have left is explained by the next one, and so on.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::table::{CrashedRun, EntryMap, PoisonLimits};
use crate::units::MonoTime;
use std::collections::{BTreeMap, BTreeSet};

type RunSet = BTreeSet<CrashedRun>;

/// Fingerprints that explain crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonVerdict {
    /// Fingerprints whose requests are refused.
    pub refused: BTreeSet<PoisonFingerprint>,
    /// Fingerprints that were always beside each other. Only requests with all those of a group
    /// are refused; one with some of them shows which of them crashes targets.
    pub groups: Vec<BTreeSet<PoisonFingerprint>>,
}

impl PoisonVerdict {
    /// Decides on the entries that have not expired.
    pub(super) fn new(entries: &EntryMap, limits: PoisonLimits, now: MonoTime) -> Self {
        let mut verdict = Self::default();
        let mut open: BTreeMap<PoisonFingerprint, RunSet> = entries
            .iter()
            .filter(|(_, entry)| entry.until > now)
            .map(|(fingerprint, entry)| (*fingerprint, entry.counted().collect()))
            .collect();
        loop {
            open.retain(|_, runs: &mut RunSet| runs.len() >= limits.crashes as usize);
            let Some(most) = open.values().map(RunSet::len).max() else {
                return verdict;
            };
            let explained = verdict.add_best(&open, most, limits);
            for runs in open.values_mut() {
                runs.retain(|run| !explained.contains(run));
            }
        }
    }

    /// Adds the fingerprints with `most` crashes, and returns these crashes.
    fn add_best(
        &mut self,
        open: &BTreeMap<PoisonFingerprint, RunSet>,
        most: usize,
        limits: PoisonLimits,
    ) -> RunSet {
        let mut by_runs: BTreeMap<&RunSet, BTreeSet<PoisonFingerprint>> = BTreeMap::new();
        for (fingerprint, runs) in open.iter().filter(|(_, runs)| runs.len() == most) {
            by_runs.entry(runs).or_default().insert(*fingerprint);
        }
        let is_certain = most >= limits.certain_crashes as usize;
        for group in by_runs.values() {
            if group.len() == 1 || is_certain {
                self.refused.extend(group);
            } else {
                self.groups.push(group.clone());
            }
        }
        by_runs.into_keys().flatten().copied().collect()
    }

    /// The fingerprints of a request for which it is refused; none if it is not.
    pub fn reasons(&self, fingerprints: &[PoisonFingerprint]) -> Vec<PoisonFingerprint> {
        let refused = fingerprints.iter().filter(|one| self.refused.contains(one));
        let mut reasons: Vec<PoisonFingerprint> = refused.copied().collect();
        let is_held = |group: &&BTreeSet<PoisonFingerprint>| {
            group.iter().all(|one| fingerprints.contains(one))
        };
        reasons.extend(self.groups.iter().filter(is_held).flatten());
        reasons
    }

    /// True when the fingerprint may or may not be what crashes targets.
    pub fn is_undecided(&self, fingerprint: PoisonFingerprint) -> bool {
        self.groups.iter().any(|group| group.contains(&fingerprint))
    }
}
