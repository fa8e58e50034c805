//! Retry state of one request. Decides whether another target may be tried and whether the final
//! response says that the request was not executed; performs no I/O.

use crate::catalog::RetryRule;
use crate::ids::InstanceId;
use crate::units::MonoTime;
use std::time::Duration;

/// Minimum time that must be left before the deadline for an attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Maximum number of attempts that the target did not execute. They are cheap, but each one after
/// the first attempt of a request spends retry budget.
const MAX_NOT_EXECUTED: u32 = 4;

/// Maximum number of ended targets, that is, targets that have ended since they may have executed
/// the request, that are subtracted from the number of possible executions before it is compared
/// with `max_targets`. Up to this many targets more than the route allows may thus execute a request.
const MAX_ENDED: u32 = 2;

/// Whether the target of a failed attempt may have executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// Nothing was sent to the target.
    NotSent,
    /// The target reports that it did not execute the request and never will.
    NotExecuted,
    /// The request was sent; whether it was executed is not known.
    OutcomeUnknown,
    /// The target responded with a failure (status 500 or above); the request counts as executed.
    Failed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another target.
    TryNext,
    /// Respond that the request was not executed, with a `Retry-After`.
    Refuse,
    /// Respond that the request failed; a target may have executed it.
    Fail,
}

/// Attempts of one request so far, and the rules for further ones.
#[derive(Debug, Clone)]
pub struct RetryState {
    rule: RetryRule,
    max_targets: u32,
    deadline: MonoTime,
    tried: Vec<InstanceId>,
    /// Targets of the attempts that are not over.
    running: Vec<InstanceId>,
    not_executed: u32,
    /// Targets of the attempts that are over and may have executed the request, each once.
    executed: Vec<InstanceId>,
    /// Targets that may have executed the request for the daemon that passed it on.
    executed_elsewhere: u32,
    ended: u32,
}

impl RetryState {
    /// State of a request whose response must be complete by `deadline`. At most `max_targets`
    /// targets (at least one) may execute it, not counting ended ones, see [`Self::set_ended`].
    pub fn new(rule: RetryRule, max_targets: u32, deadline: MonoTime) -> Self {
        Self {
            rule,
            max_targets,
            deadline,
            tried: Vec::new(),
            running: Vec::new(),
            not_executed: 0,
            executed: Vec::new(),
            executed_elsewhere: 0,
            ended: 0,
        }
    }

    /// Targets of all attempts, failed ones and those that are not over.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Attempts after the first one.
    pub fn retries(&self) -> usize {
        self.tried.len().saturating_sub(1)
    }

    /// True when a target may have executed the request or may be executing it.
    pub fn may_have_executed(&self) -> bool {
        self.executions() > 0
    }

    /// True when an attempt was made before.
    pub fn is_retry(&self) -> bool {
        self.not_executed + self.executions() > 0
    }

    /// Adds targets that may have executed the request for the daemon that passed it on.
    #[must_use]
    pub fn with_executions(mut self, count: u32) -> Self {
        self.executed_elsewhere += count;
        self
    }

    /// Targets that may have executed the request or may be executing it. One that was tried again
    /// counts once.
    pub fn executions(&self) -> u32 {
        let is_new = |id: &&InstanceId| !self.executed.contains(id);
        let running = self.running.iter().filter(is_new).count();
        (self.executed.len() + running) as u32 + self.executed_elsewhere
    }

    /// Time from `now` to the deadline.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// Sets how many of the targets that may have executed the request are known to have ended. Up
    /// to two of them do not count towards `max_targets`. A target that has merely left the target
    /// list counts, since it may go on serving.
    pub fn set_ended(&mut self, ended: usize) {
        self.ended = ended as u32;
    }

    /// Records that an attempt at `target` is sent. Until it fails, it counts as one whose target may
    /// have executed the request, so that further attempts beside it stay within the limits.
    pub fn on_start(&mut self, target: &InstanceId) {
        self.tried.push(target.clone());
        self.running.push(target.clone());
    }

    /// Records that the running attempts were given up; their targets may have executed the request.
    pub fn end_running(&mut self) {
        for target in std::mem::take(&mut self.running) {
            self.add_executed(&target);
        }
    }

    fn add_executed(&mut self, target: &InstanceId) {
        if !self.executed.contains(target) {
            self.executed.push(target.clone());
        }
    }

    /// Records a failed attempt at `target` and returns [`Self::next_step`]. A caller that first
    /// looks for another target ignores the result and calls that method afterwards.
    pub fn on_failure(
        &mut self,
        target: &InstanceId,
        failure: RelayFailure,
        now: MonoTime,
    ) -> RetryStep {
        match self.running.iter().position(|running| running == target) {
            Some(index) => {
                self.running.swap_remove(index);
            }
            None => self.tried.push(target.clone()),
        }
        match failure {
            RelayFailure::NotSent | RelayFailure::NotExecuted => self.not_executed += 1,
            RelayFailure::OutcomeUnknown | RelayFailure::Failed => self.add_executed(target),
        }
        self.next_step(now)
    }

    /// The step to take at `now`, if another target is left and the retry budget allows a retry.
    pub fn next_step(&self, now: MonoTime) -> RetryStep {
        let executions = self.executions().saturating_sub(self.ended.min(MAX_ENDED));
        if executions < self.max_targets.max(1) {
            return self.next_step_at_used(now);
        }
        self.final_step()
    }

    /// The step to take at `now` when the next target is one that may have executed the request
    /// before: the number of such targets does not grow, so `max_targets` does not limit it.
    pub fn next_step_at_used(&self, now: MonoTime) -> RetryStep {
        let may_execute_again = !self.may_have_executed() || self.rule.allows_reexecution();
        let is_within_limits = self.not_executed < MAX_NOT_EXECUTED;
        if may_execute_again && is_within_limits && self.time_left(now) >= MIN_ATTEMPT_TIME {
            return RetryStep::TryNext;
        }
        self.final_step()
    }

    /// The step to take when no further target is tried.
    pub fn final_step(&self) -> RetryStep {
        if self.may_have_executed() {
            RetryStep::Fail
        } else {
            RetryStep::Refuse
        }
    }
}
