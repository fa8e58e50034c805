//! What the other daemons say about their paths to the targets.

use crate::reach::statement::ReachStatement;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Age from which a statement that the path is lost no longer counts; it is repeated more often.
const MAX_LOSS_AGE: Duration = Duration::from_secs(5);
/// Age from which a daemon counts as silent. In large fleets, one hears of each other every few seconds.
const MAX_SILENCE: Duration = Duration::from_secs(6);
/// Time over which callers are sent back to a daemon whose path has returned.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Most daemons that are remembered.
const MAX_DAEMONS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct PeerState {
    /// Random identifier of the daemon's run.
    sender: u64,
    statement: ReachStatement,
    heard_at: MonoTime,
    regained_at: Option<MonoTime>,
}

impl PeerState {
    fn is_lost(&self, now: MonoTime) -> bool {
        self.statement.is_lost && now.since(self.heard_at) <= MAX_LOSS_AGE
    }
}

/// Statements of the other daemons by the address from which they send them.
#[derive(Debug, Default)]
pub struct PeerReach {
    states: Mutex<HashMap<SocketAddr, PeerState>>,
}

impl PeerReach {
    /// Records a statement unless a later one of the same run is known.
    pub fn record(&self, from: SocketAddr, sender: u64, statement: ReachStatement, now: MonoTime) {
        let mut states = self.lock();
        let known = states.get(&from).copied();
        let known = known.filter(|known| known.sender == sender);
        if known.is_some_and(|known| known.statement.version > statement.version) {
            return;
        }
        if states.len() >= MAX_DAEMONS && !states.contains_key(&from) {
            return;
        }
        let was_lost = known.is_some_and(|known| known.is_lost(now));
        let regained_at = if was_lost && !statement.is_lost {
            Some(now)
        } else {
            known.and_then(|known| known.regained_at)
        };
        let state = PeerState {
            sender,
            statement,
            heard_at: now,
            regained_at,
        };
        states.insert(from, state);
    }

    /// True while the daemon says that it reaches no target.
    pub fn is_lost(&self, peer: SocketAddr, now: MonoTime) -> bool {
        let states = self.lock();
        states.get(&peer).is_some_and(|state| state.is_lost(now))
    }

    /// True when the daemon was heard in the last few seconds and has not said that it reaches no target.
    pub fn is_sound(&self, peer: SocketAddr, now: MonoTime) -> bool {
        let states = self.lock();
        states.get(&peer).is_some_and(|state| {
            !state.statement.is_lost && now.since(state.heard_at) <= MAX_SILENCE
        })
    }

    /// Share of the address responses that are to name the daemon: 0 while it reaches no target, and
    /// rising to 1 once its path is back.
    pub fn named_share(&self, peer: SocketAddr, now: MonoTime) -> f64 {
        let states = self.lock();
        match states.get(&peer) {
            Some(state) if state.is_lost(now) => 0.0,
            Some(state) => return_share(state.regained_at, now),
            None => 1.0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        self.states.lock().expect("statements are never poisoned")
    }
}

/// Share of the address responses that name a daemon whose path came back at `regained_at`, so that not
/// all callers return at once.
pub(super) fn return_share(regained_at: Option<MonoTime>, now: MonoTime) -> f64 {
    regained_at.map_or(1.0, |at| {
        (now.since(at).as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
    })
}
