//! The claim protocol of one daemon, as a state machine without sockets, clocks or threads.
//!
//! A daemon forwards the claim of an attempt to the home of its shard, or writes it to the store
//! itself when the home does not reply. Only a compare-and-swap on the page grants a claim, so
//! daemons that disagree on the home cause conflicts but are not both granted a claim.

mod timers;

use crate::claims::attempts::{AttemptState, AttemptTable};
use crate::claims::event::{ClaimAction, ClaimDecision, ClaimEvent};
use crate::claims::home::choose_home;
use crate::claims::key::{ClaimAttempt, ClaimRequest, SHARD_COUNT};
use crate::claims::operation::{Operation, PendingClaim, check_key_time, decide_by_state};
use crate::claims::page::{ClaimRow, ClaimVerdict, PageChange};
use crate::claims::refusal::ClaimRefusal;
use crate::claims::settings::ClaimSettings;
use crate::claims::writer::PageWriter;
use crate::claims::writer_action::{ChangeOrigin, ClaimTime, WriterAction, WriterCounts};
use crate::ids::InstanceId;
use crate::units::MonoTime;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use timers::RELEASE_PAUSE;

/// Part of the limit on pending operations that is meant for claims. Only the sum of this and
/// [`RELEASE_ALLOWANCE`] is checked, against the number of pending claims and releases together;
/// when it is reached, new claims are refused.
pub const WAITING_CLAIM_ALLOWANCE: usize = 4_096;
/// Part of the limit on pending operations that is meant for releases. When the limit is reached,
/// new releases are dropped: the claim then stays in the page, and a retry of the call queries its
/// owner and supersedes it.
const RELEASE_ALLOWANCE: usize = 4_096;
/// Time for which a home that did not reply is bypassed.
const HOME_BYPASS_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of earlier attempts whose claims one claim may try to supersede.
const MAX_SUPERSEDED: u32 = 3;

/// State machine of the claim protocol on one daemon.
#[derive(Debug)]
pub struct ClaimNode {
    instance: InstanceId,
    settings: ClaimSettings,
    /// Home of each shard; `None` while no member is known.
    homes: Vec<Option<InstanceId>>,
    /// Homes that did not reply, with the time until which they are bypassed.
    bypassed_homes: HashMap<InstanceId, MonoTime>,
    writers: Vec<PageWriter>,
    attempts: AttemptTable,
    operations: HashMap<u64, Operation>,
    timers: BTreeSet<(MonoTime, u64)>,
    last_operation: u64,
    rng: fastrand::Rng,
    actions: Vec<ClaimAction>,
}

impl ClaimNode {
    /// Creates the node of a daemon; `rng` gives the jitter of retries.
    pub fn new(instance: InstanceId, settings: ClaimSettings, rng: fastrand::Rng) -> Self {
        let writers = (0..SHARD_COUNT).map(|_shard| PageWriter::new(settings.write_spacing()));
        Self {
            writers: writers.collect(),
            instance,
            settings,
            homes: vec![None; SHARD_COUNT],
            bypassed_homes: HashMap::new(),
            attempts: AttemptTable::default(),
            operations: HashMap::new(),
            timers: BTreeSet::new(),
            last_operation: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Sets the daemons from which homes are chosen.
    pub fn set_members(&mut self, members: &[InstanceId]) {
        let homes = (0..SHARD_COUNT).map(|shard| choose_home(shard, members).cloned());
        self.homes = homes.collect();
    }

    /// State of an attempt of this daemon; `Unknown` when it is not known to this process.
    pub fn attempt_state(&self, attempt: ClaimAttempt) -> AttemptState {
        self.attempts.state(attempt)
    }

    /// Size of the cached responses, in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.attempts.cached_bytes()
    }

    /// Number of claims cached by all writers.
    pub fn cached_rows(&self) -> usize {
        self.writers.iter().map(PageWriter::cached_rows).sum()
    }

    /// Returns the counters of all writers since the last call and resets them.
    pub fn take_counts(&mut self) -> WriterCounts {
        let mut total = WriterCounts::default();
        for writer in &mut self.writers {
            total.add(writer.take_counts());
        }
        total
    }

    /// Time at which the node needs a [`ClaimEvent::Tick`]; `None` when no timer is set.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let timer = self.timers.first().map(|(at, _operation)| *at);
        let writers = self.writers.iter().filter_map(PageWriter::next_poll);
        timer.into_iter().chain(writers).min()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: ClaimEvent, now: ClaimTime) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Call { claim, attempt } => self.start_claim(claim, attempt, now),
            ClaimEvent::Ended {
                claim,
                attempt,
                end,
            } => self.end_attempt(claim, attempt, end, now),
            ClaimEvent::HomeReplied { operation, verdict } => {
                self.handle_home_reply(operation, verdict, now);
            }
            ClaimEvent::OwnerReplied { operation, state } => {
                let state = state.unwrap_or(AttemptState::Unknown);
                self.handle_attempt_state(operation, state, now);
            }
            ClaimEvent::PeerChange { request_id, change } => {
                let shard = change.claim().slot().shard();
                self.writers[shard].submit(ChangeOrigin::Peer(request_id), change, now);
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
        if let Some(decision) = self.decide_without_claim(&claim, earlier, now) {
            self.attempts.finish(attempt, AttemptState::NotExecuted);
            self.decide(attempt, decision);
            return;
        }
        let pending = PendingClaim {
            claim,
            attempt,
            supersedes: None,
            superseded_count: 0,
            is_local: false,
            holder: None,
            deadline: now.mono.after(self.settings.claim_timeout()),
        };
        self.send_claim(pending, now);
    }

