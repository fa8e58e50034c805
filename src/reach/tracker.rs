//! Decides whether the path to all targets is lost. Performs no I/O.

use crate::ids::ServiceId;
use crate::units::MonoTime;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// Fewest targets for a verdict: fewer ones may well have ended together.
const MIN_TARGETS: usize = 3;
/// Targets to which connects have failed in a row when the path counts as lost, or all if there are
/// fewer.
const LOST_TARGETS: usize = 6;
/// Targets that are tried first after a connect has failed; nearly always one of them accepts.
const FIRST_SAMPLE: usize = 2;
/// Age from which a failed connect no longer counts.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(3);

/// How the path was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathLoss {
    /// Connects hang.
    Silent,
    /// Connects are refused. Open connections may live on.
    Refused,
}

impl fmt::Display for PathLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "silent",
            Self::Refused => "refused",
        })
    }
}

/// A target that can be tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachCandidate {
    /// Hash of its run.
    pub run: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
}

/// What to do about the evidence so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReachStep {
    /// There is a path.
    Reachable,
    /// There is none.
    Unreachable,
    /// Try the candidates with these indices.
    Probe(Vec<usize>),
}

/// How evidence has changed the verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// Not at all.
    None,
    /// The path was lost in this way; connects to so many targets have failed.
    Lost(PathLoss, usize),
    /// The path is back after this time.
    Regained(Duration),
}

#[derive(Debug, Clone, Copy)]
struct FailedConnect {
    started: MonoTime,
    loss: PathLoss,
}

/// Evidence about the path to the targets: connects that were made lately.
#[derive(Debug, Default)]
pub struct ReachTracker {
    /// The last failed connect to each run since the last success.
    failures: HashMap<u64, FailedConnect>,
    last_success: Option<MonoTime>,
    lost: Option<(MonoTime, PathLoss)>,
}

impl ReachTracker {
    /// How and since when the path is lost.
    pub fn lost(&self) -> Option<(MonoTime, PathLoss)> {
        self.lost
    }

    /// Records that a target accepted a connection, which shows that there is a path.
    pub fn on_connected(&mut self, now: MonoTime) -> ReachChange {
        self.failures.clear();
        self.last_success = Some(now);
        match self.lost.take() {
            Some((since, _)) => ReachChange::Regained(now.since(since)),
            None => ReachChange::None,
        }
    }

    /// Records a failed connect that was begun at `started`. One that was begun before another target
    /// accepted a connection says nothing about the path.
    pub fn on_failed(&mut self, run: u64, started: MonoTime, loss: PathLoss) {
        if self.last_success.is_none_or(|at| at <= started) {
            self.failures.insert(run, FailedConnect { started, loss });
        }
    }

    /// Decides what the evidence means. `rng` spreads the probes of many daemons over the targets.
    pub fn next_step(
        &mut self,
        candidates: &[ReachCandidate],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> ReachStep {
        if self.lost.is_some() {
            return ReachStep::Unreachable;
        }
        self.failures
            .retain(|_, failed| now.since(failed.started) <= MAX_FAILURE_AGE);
        if self.failures.is_empty() || candidates.len() < MIN_TARGETS {
            return ReachStep::Reachable;
        }
        let has_failed = |candidate: &&ReachCandidate| self.failures.contains_key(&candidate.run);
        let failed: Vec<&ReachCandidate> = candidates.iter().filter(has_failed).collect();
        let needed = LOST_TARGETS.min(candidates.len());
        let services: BTreeSet<&ServiceId> = candidates.iter().map(|row| &row.service).collect();
        let failed_services: BTreeSet<&ServiceId> = failed.iter().map(|row| &row.service).collect();
        if failed.len() >= needed && failed_services == services {
            return ReachStep::Unreachable;
        }
        let missing_services = services.len() - failed_services.len();
        let missing = needed.saturating_sub(failed.len()).max(missing_services);
        let count = if failed.len() <= 1 {
            FIRST_SAMPLE
        } else {
            missing
        };
        ReachStep::Probe(self.choose_probes(candidates, &failed_services, count, rng))
    }

    /// Indices of up to `count` candidates that have not failed, those of other services than the
    /// failed ones first.
    fn choose_probes(
        &self,
        candidates: &[ReachCandidate],
        failed_services: &BTreeSet<&ServiceId>,
        count: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..candidates.len()).collect();
        indices.retain(|index| !self.failures.contains_key(&candidates[*index].run));
        rng.shuffle(&mut indices);
        let mut covered: BTreeSet<&ServiceId> = failed_services.clone();
        let mut first: Vec<usize> = Vec::new();
        indices.retain(|index| {
            let is_new = covered.insert(&candidates[*index].service);
            if is_new {
                first.push(*index);
            }
            !is_new
        });
        first.extend(indices);
        first.truncate(count);
        first
    }

    /// Records the verdict that the path is lost.
    pub fn mark_lost(&mut self, now: MonoTime) -> ReachChange {
        if self.lost.is_some() {
            return ReachChange::None;
        }
        let is_silent = |failed: &FailedConnect| failed.loss == PathLoss::Silent;
        let loss = if self.failures.values().any(is_silent) {
            PathLoss::Silent
        } else {
            PathLoss::Refused
        };
        self.lost = Some((now, loss));
        ReachChange::Lost(loss, self.failures.len())
    }
}
