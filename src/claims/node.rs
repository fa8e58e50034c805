//! The claim protocol of one daemon as a state machine without sockets, clocks or threads.
//!
//! An attempt to run a call asks the home of its shard to write its claim, or writes it itself when
//! the home does not answer. Whoever writes, only a compare-and-swap on the page grants the claim,
//! so that a wrong choice of home costs time and never lets a call run twice.

use crate::claims::attempts::{AttemptState, AttemptTable, KeptAnswer};
use crate::claims::home::choose_home;
use crate::claims::key::{
    AHEAD_WINDOWS, ClaimAttempt, ClaimRequest, PageSlot, RETAINED_WINDOWS, SHARD_COUNT, WINDOW_MS,
};
use crate::claims::page::{ClaimRow, ClaimVerdict, PageChange};
use crate::claims::refusal::ClaimRefusal;
use crate::claims::settings::ClaimSettings;
use crate::claims::writer::{ChangeOrigin, ClaimTime, PageWriter, WriterCounts, WriterStep};
use crate::ids::InstanceId;
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use crate::units::MonoTime;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Calls that may wait for their claims at once.
pub const MAX_WAITING: usize = 4_096;
/// Releases that may wait at once; later ones are left to retries, which ask the owner.
const MAX_RELEASES: usize = 4_096;
/// Time for which a home that did not answer is passed over.
const SUSPECT_PAUSE: Duration = Duration::from_secs(2);
/// Earlier attempts that one call may replace.
const MAX_ROUNDS: u32 = 3;
/// Tries to release a claim.
const MAX_RELEASE_TRIES: u32 = 8;
/// Pause before the first repetition of a release; doubles with each.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);
/// Timers fire at multiples of this, in microseconds, so that many share one wake-up.
const TIMER_STEP_US: u64 = 20_000;

/// What happens to the node.
#[derive(Debug, Clone)]
pub enum ClaimEvent {
    /// A caller wants to run a call.
    Call {
        /// Claim that it needs.
        claim: ClaimRequest,
        /// New attempt.
        attempt: ClaimAttempt,
    },
    /// A dispatched attempt has ended.
    Ended {
        /// Claim made.
        claim: ClaimRequest,
        /// Attempt.
        attempt: ClaimAttempt,
        /// How it ended.
        end: AttemptState,
    },
    /// The home answered [`ClaimAction::AskHome`], or did not.
    HomeAnswered {
        /// Operation.
        operation: u64,
        /// Verdict; `None` when there was no answer.
        verdict: Option<ClaimVerdict>,
    },
    /// The owner answered [`ClaimAction::AskOwner`], or did not.
    OwnerAnswered {
        /// Operation.
        operation: u64,
        /// State of the attempt asked for; `None` when there was no answer.
        state: Option<AttemptState>,
    },
    /// Another daemon wants a change written.
    PeerChange {
        /// Number to answer under.
        ticket: u64,
        /// Change.
        change: PageChange,
    },
    /// The store answered [`ClaimAction::ReadPage`].
    PageRead {
        /// Shard whose writer asked.
        shard: usize,
        /// Page, if there is one.
        outcome: Result<Option<StoreRecord>, StoreError>,
    },
    /// The store answered [`ClaimAction::SwapPage`].
    PageSwapped {
        /// Shard whose writer asked.
        shard: usize,
        /// Outcome.
        outcome: Result<SwapOutcome, StoreError>,
    },
    /// Time has passed.
    Tick,
}

/// What the node wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Ask a daemon to write a change.
    AskHome {
        /// Operation to answer under.
        operation: u64,
        /// Daemon.
        home: InstanceId,
        /// Change.
        change: PageChange,
    },
    /// Ask a daemon what became of an attempt of its own.
    AskOwner {
        /// Operation to answer under.
        operation: u64,
        /// Daemon.
        owner: InstanceId,
        /// Attempt.
        asked: ClaimAttempt,
    },
    /// Answer a change of another daemon.
    AnswerPeer {
        /// Number of the change.
        ticket: u64,
        /// Verdict.
        verdict: ClaimVerdict,
    },
    /// Read a page.
    ReadPage {
        /// Shard.
        shard: usize,
        /// Page.
        slot: PageSlot,
    },
    /// Write a page by compare-and-swap.
    SwapPage {
        /// Shard.
        shard: usize,
        /// Page.
        slot: PageSlot,
        /// Revision expected.
        expected: ExpectedRevision,
        /// New value.
        value: Vec<u8>,
    },
    /// Tell the caller what to do.
    Decide {
        /// Attempt.
        attempt: ClaimAttempt,
        /// Decision.
        decision: ClaimDecision,
    },
}

