//! This daemon's lease and the keys attached to it: its presence, and the leader's key while it
//! leads.
//!
//! The leader is the daemon whose name is the value of the leader's key and whose lease the key is
//! attached to, so that one renewal keeps both alive. The version that created the key gives the
//! fencing number of the leader's orders.
//!
//! A restore of the store from an older copy ends all leases, and their identifiers are granted
//! again. A lease is therefore used only in the era that granted it.

use crate::ids::{FenceNumber, LeaseId, StoreEra};
use crate::mirror::{
    CommitOutcome, ItemGuard, ItemWrite, LeaseGrant, RenewOutcome, StoreItem, StorePort,
    StoreTransaction, StoreVersion,
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
/// Time after the last renewal for which a leader that the store no longer knows may still act.
/// After a restore of the store, a new leader waits for as long.
const LEASE_TRUST: Duration = LEASE_TTL.saturating_sub(LEASE_MARGIN);

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
    /// Era of the store in which the lease was granted.
    pub era: StoreEra,
    /// Time from which another daemon may own the leader's key.
    pub valid_until: MonoTime,
}

/// What to do next about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Renew it in time.
    Renew,
    /// It is of an earlier era of the store: call [`LeaseSession::rejoin`].
    Rejoin,
}

#[derive(Debug, Default)]
struct SessionState {
    lease: Option<LeaseState>,
    presence_written: bool,
    /// Version of the last write of the presence entry.
    presence_version: StoreVersion,
    fence_number: Option<FenceNumber>,
    /// Version of the leader's key that this daemon has written.
    leader_version: Option<StoreVersion>,
    /// Era of the store and the time at which this daemon noticed it.
    era_noticed: Option<(StoreEra, MonoTime)>,
}

impl SessionState {
    fn forget_lease(&mut self) {
        self.lease = None;
        self.presence_written = false;
        self.forget_lead();
    }

    fn forget_lead(&mut self) {
        self.fence_number = None;
        self.leader_version = None;
    }

    /// True when a leader of an earlier era may still act.
    fn is_new_era(&mut self, known: Option<StoreEra>, now: MonoTime) -> bool {
        let Some(known) = known else {
            return false;
        };
        match self.era_noticed {
            Some((era, since)) if era == known => now.since(since) < LEASE_TRUST,
            _ => {
                self.era_noticed = Some((known, now));
                true
            }
        }
    }
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

    /// Entry of this daemon in the store.
    pub fn row(&self) -> &PresenceRow {
        &self.row
    }

    /// True when this daemon is the leader and its lease is valid. It may still have to wait before
    /// it sends orders, see [`Self::fence`].
    pub fn leads(&self, now: MonoTime) -> bool {
        let era = self.port.era.current();
        self.with(|state| {
            let lease = state.lease.filter(|lease| lease.era == era);
            let is_valid = lease.is_some_and(|lease| now < lease.valid_until);
            is_valid && state.fence_number.is_some()
        })
    }

    /// Fencing number of this daemon's orders; `None` unless it leads with a valid lease and no
    /// leader from before a restore of the store can still act.
    pub fn fence(&self, now: MonoTime) -> Option<FenceNumber> {
        let known = self.port.era.known();
        let must_wait = self.with(|state| state.is_new_era(known, now));
        if must_wait || !self.leads(now) {
            return None;
        }
        self.with(|state| state.fence_number)
    }

    /// Renews the lease, or gets a new one, and writes the presence entry if it is missing and the
    /// daemon is `present`.
    ///
    /// # Errors
    /// [`PortError`](crate::mirror::PortError) when a call to the store failed.
    pub async fn renew(
        &self,
        now: MonoTime,
        present: bool,
    ) -> crate::mirror::PortResult<LeaseStep> {
        let lease = self.with(|state| state.lease);
        if let Some(lease) = lease {
            if self.is_stale(lease) {
                return Ok(LeaseStep::Rejoin);
            }
            let outcome = (self.port.renew)(lease.id).await?;
            // The identifier may be that of another daemon's lease by now.
            if self.is_stale(lease) {
                return Ok(LeaseStep::Rejoin);
            }
            match outcome {
                RenewOutcome::Renewed => {
                    let renewed = LeaseState {
                        valid_until: now.after(LEASE_TRUST),
                        ..lease
                    };
                    self.with(|state| state.lease = Some(renewed));
                }
                RenewOutcome::Expired => self.with(SessionState::forget_lease),
            }
        }
        self.ensure_presence(now, present).await
    }

    /// Gives up a lease of an earlier era, gets a new one and writes the presence entry if the daemon
    /// is `present`.
    ///
    /// # Errors
    /// [`PortError`](crate::mirror::PortError) when a call to the store failed.
    pub async fn rejoin(
        &self,
        now: MonoTime,
        present: bool,
    ) -> crate::mirror::PortResult<LeaseStep> {
        self.with(SessionState::forget_lease);
        self.ensure_presence(now, present).await
    }

    /// True when the lease and the presence entry are of this era of the store.
    pub fn is_present_in(&self, era: StoreEra) -> bool {
        self.with(|state| {
            state.presence_written && state.lease.is_some_and(|lease| lease.era == era)
        })
    }

    async fn ensure_presence(
        &self,
        now: MonoTime,
        present: bool,
    ) -> crate::mirror::PortResult<LeaseStep> {
        if self.with(|state| state.lease).is_none() {
            let grant = (self.port.grant)(LEASE_TTL.max(self.lease_floor)).await?;
            self.with(|state| state.lease = Some(lease_from(grant, now)));
        }
        if present && !self.with(|state| state.presence_written) {
            self.write_presence().await?;
        }
        Ok(LeaseStep::Renew)
    }

