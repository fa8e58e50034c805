//! Runs the claim protocol of a daemon: feeds events to its state machine and carries out the
//! actions.

use crate::claims::attempts::{AttemptState, CachedResponse};
use crate::claims::event::{ClaimAction, ClaimDecision, ClaimEvent};
use crate::claims::key::{ClaimAttempt, ClaimRequest};
use crate::claims::metrics::ClaimMetrics;
use crate::claims::node::ClaimNode;
use crate::claims::page::ClaimVerdict;
use crate::claims::refusal::ClaimRefusal;
use crate::claims::wire::{
    PeerRequest, decode_request, decode_state, decode_verdict, encode_request, encode_state,
    encode_verdict,
};
use crate::claims::writer_action::ClaimTime;
use crate::ids::InstanceId;
use crate::instances::{InstanceList, InstanceRole};
use crate::kernel::KernelContext;
use crate::peer::PeerTopic;
use crate::units::MonoTime;
use async_std::channel::{Sender, bounded};
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Claim service of one daemon.
#[derive(Debug)]
pub struct ClaimService {
    context: Weak<KernelContext>,
    metrics: ClaimMetrics,
    inner: Mutex<ServiceInner>,
}

/// State of the service, behind a lock.
#[derive(Debug)]
struct ServiceInner {
    node: ClaimNode,
    /// Callers that wait for a decision.
    waiting_callers: HashMap<ClaimAttempt, Sender<ClaimDecision>>,
    /// Requests of other daemons that wait for a verdict, by request identifier.
    waiting_peers: HashMap<u64, Sender<ClaimVerdict>>,
    last_request_id: u64,
    /// Time of the earliest wake-up that is scheduled.
    scheduled_wake: Option<MonoTime>,
    instances: Arc<InstanceList>,
}

/// Guard of a granted claim. Dropping it without `finish_not_executed` or `finish_completed`
/// finishes the attempt with an unknown outcome.
#[derive(Debug)]
pub struct ClaimGuard {
    service: Arc<ClaimService>,
    claim: ClaimRequest,
    attempt: ClaimAttempt,
    dispatch_by: MonoTime,
    end: Option<AttemptState>,
}

/// Outcome of claiming a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This daemon may dispatch the call, once.
    Claimed(ClaimGuard),
    /// An earlier call with the same key was executed; this is its cached response.
    Replayed(Arc<CachedResponse>),
    /// The call must not be dispatched.
    Refused(ClaimRefusal),
}

impl ClaimGuard {
    /// True until the dispatch timeout ends. After that the call must not be dispatched, e.g. by a
    /// process that was suspended after the grant and resumes.
    pub fn may_dispatch(&self) -> bool {
        let context = self.service.context.upgrade();
        context.is_some_and(|context| context.clock.now() < self.dispatch_by)
    }

    /// Identifier of the attempt.
    pub fn attempt(&self) -> ClaimAttempt {
        self.attempt
    }

    /// Finishes the attempt as not executed: no byte of the call was sent, and none will be.
    pub fn finish_not_executed(mut self) {
        self.end = Some(AttemptState::NotExecuted);
    }

    /// Finishes the attempt with the target's response, which is cached for retries.
    pub fn finish_completed(mut self, response: CachedResponse) {
        self.end = Some(AttemptState::Completed(Some(Arc::new(response))));
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let event = ClaimEvent::Ended {
            claim: self.claim,
            attempt: self.attempt,
            end: self.end.take().unwrap_or(AttemptState::Unknown),
        };
        self.service.handle(event);
    }
}

impl ClaimService {
    /// Creates the claim service of a daemon.
    pub fn new(context: &Arc<KernelContext>, metrics: ClaimMetrics) -> Arc<Self> {
        let settings = &context.settings;
        let instance = settings.instance.clone();
        let node = ClaimNode::new(instance, settings.claims.clone(), fastrand::Rng::new());
        Arc::new(Self {
            context: Arc::downgrade(context),
            metrics,
            inner: Mutex::new(ServiceInner {
                node,
                waiting_callers: HashMap::new(),
                waiting_peers: HashMap::new(),
                last_request_id: 0,
                scheduled_wake: None,
                instances: Arc::default(),
            }),
        })
    }