/// What an attempt may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Dispatch the call, once and soon.
    Dispatch,
    /// Give the caller the answer of the earlier attempt.
    Repeat(Arc<KeptAnswer>),
    /// Refuse the call.
    Refuse(ClaimRefusal),
}

/// An operation under way.
#[derive(Debug)]
enum Operation {
    Claim(PendingClaim),
    Release(PendingRelease),
}

#[derive(Debug)]
struct PendingClaim {
    claim: ClaimRequest,
    attempt: ClaimAttempt,
    supersedes: Option<ClaimAttempt>,
    rounds: u32,
    at_self: bool,
    /// Claim of an earlier attempt, whose owner is being asked what became of it.
    asked: Option<ClaimRow>,
    deadline: MonoTime,
}

#[derive(Debug)]
struct PendingRelease {
    claim: ClaimRequest,
    attempt: ClaimAttempt,
    tries: u32,
}

/// Claim protocol of one daemon.
#[derive(Debug)]
pub struct ClaimNode {
    instance: InstanceId,
    settings: ClaimSettings,
    homes: Vec<Option<InstanceId>>,
    suspects: HashMap<InstanceId, MonoTime>,
    writers: Vec<PageWriter>,
    attempts: AttemptTable,
    operations: HashMap<u64, Operation>,
    timers: BTreeSet<(MonoTime, u64)>,
    last_operation: u64,
    rng: fastrand::Rng,
    actions: Vec<ClaimAction>,
}

impl ClaimNode {
    /// Creates the node of a daemon; `rng` spreads retries.
    pub fn new(instance: InstanceId, settings: ClaimSettings, rng: fastrand::Rng) -> Self {
        let writers = (0..SHARD_COUNT).map(|_shard| PageWriter::new(settings.write_spacing()));
        Self {
            writers: writers.collect(),
            instance,
            settings,
            homes: vec![None; SHARD_COUNT],
            suspects: HashMap::new(),
            attempts: AttemptTable::default(),
            operations: HashMap::new(),
            timers: BTreeSet::new(),
            last_operation: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Replaces the list of daemons that homes are chosen from.
    pub fn set_members(&mut self, members: &[InstanceId]) {
        let homes = (0..SHARD_COUNT).map(|shard| choose_home(shard, members).cloned());
        self.homes = homes.collect();
    }

    /// What became of an attempt of this daemon.
    pub fn report(&self, attempt: ClaimAttempt) -> AttemptState {
        self.attempts.report(attempt)
    }

    /// Bytes of answers kept.
    pub fn kept_bytes(&self) -> usize {
        self.attempts.kept_bytes()
    }

    /// Claims cached by all writers.
    pub fn cached_rows(&self) -> usize {
        self.writers.iter().map(PageWriter::cached_rows).sum()
    }

    /// Counts of all writers since the last call.
    pub fn take_counts(&mut self) -> WriterCounts {
        let mut total = WriterCounts::default();
        for writer in &mut self.writers {
            total.add(writer.take_counts());
        }
        total
    }

    /// When the node wants a [`ClaimEvent::Tick`].
    pub fn wake(&self) -> Option<MonoTime> {
        let timer = self.timers.first().map(|(at, _operation)| *at);
        let writers = self.writers.iter().filter_map(PageWriter::wait_until);
        timer.into_iter().chain(writers).min()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: ClaimEvent, now: ClaimTime) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Call { claim, attempt } => self.start_claim(claim, attempt, now),
            ClaimEvent::Ended {
                claim,
                attempt,
                end,
            } => self.end_attempt(claim, attempt, end, now),
            ClaimEvent::HomeAnswered { operation, verdict } => {
                self.take_home_answer(operation, verdict, now);
            }
            ClaimEvent::OwnerAnswered { operation, state } => {
                let state = state.unwrap_or(AttemptState::Unknown);
                self.take_report(operation, state, now);
            }
            ClaimEvent::PeerChange { ticket, change } => {
                let shard = change.claim().slot().shard();
                self.writers[shard].submit(ChangeOrigin::Peer(ticket), change, now);
            }
            ClaimEvent::PageRead { shard, outcome } => {
                self.writers[shard].page_read(outcome, now, &mut self.rng);
            }
            ClaimEvent::PageSwapped { shard, outcome } => {
                self.writers[shard].page_swapped(outcome, now, &mut self.rng);
            }
            ClaimEvent::Tick => {}
        }
        self.run_timers(now);
        self.run_writers(now);
        std::mem::take(&mut self.actions)
    }

