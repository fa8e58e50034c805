//! Crashes that are not known to be in the store yet, or not known to be removed from it.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::table::{CrashState, CrashedRun};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// Most crashes that wait; further ones are only kept in memory.
const MAX_ROWS: usize = 1_024;

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
    due: MonoTime,
    /// True once the store or another daemon may have been told.
    shared: bool,
}

type WaitingMap = BTreeMap<(PoisonFingerprint, CrashedRun), WaitingRow>;

/// Crashes that wait for the store. Other daemons are told of them meanwhile, so that knowledge
/// spreads while the store is away.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    waiting: Mutex<WaitingMap>,
}

impl CrashOutbox {
    /// Adds a crash, which is due for the store at `due`. A crash that is cleared before anybody
    /// was told of it is dropped.
    pub fn add(&self, row: OutboxRow, due: MonoTime) {
        let mut waiting = self.lock();
        let key = (row.fingerprint, row.run);
        let known = waiting.get(&key).copied();
        if known.is_some_and(|known| known.state >= row.state) {
            return;
        }
        let was_untold = known.is_some_and(|known| !known.shared);
        if was_untold && row.state == CrashState::Cleared {
            waiting.remove(&key);
        } else if known.is_some() || waiting.len() < MAX_ROWS {
            let state = row.state;
            let shared = known.is_some_and(|known| known.shared);
            waiting.insert(key, WaitingRow { state, due, shared });
        }
    }

    /// Up to `limit` rows that are due for the store; they stay until [`Self::on_stored`].
    pub fn due(&self, limit: usize, now: MonoTime) -> Vec<OutboxRow> {
        self.share(limit, |row| row.due <= now)
    }

    /// Up to `limit` rows for other daemons.
    pub fn rows(&self, limit: usize) -> Vec<OutboxRow> {
        self.share(limit, |_| true)
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

    fn share(&self, limit: usize, is_wanted: impl Fn(&WaitingRow) -> bool) -> Vec<OutboxRow> {
        let mut waiting = self.lock();
        let wanted = waiting.iter_mut().filter(|(_, row)| is_wanted(row));
        let rows = wanted.take(limit).map(|((fingerprint, run), row)| {
            row.shared = true;
            OutboxRow {
                fingerprint: *fingerprint,
                run: *run,
                state: row.state,
            }
        });
        rows.collect()
    }

    fn lock(&self) -> MutexGuard<'_, WaitingMap> {
        self.waiting.lock().expect("outbox is never poisoned")
    }
}
