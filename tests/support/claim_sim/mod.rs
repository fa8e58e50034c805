//! Simulates daemons that claim keys, their store and a target, under a schedule of choices.

mod schedule;
mod transit;

use arbutusmount::{
    AttemptState, ClaimAction, ClaimAttempt, ClaimDecision, ClaimEvent, ClaimNode, ClaimPage,
    ClaimRequest, ClaimSettings, ClaimTime, ExpectedRevision, InstanceId, KeptAnswer, KeyDigest,
    MonoTime, PageSlot, RunOutcome, StoreError, StoreRecord, SwapOutcome, WINDOW_MS, WINDOW_SLOTS,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

pub use schedule::SimCounts;
use schedule::{ChoiceSource, FIRST_WINDOW, make_keys};
use transit::{PageWrite, Seat, Transit, lose_event, make_record};

/// Daemons.
const NODES: usize = 3;
/// Microseconds by which time advances in one step.
const TIME_STEP_US: u64 = 150_000;
/// Steps without faults after which nothing may wait any more.
const SETTLE_STEPS: usize = 2_000;

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Answer {
    Completed {
        by: ClaimAttempt,
    },
    NotRun,
    Unknown,
    /// Its daemon crashed.
    Lost,
}

#[derive(Debug)]
struct CallRecord {
    seat: Seat,
    claim: ClaimRequest,
    answer: Option<Answer>,
}

struct SimNode {
    node: Option<ClaimNode>,
    epoch: u32,
    /// How far its clock is ahead, in milliseconds.
    ahead_ms: u64,
    /// Peer and operation behind each ticket.
    tickets: BTreeMap<u64, (Seat, u64)>,
    last_ticket: u64,
}

/// The simulation.
pub struct ClaimSim {
    choices: ChoiceSource,
    nodes: Vec<SimNode>,
    pages: HashMap<PageSlot, Vec<(u64, Vec<u8>)>>,
    revision: u64,
    transits: Vec<Transit>,
    calls: HashMap<ClaimAttempt, CallRecord>,
    order: Vec<ClaimAttempt>,
    runs: Vec<ClaimAttempt>,
    /// Keys of which an attempt was allowed to run.
    dispatched: HashSet<KeyDigest>,
    now_us: u64,
    keys: Vec<ClaimRequest>,
    counts: SimCounts,
}

fn name(node: usize) -> InstanceId {
    format!("router-{node}").parse().unwrap()
}

fn index(instance: &InstanceId) -> usize {
    instance.as_str()["router-".len()..].parse().unwrap()
}

fn answer_of(attempt: ClaimAttempt) -> AttemptState {
    AttemptState::Completed(Some(Arc::new(KeptAnswer {
        status: 200,
        form: None,
        body: attempt.0.to_be_bytes().to_vec(),
    })))
}

impl ClaimSim {
    pub fn new(choices: Vec<u16>) -> Self {
        let mut choices = ChoiceSource::new(choices);
        let ahead_ms = [0, WINDOW_SLOTS * WINDOW_MS][choices.pick(2)];
        let nodes = (0..NODES).map(|node| SimNode {
            node: None,
            epoch: 0,
            ahead_ms: if node == NODES - 1 { ahead_ms } else { 0 },
            tickets: BTreeMap::new(),
            last_ticket: 0,
        });
        let mut sim = Self {
            nodes: nodes.collect(),
            choices,
            pages: HashMap::new(),
            revision: 1,
            transits: Vec::new(),
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

    /// Runs the whole schedule, then a time without faults, and checks what must always hold.
    pub fn run(mut self) -> SimCounts {
        while !self.choices.is_empty() {
            match self.choices.pick(32) {
                0..=19 => self.deliver_any(),
                20 | 21 => self.lose_any(),
                22 => self.duplicate_any(),
                23..=25 => self.call(),
                26..=29 => self.pass_time(TIME_STEP_US),
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
            unix_ms: FIRST_WINDOW * WINDOW_MS + self.now_us / 1_000 + self.nodes[node].ahead_ms,
        }
    }

    fn start(&mut self, node: usize) {
        let seed = u64::from(self.nodes[node].epoch) * 10 + node as u64;
        let rng = fastrand::Rng::with_seed(seed);
        let mut started = ClaimNode::new(name(node), ClaimSettings::default(), rng);
        started.set_members(&(0..NODES).map(name).collect::<Vec<_>>());
        let slot = &mut self.nodes[node];
        slot.epoch += 1;
        slot.tickets.clear();
        slot.node = Some(started);
    }

    fn crash_or_start(&mut self) {
        let node = self.choices.pick(NODES);
        if self.nodes[node].node.is_none() {
            self.start(node);
            return;
        }
        self.nodes[node].node = None;
        let seat = self.seat(node);
        // Whoever waits for it sees its connection close.
        let tickets = std::mem::take(&mut self.nodes[node].tickets);
        for (from, operation) in tickets.into_values() {
            self.fail_question(from, operation);
        }
        for call in self.calls.values_mut() {
            if call.seat == seat && call.answer.is_none() {
                call.answer = Some(Answer::Lost);
            }
        }
        // What it was about to send may have been sent or not.
        let is_sent = self.choices.pick(2) == 0;
        for transit in &mut self.transits {
            if let Transit::Dispatch(from, attempt) = *transit
                && from == seat
                && is_sent
            {
                *transit = Transit::Run(attempt);
            }
        }
    }

    /// Lets one daemon believe in another list of members.
    fn change_members(&mut self) {
        let node = self.choices.pick(NODES);
        let mask = self.choices.pick(1 << NODES);
        let members = (0..NODES)
            .filter(|member| mask & (1 << member) != 0)
            .map(name);
        let members: Vec<InstanceId> = members.collect();
        if let Some(state) = &mut self.nodes[node].node {
            state.set_members(&members);
        }
    }

    fn pass_time(&mut self, step_us: u64) {
        self.now_us += step_us;
        for node in 0..NODES {
            self.handle(self.seat(node), ClaimEvent::Tick);
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
        let seat = self.seat(node);
        let record = CallRecord {
            seat,
            claim,
            answer: None,
        };
        self.calls.insert(attempt, record);
        self.order.push(attempt);
        self.handle(seat, ClaimEvent::Call { claim, attempt });
        Some(attempt)
    }

    fn seat(&self, node: usize) -> Seat {
        let epoch = self.nodes[node].epoch;
        Seat { node, epoch }
    }

    fn handle(&mut self, seat: Seat, event: ClaimEvent) {
        let now = self.now(seat.node);
        let slot = &mut self.nodes[seat.node];
        if slot.epoch != seat.epoch {
            return;
        }
        let Some(state) = &mut slot.node else {
            return;
        };
        for action in state.handle(event, now) {
            self.perform(seat, action);
        }
    }

    fn perform(&mut self, seat: Seat, action: ClaimAction) {
        let transit = match action {
            ClaimAction::ReadPage { shard, slot } => Transit::Read(seat, shard, slot),
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
                Transit::Swap(seat, shard, write)
            }
            ClaimAction::AskHome {
                operation,
                home,
                change,
            } => Transit::ToHome(seat, operation, index(&home), change),
            ClaimAction::AskOwner {
                operation,
                owner,
                asked,
            } => Transit::ToOwner(seat, operation, index(&owner), asked),
            ClaimAction::AnswerPeer { ticket, verdict } => {
                let ticket = self.nodes[seat.node].tickets.remove(&ticket);
                let Some((seat, operation)) = ticket else {
                    return;
                };
                let verdict = Some(verdict);
                Transit::Event(seat, ClaimEvent::HomeAnswered { operation, verdict })
            }
            ClaimAction::Decide { attempt, decision } => return self.decide(attempt, decision),
        };
        self.transits.push(transit);
    }

    fn decide(&mut self, attempt: ClaimAttempt, decision: ClaimDecision) {
        let call = self
            .calls
            .get_mut(&attempt)
            .expect("decisions are on calls");
        assert_eq!(call.answer, None, "{attempt} was decided twice");
        match decision {
            ClaimDecision::Dispatch => {
                let seat = call.seat;
                let is_repeated = !self.dispatched.insert(call.claim.digest);
                self.count("superseded", is_repeated);
                self.transits.push(Transit::Dispatch(seat, attempt));
            }
            ClaimDecision::Repeat(kept) => {
                let by = u64::from_be_bytes(kept.body.as_slice().try_into().unwrap());
                call.answer = Some(Answer::Completed {
                    by: ClaimAttempt(by),
                });
            }
            ClaimDecision::Refuse(refusal) => {
                call.answer = Some(match refusal.to_problem().outcome {
                    RunOutcome::NotRun => Answer::NotRun,
                    RunOutcome::Unknown | RunOutcome::Partial => Answer::Unknown,
                });
            }
        }
    }

    fn count(&mut self, name: &'static str, came_up: bool) {
        *self.counts.entry(name).or_default() += usize::from(came_up);
    }

    fn take_any(&mut self) -> Option<Transit> {
        if self.transits.is_empty() {
            return None;
        }
        let position = self.choices.pick(self.transits.len());
        Some(self.transits.remove(position))
    }

    fn deliver_any(&mut self) {
        if let Some(transit) = self.take_any() {
            self.deliver(transit);
        }
    }

    fn deliver(&mut self, transit: Transit) {
        match transit {
            Transit::Event(seat, event) => self.handle(seat, event),
            Transit::Read(seat, shard, slot) => {
                let outcome = Ok(self.read(slot));
                let event = ClaimEvent::PageRead { shard, outcome };
                self.transits.push(Transit::Event(seat, event));
            }
            Transit::Swap(seat, shard, write) => {
                let outcome = Ok(self.swap(write));
                let event = ClaimEvent::PageSwapped { shard, outcome };
                self.transits.push(Transit::Event(seat, event));
            }
            Transit::LateSwap(write) => {
                let outcome = self.swap(write);
                self.count("late write", matches!(outcome, SwapOutcome::Swapped(_)));
            }
            Transit::ToHome(from, operation, home, change) => {
                if self.nodes[home].node.is_none() {
                    return self.fail_question(from, operation);
                }
                let slot = &mut self.nodes[home];
                slot.last_ticket += 1;
                let ticket = slot.last_ticket;
                slot.tickets.insert(ticket, (from, operation));
                self.handle(self.seat(home), ClaimEvent::PeerChange { ticket, change });
            }
            Transit::ToOwner(from, operation, owner, asked) => {
                let owner = self.nodes[owner].node.as_ref();
                let state = owner.map(|node| node.report(asked));
                let event = ClaimEvent::OwnerAnswered { operation, state };
                self.transits.push(Transit::Event(from, event));
            }
            Transit::Dispatch(seat, attempt) => self.dispatch(seat, attempt),
            Transit::Run(attempt) => self.record_run(attempt),
        }
    }

    fn fail_question(&mut self, seat: Seat, operation: u64) {
        let verdict = None;
        let event = ClaimEvent::HomeAnswered { operation, verdict };
        self.transits.push(Transit::Event(seat, event));
    }

    /// The page, or an older value of it.
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
        let is_turn = present.is_some_and(|present| window(&present.1) != window(&value));
        *self.counts.entry("turned page").or_default() += usize::from(is_turn);
        self.revision += 1;
        history.push((self.revision, value));
        SwapOutcome::Swapped(self.revision)
    }

    fn dispatch(&mut self, seat: Seat, attempt: ClaimAttempt) {
        if self.seat(seat.node) != seat || self.nodes[seat.node].node.is_none() {
            return;
        }
        let (end, answer) = match self.choices.pick(6) {
            0 | 1 => {
                self.record_run(attempt);
                (answer_of(attempt), Answer::Completed { by: attempt })
            }
            2 | 3 => (AttemptState::NotRun, Answer::NotRun),
            4 => {
                self.record_run(attempt);
                (AttemptState::Unknown, Answer::Unknown)
            }
            _ => {
                self.transits.push(Transit::Run(attempt));
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
        self.handle(seat, ended);
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

    /// Loses a message, or its reply; who waits for it stops waiting.
    fn lose_any(&mut self) {
        let Some(transit) = self.take_any() else {
            return;
        };
        let is_late = self.choices.pick(2) == 1;
        let unknown = || StoreError::UnknownEffect("lost".to_owned());
        match transit {
            Transit::Event(seat, event) => self.handle(seat, lose_event(event)),
            Transit::Read(seat, shard, _) => {
                let outcome = Err(unknown());
                self.handle(seat, ClaimEvent::PageRead { shard, outcome });
            }
            Transit::Swap(seat, shard, write) => {
                let outcome = if is_late {
                    self.transits.push(Transit::LateSwap(write));
                    Err(unknown())
                } else {
                    Err(StoreError::NoEffect("refused".to_owned()))
                };
                self.handle(seat, ClaimEvent::PageSwapped { shard, outcome });
            }
            Transit::ToHome(from, operation, home, change) => {
                if is_late {
                    let again = Transit::ToHome(from, operation, home, change);
                    self.transits.push(again);
                }
                self.fail_question(from, operation);
            }
            Transit::ToOwner(from, operation, ..) => {
                let state = None;
                self.handle(from, ClaimEvent::OwnerAnswered { operation, state });
            }
            Transit::Dispatch(..) => self.transits.push(transit),
            Transit::LateSwap(_) | Transit::Run(_) => {}
        }
    }

    fn duplicate_any(&mut self) {
        let Some(transit) = self.take_any() else {
            return;
        };
        if matches!(transit, Transit::ToHome(..) | Transit::LateSwap(_)) {
            self.transits.push(transit.clone());
        }
        self.transits.push(transit);
    }

    /// Starts what is down and delivers everything until nothing is under way.
    fn settle(&mut self) {
        for node in 0..NODES {
            if self.nodes[node].node.is_none() {
                self.start(node);
            }
        }
        for _ in 0..SETTLE_STEPS {
            while let Some(transit) = self.transits.pop() {
                self.deliver(transit);
            }
            self.pass_time(TIME_STEP_US);
            let is_waiting = self.calls.values().any(|call| call.answer.is_none());
            if !is_waiting && self.transits.is_empty() {
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
                Answer::NotRun => assert!(!self.runs.contains(attempt), "{attempt} has run"),
                Answer::Unknown | Answer::Lost => {}
            }
            let name = match answer {
                Answer::Completed { by } if by == attempt => "completed",
                Answer::Completed { .. } => "repeated",
                Answer::NotRun => "not run",
                Answer::Unknown => "unknown",
                Answer::Lost => "lost",
            };
            *self.counts.entry(name).or_default() += 1;
        }
    }

    /// A new key can be claimed through every daemon, and so can a key whose attempts are all known
    /// not to have run.
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
                let is_current = call.seat == self.seat(call.seat.node);
                call.answer == Some(Answer::NotRun) && is_current
            });
        if known {
            self.check_dispatched(0, key);
        }
    }

    fn check_dispatched(&mut self, node: usize, claim: ClaimRequest) {
        // The store may be passed over for a while after its last fault.
        for _ in 0..40 {
            let attempt = self.start_call(node, claim).expect("every daemon runs");
            self.settle();
            if self.runs.contains(&attempt) {
                return;
            }
            let answer = &self.calls[&attempt].answer;
            let may_retry = *answer == Some(Answer::NotRun);
            assert!(may_retry, "{attempt} got {answer:?} for a key that is free");
        }
        panic!("a free key cannot be claimed");
    }
}
