//! Course of one request over its attempts. Decides whether another target may be tried and what the
//! final answer promises; does no I/O.

use crate::catalog::RetryRule;
use crate::ids::InstanceId;
use crate::units::MonoTime;
use std::time::Duration;

/// Least time that must be left for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Most attempts of which nothing ran. Such attempts cost little, but each counts as a repeat.
const MAX_NOT_EXECUTED: u32 = 4;

/// Most targets that ended under a request for which others are tried.
const MAX_DEPARTED: u32 = 2;

/// Why an attempt gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// Nothing was sent.
    NotSent,
    /// The target says that it did not run the request and never will.
    NotExecuted,
    /// It was sent; whether it ran is not known.
    OutcomeUnknown,
    /// The target ran it and failed.
    Failed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another target.
    TryNext,
    /// Answer that the request was not run and when to come back.
    Refuse,
    /// Answer that the request failed; it may have run.
    Fail,
}

/// Course of one request.
#[derive(Debug, Clone)]
pub struct RetryState {
    repeat: RetryRule,
    max_targets: u32,
    deadline: MonoTime,
    tried: Vec<InstanceId>,
    not_executed: u32,
    may_have_executed: u32,
    departed: u32,
}

impl RetryState {
    /// A request that must be answered by `ends`.
    pub fn new(repeat: RetryRule, max_targets: u32, deadline: MonoTime) -> Self {
        Self {
            repeat,
            max_targets,
            deadline,
            tried: Vec::new(),
            not_executed: 0,
            may_have_executed: 0,
            departed: 0,
        }
    }

    /// Targets that were tried.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// True when the request was sent to a target that may have run it.
    pub fn may_have_executed(&self) -> bool {
        self.may_have_executed > 0
    }

    /// True when this is not the first attempt.
    pub fn is_retry(&self) -> bool {
        self.not_executed + self.may_have_executed > 0
    }

    /// Time left at `now`.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// Notes how many of the targets that may have run the request have ended since; they do not
    /// count towards the most that it may be sent to.
    pub fn set_departed(&mut self, departed: usize) {
        self.departed = departed as u32;
    }

    /// Takes in a failed attempt at a target.
    pub fn on_failure(
        &mut self,
        target: &InstanceId,
        failure: RelayFailure,
        now: MonoTime,
    ) -> RetryStep {
        self.tried.push(target.clone());
        match failure {
            RelayFailure::NotSent | RelayFailure::NotExecuted => self.not_executed += 1,
            RelayFailure::OutcomeUnknown | RelayFailure::Failed => self.may_have_executed += 1,
        }
        self.next_step(now)
    }

    /// What is left to do at `now`.
    pub fn next_step(&self, now: MonoTime) -> RetryStep {
        let repeatable = self.may_have_executed == 0 || self.repeat.allows_reexecution();
        let executions = self
            .may_have_executed
            .saturating_sub(self.departed.min(MAX_DEPARTED));
        let within = executions < self.max_targets.max(1) && self.not_executed < MAX_NOT_EXECUTED;
        if repeatable && within && self.time_left(now) >= MIN_ATTEMPT_TIME {
            return RetryStep::TryNext;
        }
        self.final_step()
    }

    /// The final answer when no further target is tried.
    pub fn final_step(&self) -> RetryStep {
        match self.may_have_executed {
            0 => RetryStep::Refuse,
            _ => RetryStep::Fail,
        }
    }
}
