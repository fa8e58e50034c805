//! Trials: a request that may crash engines runs on a chain that no daemon gives new requests to.
//!
//! The daemon reserves the engines at home and asks every other daemon to do so too. One that has
//! them reserved for a trial of its own refuses, and the asking daemon tries again a little later.
//! Daemons that do not answer are left out: a partition may let two trials meet on one engine.

use crate::ids::{InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::peer::PeerTopic;
use crate::routing::poison_gossip::{PoisonNotice, TrialRow, other_daemons};
use crate::routing::{TargetReservation, TargetState};
use crate::units::MonoTime;
use async_std::task;
use prost::Message;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which a trial has its engines.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Time allowed for the answer of another daemon.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Trials of other daemons that are remembered.
const MAX_GRANTS: usize = 1_024;

/// Engines reserved for trials of other daemons.
#[derive(Debug, Default)]
pub struct IsolationGrants {
    grants: Mutex<HashMap<RequestId, GrantRow>>,
}

#[derive(Debug)]
struct GrantRow {
    until: MonoTime,
    _reserved: Vec<TargetReservation>,
}

impl IsolationGrants {
    /// Reserves engines for a trial of another daemon; false when one of them is reserved already.
    pub fn grant(
        &self,
        trial: RequestId,
        targets: &[Arc<TargetState>],
        now: MonoTime,
        ttl: Duration,
    ) -> bool {
        let mut grants = self.grants.lock().expect("grant lock is never poisoned");
        grants.retain(|other, grant| grant.until > now && *other != trial);
        if grants.len() >= MAX_GRANTS {
            return false;
        }
        let until = now.after(ttl.min(TRIAL_TIME));
        let Some(reserved) = reserve_all(targets, now, until) else {
            return false;
        };
        let row = GrantRow {
            until,
            _reserved: reserved,
        };
        grants.insert(trial, row);
        true
    }

    /// Ends the trial of another daemon.
    pub fn release(&self, trial: RequestId) {
        let mut grants = self.grants.lock().expect("grant lock is never poisoned");
        grants.remove(&trial);
    }
}

fn reserve_all(
    targets: &[Arc<TargetState>],
    now: MonoTime,
    until: MonoTime,
) -> Option<Vec<TargetReservation>> {
    targets
        .iter()
        .map(|target| target.reserve(now, until))
        .collect()
}

/// A trial of this daemon. Dropping it ends it everywhere.
pub(super) struct EngineTrial {
    context: Arc<KernelContext>,
    trial: RequestId,
    _reserved: Vec<TargetReservation>,
}

impl EngineTrial {
    /// Reserves the engines here and on the other daemons; `None` when another trial has one.
    pub(super) async fn begin(
        context: &Arc<KernelContext>,
        targets: &[Arc<TargetState>],
    ) -> Option<Self> {
        // A new number for each trial, so that a late message about an older one does nothing.
        let trial = RequestId::random(&mut fastrand::Rng::new());
        let now = context.clock.now();
        let reserved = reserve_all(targets, now, now.after(TRIAL_TIME))?;
        let begun = Self {
            context: Arc::clone(context),
            trial,
            _reserved: reserved,
        };
        let instances = targets.iter().map(|target| target.instance.clone());
        let instances: Vec<InstanceId> = instances.collect();
        let asked = other_daemons(context).into_iter().map(|address| {
            let row = make_row(trial, &instances);
            ask_grant(context, address, row)
        });
        let grants = futures_util::future::join_all(asked).await;
        grants
            .into_iter()
            .all(|is_granted| is_granted)
            .then_some(begun)
    }
}

impl Drop for EngineTrial {
    fn drop(&mut self) {
        for address in other_daemons(&self.context) {
            let (context, row) = (Arc::clone(&self.context), make_row(self.trial, &[]));
            task::spawn(async move { ask_grant(&context, address, row).await });
        }
    }
}

/// A row without engines ends the trial.
fn make_row(trial: RequestId, instances: &[InstanceId]) -> TrialRow {
    TrialRow {
        high: (trial.0 >> 64) as u64,
        low: trial.0 as u64,
        instances: instances.iter().map(ToString::to_string).collect(),
        ttl_ms: TRIAL_TIME.as_millis() as u64,
    }
}

/// True unless the daemon answers that it has one of the engines reserved.
async fn ask_grant(context: &KernelContext, address: std::net::SocketAddr, row: TrialRow) -> bool {
    let notice = PoisonNotice {
        trial: Some(row),
        ..PoisonNotice::default()
    };
    let payload = notice.encode_to_vec();
    let topic = PeerTopic::Poison;
    let reply = context
        .peers
        .call(address, topic, payload, GRANT_TIMEOUT)
        .await;
    let reply = reply.ok().map(|reply| PoisonNotice::decode(&*reply));
    !matches!(reply, Some(Ok(notice)) if notice.refused)
}

/// Takes part in the trial of another daemon; false when an engine is reserved already.
pub(super) fn join_trial(context: &KernelContext, row: &TrialRow) -> bool {
    let trial = RequestId(u128::from(row.high) << 64 | u128::from(row.low));
    let grants = &context.routing.grants;
    if row.instances.is_empty() {
        grants.release(trial);
        return true;
    }
    let known = row.instances.iter().filter_map(|name| name.parse().ok());
    let targets: Vec<_> = known
        .filter_map(|instance: InstanceId| context.targets.get(&instance))
        .collect();
    let ttl = Duration::from_millis(row.ttl_ms);
    grants.grant(trial, &targets, context.clock.now(), ttl)
}
