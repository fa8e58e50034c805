//! Runs the claim protocol of a daemon: carries out what the state machine wants done.

use crate::claims::attempts::{AttemptState, KeptAnswer};
use crate::claims::event::{ClaimAction, ClaimDecision, ClaimEvent};
use crate::claims::key::{ClaimAttempt, ClaimRequest};
use crate::claims::metrics::ClaimMetrics;
use crate::claims::node::ClaimNode;
use crate::claims::page::ClaimVerdict;
use crate::claims::refusal::ClaimRefusal;
use crate::claims::step::ClaimTime;
use crate::claims::wire::{
    PeerQuestion, decode_question, decode_state, decode_verdict, encode_question, encode_state,
    encode_verdict,
};
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

/// Claims of one daemon.
#[derive(Debug)]
pub struct ClaimService {
    context: Weak<KernelContext>,
    metrics: ClaimMetrics,
    inner: Mutex<ServiceInner>,
}

#[derive(Debug)]
struct ServiceInner {
    node: ClaimNode,
    callers: HashMap<ClaimAttempt, Sender<ClaimDecision>>,
    peers: HashMap<u64, Sender<ClaimVerdict>>,
    last_ticket: u64,
    armed: Option<MonoTime>,
    list: Arc<InstanceList>,
}

/// A claim held by this daemon; dropped without an end, its outcome is unknown.
#[derive(Debug)]
pub struct ClaimTicket {
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
    Claimed(ClaimTicket),
    /// The call has run; this is its answer.
    Repeated(Arc<KeptAnswer>),
    /// The call must not be dispatched.
    Refused(ClaimRefusal),
}

impl ClaimTicket {
    /// True while the call may still be dispatched. A process that was paused after the grant
    /// finds it too late.
    pub fn may_dispatch(&self) -> bool {
        let context = self.service.context.upgrade();
        context.is_some_and(|context| context.clock.now() < self.dispatch_by)
    }

    /// Number of the attempt.
    pub fn attempt(&self) -> ClaimAttempt {
        self.attempt
    }

    /// Ends the attempt: no byte of the call was sent, and none will be.
    pub fn end_not_run(mut self) {
        self.end = Some(AttemptState::NotRun);
    }

    /// Ends the attempt with the target's answer, which is kept for retries.
    pub fn end_completed(mut self, answer: KeptAnswer) {
        self.end = Some(AttemptState::Completed(Some(Arc::new(answer))));
    }
}

impl Drop for ClaimTicket {
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
    /// Creates the service of a daemon.
    pub fn new(context: &Arc<KernelContext>, metrics: ClaimMetrics) -> Arc<Self> {
        let settings = &context.settings;
        let instance = settings.instance.clone();
        let node = ClaimNode::new(instance, settings.claims.clone(), fastrand::Rng::new());
        Arc::new(Self {
            context: Arc::downgrade(context),
            metrics,
            inner: Mutex::new(ServiceInner {
                node,
                callers: HashMap::new(),
                peers: HashMap::new(),
                last_ticket: 0,
                armed: None,
                list: Arc::default(),
            }),
        })
    }

    /// Claims a key for a call. Ends within the time allowed for a claim.
    pub async fn claim(self: &Arc<Self>, claim: ClaimRequest) -> ClaimOutcome {
        let start = Instant::now();
        let dispatch_by = self.dispatch_by();
        let attempt = ClaimAttempt(fastrand::u64(..));
        let (sender, receiver) = bounded(1);
        self.lock().callers.insert(attempt, sender);
        self.handle(ClaimEvent::Call { claim, attempt });
        let decision = receiver.recv().await;
        let refused = ClaimDecision::Refuse(ClaimRefusal::StoreDown);
        let decision = decision.unwrap_or(refused);
        self.metrics
            .count_claim(&decision, start.elapsed().as_secs_f64());
        match decision {
            ClaimDecision::Repeat(answer) => ClaimOutcome::Repeated(answer),
            ClaimDecision::Refuse(refusal) => ClaimOutcome::Refused(refusal),
            ClaimDecision::Dispatch => ClaimOutcome::Claimed(ClaimTicket {
                service: Arc::clone(self),
                claim,
                attempt,
                dispatch_by,
                end: None,
            }),
        }
    }

    /// Time until which a call that is claimed from now on may be dispatched. It counts from before
    /// the claim, so that a pause of this process at any point is noticed.
    fn dispatch_by(&self) -> MonoTime {
        let context = self.context.upgrade();
        context.map_or(MonoTime::default(), |context| {
            let limit = context.settings.claims.dispatch_limit();
            context.clock.now().after(limit)
        })
    }

