//! Faults that a run brings about at given times.

use crate::load::fleet::LoadFleet;
use crate::load::spec::{RunMode, RunSpec};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::time::Duration;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An engine's process ends.
    KillEngine,
    /// An engine's process stops for good, its connections stay open.
    FreezeEngine,
    /// An engine's steps take `factor` times as long.
    SlowEngine,
    /// The links of an engine carry a `factor`-th and take `factor` times as long.
    SlowLink,
    /// All engines and daemons of a failure domain end.
    KillDomain,
    /// A daemon's process ends.
    KillDaemon,
    /// The key-value service refuses every call.
    StoreDown,
    /// The key-value service is back.
    StoreUp,
}

/// One fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultSpec {
    /// Time from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub fault: FaultKind,
    /// Which engine, daemon or failure domain it happens to.
    #[serde(default)]
    pub index: usize,
    /// How much slower, for faults that slow something down.
    #[serde(default = "default_factor")]
    pub factor: u64,
}

fn default_factor() -> u64 {
    10
}

impl FaultSpec {
    /// Time from the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// Why the fault does not fit the run, if so.
    pub(super) fn find_conflict(&self, spec: &RunSpec) -> Option<String> {
        let (needs_processes, count) = match self.fault {
            FaultKind::KillEngine | FaultKind::FreezeEngine => (true, spec.engine_count()),
            FaultKind::SlowEngine | FaultKind::SlowLink => (false, spec.engine_count()),
            FaultKind::KillDomain => (true, spec.domains.len()),
            FaultKind::KillDaemon => (true, spec.daemons),
            FaultKind::StoreDown | FaultKind::StoreUp => (false, usize::MAX),
        };
        if needs_processes && spec.mode != RunMode::Processes {
            return Some("needs the mode processes".to_owned());
        }
        (self.index >= count).then(|| format!("index must be below {count}"))
    }

    /// Engines that the fault takes away or slows down.
    pub(super) fn engines(&self, spec: &RunSpec) -> Vec<usize> {
        match self.fault {
            FaultKind::KillEngine
            | FaultKind::FreezeEngine
            | FaultKind::SlowEngine
            | FaultKind::SlowLink => vec![self.index],
            FaultKind::KillDomain => {
                let domain = &*spec.domains[self.index];
                let inside = |index: &usize| spec.engine_domain(*index) == domain;
                (0..spec.engine_count()).filter(inside).collect()
            }
            FaultKind::KillDaemon | FaultKind::StoreDown | FaultKind::StoreUp => Vec::new(),
        }
    }

    /// Daemons that the fault takes away.
    pub(super) fn daemons(&self, spec: &RunSpec) -> Vec<usize> {
        match self.fault {
            FaultKind::KillDaemon => vec![self.index],
            FaultKind::KillDomain => {
                let inside = |index: &usize| index % spec.domains.len() == self.index;
                (0..spec.daemons).filter(inside).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Brings the fault about.
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
                let slow = json!({ "slow_percent": 100 * self.factor });
                fleet.set_engine_knobs(self.index, &slow).await?;
            }
            FaultKind::SlowLink => {
                let mut knobs = spec.engine_knobs(self.index)?;
                for link in knobs.links.values_mut() {
                    link.delay_micros *= self.factor;
                    link.per_second /= self.factor as f64;
                }
                let links = json!({ "links": knobs.links });
                fleet.set_engine_knobs(self.index, &links).await?;
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

/// What a fault leaves of the hardware.
impl FaultSpec {
    /// True when the fault takes the engine away.
    pub(super) fn removes_engine(&self, spec: &RunSpec, index: usize) -> bool {
        let keeps = matches!(self.fault, FaultKind::SlowEngine | FaultKind::SlowLink);
        !keeps && self.engines(spec).contains(&index)
    }

    /// How many times longer the engine's steps take.
    pub(super) fn step_slowdown(&self, index: usize) -> Option<u64> {
        let hits = self.fault == FaultKind::SlowEngine && self.index == index;
        hits.then_some(self.factor)
    }

    /// How many times less the links from the engine carry.
    pub(super) fn link_slowdown(&self, index: usize) -> Option<u64> {
        let hits = self.fault == FaultKind::SlowLink && self.index == index;
        hits.then_some(self.factor)
    }
}