    /// Claims the key of a call. Returns within the claim timeout.
    pub async fn claim(self: &Arc<Self>, claim: ClaimRequest) -> ClaimOutcome {
        let start = Instant::now();
        let dispatch_by = self.dispatch_by();
        let attempt = ClaimAttempt(fastrand::u64(..));
        let (sender, receiver) = bounded(1);
        self.lock().waiting_callers.insert(attempt, sender);
        self.handle(ClaimEvent::Call { claim, attempt });
        let decision = receiver.recv().await;
        // Without a decision the claim counts as not confirmed.
        let store_down = ClaimDecision::Refuse(ClaimRefusal::StoreDown);
        let decision = decision.unwrap_or(store_down);
        self.metrics
            .count_claim(&decision, start.elapsed().as_secs_f64());
        match decision {
            ClaimDecision::Replay(response) => ClaimOutcome::Replayed(response),
            ClaimDecision::Refuse(refusal) => ClaimOutcome::Refused(refusal),
            ClaimDecision::Dispatch => ClaimOutcome::Claimed(ClaimGuard {
                service: Arc::clone(self),
                claim,
                attempt,
                dispatch_by,
                end: None,
            }),
        }
    }

    /// Time until which a call that is claimed from now on may be dispatched. The timeout starts
    /// before the claim, so that it also covers a suspension of this process during the claim.
    fn dispatch_by(&self) -> MonoTime {
        let context = self.context.upgrade();
        context.map_or(MonoTime::default(), |context| {
            let timeout = context.settings.claims.dispatch_timeout();
            context.clock.now().after(timeout)
        })
    }

    /// Replies to a request of another daemon; with an empty body when the request is malformed.
    pub async fn reply_to_peer(self: Arc<Self>, payload: Vec<u8>) -> Vec<u8> {
        match decode_request(&payload) {
            None => Vec::new(),
            Some(PeerRequest::AttemptState(attempt)) => {
                encode_state(&self.lock().node.attempt_state(attempt))
            }
            Some(PeerRequest::Change(change)) => {
                let (sender, receiver) = bounded(1);
                let request_id = {
                    let mut inner = self.lock();
                    inner.last_request_id += 1;
                    let request_id = inner.last_request_id;
                    inner.waiting_peers.insert(request_id, sender);
                    request_id
                };
                self.handle(ClaimEvent::PeerChange { request_id, change });
                let verdict = receiver.recv().await;
                encode_verdict(&verdict.unwrap_or(ClaimVerdict::StoreDown))
            }
        }
    }