    /// Decides on a call without a claim where that is possible: this daemon knows the state of an
    /// earlier attempt, the key is too old or too far ahead, or too many operations are pending.
    /// The state of an earlier attempt is known even while the store is unreachable.
    fn decide_without_claim(
        &self,
        claim: &ClaimRequest,
        earlier: Option<(u64, AttemptState)>,
        now: ClaimTime,
    ) -> Option<ClaimDecision> {
        if let Some((fingerprint, state)) = earlier {
            if fingerprint != claim.fingerprint {
                return Some(ClaimDecision::Refuse(ClaimRefusal::OtherCall));
            }
            return decide_by_state(state);
        }
        let is_full = self.operations.len() >= WAITING_CLAIM_ALLOWANCE + RELEASE_ALLOWANCE;
        check_key_time(claim, now)
            .or_else(|| is_full.then_some(ClaimRefusal::Overloaded))
            .map(ClaimDecision::Refuse)
    }

    /// Sends a claim to the home of its shard, or to the local writer.
    fn send_claim(&mut self, mut pending: PendingClaim, now: ClaimTime) {
        let change = PageChange::Claim {
            claim: pending.claim,
            attempt: pending.attempt,
            owner: self.instance.clone(),
            supersedes: pending.supersedes,
        };
        let operation = self.next_operation();
        let home = (!pending.is_local).then(|| self.remote_home(&pending.claim, now));
        pending.is_local = !self.send_change(operation, change, home.flatten(), now);
        self.add_timer(operation, pending.deadline);
        self.operations.insert(operation, Operation::Claim(pending));
    }

    /// Sends a change to `home`, or to the local writer; true when it went to `home`.
    fn send_change(
        &mut self,
        operation: u64,
        change: PageChange,
        home: Option<InstanceId>,
        now: ClaimTime,
    ) -> bool {
        let Some(home) = home else {
            let shard = change.claim().slot().shard();
            self.writers[shard].submit(ChangeOrigin::Local(operation), change, now);
            return false;
        };
        self.actions.push(ClaimAction::ForwardToHome {
            operation,
            home,
            change,
        });
        true
    }

    /// Home of a claim's shard; `None` when this daemon is to write the claim itself: forwarding is
    /// off, no home is known, it is this daemon, or it is bypassed.
    fn remote_home(&self, claim: &ClaimRequest, now: ClaimTime) -> Option<InstanceId> {
        if !self.settings.forward {
            return None;
        }
        let home = self.homes[claim.slot().shard()].as_ref()?;
        let is_bypassed = self
            .bypassed_homes
            .get(home)
            .is_some_and(|until| now.mono < *until);
        (*home != self.instance && !is_bypassed).then(|| home.clone())
    }

    fn handle_home_reply(&mut self, operation: u64, verdict: Option<ClaimVerdict>, now: ClaimTime) {
        let Some(mut found) = self.operations.remove(&operation) else {
            return;
        };
        if let Operation::Claim(pending) = &found
            && pending.holder.is_some()
        {
            // A duplicate reply: `holder` is set, so an earlier reply has been handled and the
            // owner is being queried.
            self.operations.insert(operation, found);
            return;
        }
        if verdict.is_none() {
            self.bypass_home(&found, now);
        }
        match (&mut found, verdict) {
            (Operation::Claim(pending), None | Some(ClaimVerdict::StoreDown)) => {
                pending.is_local = true;
                let Operation::Claim(pending) = found else {
                    return;
                };
                self.send_claim(pending, now);
            }
            (_, verdict) => {
                let verdict = verdict.unwrap_or(ClaimVerdict::StoreDown);
                self.handle_verdict(operation, found, verdict, now);
            }
        }
    }

