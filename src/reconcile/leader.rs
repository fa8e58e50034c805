//! Leader election of the reconciler, by a lease in the store. At most one daemon at a time
//! considers its lease valid.

use crate::config::{BackoffLimits, RetryBackoff, STORE_WATCHERS, local_rank, refresh_from_store};
use crate::ids::{FenceNumber, LeaseId};
use crate::kernel::KernelContext;
use crate::store::{ExpectedRevision, StoreError, SwapOutcome};
use crate::units::MonoTime;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Key of the leader's name; it is attached to the leader's lease.
const LEADER_KEY: &str = "arbutusmount/reconciler";
/// Role name by which daemons are ranked for the campaign.
const LEADER_ROLE: &str = "reconciler";
/// Time to live of the leader's lease.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Margin before the end of the lease in which no order is sent. It is longer than
/// [`super::run::ORDER_TIMEOUT`], so that the last order of a leader ends before the first one of
/// its successor.
const LEASE_MARGIN: Duration = Duration::from_secs(3);
/// Period of lease renewal.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Period of campaigning, which starts with a read of the leader key, for the best-ranked daemons.
/// It grows with the rank of the others, which bounds the load on the store.
const CAMPAIGN_PERIOD: Duration = Duration::from_secs(1);
/// Longest period of campaigning.
const MAX_CAMPAIGN_PERIOD: Duration = Duration::from_secs(60);
/// Age of the newest successful read of the store by any daemon above which no daemon campaigns.
/// The daemons that watch the store notice first when it is available again.
const MAX_STORE_READ_AGE: Duration = Duration::from_secs(5);
/// Back-off while the store does not reply.
const LEADER_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_secs(2),
    max: Duration::from_secs(8),
};

/// The leader's lease as held by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderLease {
    /// Lease identifier.
    pub lease: LeaseId,
    /// Fencing number: the store revision that created the leader key.
    pub fence: FenceNumber,
    /// Time from which no order may be sent, unless the lease is renewed.
    pub valid_until: MonoTime,
}

/// State of the election.
#[derive(Debug)]
struct LeaderInner {
    held: Option<LeaderLease>,
    next_call_at: MonoTime,
    backoff: RetryBackoff,
    rng: fastrand::Rng,
}

/// Takes part in the election of the leader for this daemon.
#[derive(Debug)]
pub struct LeaderElection {
    inner: Mutex<LeaderInner>,
}

impl Default for LeaderElection {
    fn default() -> Self {
        Self {
            inner: Mutex::new(LeaderInner {
                held: None,
                next_call_at: MonoTime(0),
                backoff: RetryBackoff::new(LEADER_BACKOFF),
                rng: fastrand::Rng::new(),
            }),
        }
    }
}

impl LeaderElection {
    /// Fencing number for orders; `None` when this daemon may not send any at `now`.
    pub fn fence(&self, now: MonoTime) -> Option<FenceNumber> {
        let held = self.with_inner(|inner| inner.held);
        held.filter(|held| now < held.valid_until)
            .map(|held| held.fence)
    }

    /// Gives up leadership, because an engine has seen a higher fencing number.
    pub fn step_down(&self) {
        let held = self.with_inner(|inner| inner.held.take());
        if held.is_some() {
            log::info!(
                "stepped down as reconciler leader: an engine has seen a higher fencing number"
            );
        }
    }

    /// Renews the lease, or campaigns when no daemon holds it; at most once a period.
    pub async fn renew_or_campaign(&self, context: &Arc<KernelContext>) {
        let now = context.clock.now();
        let (held, due) = self.with_inner(|inner| (inner.held, inner.next_call_at));
        if now < due {
            return;
        }
        let (outcome, period) = match held {
            Some(held) => (renew(context, held).await, RENEW_PERIOD),
            None => (campaign(context).await, campaign_period(context)),
        };
        self.apply_outcome(held, outcome, period, context.clock.now());
    }

    fn apply_outcome(
        &self,
        held: Option<LeaderLease>,
        outcome: Result<Option<LeaderLease>, StoreError>,
        period: Duration,
        now: MonoTime,
    ) {
        let (next, pause) = self.with_inner(|inner| {
            let LeaderInner { backoff, rng, .. } = inner;
            let pause = backoff.record_outcome(outcome.is_ok(), rng);
            // After a failed renewal the lease stays valid until `valid_until`.
            let kept = held.filter(|held| now < held.valid_until);
            let next = outcome.unwrap_or(kept);
            inner.held = next;
            // While the lease is held, the back-off must not delay the next renewal.
            let pause = match next {
                Some(_) => period.min(pause.unwrap_or(period)),
                None => pause.unwrap_or(period),
            };
            inner.next_call_at = now.after(pause);
            (next, pause)
        });
        if held.is_some() != next.is_some() {
            let verb = if next.is_some() { "holds" } else { "lost" };
            log::info!("{verb} the lease of the reconciler leader; next store call in {pause:?}");
        }
    }

    fn with_inner<T>(&self, action: impl FnOnce(&mut LeaderInner) -> T) -> T {
        let mut inner = self.inner.lock().expect("leader lock is never poisoned");
        action(&mut inner)
    }
}

/// Period of campaigning, by the rank of this daemon.
fn campaign_period(context: &KernelContext) -> Duration {
    let Some(rank) = local_rank(context, LEADER_ROLE) else {
        return CAMPAIGN_PERIOD;
    };
    let places = u32::try_from(rank.saturating_sub(STORE_WATCHERS) + 1).unwrap_or(u32::MAX);
    CAMPAIGN_PERIOD
        .saturating_mul(places)
        .min(MAX_CAMPAIGN_PERIOD)
}

/// End of validity of a lease that was granted or renewed by a call sent at `sent_at`.
fn valid_until(sent_at: MonoTime) -> MonoTime {
    sent_at.after(LEASE_TTL.saturating_sub(LEASE_MARGIN))
}

/// Renews the lease and reads the configuration from the store, so that orders follow the newest
/// one. If that read fails, the validity is not extended.
async fn renew(
    context: &Arc<KernelContext>,
    held: LeaderLease,
) -> Result<Option<LeaderLease>, StoreError> {
    let sent_at = context.clock.now();
    let alive = context.store.renew_lease(held.lease).await?;
    if !alive || !refresh_from_store(context).await {
        return Ok(alive.then_some(held));
    }
    Ok(Some(LeaderLease {
        valid_until: valid_until(sent_at),
        ..held
    }))
}

/// Creates the leader key with a new lease if the key does not exist.
async fn campaign(context: &Arc<KernelContext>) -> Result<Option<LeaderLease>, StoreError> {
    let now = context.clock.now();
    if context.config.with_state(|state| state.store_age(now)) > MAX_STORE_READ_AGE {
        return Ok(None);
    }
    if context.store.get(LEADER_KEY).await?.is_some() || !refresh_from_store(context).await {
        return Ok(None);
    }
    let sent_at = context.clock.now();
    let lease = context.store.grant_lease(LEASE_TTL).await?;
    let name = context.settings.instance.as_str().as_bytes();
    let expected = ExpectedRevision::Absent;
    let swapped = context
        .store
        .compare_and_swap(LEADER_KEY, expected, name, Some(lease))
        .await?;
    match swapped {
        SwapOutcome::Swapped(revision) => Ok(Some(LeaderLease {
            lease,
            fence: FenceNumber(revision),
            valid_until: valid_until(sent_at),
        })),
        SwapOutcome::Conflict(_) => Ok(None),
    }
}
