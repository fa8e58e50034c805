//! Isolated runs: a request that may crash engines runs on a chain to which no daemon assigns new
//! requests.
//!
//! The daemon reserves the engines locally and asks every peer to reserve them too. A peer that has
//! an engine reserved already refuses, and the asking daemon retries a little later. Peers that do
//! not reply are ignored, so during a partition two isolated runs may use the same engine.

use crate::ids::{InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::peer::PeerTopic;
use crate::routing::poison_gossip::{IsolationRow, PoisonNotice, peer_addresses};
use crate::routing::{TargetReservation, TargetState};
use crate::units::MonoTime;
use async_std::task;
use prost::Message;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest time for which an isolated run reserves its engines.
const MAX_ISOLATION_TIME: Duration = Duration::from_secs(2);
/// Timeout of the reply of a peer.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Most isolated runs of peers that are granted at the same time.
const MAX_GRANTS: usize = 1_024;

/// Engines reserved for isolated runs of peers.
#[derive(Debug, Default)]
pub struct IsolationGrants {
    grants: Mutex<HashMap<RequestId, GrantRow>>,
}

/// Reservation for one isolated run of a peer.
#[derive(Debug)]
struct GrantRow {
    until: MonoTime,
    _reserved: Vec<TargetReservation>,
}

impl IsolationGrants {
    /// Reserves engines for an isolated run of a peer. Returns false when one of them is
    /// reserved already, or when too many runs are granted.
    pub fn grant(
        &self,
        run: RequestId,
        targets: &[Arc<TargetState>],
        now: MonoTime,
        ttl: Duration,
    ) -> bool {
        let mut grants = self.grants.lock().expect("grant lock is never poisoned");
        grants.retain(|other, grant| grant.until > now && *other != run);
        if grants.len() >= MAX_GRANTS {
            return false;
        }
        let until = now.after(ttl.min(MAX_ISOLATION_TIME));
        let Some(reserved) = reserve_all(targets, now, until) else {
            return false;
        };
        let row = GrantRow {
            until,
            _reserved: reserved,
        };
        grants.insert(run, row);
        true
    }

    /// Ends the isolated run of a peer.
    pub fn release(&self, run: RequestId) {
        let mut grants = self.grants.lock().expect("grant lock is never poisoned");
        grants.remove(&run);
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

/// Reservation of engines on all daemons for an isolated run of this daemon. Dropping it ends the
/// reservation everywhere.
pub(super) struct EngineIsolation {
    context: Arc<KernelContext>,
    run: RequestId,
    _reserved: Vec<TargetReservation>,
}

impl EngineIsolation {
    /// Reserves the engines here and on all peers; `None` when one is reserved already.
    pub(super) async fn begin(
        context: &Arc<KernelContext>,
        targets: &[Arc<TargetState>],
    ) -> Option<Self> {
        // Each run has a new identifier, so that a late message about an older run has no effect.
        let run = RequestId::random(&mut fastrand::Rng::new());
        let now = context.clock.now();
        let reserved = reserve_all(targets, now, now.after(MAX_ISOLATION_TIME))?;
        let isolation = Self {
            context: Arc::clone(context),
            run,
            _reserved: reserved,
        };
        let instances = targets.iter().map(|target| target.instance.clone());
        let instances: Vec<InstanceId> = instances.collect();
        let requests = peer_addresses(context).into_iter().map(|address| {
            let row = make_row(run, &instances);
            request_grant(context, address, row)
        });
        let grants = futures_util::future::join_all(requests).await;
        grants
            .into_iter()
            .all(|is_granted| is_granted)
            .then_some(isolation)
    }
}

impl Drop for EngineIsolation {
    fn drop(&mut self) {
        for address in peer_addresses(&self.context) {
            let (context, row) = (Arc::clone(&self.context), make_row(self.run, &[]));
            task::spawn(async move { request_grant(&context, address, row).await });
        }
    }
}

/// Creates the row that asks for the engines; a row without engines ends the run.
fn make_row(run: RequestId, instances: &[InstanceId]) -> IsolationRow {
    IsolationRow {
        high: (run.0 >> 64) as u64,
        low: run.0 as u64,
        instances: instances.iter().map(ToString::to_string).collect(),
        ttl_ms: MAX_ISOLATION_TIME.as_millis() as u64,
    }
}

/// Sends a row to a peer. True unless the peer refuses because an engine is reserved already.
async fn request_grant(
    context: &KernelContext,
    address: std::net::SocketAddr,
    row: IsolationRow,
) -> bool {
    let notice = PoisonNotice {
        isolation: Some(row),
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

/// Applies the row of a peer: reserves the engines or ends the run. False when an engine is
/// reserved already.
pub(super) fn grant_isolation(context: &KernelContext, row: &IsolationRow) -> bool {
    let run = RequestId(u128::from(row.high) << 64 | u128::from(row.low));
    let grants = &context.routing.grants;
    if row.instances.is_empty() {
        grants.release(run);
        return true;
    }
    let known = row.instances.iter().filter_map(|name| name.parse().ok());
    let targets: Vec<_> = known
        .filter_map(|instance: InstanceId| context.targets.get(&instance))
        .collect();
    let ttl = Duration::from_millis(row.ttl_ms);
    grants.grant(run, &targets, context.clock.now(), ttl)
}
