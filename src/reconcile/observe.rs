//! Observes the engines. A cached report is used where it agrees with the placement; other engines
//! are asked for a new one.

use crate::config::{ConfigDocument, EngineCapacity, StagePlacement};
use crate::engine::EngineReport;
use crate::ids::InstanceId;
use crate::instances::{InstanceRole, InstanceRow};
use crate::kernel::KernelContext;
use crate::reconcile::ObservedEngine;
use crate::units::MonoTime;
use futures_util::StreamExt;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Most reports that are read at once.
const MAX_CONCURRENT_READS: usize = 32;
/// Engines without a placement that are read in one round.
const SPARE_READS_PER_ROUND: usize = 8;

/// Placed engines that the instance list does not show as live, with the time since when.
#[derive(Debug, Clone, Default)]
pub(super) struct MissingEngines(HashMap<InstanceId, MonoTime>);

impl MissingEngines {
    /// Engines for the placement: the live ones, and those missing for less than `limit`, with no
    /// free memory. The latter keep their stages but get no new ones.
    pub(super) fn placement_capacities(
        &mut self,
        document: &ConfigDocument,
        live: Vec<EngineCapacity>,
        limit: Duration,
        now: MonoTime,
    ) -> Vec<EngineCapacity> {
        let listed: HashSet<InstanceId> = live.iter().map(|o| o.instance.clone()).collect();
        let is_missing = |row: &&StagePlacement| !listed.contains(&row.instance);
        let missing: Vec<&StagePlacement> = document.placements.iter().filter(is_missing).collect();
        self.0
            .retain(|name, _| missing.iter().any(|row| row.instance == *name));
        let mut capacities = live;
        for row in missing {
            let since = *self.0.entry(row.instance.clone()).or_insert(now);
            if now.since(since) < limit {
                capacities.push(EngineCapacity {
                    instance: row.instance.clone(),
                    address: row.address,
                    domain: "missing".parse().expect("the name is valid"),
                    memory_bytes: 0,
                });
            }
        }
        capacities
    }
}

/// Observes the live engines. An engine whose cached report shows the placed stage as loaded is not
/// read again. Other placed engines are read, and a few of those without a placement, in rotation
/// by `round`. Engines that do not reply are left out.
pub(super) async fn observe_engines(
    context: &KernelContext,
    document: &ConfigDocument,
    round: usize,
) -> Vec<ObservedEngine> {
    let list = context.instances.load();
    let rows = document.placements.iter().map(|row| (&row.instance, row));
    let placed: HashMap<&InstanceId, &StagePlacement> = rows.collect();
    let (mut engines, mut reads, mut spares) = (Vec::new(), Vec::new(), Vec::new());
    for row in list.live(InstanceRole::Engine) {
        match placed.get(&row.instance) {
            None => spares.push(row.clone()),
            Some(placement) => match cached_engine(context, row, placement) {
                Some(engine) => engines.push(engine),
                None => reads.push(row.clone()),
            },
        }
    }
    let count = spares.len().min(SPARE_READS_PER_ROUND);
    let rotation = spares.into_iter().cycle().skip(round.wrapping_mul(count));
    if count > 0 {
        reads.extend(rotation.take(count));
    }
    let fresh = futures_util::stream::iter(reads)
        .map(|row| read_engine(context, row))
        .buffer_unordered(MAX_CONCURRENT_READS);
    engines.extend(
        fresh
            .filter_map(std::future::ready)
            .collect::<Vec<_>>()
            .await,
    );
    engines
}

/// View of an engine by its cached report; `None` unless that shows the placed stage as loaded.
fn cached_engine(
    context: &KernelContext,
    row: &InstanceRow,
    placement: &StagePlacement,
) -> Option<ObservedEngine> {
    let report = context.targets.get(&row.instance)?.report()?;
    let is_loaded = report
        .stages
        .iter()
        .any(|held| held.ready && held.matches(placement));
    is_loaded.then(|| make_engine(row, &report))
}

async fn read_engine(context: &KernelContext, row: InstanceRow) -> Option<ObservedEngine> {
    let report = context.engines.report(row.address).await.ok()?;
    Some(make_engine(&row, &report))
}

fn make_engine(row: &InstanceRow, report: &EngineReport) -> ObservedEngine {
    ObservedEngine {
        instance: row.instance.clone(),
        address: row.address,
        stages: report.stages.clone(),
        busy: report.queued + report.running,
    }
}