    fn start_claim(&mut self, claim: ClaimRequest, attempt: ClaimAttempt, now: ClaimTime) {
        let earlier = self.attempts.find(&claim);
        self.attempts.start(attempt, &claim);
        if let Some(decision) = self.decide_early(&claim, earlier, now) {
            self.attempts.finish(attempt, AttemptState::NotRun);
            self.decide(attempt, decision);
            return;
        }
        let pending = PendingClaim {
            claim,
            attempt,
            supersedes: None,
            rounds: 0,
            at_self: false,
            asked: None,
            deadline: now.mono.after(self.settings.claim_limit()),
        };
        self.send_claim(pending, now);
    }

    /// The decision on a call that needs no claim: its key is out of time, or this daemon knows
    /// what became of an earlier attempt, also while the store is out of reach.
    fn decide_early(
        &self,
        claim: &ClaimRequest,
        earlier: Option<(u64, AttemptState)>,
        now: ClaimTime,
    ) -> Option<ClaimDecision> {
        if let Some((fingerprint, state)) = earlier {
            if fingerprint != claim.fingerprint {
                return Some(ClaimDecision::Refuse(ClaimRefusal::OtherCall));
            }
            return explain_state(state);
        }
        let is_full = self.operations.len() >= MAX_WAITING + MAX_RELEASES;
        check_age(claim, now)
            .or_else(|| is_full.then_some(ClaimRefusal::Overloaded))
            .map(ClaimDecision::Refuse)
    }

    /// Sends a claim to its home, or to this daemon's own writer.
    fn send_claim(&mut self, mut pending: PendingClaim, now: ClaimTime) {
        let change = PageChange::Claim {
            claim: pending.claim,
            attempt: pending.attempt,
            owner: self.instance.clone(),
            supersedes: pending.supersedes,
        };
        let operation = self.next_operation();
        let route = (!pending.at_self).then(|| self.route(&pending.claim, now));
        pending.at_self = !self.send_change(operation, change, route.flatten(), now);
        self.add_timer(operation, pending.deadline);
        self.operations.insert(operation, Operation::Claim(pending));
    }

    /// Sends a change; true when it went to another daemon.
    fn send_change(
        &mut self,
        operation: u64,
        change: PageChange,
        home: Option<InstanceId>,
        now: ClaimTime,
    ) -> bool {
        let Some(home) = home else {
            let shard = change.claim().slot().shard();
            self.writers[shard].submit(ChangeOrigin::Own(operation), change, now);
            return false;
        };
        self.actions.push(ClaimAction::AskHome {
            operation,
            home,
            change,
        });
        true
    }

    /// The home of a claim's shard, unless it is this daemon or did not answer lately.
    fn route(&self, claim: &ClaimRequest, now: ClaimTime) -> Option<InstanceId> {
        if !self.settings.forward {
            return None;
        }
        let home = self.homes[claim.slot().shard()].as_ref()?;
        let is_suspect = self
            .suspects
            .get(home)
            .is_some_and(|until| now.mono < *until);
        (*home != self.instance && !is_suspect).then(|| home.clone())
    }

    fn take_home_answer(&mut self, operation: u64, verdict: Option<ClaimVerdict>, now: ClaimTime) {
        let Some(mut found) = self.operations.remove(&operation) else {
            return;
        };
        if let Operation::Claim(pending) = &found
            && pending.asked.is_some()
        {
            // A doubled answer; the first one has led to the question to the owner.
            self.operations.insert(operation, found);
            return;
        }
        if verdict.is_none() {
            self.suspect_home(&found, now);
        }
        match (&mut found, verdict) {
            (Operation::Claim(pending), None | Some(ClaimVerdict::StoreDown)) => {
                pending.at_self = true;
                let Operation::Claim(pending) = found else {
                    return;
                };
                self.send_claim(pending, now);
            }
            (_, verdict) => {
                let verdict = verdict.unwrap_or(ClaimVerdict::StoreDown);
                self.take_verdict(operation, found, verdict, now);
            }
        }
    }

    fn suspect_home(&mut self, operation: &Operation, now: ClaimTime) {
        let claim = match operation {
            Operation::Claim(pending) => &pending.claim,
            Operation::Release(pending) => &pending.claim,
        };
        if let Some(home) = &self.homes[claim.slot().shard()] {
            let until = now.mono.after(SUSPECT_PAUSE);
            self.suspects.retain(|_home, until| now.mono < *until);
            self.suspects.insert(home.clone(), until);
        }
    }