    /// Refreshes the metrics of cache sizes.
    pub fn refresh_metrics(&self) {
        let inner = self.lock();
        self.metrics
            .set_sizes(inner.node.cached_rows(), inner.node.cached_bytes());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ServiceInner> {
        self.inner.lock().expect("claim lock is never poisoned")
    }

    /// Feeds an event to the state machine and starts the actions that it returns.
    fn handle(self: &Arc<Self>, event: ClaimEvent) {
        let Some(context) = self.context.upgrade() else {
            return;
        };
        let now = ClaimTime {
            mono: context.clock.now(),
            unix_ms: unix_ms(),
        };
        let mut inner = self.lock();
        inner.refresh_members(&context);
        let actions = inner.node.handle(event, now);
        let counts = inner.node.take_counts();
        let wake = inner.schedule_wake();
        let mut deferred = Vec::new();
        for action in actions {
            deferred.extend(inner.deliver_or_return(action));
        }
        drop(inner);
        self.metrics.count_store_calls(counts);
        for action in deferred {
            task::spawn(Arc::clone(self).execute(action, Arc::clone(&context)));
        }
        if let Some(wake) = wake {
            let service = Arc::clone(self);
            task::spawn(async move {
                task::sleep(wake.since(now.mono)).await;
                service.lock().clear_wake(wake);
                service.handle(ClaimEvent::Tick);
            });
        }
    }

    async fn execute(self: Arc<Self>, action: ClaimAction, context: Arc<KernelContext>) {
        let timeout = context.settings.claims.peer_timeout();
        let event = match action {
            ClaimAction::ReadPage { shard, slot } => ClaimEvent::PageRead {
                shard,
                outcome: context.store.get(&slot.to_string()).await,
            },
            ClaimAction::SwapPage {
                shard,
                slot,
                expected,
                value,
            } => ClaimEvent::PageSwapped {
                shard,
                outcome: context
                    .store
                    .compare_and_swap(&slot.to_string(), expected, &value, None)
                    .await,
            },
            ClaimAction::ForwardToHome {
                operation,
                home,
                change,
            } => {
                let request = encode_request(&PeerRequest::Change(change));
                let reply = call_peer(&context, &home, request, timeout).await;
                let verdict = reply.and_then(|reply| decode_verdict(&reply));
                ClaimEvent::HomeReplied { operation, verdict }
            }
            ClaimAction::QueryOwner {
                operation,
                owner,
                attempt,
            } => {
                let request = encode_request(&PeerRequest::AttemptState(attempt));
                let reply = call_peer(&context, &owner, request, timeout).await;
                let state = reply.and_then(|reply| decode_state(&reply));
                ClaimEvent::OwnerReplied { operation, state }
            }
            ClaimAction::ReplyToPeer { .. } | ClaimAction::Decide { .. } => return,
        };
        self.handle(event);
    }
}

impl ServiceInner {
    /// Updates the daemons from which homes are chosen, when the instance list has changed.
    fn refresh_members(&mut self, context: &KernelContext) {
        let instances = context.instances.load();
        if !Arc::ptr_eq(&instances, &self.instances) {
            self.node.set_members(&list_members(&instances));
            self.instances = instances;
        }
    }

    /// Delivers a decision or verdict to its receiver. Returns any other action, which needs I/O,
    /// for the caller to carry out.
    fn deliver_or_return(&mut self, action: ClaimAction) -> Option<ClaimAction> {
        match action {
            ClaimAction::ReplyToPeer {
                request_id,
                verdict,
            } => {
                let sender = self.waiting_peers.remove(&request_id)?;
                deliver(&sender, verdict);
                None
            }
            ClaimAction::Decide { attempt, decision } => {
                let sender = self.waiting_callers.remove(&attempt)?;
                deliver(&sender, decision);
                None
            }
            other => Some(other),
        }
    }

    /// Time at which to wake the node; `None` when an earlier wake-up is scheduled or none is
    /// needed.
    fn schedule_wake(&mut self) -> Option<MonoTime> {
        let wake = self.node.next_wake()?;
        if self
            .scheduled_wake
            .is_some_and(|scheduled| scheduled <= wake)
        {
            return None;
        }
        self.scheduled_wake = Some(wake);
        Some(wake)
    }

    /// Clears a wake-up that has fired, unless an earlier one has been scheduled since.
    fn clear_wake(&mut self, wake: MonoTime) {
        if self.scheduled_wake == Some(wake) {
            self.scheduled_wake = None;
        }
    }
}

fn deliver<T>(sender: &Sender<T>, value: T) {
    if sender.try_send(value).is_err() {
        // The receiver has stopped waiting.
    }
}

async fn call_peer(
    context: &KernelContext,
    instance: &InstanceId,
    request: Vec<u8>,
    timeout: Duration,
) -> Option<Vec<u8>> {
    let address = peer_address(context, instance)?;
    let called = context
        .peers
        .call(address, PeerTopic::Claim, request, timeout)
        .await;
    called.ok()
}

/// Live daemons, from which homes are chosen.
fn list_members(list: &InstanceList) -> Vec<InstanceId> {
    let rows = list.live(InstanceRole::Router);
    rows.map(|row| row.instance.clone()).collect()
}

/// Peer address of a daemon in the instance list, whatever its state.
fn peer_address(context: &KernelContext, instance: &InstanceId) -> Option<SocketAddr> {
    let list = context.instances.load();
    let found = list
        .instances
        .iter()
        .find(|row| row.role == InstanceRole::Router && row.instance == *instance);
    found.and_then(|row| row.peer_address)
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_millis() as u64)
}