    /// Bypasses the home of the operation's shard for [`HOME_BYPASS_PERIOD`].
    fn bypass_home(&mut self, operation: &Operation, now: ClaimTime) {
        let claim = match operation {
            Operation::Claim(pending) => &pending.claim,
            Operation::Release(pending) => &pending.claim,
        };
        if let Some(home) = &self.homes[claim.slot().shard()] {
            let until = now.mono.after(HOME_BYPASS_PERIOD);
            self.bypassed_homes.retain(|_home, until| now.mono < *until);
            self.bypassed_homes.insert(home.clone(), until);
        }
    }

    fn handle_verdict(
        &mut self,
        operation: u64,
        found: Operation,
        verdict: ClaimVerdict,
        now: ClaimTime,
    ) {
        match found {
            Operation::Release(pending) => {
                if verdict != ClaimVerdict::Released {
                    self.retry_release(operation, pending, now);
                }
            }
            Operation::Claim(pending) => match verdict {
                ClaimVerdict::Granted => self.grant(&pending),
                ClaimVerdict::Taken(row) => self.query_holder(operation, pending, row, now),
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
        if self.attempts.mark_running(pending.attempt) {
            self.decide(pending.attempt, ClaimDecision::Dispatch);
        }
    }

    /// Queries the state of the attempt that holds the key.
    fn query_holder(
        &mut self,
        operation: u64,
        mut pending: PendingClaim,
        row: ClaimRow,
        now: ClaimTime,
    ) {
        pending.holder = Some(row.clone());
        self.operations.insert(operation, Operation::Claim(pending));
        if row.owner == self.instance {
            let state = self.attempts.state(row.attempt);
            self.handle_attempt_state(operation, state, now);
        } else {
            self.actions.push(ClaimAction::QueryOwner {
                operation,
                owner: row.owner,
                attempt: row.attempt,
            });
        }
    }

    fn handle_attempt_state(&mut self, operation: u64, state: AttemptState, now: ClaimTime) {
        let Some(Operation::Claim(mut pending)) = self.operations.remove(&operation) else {
            return;
        };
        let is_other_call = pending
            .holder
            .as_ref()
            .is_some_and(|row| row.fingerprint != pending.claim.fingerprint);
        let decision = match state {
            AttemptState::NotExecuted if pending.superseded_count < MAX_SUPERSEDED => {
                pending.superseded_count += 1;
                pending.supersedes = pending.holder.take().map(|row| row.attempt);
                pending.is_local = false;
                self.send_claim(pending, now);
                return;
            }
            _ if is_other_call => Some(ClaimDecision::Refuse(ClaimRefusal::OtherCall)),
            state => decide_by_state(state),
        };
        // `None`: the holder was not executed, but this claim may not supersede any more attempts.
        let decision = decision.unwrap_or(ClaimDecision::Refuse(ClaimRefusal::InProgress));
        self.attempts
            .finish(pending.attempt, AttemptState::NotExecuted);
        self.decide(pending.attempt, decision);
    }

    /// Refuses an attempt and finishes it as not executed. When the store failed, its claim may be
    /// in the page or may still be written, so it is released later.
    fn refuse(&mut self, pending: &PendingClaim, refusal: ClaimRefusal, now: ClaimTime) {
        self.attempts
            .finish(pending.attempt, AttemptState::NotExecuted);
        self.decide(pending.attempt, ClaimDecision::Refuse(refusal));
        if refusal == ClaimRefusal::StoreDown {
            let at = now.mono.after(RELEASE_PAUSE);
            self.add_release(pending.claim, pending.attempt, at);
        }
    }

    fn run_writers(&mut self, now: ClaimTime) {
        for shard in 0..self.writers.len() {
            loop {
                match self.writers[shard].poll(now) {
                    WriterAction::Idle | WriterAction::WaitUntil(_) => break,
                    WriterAction::Read(slot) => {
                        self.actions.push(ClaimAction::ReadPage { shard, slot });
                        break;
                    }
                    WriterAction::Swap {
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
                    WriterAction::Deliver(verdicts) => self.deliver_verdicts(verdicts, now),
                }
            }
        }
    }

    fn deliver_verdicts(&mut self, verdicts: Vec<(ChangeOrigin, ClaimVerdict)>, now: ClaimTime) {
        for (origin, verdict) in verdicts {
            match origin {
                ChangeOrigin::Peer(request_id) => {
                    self.actions.push(ClaimAction::ReplyToPeer {
                        request_id,
                        verdict,
                    });
                }
                ChangeOrigin::Local(operation) => {
                    if let Some(found) = self.operations.remove(&operation) {
                        self.handle_verdict(operation, found, verdict, now);
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
