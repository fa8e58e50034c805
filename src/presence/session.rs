//! This daemon's lease and the keys attached to it: its presence, and the leader's key while it
//! leads.
//!
//! The leader is the daemon whose name is the value of the leader's key. The key is attached to the
//! daemon's lease, so that one renewal keeps both alive. The key's revision is the fencing number
//! of the leader's orders.

use crate::ids::{FenceNumber, LeaseId};
use crate::mirror::{
    CommitOutcome, ItemGuard, ItemWrite, RenewOutcome, StorePort, StoreTransaction,
};
use crate::presence::table::PresenceRow;
use crate::units::MonoTime;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Prefix of the keys that daemons write to the store.
pub const PRESENCE_PREFIX: &str = "arbutusmount/";
/// Time to live of a daemon's lease. A killed daemon disappears from address responses after this
/// time.
const LEASE_TTL: Duration = Duration::from_millis(2_500);
/// Safety margin before the lease expires, during which its holder no longer acts as leader.
const LEASE_MARGIN: Duration = Duration::from_millis(700);

/// Key of a daemon's presence entry.
pub fn presence_key(row: &PresenceRow) -> Arc<str> {
    Arc::from(format!("{PRESENCE_PREFIX}daemon/{}", row.instance))
}

/// Key whose value names the leader.
pub fn leader_key() -> Arc<str> {
    Arc::from(format!("{PRESENCE_PREFIX}leader"))
}

/// A lease that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseState {
    /// Identifier of the lease in the store.
    pub id: LeaseId,
    /// Time from which another daemon may own the leader's key.
    pub valid_until: MonoTime,
}

#[derive(Debug, Default)]
struct SessionState {
    lease: Option<LeaseState>,
    presence_written: bool,
    fence_number: Option<FenceNumber>,
}

/// Keeps this daemon's lease alive, writes its presence and campaigns for leadership.
#[derive(Debug)]
pub struct LeaseSession {
    port: StorePort,
    row: PresenceRow,
    lease_floor: Duration,
    state: Mutex<SessionState>,
}

impl LeaseSession {
    /// Creates a session that has no lease yet. `lease_floor` is the shortest time to live that the
    /// store grants.
    pub fn new(port: StorePort, row: PresenceRow, lease_floor: Duration) -> Self {
        Self {
            port,
            row,
            lease_floor,
            state: Mutex::default(),
        }
    }

    /// Fencing number of this daemon's orders; `None` unless it leads with a valid lease.
    pub fn fence(&self, now: MonoTime) -> Option<FenceNumber> {
        self.with(|state| {
            let is_valid = state.lease.is_some_and(|lease| now < lease.valid_until);
            state.fence_number.filter(|_| is_valid)
        })
    }

    /// Renews the lease, or gets a new one, and writes the presence entry if it is missing and the
    /// daemon is `present`.
    ///
    /// # Errors
    /// [`PortError`](crate::mirror::PortError) when a call to the store failed.
    pub async fn renew(&self, now: MonoTime, present: bool) -> crate::mirror::PortResult<()> {
        let lease = self.with(|state| state.lease);
        if let Some(lease) = lease {
            match (self.port.renew)(lease.id).await? {
                RenewOutcome::Renewed => {
                    self.with(|state| state.lease = Some(lease_from(lease.id, now)));
                }
                RenewOutcome::Expired => self.with(|state| *state = SessionState::default()),
            }
        }
        if self.with(|state| state.lease).is_none() {
            let grant = (self.port.grant)(LEASE_TTL.max(self.lease_floor)).await?;
            self.with(|state| state.lease = Some(lease_from(grant.id, now)));
        }
        if present && !self.with(|state| state.presence_written) {
            self.write_presence().await?;
        }
        Ok(())
    }

    /// Records that the presence entry is missing in the store, so that the next renewal writes it
    /// again.
    pub fn mark_missing(&self) {
        self.with(|state| state.presence_written = false);
    }

    /// Revokes the lease, which removes this daemon from address responses and gives up leadership.
    ///
    /// # Errors
    /// When the call to the store failed; the lease then expires after its time to live.
    pub async fn revoke(&self) -> crate::mirror::PortResult<()> {
        let lease = self.with(|state| std::mem::take(state).lease);
        match lease {
            Some(lease) => (self.port.revoke)(lease.id).await,
            None => Ok(()),
        }
    }

    /// Tries to become the leader by creating the leader's key; true on success.
    ///
    /// # Errors
    /// When the call to the store failed; it may have taken effect all the same.
    pub async fn campaign(&self) -> crate::mirror::PortResult<bool> {
        let Some(lease) = self.with(|state| state.lease) else {
            return Ok(false);
        };
        let write = ItemWrite {
            key: leader_key(),
            value: Arc::from(self.row.instance.as_str().as_bytes()),
            lease: Some(lease.id),
        };
        let guards = vec![ItemGuard {
            key: leader_key(),
            revision: 0,
        }];
        let transaction = StoreTransaction {
            guards,
            writes: vec![write],
            removals: Vec::new(),
        };
        match (self.port.commit)(transaction).await? {
            CommitOutcome::Done(revision) => {
                self.with(|state| state.fence_number = Some(FenceNumber(revision)));
                Ok(true)
            }
            CommitOutcome::Conflict(_) => Ok(false),
            CommitOutcome::LeaseExpired => {
                self.with(|state| *state = SessionState::default());
                Ok(false)
            }
        }
    }

    /// Records who leads according to the store. Also settles a campaign whose reply was lost.
    pub fn observe_leader(&self, holder: Option<&[u8]>, revision: u64) {
        let is_local = holder == Some(self.row.instance.as_str().as_bytes());
        self.with(|state| {
            let has_lease = state.lease.is_some();
            state.fence_number = (is_local && has_lease).then_some(FenceNumber(revision));
        });
    }

    async fn write_presence(&self) -> crate::mirror::PortResult<()> {
        let Some(lease) = self.with(|state| state.lease) else {
            return Ok(());
        };
        let value = serde_json::to_vec(&self.row).expect("a presence row always serializes");
        let write = ItemWrite {
            key: presence_key(&self.row),
            value: Arc::from(value),
            lease: Some(lease.id),
        };
        let transaction = StoreTransaction {
            writes: vec![write],
            ..StoreTransaction::default()
        };
        match (self.port.commit)(transaction).await? {
            CommitOutcome::Done(_) => self.with(|state| state.presence_written = true),
            _ => self.with(|state| *state = SessionState::default()),
        }
        Ok(())
    }

    fn with<T>(&self, act: impl FnOnce(&mut SessionState) -> T) -> T {
        let mut state = self.state.lock().expect("session lock is never poisoned");
        act(&mut state)
    }
}

/// State of a lease that was granted or renewed by a call sent at `sent`.
fn lease_from(id: LeaseId, sent: MonoTime) -> LeaseState {
    LeaseState {
        id,
        valid_until: sent.after(LEASE_TTL.saturating_sub(LEASE_MARGIN)),
    }
}