    fn take_verdict(
        &mut self,
        operation: u64,
        found: Operation,
        verdict: ClaimVerdict,
        now: ClaimTime,
    ) {
        match found {
            Operation::Release(pending) => {
                if verdict != ClaimVerdict::Released {
                    self.delay_release(operation, pending, now);
                }
            }
            Operation::Claim(pending) => match verdict {
                ClaimVerdict::Granted => self.grant(&pending),
                ClaimVerdict::Taken(row) => self.look_into(operation, pending, row, now),
                ClaimVerdict::TooOld => self.refuse(&pending, ClaimRefusal::KeyTooOld, now),
                ClaimVerdict::StoreDown | ClaimVerdict::Released => {
                    self.refuse(&pending, ClaimRefusal::StoreDown, now);
                }
                ClaimVerdict::PageFull | ClaimVerdict::Overloaded => {
                    self.refuse(&pending, ClaimRefusal::Overloaded, now);
                }
            },
        }
    }

    fn grant(&mut self, pending: &PendingClaim) {
        if self.attempts.dispatch(pending.attempt) {
            self.decide(pending.attempt, ClaimDecision::Dispatch);
        }
    }

    /// Finds out what became of the attempt that holds the claim.
    fn look_into(
        &mut self,
        operation: u64,
        mut pending: PendingClaim,
        row: ClaimRow,
        now: ClaimTime,
    ) {
        pending.asked = Some(row.clone());
        self.operations.insert(operation, Operation::Claim(pending));
        if row.owner == self.instance {
            let state = self.attempts.report(row.attempt);
            self.take_report(operation, state, now);
        } else {
            self.actions.push(ClaimAction::AskOwner {
                operation,
                owner: row.owner,
                asked: row.attempt,
            });
        }
    }

    fn take_report(&mut self, operation: u64, state: AttemptState, now: ClaimTime) {
        let Some(Operation::Claim(mut pending)) = self.operations.remove(&operation) else {
            return;
        };
        let is_other = pending
            .asked
            .as_ref()
            .is_some_and(|row| row.fingerprint != pending.claim.fingerprint);
        let decision = match state {
            AttemptState::NotRun if pending.rounds < MAX_ROUNDS => {
                pending.rounds += 1;
                pending.supersedes = pending.asked.take().map(|row| row.attempt);
                pending.at_self = false;
                self.send_claim(pending, now);
                return;
            }
            _ if is_other => Some(ClaimDecision::Refuse(ClaimRefusal::OtherCall)),
            state => explain_state(state),
        };
        let decision = decision.unwrap_or(ClaimDecision::Refuse(ClaimRefusal::InProgress));
        self.attempts.finish(pending.attempt, AttemptState::NotRun);
        self.decide(pending.attempt, decision);
    }

    /// Gives an attempt up for good. Its claim may stand in the page or still reach it, so it is
    /// released.
    fn refuse(&mut self, pending: &PendingClaim, refusal: ClaimRefusal, now: ClaimTime) {
        self.attempts.finish(pending.attempt, AttemptState::NotRun);
        self.decide(pending.attempt, ClaimDecision::Refuse(refusal));
        if refusal == ClaimRefusal::StoreDown {
            let at = now.mono.after(RELEASE_PAUSE);
            self.add_release(pending.claim, pending.attempt, at);
        }
    }

    fn end_attempt(
        &mut self,
        claim: ClaimRequest,
        attempt: ClaimAttempt,
        end: AttemptState,
        now: ClaimTime,
    ) {
        let has_not_run = end == AttemptState::NotRun;
        self.attempts.finish(attempt, end);
        if has_not_run && self.attempts.report(attempt) == AttemptState::NotRun {
            self.add_release(claim, attempt, now.mono);
        }
    }

    fn add_release(&mut self, claim: ClaimRequest, attempt: ClaimAttempt, at: MonoTime) {
        if self.operations.len() >= MAX_WAITING + MAX_RELEASES {
            return;
        }
        let operation = self.next_operation();
        let pending = PendingRelease {
            claim,
            attempt,
            tries: 0,
        };
        self.add_timer(operation, at);
        self.operations
            .insert(operation, Operation::Release(pending));
    }

    fn delay_release(&mut self, operation: u64, pending: PendingRelease, now: ClaimTime) {
        if pending.tries < MAX_RELEASE_TRIES {
            let pause = RELEASE_PAUSE * 2_u32.pow(pending.tries);
            self.add_timer(operation, now.mono.after(pause));
            self.operations
                .insert(operation, Operation::Release(pending));
        }
    }

