//! Course of one request over its attempts. Decides whether another target may be tried and what the
//! final answer promises; does no I/O.

use crate::catalog::RetryRule;
use crate::ids::InstanceId;
use crate::units::MonoTime;
use std::time::Duration;

/// Least time that must be left for another attempt.
const LEAST_TIME: Duration = Duration::from_millis(30);
/// Most attempts of which nothing ran. Such attempts cost little, but each counts as a repeat.
const MAX_UNRUN: u32 = 4;

/// Most targets that ended under a request for which others are tried.
const MAX_ENDED: u32 = 2;

/// Why an attempt gave no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// Nothing was sent.
    NotSent,
    /// The target says that it did not run the request and never will.
    NotRun,
    /// It was sent; whether it ran is not known.
    Unknown,
    /// The target ran it and failed.
    Failed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CourseStep {
    /// Try another target.
    TryNext,
    /// Answer that the request was not run and when to come back.
    Refuse,
    /// Answer that the request failed; it may have run.
    Fail,
}

/// Course of one request.
#[derive(Debug, Clone)]
pub struct RequestCourse {
    repeat: RetryRule,
    max_targets: u32,
    ends: MonoTime,
    tried: Vec<InstanceId>,
    unrun: u32,
    may_have_run: u32,
    ended: u32,
}

impl RequestCourse {
    /// A request that must be answered by `ends`.
    pub fn new(repeat: RetryRule, max_targets: u32, ends: MonoTime) -> Self {
        Self {
            repeat,
            max_targets,
            ends,
            tried: Vec::new(),
            unrun: 0,
            may_have_run: 0,
            ended: 0,
        }
    }

    /// Targets that were tried.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// True when the request was sent to a target that may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// True when this is not the first attempt.
    pub fn is_repeat(&self) -> bool {
        self.unrun + self.may_have_run > 0
    }

    /// Time left at `now`.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.ends.since(now)
    }

    /// Notes how many of the targets that may have run the request have ended since; they do not
    /// count towards the most that it may be sent to.
    pub fn note_ended(&mut self, ended: usize) {
        self.ended = ended as u32;
    }

    /// Takes in a failed attempt at a target.
    pub fn on_failure(
        &mut self,
        target: &InstanceId,
        failure: RelayFailure,
        now: MonoTime,
    ) -> CourseStep {
        self.tried.push(target.clone());
        match failure {
            RelayFailure::NotSent | RelayFailure::NotRun => self.unrun += 1,
            RelayFailure::Unknown | RelayFailure::Failed => self.may_have_run += 1,
        }
        self.next_step(now)
    }

    /// What is left to do at `now`.
    pub fn next_step(&self, now: MonoTime) -> CourseStep {
        let repeatable = self.may_have_run == 0 || self.repeat.allows_reexecution();
        let runs = self.may_have_run.saturating_sub(self.ended.min(MAX_ENDED));
        let within = runs < self.max_targets.max(1) && self.unrun < MAX_UNRUN;
        if repeatable && within && self.time_left(now) >= LEAST_TIME {
            return CourseStep::TryNext;
        }
        self.give_up()
    }

    /// The final answer when no further target is tried.
    pub fn give_up(&self) -> CourseStep {
        match self.may_have_run {
            0 => CourseStep::Refuse,
            _ => CourseStep::Fail,
        }
    }
}
