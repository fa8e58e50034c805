//! Finds the stage at fault from what the engines of a chain say about a request.

use crate::engine::{StagePhase, StageProgress};
use crate::ids::{AttemptNumber, TokenPosition};
use std::time::Duration;

/// Expected step times after which a held step counts as slow.
const SLOW_FACTOR: u32 = 4;

/// Time waited after which even a patient request leaves a chain with a broken link.
const PATIENCE: Duration = Duration::from_secs(3);

/// What became of asking one engine for its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StageProbe {
    /// Its connection was refused: the engine is gone.
    Refused,
    /// It has restarted since this request was given to it.
    Restarted,
    /// It did not answer in time.
    Silent,
    /// It answered.
    Answered {
        /// How far it has come.
        progress: StageProgress,
        /// Expected time of one step under its present load.
        expected: Duration,
    },
}

/// What is wrong with a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StageFault {
    /// The engine has exited or restarted while it worked for the request.
    Crashed,
    /// No connection to the engine could be opened, before it got the request.
    Gone,
    /// The engine does not answer.
    Frozen,
    /// The engine holds a step for much longer than expected.
    Slow,
    /// The engine works, but what is sent to it or by it does not arrive.
    LinkLost,
    /// The engine refused the request.
    Refusing,
    /// The engine broke the protocol of the token stream.
    Misbehaving,
}

impl StageFault {
    /// Name for metrics and spans.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Gone => "gone",
            Self::Frozen => "frozen",
            Self::Slow => "slow",
            Self::LinkLost => "link_lost",
            Self::Refusing => "refusing",
            Self::Misbehaving => "misbehaving",
        }
    }

    /// True when the engine itself is at fault, so that other requests should avoid it too.
    pub fn is_engine_fault(self) -> bool {
        self != Self::LinkLost
    }

    /// True when the engine may serve the request after all if nothing else is left.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Slow | Self::LinkLost | Self::Frozen)
    }
}

/// The step that is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitedStep {
    /// Current attempt.
    pub attempt: AttemptNumber,
    /// Position of the next token.
    pub position: TokenPosition,
    /// Time waited for it so far.
    pub waited: Duration,
    /// True when slowness alone is no reason to leave the chain: nothing else is left, or only one
    /// token is late so far, which the prefill of another request can cause.
    pub tolerates_slow: bool,
    /// True when no other chain is left, so that a slow link is better than none.
    pub is_last_resort: bool,
    /// True when the last step run on each engine was one without prefill.
    pub last_step_was_decode: bool,
}

/// Finds the stages at fault, as indexes into the chain; empty when waiting on is right.
pub fn find_stage_faults(probes: &[StageProbe], step: &AwaitedStep) -> Vec<(usize, StageFault)> {
    let lost: Vec<_> = probes
        .iter()
        .enumerate()
        .filter_map(|(index, probe)| match probe {
            StageProbe::Refused | StageProbe::Restarted => Some((index, StageFault::Crashed)),
            StageProbe::Silent => Some((index, StageFault::Frozen)),
            StageProbe::Answered { .. } => None,
        })
        .collect();
    if !lost.is_empty() {
        return lost;
    }
    match find_slow(probes, step) {
        Some(fault) => vec![fault],
        None => find_link(probes, step),
    }
}

fn is_at(progress: &StageProgress, step: &AwaitedStep) -> bool {
    progress.attempt == step.attempt && progress.position == step.position
}

/// A stage that holds the awaited step, or has held the one before, for much longer than such a step takes.
fn find_slow(probes: &[StageProbe], step: &AwaitedStep) -> Option<(usize, StageFault)> {
    if step.tolerates_slow {
        return None;
    }
    probes.iter().enumerate().find_map(|(index, probe)| {
        let StageProbe::Answered { progress, expected } = probe else {
            return None;
        };
        let now_held = match progress.phase {
            StagePhase::Held if is_at(progress, step) => progress.since_micros,
            _ => 0,
        };
        let last_held = if step.last_step_was_decode {
            progress.held_micros
        } else {
            0
        };
        let held = Duration::from_micros(now_held.max(last_held));
        let is_slow = held > *expected * SLOW_FACTOR && held > step.waited / 2;
        is_slow.then_some((index, StageFault::Slow))
    })
}

/// A place where the awaited step has left one process and not reached the next.
fn find_link(probes: &[StageProbe], step: &AwaitedStep) -> Vec<(usize, StageFault)> {
    if step.is_last_resort && step.waited < PATIENCE {
        return Vec::new();
    }
    let answers: Vec<StageProgress> = probes
        .iter()
        .filter_map(|probe| match probe {
            StageProbe::Answered { progress, .. } => Some(*progress),
            _ => None,
        })
        .collect();
    let Some(head) = answers.first() else {
        return Vec::new();
    };
    let long =
        |progress: &StageProgress| Duration::from_micros(progress.since_micros) > step.waited / 2;
    let head_is_past = head.attempt == step.attempt
        && (head.position > step.position
            || (head.position == step.position && head.phase == StagePhase::Done));
    if head_is_past && (head.position > step.position || long(head)) {
        return vec![(0, StageFault::LinkLost)];
    }
    if head.phase == StagePhase::Unknown || head.attempt < step.attempt {
        return vec![(0, StageFault::LinkLost)];
    }
    let broken = answers.windows(2).position(|pair| {
        let left = pair[0].phase == StagePhase::HandedOn && is_at(&pair[0], step) && long(&pair[0]);
        let arrived = is_at(&pair[1], step) && pair[1].phase != StagePhase::Done;
        left && !arrived
    });
    // Either end may be the one whose links have become bad.
    broken.map_or_else(Vec::new, |index| {
        let ends = [index, index + 1];
        ends.map(|index| (index, StageFault::LinkLost)).to_vec()
    })
}
