//! The reconciler's lease: at most one daemon at a time believes that it holds it.

use crate::ids::{FenceNumber, LeaseId};
use crate::kernel::KernelContext;
use crate::store::{ExpectedRevision, SwapOutcome};
use crate::units::MonoTime;
use std::sync::Mutex;
use std::time::Duration;

/// Key that names the reconciler.
const LEADER_KEY: &str = "arbutusmount/reconciler";
/// Time to live of the reconciler's lease.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time before the end of the lease from which no order is sent.
const LEASE_MARGIN: Duration = Duration::from_secs(3);

/// The lease that this daemon holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderState {
    /// Lease number.
    pub lease: LeaseId,
    /// Fencing number, the revision that created the leader key.
    pub fence: FenceNumber,
    /// Time from which no order may be sent.
    pub valid_until: MonoTime,
}

/// Whether this daemon is the reconciler.
#[derive(Debug, Default)]
pub struct LeaderCell {
    state: Mutex<Option<LeaderState>>,
}

impl LeaderCell {
    /// Fencing number while this daemon may send orders.
    pub fn fence(&self, now: MonoTime) -> Option<FenceNumber> {
        let state = self.state.lock().expect("leader lock is never poisoned");
        state
            .filter(|held| now < held.valid_until)
            .map(|held| held.fence)
    }

    /// Renews the lease, or tries to get it when no daemon holds it.
    pub async fn refresh(&self, context: &KernelContext) {
        let held = *self.state.lock().expect("leader lock is never poisoned");
        let next = match held {
            Some(held) => renew(context, held).await,
            None => campaign(context).await,
        };
        let mut state = self.state.lock().expect("leader lock is never poisoned");
        if state.is_some() != next.is_some() {
            let verb = if next.is_some() { "holds" } else { "lost" };
            log::info!("this daemon {verb} the reconciler's lease");
        }
        *state = next;
    }
}

/// End of validity of a lease that was granted or renewed by a call sent at `sent`.
fn valid_until(sent: MonoTime) -> MonoTime {
    sent.after(LEASE_TTL.checked_sub(LEASE_MARGIN).unwrap())
}

async fn renew(context: &KernelContext, held: LeaderState) -> Option<LeaderState> {
    let sent = context.clock.now();
    match context.store.keep_alive(held.lease).await {
        Ok(true) => Some(LeaderState {
            valid_until: valid_until(sent),
            ..held
        }),
        // The lease may still be alive; its validity ends by itself when it cannot be renewed.
        Err(_) if sent < held.valid_until => Some(held),
        Ok(false) | Err(_) => None,
    }
}

async fn campaign(context: &KernelContext) -> Option<LeaderState> {
    if context.store.get(LEADER_KEY).await.ok()?.is_some() {
        return None;
    }
    let sent = context.clock.now();
    let lease = context.store.grant(LEASE_TTL).await.ok()?;
    let name = context.settings.instance.as_str().as_bytes();
    let expected = ExpectedRevision::Absent;
    match context
        .store
        .swap(LEADER_KEY, expected, name, Some(lease))
        .await
        .ok()?
    {
        SwapOutcome::Swapped(revision) => Some(LeaderState {
            lease,
            fence: FenceNumber(revision),
            valid_until: valid_until(sent),
        }),
        SwapOutcome::Conflict(_) => None,
    }
}
