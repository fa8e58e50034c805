//! Crashes recorded for requests and for the parts of their prompts, by fingerprint.
//!
//! Daemons merge what each of them has seen. A crash is identified by the run of the target that
//! ended, so that it counts once, whichever daemon saw it and however often it is reported. A crash
//! that was cleared stays cleared: a daemon that has not heard of it cannot bring it back.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::verdict::PoisonVerdict;
use crate::units::MonoTime;
use arc_swap::ArcSwap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Most fingerprints that are kept; those with the fewest crashes are dropped first, and of these the
/// ones that expire first. A target that ends has up to a batch of requests on it, each with some
/// parts.
const MAX_ENTRIES: usize = 4_096;

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
    /// Such a request has since been answered whole.
    Cleared,
}

/// Crashes under which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonLimits {
    /// Crashes that nothing with more crashes explains.
    pub crashes: u32,
    /// Crashes from which fingerprints that were always beside each other are refused alike.
    pub certain_crashes: u32,
}

impl Default for PoisonLimits {
    fn default() -> Self {
        Self {
            crashes: 3,
            certain_crashes: 6,
        }
    }
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

    fn merge(&mut self, other: &Self) {
        for (run, state) in &other.runs {
            let known = self.runs.entry(*run).or_insert(*state);
            *known = (*known).max(*state);
        }
        self.until = self.until.max(other.until);
    }
}

pub(super) type EntryMap = HashMap<PoisonFingerprint, Arc<PoisonEntry>>;

/// Entries at one time, and what follows from them.
#[derive(Debug, Default)]
struct TableSnapshot {
    entries: EntryMap,
    /// Computed when it is first needed.
    verdict: OnceLock<PoisonVerdict>,
}

/// Fingerprints of suspected and refused requests. Requests read it without locks; it is nearly
/// always empty.
#[derive(Debug, Default)]
pub struct PoisonTable {
    limits: PoisonLimits,
    snapshot: ArcSwap<TableSnapshot>,
}