    /// Answers another daemon's question.
    pub async fn answer_peer(self: Arc<Self>, payload: Vec<u8>) -> Vec<u8> {
        match decode_question(&payload) {
            None => Vec::new(),
            Some(PeerQuestion::Report(attempt)) => encode_state(&self.lock().node.report(attempt)),
            Some(PeerQuestion::Change(change)) => {
                let (sender, receiver) = bounded(1);
                let ticket = {
                    let mut inner = self.lock();
                    inner.last_ticket += 1;
                    let ticket = inner.last_ticket;
                    inner.peers.insert(ticket, sender);
                    ticket
                };
                self.handle(ClaimEvent::PeerChange { ticket, change });
                let verdict = receiver.recv().await;
                encode_verdict(&verdict.unwrap_or(ClaimVerdict::StoreDown))
            }
        }
    }

    /// Publishes the metrics that are read rather than counted.
    pub fn refresh_metrics(&self) {
        let inner = self.lock();
        self.metrics
            .set_sizes(inner.node.cached_rows(), inner.node.kept_bytes());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ServiceInner> {
        self.inner.lock().expect("claim lock is never poisoned")
    }

    /// Feeds an event to the state machine and starts what it wants done.
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
        let wake = inner.arm();
        let mut later = Vec::new();
        for action in actions {
            later.extend(inner.settle(action));
        }
        drop(inner);
        self.metrics.count_writes(counts);
        for action in later {
            task::spawn(Arc::clone(self).perform(action, Arc::clone(&context)));
        }
        if let Some(wake) = wake {
            let service = Arc::clone(self);
            task::spawn(async move {
                task::sleep(wake.since(now.mono)).await;
                service.lock().disarm(wake);
                service.handle(ClaimEvent::Tick);
            });
        }
    }

    async fn perform(self: Arc<Self>, action: ClaimAction, context: Arc<KernelContext>) {
        let limit = context.settings.claims.peer_limit();
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
                    .swap(&slot.to_string(), expected, &value, None)
                    .await,
            },
            ClaimAction::AskHome {
                operation,
                home,
                change,
            } => {
                let question = encode_question(&PeerQuestion::Change(change));
                let reply = ask_peer(&context, &home, question, limit).await;
                let verdict = reply.and_then(|reply| decode_verdict(&reply));
                ClaimEvent::HomeAnswered { operation, verdict }
            }
            ClaimAction::AskOwner {
                operation,
                owner,
                asked,
            } => {
                let question = encode_question(&PeerQuestion::Report(asked));
                let reply = ask_peer(&context, &owner, question, limit).await;
                let state = reply.and_then(|reply| decode_state(&reply));
                ClaimEvent::OwnerAnswered { operation, state }
            }
            ClaimAction::AnswerPeer { .. } | ClaimAction::Decide { .. } => return,
        };
        self.handle(event);
    }
}

impl ServiceInner {
    /// Takes over the daemons that homes are chosen from, when their list has changed.
    fn refresh_members(&mut self, context: &KernelContext) {
        let list = context.instances.load();
        if !Arc::ptr_eq(&list, &self.list) {
            self.node.set_members(&list_members(&list));
            self.list = list;
        }
    }

    /// Hands an answer to who waits for it; returns actions that take time.
    fn settle(&mut self, action: ClaimAction) -> Option<ClaimAction> {
        match action {
            ClaimAction::AnswerPeer { ticket, verdict } => {
                let sender = self.peers.remove(&ticket)?;
                deliver(&sender, verdict);
                None
            }
            ClaimAction::Decide { attempt, decision } => {
                let sender = self.callers.remove(&attempt)?;
                deliver(&sender, decision);
                None
            }
            other => Some(other),
        }
    }

    /// The time to wake the node at, when no earlier wake-up is under way.
    fn arm(&mut self) -> Option<MonoTime> {
        let wake = self.node.wake()?;
        if self.armed.is_some_and(|armed| armed <= wake) {
            return None;
        }
        self.armed = Some(wake);
        Some(wake)
    }

    /// Notes that a wake-up has come; one that an earlier one has overtaken changes nothing.
    fn disarm(&mut self, wake: MonoTime) {
        if self.armed == Some(wake) {
            self.armed = None;
        }
    }
}

fn deliver<T>(sender: &Sender<T>, value: T) {
    if sender.try_send(value).is_err() {
        // Nobody waits for the answer any more.
    }
}

async fn ask_peer(
    context: &KernelContext,
    instance: &InstanceId,
    question: Vec<u8>,
    limit: Duration,
) -> Option<Vec<u8>> {
    let address = peer_address(context, instance)?;
    let called = context
        .peers
        .call(address, PeerTopic::Claim, question, limit)
        .await;
    called.ok()
}

/// Daemons that homes are chosen from.
fn list_members(list: &InstanceList) -> Vec<InstanceId> {
    let rows = list.live(InstanceRole::Router);
    rows.map(|row| row.instance.clone()).collect()
}

/// Address of a daemon for other daemons, also while it is leaving.
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
