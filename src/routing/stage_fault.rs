//! Finds the stage at fault from the progress that the engines of a chain report for a request.

use crate::engine::{StagePhase, StageProgress};
use crate::ids::{AttemptNumber, TokenPosition};
use std::time::Duration;

/// Multiple of the expected step time after which a held step counts as slow.
const SLOW_FACTOR: u32 = 4;

/// Wait after which a request leaves a chain with a broken link even if no other chain is left.
const BROKEN_LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of asking one engine for its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StageProbe {
    /// The connection was refused: the engine has exited.
    Refused,
    /// The engine has restarted since it got the request.
    Restarted,
    /// The engine did not respond within the timeout.
    Silent,
    /// The engine responded.
    Answered {
        /// Progress of the engine with the request.
        progress: StageProgress,
        /// Expected time of one step under the engine's current load.
        expected: Duration,
    },
}

/// Fault of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StageFault {
    /// The engine exited or restarted while it worked on the request.
    Crashed,
    /// The engine could not be reached or had restarted before it worked on the request, or it was
    /// lost together with an engine that crashed.
    Gone,
    /// The engine does not respond.
    Frozen,
    /// The engine holds a step for much longer than expected.
    Slow,
    /// The engine works, but messages to it or from it do not arrive.
    LinkLost,
    /// The engine refused the request.
    Refusing,
    /// The engine violated the protocol of the token stream.
    Misbehaving,
}

impl StageFault {
    /// Name in metrics and spans.
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

    /// True when the engine itself is at fault, so that it is ejected for other requests too.
    pub fn is_engine_fault(self) -> bool {
        self != Self::LinkLost
    }

    /// True when the fault may pass, so that the same request may use the engine again when no
    /// other chain is left.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Slow | Self::LinkLost | Self::Frozen)
    }
}

/// Pipeline step of the request that has not finished in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitedStep {
    /// Current attempt.
    pub attempt: AttemptNumber,
    /// Position of the token that it generates.
    pub position: TokenPosition,
    /// Time since the last progress of the request.
    pub waited: Duration,
    /// True when a slow stage is no reason to leave the chain: no other chain is left, or only this
    /// token is late so far, which the prefill of another request can cause.
    pub tolerates_slow: bool,
    /// True when no other chain is left, so that a slow link is tolerated for some time.
    pub is_last_resort: bool,
    /// True when the last step that each engine ran was a decoding step, without prefill.
    pub last_step_was_decode: bool,
}

/// Finds the stages at fault, as indexes into the chain; empty when the request should wait longer.
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
        None => find_broken_link(probes, step),
    }
}

fn matches_step(progress: &StageProgress, step: &AwaitedStep) -> bool {
    progress.attempt == step.attempt && progress.position == step.position
}

/// Finds the stage that holds the awaited step, or held the previous one, for much longer than such
/// a step takes. Of several stages, one that was merely paused is the less late one.
fn find_slow(probes: &[StageProbe], step: &AwaitedStep) -> Option<(usize, StageFault)> {
    if step.tolerates_slow {
        return None;
    }
    let lateness = probes.iter().map(|probe| step_lateness(probe, step));
    let slow_stages = lateness
        .enumerate()
        .filter(|(_index, lateness)| *lateness > f64::from(SLOW_FACTOR));
    let slowest = slow_stages.max_by(|a, b| a.1.total_cmp(&b.1));
    slowest.map(|(index, _lateness)| (index, StageFault::Slow))
}

/// Time for which a stage holds the awaited step, or held the previous one, as a multiple of the
/// expected time; 0 when it is not the larger part of the wait.
fn step_lateness(probe: &StageProbe, step: &AwaitedStep) -> f64 {
    let StageProbe::Answered { progress, expected } = probe else {
        return 0.0;
    };
    let current_hold = match progress.phase {
        StagePhase::Held if matches_step(progress, step) => progress.since_micros,
        _ => 0,
    };
    let last_hold = if step.last_step_was_decode {
        progress.held_micros
    } else {
        0
    };
    let held = Duration::from_micros(current_hold.max(last_hold));
    if held <= step.waited / 2 {
        return 0.0;
    }
    held.as_secs_f64() / expected.as_secs_f64()
}

/// Finds a link on which the awaited step was sent by one process and did not reach the next.
fn find_broken_link(probes: &[StageProbe], step: &AwaitedStep) -> Vec<(usize, StageFault)> {
    if step.is_last_resort && step.waited < BROKEN_LINK_TIMEOUT {
        return Vec::new();
    }
    let progresses: Vec<StageProgress> = probes
        .iter()
        .filter_map(|probe| match probe {
            StageProbe::Answered { progress, .. } => Some(*progress),
            _ => None,
        })
        .collect();
    let Some(head) = progresses.first() else {
        return Vec::new();
    };
    let is_overdue =
        |progress: &StageProgress| Duration::from_micros(progress.since_micros) > step.waited / 2;
    let head_is_done = head.attempt == step.attempt
        && (head.position > step.position
            || (head.position == step.position && head.phase == StagePhase::Done));
    if head_is_done && (head.position > step.position || is_overdue(head)) {
        return vec![(0, StageFault::LinkLost)];
    }
    if head.phase == StagePhase::Unknown || head.attempt < step.attempt {
        return vec![(0, StageFault::LinkLost)];
    }
    let broken = progresses.windows(2).position(|pair| {
        let was_sent = pair[0].phase == StagePhase::HandedOn
            && matches_step(&pair[0], step)
            && is_overdue(&pair[0]);
        let arrived = matches_step(&pair[1], step) && pair[1].phase != StagePhase::Done;
        was_sent && !arrived
    });
    // The links of either engine may have failed, so both ends count as at fault.
    broken.map_or_else(Vec::new, |index| {
        let ends = [index, index + 1];
        ends.map(|index| (index, StageFault::LinkLost)).to_vec()
    })
}