    fn is_stale(&self, lease: LeaseState) -> bool {
        lease.era != self.port.era.current()
    }

    /// Records that the presence entry is missing in the store at this version, so that the next renewal
    /// writes it again. A version from before the entry was written says nothing.
    pub fn mark_missing(&self, at: StoreVersion) {
        self.with(|state| {
            if at >= state.presence_version {
                state.presence_written = false;
            }
        });
    }

    /// Revokes the lease, which removes this daemon from address responses and gives up leadership.
    ///
    /// # Errors
    /// When the call to the store failed; the lease then expires after its time to live.
    pub async fn revoke(&self) -> crate::mirror::PortResult<()> {
        let lease = self.with(|state| {
            let lease = state.lease;
            state.forget_lease();
            lease
        });
        match lease {
            Some(lease) if !self.is_stale(lease) => (self.port.revoke)(lease.id).await,
            _ => Ok(()),
        }
    }

    /// Tries to become the leader by creating the leader's key. Returns the fencing number on
    /// success.
    ///
    /// # Errors
    /// When the call to the store failed; it may have taken effect all the same.
    pub async fn campaign(&self) -> crate::mirror::PortResult<Option<FenceNumber>> {
        let lease = self.with(|state| state.lease);
        let Some(lease) = lease.filter(|lease| !self.is_stale(*lease)) else {
            return Ok(None);
        };
        let write = ItemWrite {
            key: leader_key(),
            value: Arc::from(self.row.instance.as_str().as_bytes()),
            lease: Some(lease.id),
        };
        let guards = vec![ItemGuard {
            key: leader_key(),
            expected: None,
        }];
        let transaction = StoreTransaction {
            guards,
            writes: vec![write],
            removals: Vec::new(),
        };
        match (self.port.commit)(transaction).await? {
            CommitOutcome::Done(version) if version.era() == lease.era => {
                let fence = fence_number(version);
                self.with(|state| {
                    state.fence_number = Some(fence);
                    state.leader_version = Some(version);
                });
                Ok(Some(fence))
            }
            CommitOutcome::Done(version) => {
                self.withdraw_campaign(version).await?;
                Ok(None)
            }
            CommitOutcome::Conflict(_) => Ok(None),
            CommitOutcome::LeaseExpired => {
                self.with(SessionState::forget_lease);
                Ok(None)
            }
        }
    }

    /// Gives up the lead, so that another daemon can campaign at once. False when this daemon has none.
    ///
    /// # Errors
    /// [`PortError`](crate::mirror::PortError) when the call to the store failed; it may have taken
    /// effect all the same.
    pub async fn resign(&self) -> crate::mirror::PortResult<bool> {
        let written = self.with(|state| state.leader_version);
        let Some(written) = written else {
            return Ok(false);
        };
        self.remove_leader_key(written).await?;
        self.with(SessionState::forget_lead);
        Ok(true)
    }

    /// Removes the leader's key after a campaign that was sent before a restore of the store and
    /// executed after it: the key is attached to what may be another daemon's lease.
    async fn withdraw_campaign(&self, written: StoreVersion) -> crate::mirror::PortResult<()> {
        self.remove_leader_key(written).await
    }

    async fn remove_leader_key(&self, written: StoreVersion) -> crate::mirror::PortResult<()> {
        let guard = ItemGuard {
            key: leader_key(),
            expected: Some(written),
        };
        let transaction = StoreTransaction {
            guards: vec![guard],
            writes: Vec::new(),
            removals: vec![leader_key()],
        };
        (self.port.commit)(transaction).await.map(|_outcome| ())
    }

    /// Records the leader's key. Also settles a campaign whose reply was lost. A key with this
    /// daemon's name under another lease is that of an earlier run, and ends without notice.
    pub fn observe_leader(&self, leader: Option<&StoreItem>) {
        let name = self.row.instance.as_str().as_bytes();
        let own = leader.filter(|item| &*item.value == name);
        self.with(|state| {
            let is_held = |item: &&StoreItem| {
                state.lease.is_some_and(|lease| {
                    // 0 in the item of a store that does not tell the lease.
                    let is_same_lease = item.lease == lease.id || item.lease == LeaseId(0);
                    is_same_lease && item.version.era() == lease.era
                })
            };
            let held = own.filter(is_held);
            state.fence_number = held.map(|item| fence_number(item.created));
            state.leader_version = held.map(|item| item.version);
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
            CommitOutcome::Done(version) if version.era() == lease.era => {
                self.with(|state| {
                    state.presence_written = true;
                    state.presence_version = version;
                });
            }
            _ => self.with(SessionState::forget_lease),
        }
        Ok(())
    }

    fn with<T>(&self, act: impl FnOnce(&mut SessionState) -> T) -> T {
        let mut state = self.state.lock().expect("session lock is never poisoned");
        act(&mut state)
    }
}

/// State of a lease that was granted by a call sent at `sent`.
fn lease_from(grant: LeaseGrant, sent: MonoTime) -> LeaseState {
    LeaseState {
        id: grant.id,
        era: grant.era,
        valid_until: sent.after(LEASE_TRUST),
    }
}

/// Fencing number of a leader whose key was created at this version. It never goes back, also across
/// restores of the store.
fn fence_number(created: StoreVersion) -> FenceNumber {
    FenceNumber(created.fence_value())
}
