//! Chooses a chain: stages on engines whose layer ranges tile the model exactly, in order.

use crate::config::{ModelEntry, StagePlacement};
use crate::engine::ChainStage;
use crate::ids::InstanceId;
use crate::routing::TargetTable;
use crate::units::{LayerRange, MonoTime};
use std::collections::BTreeMap;

/// What a chain is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct ChainQuery<'a> {
    /// Model.
    pub entry: &'a ModelEntry,
    /// Engines that must not be used.
    pub excluded: &'a [InstanceId],
    /// Engines that hold KV cache of the request and are preferred.
    pub warm: &'a [InstanceId],
    /// Time now.
    pub now: MonoTime,
}

/// Outcome of choosing a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainChoice {
    /// Stages in layer order.
    Chain(Vec<ChainStage>),
    /// No open engine holds the layers from here on.
    NoChain {
        /// First layer that cannot be reached.
        missing: u32,
    },
}

/// Step time assumed for an engine without a report, in microseconds.
const DEFAULT_STEP_MICROS: u64 = 10_000;
/// Factor on the cost of an engine without the request's KV cache when another one has it.
const COLD_FACTOR: f64 = 2.0;

/// Chooses the chain with the least expected time for one token: a shortest path over layer
/// boundaries, where an edge is a stage on one engine.
pub fn choose_chain(
    query: &ChainQuery<'_>,
    targets: &TargetTable,
    rng: &mut fastrand::Rng,
) -> ChainChoice {
    let layers = query.entry.spec.layers;
    let mut best: BTreeMap<u32, (f64, Option<ChainStage>)> = BTreeMap::from([(0, (0.0, None))]);
    let mut placements: Vec<&StagePlacement> = query.entry.placements.iter().collect();
    rng.shuffle(&mut placements);
    let mut visited = 0;
    let mut frontier = Some(0);
    while let Some(at) = frontier {
        visited = at;
        if at == layers {
            break;
        }
        let cost_here = best[&at].0;
        for row in &placements {
            if row.layers.from <= at
                && at < row.layers.to
                && !query.excluded.contains(&row.instance)
            {
                let range = LayerRange::new(at, row.layers.to);
                if let Some(cost) = stage_cost(query, targets, row, range) {
                    let total = cost_here + cost;
                    let better = best.get(&range.to).is_none_or(|(known, _)| total < *known);
                    if better {
                        best.insert(range.to, (total, Some(make_stage(row, range))));
                    }
                }
            }
        }
        frontier = best.range(at + 1..).next().map(|(boundary, _)| *boundary);
    }
    if visited < layers {
        return ChainChoice::NoChain { missing: visited };
    }
    ChainChoice::Chain(trace_back(&best, layers))
}

fn trace_back(best: &BTreeMap<u32, (f64, Option<ChainStage>)>, layers: u32) -> Vec<ChainStage> {
    let mut chain = Vec::new();
    let mut at = layers;
    while let Some((_, Some(stage))) = best.get(&at) {
        at = stage.layers.from;
        chain.push(stage.clone());
    }
    chain.reverse();
    chain
}

/// Expected time of one token on a stage, in microseconds; `None` when the engine is not open.
fn stage_cost(
    query: &ChainQuery<'_>,
    targets: &TargetTable,
    row: &StagePlacement,
    range: LayerRange,
) -> Option<f64> {
    let state = targets.get(&row.instance)?;
    if !state.is_open(query.now) {
        return None;
    }
    let report = state.report();
    let step = report
        .as_ref()
        .map_or(DEFAULT_STEP_MICROS, |r| r.step_micros);
    let queued = report.as_ref().map_or(0, |r| r.queued + r.running);
    let share = f64::from(range.len()) / f64::from(row.layers.len());
    let load = f64::from(1 + queued.max(state.in_flight()));
    let is_cold = !query.warm.is_empty() && !query.warm.contains(&row.instance);
    let factor = if is_cold { COLD_FACTOR } else { 1.0 };
    Some(step as f64 * share * load * factor)
}

fn make_stage(row: &StagePlacement, layers: LayerRange) -> ChainStage {
    ChainStage {
        instance: row.instance.clone(),
        address: row.address,
        layers,
    }
}