impl PoisonTable {
    /// An empty table.
    pub fn new(limits: PoisonLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// True when no fingerprint is recorded, so that a request need not compute its own.
    pub fn is_empty(&self) -> bool {
        self.snapshot.load().entries.is_empty()
    }

    /// Crashes that count for a fingerprint; 0 when it is unknown or has expired.
    pub fn crashes(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> u32 {
        let snapshot = self.snapshot.load();
        live_entry(&snapshot.entries, fingerprint, now).map_or(0, |entry| entry.crashes())
    }

    /// Runs that are known for a fingerprint, whether or not they count.
    pub fn known_runs(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> u32 {
        let snapshot = self.snapshot.load();
        let entry = live_entry(&snapshot.entries, fingerprint, now);
        entry.map_or(0, |entry| entry.runs.len() as u32)
    }

    /// The entry of a fingerprint, unless it has expired.
    pub fn entry(&self, fingerprint: PoisonFingerprint, now: MonoTime) -> Option<PoisonEntry> {
        let snapshot = self.snapshot.load();
        live_entry(&snapshot.entries, fingerprint, now).map(|entry| PoisonEntry::clone(entry))
    }

    /// The time for which a request with these fingerprints is still refused, as it crashes the
    /// targets that run it; `None` when it is not.
    pub fn refusal_time(
        &self,
        fingerprints: &[PoisonFingerprint],
        now: MonoTime,
    ) -> Option<Duration> {
        let reasons = self.refusal_reasons(fingerprints, now);
        let snapshot = self.snapshot.load();
        let entries = reasons
            .iter()
            .filter_map(|one| live_entry(&snapshot.entries, *one, now));
        entries.map(|entry| entry.until.since(now)).max()
    }

    /// The fingerprints of a request for which it is refused; none if it is not.
    pub fn refusal_reasons(
        &self,
        fingerprints: &[PoisonFingerprint],
        now: MonoTime,
    ) -> Vec<PoisonFingerprint> {
        let snapshot = self.snapshot.load();
        let is_known = |one: &PoisonFingerprint| live_entry(&snapshot.entries, *one, now).is_some();
        if !fingerprints.iter().any(is_known) {
            return Vec::new();
        }
        self.verdict_of(&snapshot, now).reasons(fingerprints)
    }

    /// What the crashes that are known say.
    pub fn verdict(&self, now: MonoTime) -> PoisonVerdict {
        self.verdict_of(&self.snapshot.load(), now).clone()
    }

    fn verdict_of<'a>(&self, snapshot: &'a TableSnapshot, now: MonoTime) -> &'a PoisonVerdict {
        let decide = || PoisonVerdict::new(&snapshot.entries, self.limits, now);
        snapshot.verdict.get_or_init(decide)
    }

    /// The runs of `entry` that are not known, or not in that state.
    pub fn unknown_runs(
        &self,
        fingerprint: PoisonFingerprint,
        entry: &PoisonEntry,
        now: MonoTime,
    ) -> Vec<(CrashedRun, CrashState)> {
        let snapshot = self.snapshot.load();
        let known = live_entry(&snapshot.entries, fingerprint, now);
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
        self.merge_all(&[(fingerprint, entry.clone())], now);
        self.crashes(fingerprint, now) > before
    }

    /// Adds crashes of several fingerprints in one step.
    pub fn merge_all(&self, added: &[(PoisonFingerprint, PoisonEntry)], now: MonoTime) {
        if added.is_empty() {
            return;
        }
        self.update(|entries| {
            for (fingerprint, entry) in added {
                let known = entries
                    .entry(*fingerprint)
                    .or_insert_with(|| Arc::new(entry.clone()));
                if known.until <= now {
                    *known = Arc::new(entry.clone());
                }
                Arc::make_mut(known).merge(entry);
            }
            drop_weakest(entries);
        });
    }

    /// Replaces the entries by changed ones.
    fn update(&self, change: impl Fn(&mut EntryMap)) {
        self.snapshot.rcu(|snapshot| {
            let mut entries = snapshot.entries.clone();
            change(&mut entries);
            TableSnapshot {
                entries,
                verdict: OnceLock::new(),
            }
        });
    }

    /// Clears the crashes of a fingerprint that has fewer than `limit`, as such a request was
    /// answered. Returns the runs that no longer count.
    pub fn clear(&self, fingerprint: PoisonFingerprint, limit: u32) -> Vec<CrashedRun> {
        let snapshot = self.snapshot.load();
        let Some(entry) = snapshot.entries.get(&fingerprint) else {
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
        if !self.snapshot.load().entries.contains_key(&fingerprint) {
            return;
        }
        self.update(|entries| {
            if let Some(entry) = entries.get_mut(&fingerprint) {
                let cleared = runs.iter().map(|run| (*run, CrashState::Cleared));
                Arc::make_mut(entry).runs.extend(cleared);
            }
        });
    }

    /// All entries that have not expired.
    pub fn entries(&self, now: MonoTime) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let snapshot = self.snapshot.load();
        let known = snapshot.entries.iter();
        let known = known.filter(|(_, entry)| entry.until > now);
        known
            .map(|(key, entry)| (*key, PoisonEntry::clone(entry)))
            .collect()
    }

    /// Removes and returns the entries that expired at least `grace` ago.
    pub fn take_expired(
        &self,
        now: MonoTime,
        grace: Duration,
    ) -> Vec<(PoisonFingerprint, PoisonEntry)> {
        let is_expired = |entry: &PoisonEntry| entry.until.after(grace) <= now;
        let snapshot = self.snapshot.load();
        let expired = snapshot
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry));
        let expired: Vec<_> = expired
            .map(|(key, entry)| (*key, PoisonEntry::clone(entry)))
            .collect();
        if !expired.is_empty() {
            self.update(|entries| entries.retain(|_, entry| !is_expired(entry)));
        }
        expired
    }
}

fn live_entry(
    entries: &EntryMap,
    fingerprint: PoisonFingerprint,
    now: MonoTime,
) -> Option<&Arc<PoisonEntry>> {
    entries.get(&fingerprint).filter(|entry| entry.until > now)
}

/// Drops the entries with the fewest crashes, down to the limit.
fn drop_weakest(entries: &mut EntryMap) {
    if entries.len() <= MAX_ENTRIES {
        return;
    }
    let ranked = entries
        .iter()
        .map(|(key, entry)| (entry.crashes(), entry.until, *key));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|rank| Reverse(*rank));
    for (_, _, fingerprint) in &ranked[MAX_ENTRIES..] {
        entries.remove(fingerprint);
    }
}