    /// Has `operation` looked at again at a time; later by up to [`TIMER_STEP_US`].
    fn add_timer(&mut self, operation: u64, at: MonoTime) {
        let at = MonoTime(at.0.next_multiple_of(TIMER_STEP_US));
        self.timers.insert((at, operation));
    }

    fn run_timers(&mut self, now: ClaimTime) {
        while let Some((at, operation)) = self.timers.first().copied() {
            if at > now.mono {
                break;
            }
            self.timers.pop_first();
            match self.operations.get(&operation) {
                Some(Operation::Claim(pending)) if pending.deadline <= now.mono => {
                    self.expire_claim(operation, now);
                }
                Some(Operation::Claim(pending)) => self.add_timer(operation, pending.deadline),
                Some(Operation::Release(_)) => self.send_release(operation, now),
                None => {}
            }
        }
    }

    fn send_release(&mut self, operation: u64, now: ClaimTime) {
        if let Some(Operation::Release(pending)) = self.operations.get_mut(&operation) {
            pending.tries += 1;
            let (claim, attempt) = (pending.claim, pending.attempt);
            let home = self.route(&claim, now);
            let change = PageChange::Release { claim, attempt };
            self.send_change(operation, change, home, now);
        }
    }

    fn expire_claim(&mut self, operation: u64, now: ClaimTime) {
        if let Some(Operation::Claim(pending)) = self.operations.remove(&operation) {
            let refusal = if pending.asked.is_some() {
                ClaimRefusal::OutcomeUnknown
            } else {
                ClaimRefusal::StoreDown
            };
            self.refuse(&pending, refusal, now);
        }
    }

    fn run_writers(&mut self, now: ClaimTime) {
        for shard in 0..self.writers.len() {
            loop {
                match self.writers[shard].poll(now) {
                    WriterStep::Idle | WriterStep::WaitUntil(_) => break,
                    WriterStep::Read(slot) => {
                        self.actions.push(ClaimAction::ReadPage { shard, slot });
                        break;
                    }
                    WriterStep::Swap {
                        slot,
                        expected,
                        value,
                    } => {
                        self.actions.push(ClaimAction::SwapPage {
                            shard,
                            slot,
                            expected,
                            value,
                        });
                        break;
                    }
                    WriterStep::Answer(verdicts) => self.hand_out(verdicts, now),
                }
            }
        }
    }

    fn hand_out(&mut self, verdicts: Vec<(ChangeOrigin, ClaimVerdict)>, now: ClaimTime) {
        for (origin, verdict) in verdicts {
            match origin {
                ChangeOrigin::Peer(ticket) => {
                    self.actions
                        .push(ClaimAction::AnswerPeer { ticket, verdict });
                }
                ChangeOrigin::Own(operation) => {
                    if let Some(found) = self.operations.remove(&operation) {
                        self.take_verdict(operation, found, verdict, now);
                    }
                }
            }
        }
    }

    fn next_operation(&mut self) -> u64 {
        self.last_operation += 1;
        self.last_operation
    }

    fn decide(&mut self, attempt: ClaimAttempt, decision: ClaimDecision) {
        self.actions.push(ClaimAction::Decide { attempt, decision });
    }
}

/// The decision on a call whose key an earlier attempt holds; `None` when that never runs.
fn explain_state(state: AttemptState) -> Option<ClaimDecision> {
    let refusal = match state {
        AttemptState::NotRun => return None,
        AttemptState::Completed(Some(answer)) => return Some(ClaimDecision::Repeat(answer)),
        AttemptState::Completed(None) => ClaimRefusal::AnswerNotKept,
        AttemptState::Waiting | AttemptState::Running => ClaimRefusal::InProgress,
        AttemptState::Unknown => ClaimRefusal::OutcomeUnknown,
    };
    Some(ClaimDecision::Refuse(refusal))
}

/// Refuses keys whose page may be reused, now or on a daemon with a faster clock.
fn check_age(claim: &ClaimRequest, now: ClaimTime) -> Option<ClaimRefusal> {
    let window = claim.window?;
    let current = now.unix_ms / WINDOW_MS;
    if window > current + AHEAD_WINDOWS {
        Some(ClaimRefusal::KeyAhead)
    } else if window + RETAINED_WINDOWS < current {
        Some(ClaimRefusal::KeyTooOld)
    } else {
        None
    }
}
