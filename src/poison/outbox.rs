//! Crashes that are not known to be in the store yet, or not known to be removed from it.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::table::{CrashState, CrashedRun};
use crate::units::MonoTime;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Most crashes that wait; further ones are only kept in memory.
const MAX_ROWS: usize = 8_192;
/// Runs of a fingerprint from which on they are written to the store and passed on for other daemons.
/// Most requests are beside one crash and never come again.
const MIN_STORED_RUNS: u32 = 2;
/// Time for which a crash that was cleared before it was written is remembered.
const FORGOTTEN_TIME: Duration = Duration::from_secs(30);
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

type RowKey = (PoisonFingerprint, CrashedRun);
type WaitingMap = BTreeMap<RowKey, WaitingRow>;

#[derive(Debug, Default)]
struct OutboxState {
    waiting: WaitingMap,
    /// Crashes that the store holds, as far as this daemon knows.
    stored: BTreeSet<RowKey>,
    /// Crashes that were cleared here before the store was told of them, and the time at which they were
    /// dropped: another daemon may write them yet.
    forgotten: BTreeMap<RowKey, MonoTime>,
}

/// Crashes that wait for the store. Other daemons are told of them meanwhile, so that knowledge
/// spreads while the store is away.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    state: Mutex<OutboxState>,
}

impl CrashOutbox {
    /// Adds a crash, which is due for the store at `due`. One that is not in the store when it is
    /// cleared needs no call.
    pub fn add(&self, row: OutboxRow, due: MonoTime) {
        self.insert(row, due, false);
    }

    fn insert(&self, row: OutboxRow, due: MonoTime, is_from_peer: bool) {
        let OutboxState {
            waiting, stored, ..
        } = &mut *self.lock();
        let key = (row.fingerprint, row.run);
        let state = row.state;
        let is_full = waiting.len() >= MAX_ROWS;
        let is_written = match waiting.get_mut(&key) {
            // Its fingerprint has just got a second run. It was not due for the store before, so that
            // all daemons that know of it would write it now.
            Some(known) if known.state == state && !known.is_written => {
                known.due = known.due.max(due);
                return;
            }
            Some(known) if known.state >= state => return,
            Some(known) => known.is_written,
            None if is_full => return,
            None if is_from_peer && state == CrashState::Cleared && !stored.contains(&key) => {
                return;
            }
            None => state == CrashState::Cleared && stored.contains(&key),
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

    /// Adds a crash that another daemon tells of. One that it has cleared counts only if it is in the store
    /// or waits here.
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
        let OutboxState {
            waiting, forgotten, ..
        } = &mut *self.lock();
        forgotten.retain(|_, dropped_at| now.since(*dropped_at) < FORGOTTEN_TIME);
        let is_single =
            |key: &RowKey, row: &WaitingRow| !row.is_written && known_runs(key.0) < MIN_STORED_RUNS;
        waiting.retain(|key, row| {
            let is_dropped = row.needs_no_call() && row.due <= now;
            if is_dropped && !row.is_from_peer && forgotten.len() < MAX_ROWS {
                forgotten.insert(*key, now);
            }
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
        let state = self.lock();
        let rows = state
            .waiting
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

    /// Drops a crash that the store has in this state or a later one. One that the store holds although
    /// it was cleared here is removed from it.
    pub fn on_stored(&self, row: OutboxRow) {
        let OutboxState {
            waiting,
            stored,
            forgotten,
        } = &mut *self.lock();
        let key = (row.fingerprint, row.run);
        match row.state {
            CrashState::Counted if stored.len() < MAX_ROWS => {
                stored.insert(key);
            }
            CrashState::Counted => {}
            CrashState::Cleared => {
                stored.remove(&key);
            }
        }
        match waiting.get_mut(&key) {
            Some(known) if known.state <= row.state => {
                waiting.remove(&key);
            }
            // The store was told of a crash that has been cleared meanwhile.
            Some(known) => known.is_written = true,
            None if row.state == CrashState::Counted => {
                if let Some(dropped_at) = forgotten.remove(&key) {
                    let removal = WaitingRow {
                        state: CrashState::Cleared,
                        due: dropped_at,
                        is_written: true,
                        is_from_peer: false,
                    };
                    waiting.insert(key, removal);
                }
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, OutboxState> {
        self.state.lock().expect("outbox is never poisoned")
    }
}

fn outbox_row(key: &RowKey, row: &WaitingRow) -> OutboxRow {
    OutboxRow {
        fingerprint: key.0,
        run: key.1,
        state: row.state,
    }
}
