//! Crashes recorded for requests, by fingerprint.
//!
//! Daemons merge what each of them has seen. A crash is identified by the run of the target that
//! ended, so that it counts once, whichever daemon saw it and however often it is reported. A crash
//! that was cleared stays cleared: a daemon that has not heard of it cannot bring it back.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::units::MonoTime;
use arc_swap::ArcSwap;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// Most fingerprints that are kept; those that expire first are dropped first.
const MAX_ENTRIES: usize = 1_024;

/// Hash of the identity of a target's run that crashed, the same in all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashedRun(pub u64);

impl fmt::Display for CrashedRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CrashedRun {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Whether a crash counts against a request. The order is that of the states: a crash never goes
/// back to an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashState {
    /// It counts.
    Counted,
    /// Such a request has since made progress.
    Cleared,
}

/// Crashes under which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonLimits {
    /// Crashes of which at least one has no other explanation: no other request with as many
    /// crashes ran on that target.
    pub crashes: u32,
    /// Crashes from which only requests with more of them are another explanation.
    pub certain_crashes: u32,
}

/// Crashes recorded for a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonEntry {
    /// Crashed runs of targets.
    pub runs: BTreeMap<CrashedRun, CrashState>,
    /// Time at which the entry expires.
    pub until: MonoTime,
}

impl PoisonEntry {
    /// An entry with these runs, all in the same state.
    pub fn new(
        runs: impl IntoIterator<Item = CrashedRun>,
        state: CrashState,
        until: MonoTime,
    ) -> Self {
        Self {
            runs: runs.into_iter().map(|run| (run, state)).collect(),
            until,
        }
    }

    /// Runs that count.
    pub fn counted(&self) -> impl Iterator<Item = CrashedRun> {
        self.with_state(CrashState::Counted)
    }

    /// Runs that do not count any more.
    pub fn cleared(&self) -> impl Iterator<Item = CrashedRun> {
        self.with_state(CrashState::Cleared)
    }

    /// Number of runs that count.
    pub fn crashes(&self) -> u32 {
        self.counted().count() as u32
    }

    fn with_state(&self, state: CrashState) -> impl Iterator<Item = CrashedRun> {
        let runs = self.runs.iter().filter(move |(_, found)| **found == state);
        runs.map(|(run, _)| *run)
    }

    fn counts(&self, run: CrashedRun) -> bool {
        self.runs.get(&run) == Some(&CrashState::Counted)
    }

    fn merge(&mut self, other: &Self) {
        for (run, state) in &other.runs {
            let known = self.runs.entry(*run).or_insert(*state);
            *known = (*known).max(*state);
        }
        self.until = self.until.max(other.until);
    }
}

type EntryMap = HashMap<PoisonFingerprint, PoisonEntry>;

/// Fingerprints of suspected and refused requests. Requests read it without locks; it is nearly
/// always empty.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: ArcSwap<EntryMap>,
}

impl PoisonTable {
    /// True when no fingerprint is recorded, so that a request need not compute its own.
    pub fn is_empty(&self) -> bool {
        self.entries.load().is_empty()
    }

