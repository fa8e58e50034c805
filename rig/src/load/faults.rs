//! Faults that are injected during a run, each at its time.

use crate::load::fleet::LoadFleet;
use crate::load::spec::{RunMode, RunSpec};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::time::Duration;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process of an engine is killed.
    KillEngine,
    /// The process of an engine is stopped and never continued; its connections stay open.
    FreezeEngine,
    /// The steps of an engine take `factor` times as long.
    SlowEngine,
    /// The links from an engine have `factor` times the delay and a `factor`-th of the throughput.
    SlowLink,
    /// The processes of all engines and daemons of a failure domain are killed.
    KillDomain,
    /// The process of a daemon is killed.
    KillDaemon,
    /// The store fails every call.
    StoreDown,
    /// The store serves calls again.
    StoreUp,
}

/// Fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultSpec {
    /// Time of the fault from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Kind of the fault.
    pub fault: FaultKind,
    /// Index of the engine, daemon or failure domain that the fault affects; not used for the
    /// store.
    #[serde(default)]
    pub index: usize,
    /// Slowdown factor of [`FaultKind::SlowEngine`] and [`FaultKind::SlowLink`].
    #[serde(default = "default_factor")]
    pub factor: u64,
}

fn default_factor() -> u64 {
    10
}

impl FaultSpec {
    /// Time of the fault from the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// Returns why the fault is impossible in this run, or `None` when it is possible.
    pub(super) fn find_conflict(&self, spec: &RunSpec) -> Option<String> {
        let (needs_processes, count) = match self.fault {
            FaultKind::KillEngine | FaultKind::FreezeEngine => (true, spec.engine_count()),
            FaultKind::SlowEngine | FaultKind::SlowLink => (false, spec.engine_count()),
            FaultKind::KillDomain => (true, spec.domains.len()),
            FaultKind::KillDaemon => (true, spec.daemons),
            FaultKind::StoreDown | FaultKind::StoreUp => (false, usize::MAX),
        };
        if needs_processes && spec.mode != RunMode::Processes {
            return Some("requires mode processes".to_owned());
        }
        (self.index >= count).then(|| format!("index must be below {count}"))
    }

    /// Indexes of the engines that the fault removes or slows down.
    pub(super) fn engines(&self, spec: &RunSpec) -> Vec<usize> {
        match self.fault {
            FaultKind::KillEngine
            | FaultKind::FreezeEngine
            | FaultKind::SlowEngine
            | FaultKind::SlowLink => vec![self.index],
            FaultKind::KillDomain => {
                let domain = &*spec.domains[self.index];
                let is_in_domain = |index: &usize| spec.engine_domain(*index) == domain;
                (0..spec.engine_count()).filter(is_in_domain).collect()
            }
            FaultKind::KillDaemon | FaultKind::StoreDown | FaultKind::StoreUp => Vec::new(),
        }
    }

    /// Indexes of the daemons that the fault removes.
    pub(super) fn daemons(&self, spec: &RunSpec) -> Vec<usize> {
        match self.fault {
            FaultKind::KillDaemon => vec![self.index],
            FaultKind::KillDomain => {
                let is_in_domain = |index: &usize| index % spec.domains.len() == self.index;
                (0..spec.daemons).filter(is_in_domain).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Injects the fault into the fleet.
    pub(super) async fn inject(&self, spec: &RunSpec, fleet: &mut LoadFleet) -> Result<(), String> {
        match self.fault {
            FaultKind::FreezeEngine => fleet.freeze_engine(self.index),
            FaultKind::KillEngine | FaultKind::KillDomain | FaultKind::KillDaemon => {
                for index in self.engines(spec) {
                    fleet.kill_engine(index);
                }
                for index in self.daemons(spec) {
                    fleet.kill_daemon(index);
                }
            }
            FaultKind::SlowEngine => {
                let changes = json!({ "slow_percent": 100 * self.factor });
                fleet.set_engine_knobs(self.index, &changes).await?;
            }
            FaultKind::SlowLink => {
                let mut knobs = spec.engine_knobs(self.index)?;
                for link in knobs.links.values_mut() {
                    link.delay_micros *= self.factor;
                    link.per_second /= self.factor as f64;
                }
                let changes = json!({ "links": knobs.links });
                fleet.set_engine_knobs(self.index, &changes).await?;
            }
            FaultKind::StoreDown => {
                fleet.set_platform_knobs(&json!({ "outage": true })).await?;
            }
            FaultKind::StoreUp => {
                fleet
                    .set_platform_knobs(&json!({ "outage": false }))
                    .await?;
            }
        }
        Ok(())
    }
}

/// Effect of a fault on the throughput bound.
impl FaultSpec {
    /// True when the fault removes the engine.
    pub(super) fn removes_engine(&self, spec: &RunSpec, index: usize) -> bool {
        let only_slows = matches!(self.fault, FaultKind::SlowEngine | FaultKind::SlowLink);
        !only_slows && self.engines(spec).contains(&index)
    }

    /// Factor by which the engine's steps take longer; `None` when the fault does not slow them
    /// down.
    pub(super) fn step_slowdown(&self, index: usize) -> Option<u64> {
        let is_slowed = self.fault == FaultKind::SlowEngine && self.index == index;
        is_slowed.then_some(self.factor)
    }

    /// Factor by which the links from the engine carry less; `None` when the fault does not slow
    /// them down.
    pub(super) fn link_slowdown(&self, index: usize) -> Option<u64> {
        let is_slowed = self.fault == FaultKind::SlowLink && self.index == index;
        is_slowed.then_some(self.factor)
    }
}
