//! Simulation of daemons that claim keys, their store and a target, driven by a schedule of random
//! choices.

mod message;
mod schedule;

use arbutusmount::{
    AttemptState, CachedResponse, ClaimAction, ClaimAttempt, ClaimDecision, ClaimEvent, ClaimNode,
    ClaimPage, ClaimRequest, ClaimSettings, ClaimTime, DATED_SLOT_COUNT, ExecutionOutcome,
    ExpectedRevision, InstanceId, KeyDigest, MonoTime, PageSlot, StoreError, StoreRecord,
    SwapOutcome, WINDOW_MS,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use message::{NodeProcess, PageWrite, SimMessage, event_after_loss, make_record};
pub use schedule::SimCounts;
use schedule::{ChoiceSource, FIRST_WINDOW, make_keys};

/// Number of daemons.
const NODES: usize = 3;
/// Advance of the simulated time in one step, in microseconds.
const TIME_STEP_US: u64 = 150_000;
/// Steps without faults after which no call may still be waiting.
const SETTLE_STEPS: usize = 2_000;

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Answer {
    /// The response of the run of this attempt.
    Completed { by: ClaimAttempt },
    /// The call of the attempt was not executed and never will be.
    NotExecuted,
    /// The call may have been executed.
    Unknown,
    /// No answer, as its daemon crashed.
    Lost,
}

#[derive(Debug)]
struct CallRecord {
    process: NodeProcess,
    claim: ClaimRequest,
    answer: Option<Answer>,
}

struct SimNode {
    node: Option<ClaimNode>,
    epoch: u32,
    /// Lead of its clock over simulated time, in milliseconds.
    clock_ahead_ms: u64,
    /// Sender and operation of each forwarded change that is not answered yet, by request
    /// identifier.
    peer_requests: BTreeMap<u64, (NodeProcess, u64)>,
    last_request_id: u64,
}

/// The simulation.
pub struct ClaimSim {
    choices: ChoiceSource,
    nodes: Vec<SimNode>,
    pages: HashMap<PageSlot, Vec<(u64, Vec<u8>)>>,
    revision: u64,
    in_flight: Vec<SimMessage>,
    calls: HashMap<ClaimAttempt, CallRecord>,
    /// Attempts in the order of their start.
    order: Vec<ClaimAttempt>,
    /// Attempts whose call has run on the target.
    runs: Vec<ClaimAttempt>,
    /// Keys for which an attempt was allowed to dispatch its call.
    dispatched: HashSet<KeyDigest>,
    now_us: u64,
    keys: Vec<ClaimRequest>,
    counts: SimCounts,
}

fn node_name(node: usize) -> InstanceId {
    format!("router-{node}").parse().unwrap()
}

fn node_index(instance: &InstanceId) -> usize {
    instance.as_str()["router-".len()..].parse().unwrap()
}

fn response_of(attempt: ClaimAttempt) -> AttemptState {
    AttemptState::Completed(Some(Arc::new(CachedResponse {
        status: 200,
        content_type: None,
        body: attempt.0.to_be_bytes().to_vec(),
    })))
}

impl ClaimSim {
    pub fn new(choices: Vec<u16>) -> Self {
        let mut choices = ChoiceSource::new(choices);
        let clock_ahead_ms = [0, DATED_SLOT_COUNT * WINDOW_MS][choices.pick(2)];
        let nodes = (0..NODES).map(|node| SimNode {
            node: None,
            epoch: 0,
            clock_ahead_ms: if node == NODES - 1 { clock_ahead_ms } else { 0 },
            peer_requests: BTreeMap::new(),
            last_request_id: 0,
        });
        let mut sim = Self {
            nodes: nodes.collect(),
            choices,
            pages: HashMap::new(),
            revision: 1,
            in_flight: Vec::new(),
            calls: HashMap::new(),
            order: Vec::new(),
            runs: Vec::new(),
            dispatched: HashSet::new(),
            now_us: 0,
            keys: make_keys(),
            counts: SimCounts::default(),
        };
        for node in 0..NODES {
            sim.start(node);
        }
        sim
    }

    /// Runs the schedule and then a period without faults, and checks the invariants.
    pub fn run(mut self) -> SimCounts {
        while !self.choices.is_empty() {
            match self.choices.pick(32) {
                0..=19 => self.deliver_any(),
                20 | 21 => self.lose_any(),
                22 => self.duplicate_any(),
                23..=25 => self.call(),
                26..=29 => self.advance_time(TIME_STEP_US),
                30 => self.crash_or_start(),
                _ => self.change_members(),
            }
        }
        self.settle();
        self.check_answers();
        self.check_progress();
        self.counts
    }

    fn now(&self, node: usize) -> ClaimTime {
        ClaimTime {
            mono: MonoTime(self.now_us),
            unix_ms: FIRST_WINDOW * WINDOW_MS
                + self.now_us / 1_000
                + self.nodes[node].clock_ahead_ms,
        }
    }

    fn start(&mut self, node: usize) {
        let seed = u64::from(self.nodes[node].epoch) * 10 + node as u64;
        let rng = fastrand::Rng::with_seed(seed);
        let mut started = ClaimNode::new(node_name(node), ClaimSettings::default(), rng);
        started.set_members(&(0..NODES).map(node_name).collect::<Vec<_>>());
        let slot = &mut self.nodes[node];
        slot.epoch += 1;
        slot.peer_requests.clear();
        slot.node = Some(started);
    }

    fn crash_or_start(&mut self) {
        let node = self.choices.pick(NODES);
        if self.nodes[node].node.is_none() {
            self.start(node);
            return;
        }
        self.nodes[node].node = None;
        let process = self.process(node);
        // Daemons that wait for its answer see the connection close.
        let peer_requests = std::mem::take(&mut self.nodes[node].peer_requests);
        for (from, operation) in peer_requests.into_values() {
            self.fail_forward(from, operation);
        }
        for call in self.calls.values_mut() {
            if call.process == process && call.answer.is_none() {
                call.answer = Some(Answer::Lost);
            }
        }
        // A call that it was about to dispatch may have been sent or not.
        let is_sent = self.choices.pick(2) == 0;
        for message in &mut self.in_flight {
            if let SimMessage::Dispatch(from, attempt) = *message
                && from == process
                && is_sent
            {
                *message = SimMessage::Run(attempt);
            }
        }
    }

    /// Gives one daemon another list of members.
    fn change_members(&mut self) {
        let node = self.choices.pick(NODES);
        let mask = self.choices.pick(1 << NODES);
        let members = (0..NODES)
            .filter(|member| mask & (1 << member) != 0)
            .map(node_name);
        let members: Vec<InstanceId> = members.collect();
        if let Some(state) = &mut self.nodes[node].node {
            state.set_members(&members);
        }
    }

    fn advance_time(&mut self, step_us: u64) {
        self.now_us += step_us;
        for node in 0..NODES {
            self.handle(self.process(node), ClaimEvent::Tick);
        }
    }

    fn call(&mut self) {
        let node = self.choices.pick(NODES);
        let mut claim = self.keys[self.choices.pick(self.keys.len())];
        if self.choices.pick(8) == 7 {
            claim.fingerprint = 2;
        }
        self.start_call(node, claim);
    }

    fn start_call(&mut self, node: usize, claim: ClaimRequest) -> Option<ClaimAttempt> {
        self.nodes[node].node.as_ref()?;
        let attempt = ClaimAttempt(self.order.len() as u64 + 1);
        let process = self.process(node);
        let record = CallRecord {
            process,
            claim,
            answer: None,
        };
        self.calls.insert(attempt, record);
        self.order.push(attempt);
        self.handle(process, ClaimEvent::Call { claim, attempt });
        Some(attempt)
    }

    fn process(&self, node: usize) -> NodeProcess {
        let epoch = self.nodes[node].epoch;
        NodeProcess { node, epoch }
    }

    fn handle(&mut self, process: NodeProcess, event: ClaimEvent) {
        let now = self.now(process.node);
        let slot = &mut self.nodes[process.node];
        if slot.epoch != process.epoch {
            return;
        }
        let Some(state) = &mut slot.node else {
            return;
        };
        for action in state.handle(event, now) {
            self.perform(process, action);
        }
    }

    fn perform(&mut self, process: NodeProcess, action: ClaimAction) {
        let message = match action {
            ClaimAction::ReadPage { shard, slot } => SimMessage::Read(process, shard, slot),
            ClaimAction::SwapPage {
                shard,
                slot,
                expected,
                value,
            } => {
                let write = PageWrite {
                    slot,
                    expected,
                    value,
                };
                SimMessage::Swap(process, shard, write)
            }
            ClaimAction::ForwardToHome {
                operation,
                home,
                change,
            } => SimMessage::ToHome(process, operation, node_index(&home), change),
            ClaimAction::QueryOwner {
                operation,
                owner,
                attempt,
            } => SimMessage::ToOwner(process, operation, node_index(&owner), attempt),
            ClaimAction::ReplyToPeer {
                request_id,
                verdict,
            } => {
                let sender = self.nodes[process.node].peer_requests.remove(&request_id);
                let Some((process, operation)) = sender else {
                    return;
                };
                let verdict = Some(verdict);
                SimMessage::Event(process, ClaimEvent::HomeReplied { operation, verdict })
            }
            ClaimAction::Decide { attempt, decision } => return self.decide(attempt, decision),
        };
        self.in_flight.push(message);
    }

    fn decide(&mut self, attempt: ClaimAttempt, decision: ClaimDecision) {
        let call = self
            .calls
            .get_mut(&attempt)
            .expect("decisions are on calls");
        assert_eq!(call.answer, None, "{attempt} was decided twice");
        match decision {
            ClaimDecision::Dispatch => {
                let process = call.process;
                let is_repeated = !self.dispatched.insert(call.claim.digest);
                self.count("superseded", is_repeated);
                self.in_flight.push(SimMessage::Dispatch(process, attempt));
            }
            ClaimDecision::Replay(kept) => {
                let by = u64::from_be_bytes(kept.body.as_slice().try_into().unwrap());
                call.answer = Some(Answer::Completed {
                    by: ClaimAttempt(by),
                });
            }
            ClaimDecision::Refuse(refusal) => {
                call.answer = Some(match refusal.to_problem().outcome {
                    ExecutionOutcome::NotExecuted => Answer::NotExecuted,
                    ExecutionOutcome::Unknown | ExecutionOutcome::Partial => Answer::Unknown,
                });
            }
        }
    }

    fn count(&mut self, name: &'static str, has_occurred: bool) {
        *self.counts.entry(name).or_default() += usize::from(has_occurred);
    }

    fn take_any(&mut self) -> Option<SimMessage> {
        if self.in_flight.is_empty() {
            return None;
        }
        let position = self.choices.pick(self.in_flight.len());
        Some(self.in_flight.remove(position))
    }

    fn deliver_any(&mut self) {
        if let Some(message) = self.take_any() {
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: SimMessage) {
        match message {
            SimMessage::Event(process, event) => self.handle(process, event),
            SimMessage::Read(process, shard, slot) => {
                let outcome = Ok(self.read(slot));
                let event = ClaimEvent::PageRead { shard, outcome };
                self.in_flight.push(SimMessage::Event(process, event));
            }
            SimMessage::Swap(process, shard, write) => {
                let outcome = Ok(self.swap(write));
                let event = ClaimEvent::PageSwapped { shard, outcome };
                self.in_flight.push(SimMessage::Event(process, event));
            }
            SimMessage::LateSwap(write) => {
                let outcome = self.swap(write);
                self.count("late write", matches!(outcome, SwapOutcome::Swapped(_)));
            }
            SimMessage::ToHome(from, operation, home, change) => {
                if self.nodes[home].node.is_none() {
                    return self.fail_forward(from, operation);
                }
                let slot = &mut self.nodes[home];
                slot.last_request_id += 1;
                let request_id = slot.last_request_id;
                slot.peer_requests.insert(request_id, (from, operation));
                self.handle(
                    self.process(home),
                    ClaimEvent::PeerChange { request_id, change },
                );
            }
            SimMessage::ToOwner(from, operation, owner, attempt) => {
                let owner = self.nodes[owner].node.as_ref();
                let state = owner.map(|node| node.attempt_state(attempt));
                let event = ClaimEvent::OwnerReplied { operation, state };
                self.in_flight.push(SimMessage::Event(from, event));
            }
            SimMessage::Dispatch(process, attempt) => self.dispatch(process, attempt),
            SimMessage::Run(attempt) => self.record_run(attempt),
        }
    }

    fn fail_forward(&mut self, process: NodeProcess, operation: u64) {
        let verdict = None;
        let event = ClaimEvent::HomeReplied { operation, verdict };
        self.in_flight.push(SimMessage::Event(process, event));
    }

    /// Reads a page; the result may be an older value of it.
    fn read(&mut self, slot: PageSlot) -> Option<StoreRecord> {
        let history = self.pages.get(&slot).map_or(0, Vec::len);
        let age = if self.choices.pick(4) == 3 {
            self.choices.pick(history + 1)
        } else {
            0
        };
        let newest = history.checked_sub(1 + age)?;
        self.pages
            .get(&slot)
            .map(|history| make_record(slot, &history[newest]))
    }

    fn swap(&mut self, write: PageWrite) -> SwapOutcome {
        let PageWrite {
            slot,
            expected,
            value,
        } = write;
        let history = self.pages.entry(slot).or_default();
        let present = history.last();
        let holds = match expected {
            ExpectedRevision::Absent => present.is_none(),
            ExpectedRevision::Exactly(revision) => present.is_some_and(|p| p.0 == revision),
        };
        if !holds {
            *self.counts.entry("conflict").or_default() += 1;
            return SwapOutcome::Conflict(present.map(|present| make_record(slot, present)));
        }
        let window = |value: &[u8]| ClaimPage::decode(value).map(|page| page.window());
        let is_reuse = present.is_some_and(|present| window(&present.1) != window(&value));
        *self.counts.entry("page reuse").or_default() += usize::from(is_reuse);
        self.revision += 1;
        history.push((self.revision, value));
        SwapOutcome::Swapped(self.revision)
    }

    fn dispatch(&mut self, process: NodeProcess, attempt: ClaimAttempt) {
        if self.process(process.node) != process || self.nodes[process.node].node.is_none() {
            return;
        }
        let (end, answer) = match self.choices.pick(6) {
            0 | 1 => {
                self.record_run(attempt);
                (response_of(attempt), Answer::Completed { by: attempt })
            }
            2 | 3 => (AttemptState::NotExecuted, Answer::NotExecuted),
            4 => {
                self.record_run(attempt);
                (AttemptState::Unknown, Answer::Unknown)
            }
            _ => {
                self.in_flight.push(SimMessage::Run(attempt));
                (AttemptState::Unknown, Answer::Unknown)
            }
        };
        let call = self.calls.get_mut(&attempt).unwrap();
        call.answer = Some(answer);
        let claim = call.claim;
        let ended = ClaimEvent::Ended {
            claim,
            attempt,
            end,
        };
        self.handle(process, ended);
    }

    fn record_run(&mut self, attempt: ClaimAttempt) {
        let claim = self.calls[&attempt].claim;
        let same_key = |other: &&ClaimAttempt| {
            let other = &self.calls[other].claim;
            other.digest == claim.digest
        };
        let earlier = self.runs.iter().find(same_key);
        assert_eq!(earlier, None, "{attempt} runs a key that has run before");
        self.runs.push(attempt);
    }

    /// Loses a message or its reply; the sender sees a failure.
    fn lose_any(&mut self) {
        let Some(message) = self.take_any() else {
            return;
        };
        let is_late = self.choices.pick(2) == 1;
        let unknown = || StoreError::OutcomeUnknown("lost".to_owned());
        match message {
            SimMessage::Event(process, event) => self.handle(process, event_after_loss(event)),
            SimMessage::Read(process, shard, _) => {
                let outcome = Err(unknown());
                self.handle(process, ClaimEvent::PageRead { shard, outcome });
            }
            SimMessage::Swap(process, shard, write) => {
                let outcome = if is_late {
                    self.in_flight.push(SimMessage::LateSwap(write));
                    Err(unknown())
                } else {
                    Err(StoreError::NotExecuted("refused".to_owned()))
                };
                self.handle(process, ClaimEvent::PageSwapped { shard, outcome });
            }
            SimMessage::ToHome(from, operation, home, change) => {
                if is_late {
                    let again = SimMessage::ToHome(from, operation, home, change);
                    self.in_flight.push(again);
                }
                self.fail_forward(from, operation);
            }
            SimMessage::ToOwner(from, operation, ..) => {
                let state = None;
                self.handle(from, ClaimEvent::OwnerReplied { operation, state });
            }
            SimMessage::Dispatch(..) => self.in_flight.push(message),
            SimMessage::LateSwap(_) | SimMessage::Run(_) => {}
        }
    }

    fn duplicate_any(&mut self) {
        let Some(message) = self.take_any() else {
            return;
        };
        if matches!(message, SimMessage::ToHome(..) | SimMessage::LateSwap(_)) {
            self.in_flight.push(message.clone());
        }
        self.in_flight.push(message);
    }

    /// Starts the daemons that are down and delivers all messages until none is in flight.
    fn settle(&mut self) {
        for node in 0..NODES {
            if self.nodes[node].node.is_none() {
                self.start(node);
            }
        }
        for _ in 0..SETTLE_STEPS {
            while let Some(message) = self.in_flight.pop() {
                self.deliver(message);
            }
            self.advance_time(TIME_STEP_US);
            let is_waiting = self.calls.values().any(|call| call.answer.is_none());
            if !is_waiting && self.in_flight.is_empty() {
                return;
            }
        }
        panic!("calls still wait after {SETTLE_STEPS} steps without faults");
    }

    fn check_answers(&mut self) {
        for attempt in &self.order {
            let call = &self.calls[attempt];
            let same_key = |other: &&ClaimAttempt| {
                let other = &self.calls[other].claim;
                other.digest == call.claim.digest
            };
            let runs: Vec<_> = self.runs.iter().filter(same_key).collect();
            let answer = call.answer.as_ref().expect("every call is answered");
            match answer {
                Answer::Completed { by } => assert_eq!(runs, vec![by], "{attempt} completed"),
                Answer::NotExecuted => assert!(!self.runs.contains(attempt), "{attempt} has run"),
                Answer::Unknown | Answer::Lost => {}
            }
            let name = match answer {
                Answer::Completed { by } if by == attempt => "completed",
                Answer::Completed { .. } => "repeated",
                Answer::NotExecuted => "not executed",
                Answer::Unknown => "unknown",
                Answer::Lost => "lost",
            };
            *self.counts.entry(name).or_default() += 1;
        }
    }

    /// Checks that every daemon can claim a new key, and that a key can be claimed again when all
    /// of its attempts are known not to have been executed.
    fn check_progress(&mut self) {
        for node in 0..NODES {
            let mut claim = self.keys[2];
            claim.digest = KeyDigest([100 + node as u8; 16]);
            self.check_dispatched(node, claim);
        }
        let key = self.keys[3];
        let attempts = self.order.iter().map(|attempt| &self.calls[attempt]);
        let known = attempts
            .filter(|call| call.claim.digest == key.digest)
            .all(|call| {
                let is_current = call.process == self.process(call.process.node);
                call.answer == Some(Answer::NotExecuted) && is_current
            });
        if known {
            self.check_dispatched(0, key);
        }
    }

    fn check_dispatched(&mut self, node: usize, claim: ClaimRequest) {
        // Daemons do not call the store for a while after its last fault, so retry.
        for _ in 0..40 {
            let attempt = self.start_call(node, claim).expect("every daemon runs");
            self.settle();
            if self.runs.contains(&attempt) {
                return;
            }
            let answer = &self.calls[&attempt].answer;
            let may_retry = *answer == Some(Answer::NotExecuted);
            assert!(may_retry, "{attempt} got {answer:?} for a key that is free");
        }
        panic!("a free key cannot be claimed");
    }
}