    /// Crashes that count for a fingerprint; 0 when it is unknown or has expired.
    pub fn crashes(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> u32 {
        live_entry(&self.entries.load(), fingerprint, now).map_or(0, PoisonEntry::crashes)
    }

    /// The entry of a fingerprint, unless it has expired.
    pub fn entry(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> Option<PoisonEntry> {
        live_entry(&self.entries.load(), fingerprint, now).cloned()
    }

    /// Time until the entry of a fingerprint expires.
    pub fn time_left(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> Duration {
        let entries = self.entries.load();
        let entry = live_entry(&entries, fingerprint, now);
        entry.map_or(Duration::ZERO, |entry| entry.until.since(now))
    }

    /// True when such a request is to be refused, as it crashes the targets that run it.
    pub fn is_poison(
        &self,
        fingerprint: PoisonFingerprint,
        limits: PoisonLimits,
        now: MonoTime,
    ) -> bool {
        let entries = self.entries.load();
        let Some(entry) = live_entry(&entries, fingerprint, now) else {
            return false;
        };
        let crashes = entry.crashes();
        let rival_crashes = if crashes >= limits.certain_crashes {
            crashes + 1
        } else {
            crashes
        };
        let rivals = entries
            .iter()
            .filter(|(other, _)| **other != fingerprint)
            .map(|(_, other)| other)
            .filter(|other| other.until > now && other.crashes() >= rival_crashes);
        crashes >= limits.crashes && has_sole_crash(entry, &rivals.collect::<Vec<_>>())
    }

    /// The runs of `entry` that are not known, or not in that state.
    pub fn unknown_runs(
        &self,
        fingerprint: PoisonFingerprint,
        entry: &PoisonEntry,
        now: MonoTime,
    ) -> Vec<(CrashedRun, CrashState)> {
        let entries = self.entries.load();
        let known = live_entry(&entries, fingerprint, now);
        let is_unknown = |run: &CrashedRun, state: &CrashState| {
            let found = known.and_then(|known| known.runs.get(run));
            found.is_none_or(|found| found < state)
        };
        let runs = entry.runs.iter().map(|(run, state)| (*run, *state));
        runs.filter(|(run, state)| is_unknown(run, state)).collect()
    }

    /// Adds crashes to those known. Returns true when more of them count than before.
    pub fn merge(
        &self,
        fingerprint: PoisonFingerprint,
        entry: &PoisonEntry,
        now: MonoTime,
    ) -> bool {
        let before = self.crashes(fingerprint, now);
        self.entries.rcu(|entries| {
            let mut next = EntryMap::clone(entries);
            let known = next.entry(fingerprint).or_insert_with(|| entry.clone());
            if known.until <= now {
                *known = entry.clone();
            }
            known.merge(entry);
            drop_first_to_expire(&mut next);
            next
        });
        self.crashes(fingerprint, now) > before
    }

    /// Clears the crashes of a fingerprint that has fewer than `limit`, as such a request made
    /// progress. Returns the runs that no longer count.
    pub fn clear(&self, fingerprint: PoisonFingerprint, limit: u32) -> Vec<CrashedRun> {
        let entries = self.entries.load();
        let Some(entry) = entries.get(&fingerprint) else {
            return Vec::new();
        };
        let runs: Vec<CrashedRun> = entry.counted().collect();
        if runs.is_empty() || entry.crashes() >= limit {
            return Vec::new();
        }
        self.clear_runs(fingerprint, &runs);
        runs
    }

    /// Clears these crashes.
    pub fn clear_runs(&self, fingerprint: PoisonFingerprint, runs: &[CrashedRun]) {
        self.entries.rcu(|entries| {
            let mut next = EntryMap::clone(entries);
            if let Some(entry) = next.get_mut(&fingerprint) {
                let cleared = runs.iter().map(|run| (*run, CrashState::Cleared));
                entry.runs.extend(cleared);
            }
            next
        });
    }

    /// All entries that have not expired.
    pub fn entries(&self, now: MonoTime) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let entries = self.entries.load();
        let known = entries.iter().filter(|(_, entry)| entry.until > now);
        known.map(|(key, entry)| (*key, entry.clone())).collect()
    }

    /// Removes and returns the entries that expired at least `grace` ago.
    pub fn take_expired(
        &self,
        now: MonoTime,
        grace: Duration,
    ) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let is_expired = |entry: &PoisonEntry| entry.until.after(grace) <= now;
        let entries = self.entries.load();
        let expired = entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<_> = expired.map(|(key, entry)| (*key, entry.clone())).collect();
        if !expired.is_empty() {
            self.entries.rcu(|entries| {
                let mut next = EntryMap::clone(entries);
                next.retain(|_, entry| !is_expired(entry));
                next
            });
        }
        expired
    }
}

fn live_entry(
    entries: &EntryMap,
    fingerprint: PoisonFingerprint,
    now: MonoTime,
) -> Option<&PoisonEntry> {
    entries.get(&fingerprint).filter(|entry| entry.until > now)
}

/// True when one of the crashes has no other explanation: no rival was on that target.
fn has_sole_crash(entry: &PoisonEntry, rivals: &[&PoisonEntry]) -> bool {
    let mut runs = entry.counted();
    runs.any(|run| !rivals.iter().any(|rival| rival.counts(run)))
}

fn drop_first_to_expire(entries: &mut EntryMap) {
    while entries.len() > MAX_ENTRIES {
        let next_to_expire = entries.iter().min_by_key(|(_, entry)| entry.until);
        let Some(fingerprint) = next_to_expire.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
