//! Observes the engines: known reports where they agree with the placement, fresh ones elsewhere.

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

/// Reports read at once.
const MAX_CONCURRENT_READS: usize = 32;
/// Engines without a placement that are looked at in one round.
const SPARE_READS_PER_ROUND: usize = 8;

/// Engines that the placement names and the instance list does not show as live.
#[derive(Debug, Clone, Default)]
pub(super) struct MissingEngines(HashMap<InstanceId, MonoTime>);

impl MissingEngines {
    /// Engines to place on: the live ones, and without any room those that have been missing for
    /// less than `limit`, so that their stages stay where they are.
    pub(super) fn offers(
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
        let mut offers = live;
        for row in missing {
            let since = *self.0.entry(row.instance.clone()).or_insert(now);
            if now.since(since) < limit {
                offers.push(EngineCapacity {
                    instance: row.instance.clone(),
                    address: row.address,
                    domain: "missing".parse().expect("the name is valid"),
                    memory_bytes: 0,
                });
            }
        }
        offers
    }
}

/// Observes the live engines. Those whose known report shows the placed stage as loaded are taken
/// as they are known; the others that are placed are read, and a few of the rest, in turn.
pub(super) async fn observe_engines(
    context: &KernelContext,
    document: &ConfigDocument,
    round: usize,
) -> Vec<ObservedEngine> {
    let list = context.instances.load();
    let rows = document.placements.iter().map(|row| (&row.instance, row));
    let placed: HashMap<&InstanceId, &StagePlacement> = rows.collect();
    let (mut views, mut reads, mut spares) = (Vec::new(), Vec::new(), Vec::new());
    for row in list.live(InstanceRole::Engine) {
        match placed.get(&row.instance) {
            None => spares.push(row.clone()),
            Some(placement) => match cached_view(context, row, placement) {
                Some(view) => views.push(view),
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
        .map(|row| read_view(context, row))
        .buffer_unordered(MAX_CONCURRENT_READS);
    views.extend(
        fresh
            .filter_map(std::future::ready)
            .collect::<Vec<_>>()
            .await,
    );
    views
}

fn cached_view(
    context: &KernelContext,
    row: &InstanceRow,
    placement: &StagePlacement,
) -> Option<ObservedEngine> {
    let report = context.targets.get(&row.instance)?.report()?;
    let is_loaded = report
        .stages
        .iter()
        .any(|held| held.ready && held.matches(placement));
    is_loaded.then(|| make_view(row, &report))
}

async fn read_view(context: &KernelContext, row: InstanceRow) -> Option<ObservedEngine> {
    let report = context.engines.report(row.address).await.ok()?;
    Some(make_view(&row, &report))
}

fn make_view(row: &InstanceRow, report: &EngineReport) -> ObservedEngine {
    ObservedEngine {
        instance: row.instance.clone(),
        address: row.address,
        stages: report.stages.clone(),
        busy: report.queued + report.running,
    }
}
