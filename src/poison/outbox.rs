//! Crashes that are not known to be in the store yet, or not known to be removed from it.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::table::{CrashState, CrashedRun};
use crate::units::MonoTime;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Most crashes that wait; further ones are only kept in memory.
const MAX_ROWS: usize = 8_192;
/// Runs of a fingerprint from which on they are written to the store and passed on for other daemons.
/// Most requests are beside one crash and never come again.
const MIN_STORED_RUNS: u32 = 2;
/// Time for which a daemon goes on telling of a fingerprint's only run once it is due.
const SINGLE_RUN_TIME: Duration = Duration::from_secs(4);

/// A crash to be written to the store or removed from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutboxRow {
    /// Fingerprint of the request.
    pub fingerprint: PoisonFingerprint,
    /// Run that crashed.
    pub run: CrashedRun,
    /// Counted crashes are written, cleared ones removed.
    pub state: CrashState,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRow {
    state: CrashState,
    /// Time at which it is due for the store, or at which it is dropped if the store was never told
    /// of the crash and it is cleared.
    due: MonoTime,
    /// True once the store may have been told.
    is_written: bool,
    /// True when another daemon has told of it.
    is_from_peer: bool,
}

impl WaitingRow {
    /// True for a crash that the store needs no call for.
    fn needs_no_call(&self) -> bool {
        self.state == CrashState::Cleared && !self.is_written
    }
}

type WaitingMap = BTreeMap<(PoisonFingerprint, CrashedRun), WaitingRow>;

/// Crashes that wait for the store. Other daemons are told of them meanwhile, so that knowledge
/// spreads while the store is away.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    waiting: Mutex<WaitingMap>,
}

impl CrashOutbox {
    /// Adds a crash, which is due for the store at `due`. One that is not waiting when it is cleared
    /// is taken to be in the store.
    pub fn add(&self, row: OutboxRow, due: MonoTime) {
        self.insert(row, due, false);
    }

    fn insert(&self, row: OutboxRow, due: MonoTime, is_from_peer: bool) {
        let mut waiting = self.lock();
        let key = (row.fingerprint, row.run);
        let state = row.state;
        let is_written = match waiting.get(&key) {
            Some(known) if known.state >= state => return,
            Some(known) => known.is_written,
            None if waiting.len() >= MAX_ROWS => return,
            None if is_from_peer && state == CrashState::Cleared => return,
            None => state == CrashState::Cleared,
        };
        waiting.insert(
            key,
            WaitingRow {
                state,
                due,
                is_written,
                is_from_peer,
            },
        );
    }

    /// Adds a crash that another daemon tells of. One that it has cleared is its own to remove from
    /// the store, so it only replaces a crash that waits here.
    pub fn add_from_peer(&self, row: OutboxRow, due: MonoTime) {
        self.insert(row, due, true);
    }

    /// Up to `limit` rows that are due for the store; they stay until [`Self::on_stored`]. Drops
    /// cleared crashes that the store was never told of, and single ones after a while. `known_runs`
    /// returns the number of runs that are known for a fingerprint.
    pub fn take_due(
        &self,
        limit: usize,
        now: MonoTime,
        known_runs: impl Fn(PoisonFingerprint) -> u32,
    ) -> Vec<OutboxRow> {
        let mut waiting = self.lock();
        let is_single = |key: &(PoisonFingerprint, CrashedRun), row: &WaitingRow| {
            !row.is_written && known_runs(key.0) < MIN_STORED_RUNS
        };
        waiting.retain(|key, row| {
            let is_dropped = row.needs_no_call() && row.due <= now;
            let is_over = row.due.after(SINGLE_RUN_TIME) <= now && is_single(key, row);
            !is_dropped && !is_over
        });
        let due = waiting
            .iter_mut()
            .filter(|(key, row)| row.due <= now && !row.needs_no_call() && !is_single(key, row));
        let rows = due.take(limit).map(|(key, row)| {
            row.is_written = true;
            outbox_row(key, row)
        });
        rows.collect()
    }

    /// Up to `limit` rows for other daemons: first those of the fingerprints with most runs, and of
    /// equal ones a random choice. Those that another daemon has told of are passed on only once
    /// they are due, as that daemon tells of them itself until then, and only if they are not single.
    pub fn rows(
        &self,
        limit: usize,
        now: MonoTime,
        known_runs: impl Fn(PoisonFingerprint) -> u32,
    ) -> Vec<OutboxRow> {
        let waiting = self.lock();
        let rows = waiting
            .iter()
            .map(|(key, row)| (known_runs(key.0), key, row));
        let wanted = rows.filter(|(runs, _, row)| {
            !row.is_from_peer || (row.due <= now && *runs >= MIN_STORED_RUNS)
        });
        let mut wanted: Vec<(u32, OutboxRow)> = wanted
            .map(|(runs, key, row)| (runs, outbox_row(key, row)))
            .collect();
        fastrand::shuffle(&mut wanted);
        wanted.sort_by_key(|(runs, _)| Reverse(*runs));
        wanted.truncate(limit);
        wanted.into_iter().map(|(_, row)| row).collect()
    }

    /// Drops a crash that the store has in this state or a later one.
    pub fn on_stored(&self, row: OutboxRow) {
        let mut waiting = self.lock();
        let key = (row.fingerprint, row.run);
        if waiting
            .get(&key)
            .is_some_and(|known| known.state <= row.state)
        {
            waiting.remove(&key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, WaitingMap> {
        self.waiting.lock().expect("outbox is never poisoned")
    }
}

fn outbox_row(key: &(PoisonFingerprint, CrashedRun), row: &WaitingRow) -> OutboxRow {
    OutboxRow {
        fingerprint: key.0,
        run: key.1,
        state: row.state,
    }
}
