//! Timers of the claim protocol: timeouts of claims, and releases with their retries.

use crate::claims::attempts::AttemptState;
use crate::claims::key::{ClaimAttempt, ClaimRequest};
use crate::claims::node::{ClaimNode, RELEASE_ALLOWANCE, WAITING_CLAIM_ALLOWANCE};
use crate::claims::operation::{Operation, PendingRelease};
use crate::claims::page::PageChange;
use crate::claims::refusal::ClaimRefusal;
use crate::claims::writer_action::ClaimTime;
use crate::units::MonoTime;
use std::time::Duration;

/// Maximum number of times that the release of a claim is sent.
const MAX_RELEASE_TRIES: u32 = 8;
/// Pause before the release of a claim that was not confirmed is first sent. The first retry of a
/// release follows after twice this pause, and each further one after twice the pause before.
pub(super) const RELEASE_PAUSE: Duration = Duration::from_millis(500);
/// Timers are rounded up to multiples of this, in microseconds, so that many share one wake-up.
const TIMER_GRANULARITY_US: u64 = 20_000;

impl ClaimNode {
    /// Finishes a dispatched attempt, and releases its claim if the call was not executed.
    pub(super) fn end_attempt(
        &mut self,
        claim: ClaimRequest,
        attempt: ClaimAttempt,
        end: AttemptState,
        now: ClaimTime,
    ) {
        let is_not_executed = end == AttemptState::NotExecuted;
        self.attempts.finish(attempt, end);
        // The first final state stays: an attempt that has already finished otherwise keeps its
        // claim.
        if is_not_executed && self.attempts.state(attempt) == AttemptState::NotExecuted {
            self.add_release(claim, attempt, now.mono);
        }
    }

    /// Schedules a release for `at`; drops it when too many operations are pending.
    pub(super) fn add_release(&mut self, claim: ClaimRequest, attempt: ClaimAttempt, at: MonoTime) {
        if self.operations.len() >= WAITING_CLAIM_ALLOWANCE + RELEASE_ALLOWANCE {
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

    /// Schedules the next try of a release that was not confirmed, up to [`MAX_RELEASE_TRIES`].
    pub(super) fn retry_release(
        &mut self,
        operation: u64,
        pending: PendingRelease,
        now: ClaimTime,
    ) {
        if pending.tries < MAX_RELEASE_TRIES {
            let pause = RELEASE_PAUSE * 2_u32.pow(pending.tries);
            self.add_timer(operation, now.mono.after(pause));
            self.operations
                .insert(operation, Operation::Release(pending));
        }
    }

    /// Sets a timer for `operation`, rounded up by less than [`TIMER_GRANULARITY_US`].
    pub(super) fn add_timer(&mut self, operation: u64, at: MonoTime) {
        let at = MonoTime(at.0.next_multiple_of(TIMER_GRANULARITY_US));
        self.timers.insert((at, operation));
    }

    pub(super) fn run_timers(&mut self, now: ClaimTime) {
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
            let home = self.remote_home(&claim, now);
            let change = PageChange::Release { claim, attempt };
            self.send_change(operation, change, home, now);
        }
    }

    fn expire_claim(&mut self, operation: u64, now: ClaimTime) {
        if let Some(Operation::Claim(pending)) = self.operations.remove(&operation) {
            let refusal = if pending.holder.is_some() {
                // The owner of the claim that holds the key did not reply in time.
                ClaimRefusal::OutcomeUnknown
            } else {
                ClaimRefusal::StoreDown
            };
            self.refuse(&pending, refusal, now);
        }
    }
}
