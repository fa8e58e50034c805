//! Keeps this daemon's lease and the keys attached to it: its presence, and the leader's key while it
//! leads.
//!
//! The leader is the daemon whose name stands in the leader's key. That key lies under the lease of the
//! daemon, so that one renewal keeps both. Its revision is the fencing number of the leader's orders.

use crate::ids::{FenceNumber, LeaseId};
use crate::mirror::{
    CommitOutcome, ItemGuard, ItemWrite, RenewOutcome, StorePort, StoreTransaction,
};
use crate::presence::table::PresenceRow;
use crate::units::MonoTime;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Prefix of the product's keys.
pub const PRESENCE_PREFIX: &str = "arbutusmount/";
/// Time to live of a daemon's lease: a killed daemon leaves the address answer after it.
const LEASE_TTL: Duration = Duration::from_millis(2_500);
/// Time before the end of a lease from which its holder no longer acts as leader.
const LEASE_MARGIN: Duration = Duration::from_millis(700);

/// Key of a daemon's presence.
pub fn presence_key(row: &PresenceRow) -> Arc<str> {
    Arc::from(format!("{PRESENCE_PREFIX}daemon/{}", row.instance))
}

/// Key that names the leader.
pub fn leader_key() -> Arc<str> {
    Arc::from(format!("{PRESENCE_PREFIX}leader"))
}

/// The lease of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseState {
    /// Lease.
    pub id: LeaseId,
    /// Time from which the leader's key may be another's.
    pub valid_until: MonoTime,
}

#[derive(Debug, Default)]
struct KeeperState {
    lease: Option<LeaseState>,
    written: bool,
    leads: Option<FenceNumber>,
}

/// Keeps the lease of this daemon.
#[derive(Debug)]
pub struct LeaseSession {
    port: StorePort,
    row: PresenceRow,
    lease_floor: Duration,
    state: Mutex<KeeperState>,
}

impl LeaseSession {
    /// Creates a keeper that has no lease yet.
    pub fn new(port: StorePort, row: PresenceRow, lease_floor: Duration) -> Self {
        Self {
            port,
            row,
            lease_floor,
            state: Mutex::default(),
        }
    }

    /// Fencing number while this daemon leads.
    pub fn fence(&self, now: MonoTime) -> Option<FenceNumber> {
        self.with(|state| {
            let valid = state.lease.is_some_and(|lease| now < lease.valid_until);
            state.leads.filter(|_| valid)
        })
    }

    /// Renews the lease, or gets a new one, and writes the presence where it is missing.
    ///
    /// # Errors
    /// When the store did not answer.
    pub async fn renew(&self, now: MonoTime, present: bool) -> crate::mirror::PortResult<()> {
        let lease = self.with(|state| state.lease);
        if let Some(lease) = lease {
            match (self.port.renew)(lease.id).await? {
                RenewOutcome::Renewed => {
                    self.with(|state| state.lease = Some(valid(lease.id, now)));
                }
                RenewOutcome::Expired => self.with(|state| *state = KeeperState::default()),
            }
        }
        if self.with(|state| state.lease).is_none() {
            let grant = (self.port.grant)(LEASE_TTL.max(self.lease_floor)).await?;
            self.with(|state| state.lease = Some(valid(grant.id, now)));
        }
        if present && !self.with(|state| state.written) {
            self.write_presence().await?;
        }
        Ok(())
    }

    /// Notes that the presence is missing in the store.
    pub fn mark_missing(&self) {
        self.with(|state| state.written = false);
    }

    /// Takes this daemon out of the address answer and gives up the lead, if the store can be reached.
    ///
    /// # Errors
    /// When the store did not answer; the lease ends by itself.
    pub async fn revoke(&self) -> crate::mirror::PortResult<()> {
        let lease = self.with(|state| std::mem::take(state).lease);
        match lease {
            Some(lease) => (self.port.revoke)(lease.id).await,
            None => Ok(()),
        }
    }

    /// Tries to become the leader; true on success.
    ///
    /// # Errors
    /// When the store did not answer.
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
                self.with(|state| state.leads = Some(FenceNumber(revision)));
                Ok(true)
            }
            CommitOutcome::Conflict(_) => Ok(false),
            CommitOutcome::LeaseExpired => {
                self.with(|state| *state = KeeperState::default());
                Ok(false)
            }
        }
    }

    /// Takes in who leads according to the store. A lost answer to a campaign is settled here.
    pub fn observe_leader(&self, holder: Option<&[u8]>, revision: u64) {
        let own = holder == Some(self.row.instance.as_str().as_bytes());
        self.with(|state| {
            let known = state.lease.is_some();
            state.leads = (own && known).then_some(FenceNumber(revision));
        });
    }

    async fn write_presence(&self) -> crate::mirror::PortResult<()> {
        let Some(lease) = self.with(|state| state.lease) else {
            return Ok(());
        };
        let value = serde_json::to_vec(&self.row).expect("a presence row is plain JSON");
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
            CommitOutcome::Done(_) => self.with(|state| state.written = true),
            _ => self.with(|state| *state = KeeperState::default()),
        }
        Ok(())
    }

    fn with<T>(&self, act: impl FnOnce(&mut KeeperState) -> T) -> T {
        let mut state = self.state.lock().expect("lease state is never poisoned");
        act(&mut state)
    }
}

/// A lease that was granted or renewed by a call sent at `sent`.
fn valid(id: LeaseId, sent: MonoTime) -> LeaseState {
    LeaseState {
        id,
        valid_until: sent.after(LEASE_TTL.saturating_sub(LEASE_MARGIN)),
    }
}
