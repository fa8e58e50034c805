//! Plans the orders that bring the engines from their reported state to the placed one.

use crate::config::{ConfigDocument, StagePlacement};
use crate::engine::HeldStage;
use crate::ids::{InstanceId, ModelId};
use crate::units::MonoTime;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// An engine as it was last observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedEngine {
    /// Name of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Stages that the engine holds or is loading.
    pub stages: Vec<HeldStage>,
    /// Requests that are running or queued on the engine.
    pub busy: u32,
}

/// An order to send: the complete state that the engine should reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Name of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Stage that the engine should hold; `None` to unload it.
    pub stage: Option<HeldStage>,
    /// Size of one layer's weights, in bytes.
    pub layer_bytes: u64,
}

/// Orders to send now, and counts of engines that load or wait.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderPlan {
    /// Orders to send: unloads first, then loads, those of models with the fewest loaded stages
    /// first.
    pub orders: Vec<PlannedOrder>,
    /// Engines that are loading, including those that are ordered to.
    pub loading: usize,
    /// Engines whose load waits because of the limit on concurrent loads.
    pub waiting_loads: usize,
    /// Engines that finish their requests before their stage is replaced.
    pub draining: usize,
}

/// Start times of the drains: engines whose stage is to be replaced and that still have requests.
#[derive(Debug, Clone, Default)]
pub struct DrainTable(HashMap<InstanceId, MonoTime>);

impl DrainTable {
    /// True while the engine drains: it serves requests and the drain limit has not passed.
    fn must_wait(&mut self, engine: &ObservedEngine, limit: Duration, now: MonoTime) -> bool {
        let serves = engine.stages.iter().any(|stage| stage.ready);
        if !serves || engine.busy == 0 {
            return false;
        }
        let since = *self.0.entry(engine.instance.clone()).or_insert(now);
        now.since(since) < limit
    }

    fn remove(&mut self, instance: &InstanceId) {
        self.0.remove(instance);
    }
}

/// Plans orders for the observed engines. An engine that is not in `engines` gets none, nor does
/// one that holds or is loading its placed stage.
///
/// A stage that serves requests is replaced only when these have ended or the drain limit has
/// passed. The rollout limits the number of concurrent loads; models with the fewest loaded stages
/// go first.
pub fn plan_orders(
    document: &ConfigDocument,
    engines: &[ObservedEngine],
    drains: &mut DrainTable,
    now: MonoTime,
) -> OrderPlan {
    let rows = document.placements.iter().map(|row| (&row.instance, row));
    let placed: HashMap<&InstanceId, &StagePlacement> = rows.collect();
    let rollout = &document.declaration.rollout;
    let limit = Duration::from_secs(rollout.drain_seconds);
    let mut plan = OrderPlan::default();
    let mut loads: Vec<PlannedOrder> = Vec::new();
    let mut ready: BTreeMap<ModelId, usize> = BTreeMap::new();
    for engine in engines {
        let row = placed.get(&engine.instance).copied();
        match compare_stage(engine, row) {
            StageMatch::Ready => {
                let model = row.map(|row| row.model.clone());
                *ready
                    .entry(model.expect("a ready stage is placed"))
                    .or_default() += 1;
                drains.remove(&engine.instance);
            }
            StageMatch::Loading => {
                plan.loading += 1;
                drains.remove(&engine.instance);
            }
            StageMatch::Empty => drains.remove(&engine.instance),
            StageMatch::Differs if drains.must_wait(engine, limit, now) => plan.draining += 1,
            StageMatch::Differs => match row {
                None => plan.orders.push(make_order(document, engine, None)),
                Some(row) => loads.push(make_order(document, engine, Some(row))),
            },
        }
    }
    let priority = |order: &PlannedOrder| {
        let model = order.stage.as_ref().map(|stage| &stage.model);
        let loaded = model.and_then(|model| ready.get(model)).copied();
        (loaded.unwrap_or(0), order.instance.clone())
    };
    loads.sort_by_cached_key(priority);
    let free_places = (rollout.loads_at_once as usize).saturating_sub(plan.loading);
    plan.waiting_loads = loads.len().saturating_sub(free_places);
    loads.truncate(free_places);
    plan.loading += loads.len();
    plan.orders.extend(loads);
    plan
}

/// Comparison of an engine's stages with its placement.
enum StageMatch {
    /// The placed stage is loaded.
    Ready,
    /// The placed stage is loading.
    Loading,
    /// Nothing is placed on the engine, and it holds nothing.
    Empty,
    /// The engine holds something else.
    Differs,
}

fn compare_stage(engine: &ObservedEngine, row: Option<&StagePlacement>) -> StageMatch {
    let Some(row) = row else {
        return if engine.stages.is_empty() {
            StageMatch::Empty
        } else {
            StageMatch::Differs
        };
    };
    match engine.stages.iter().find(|held| held.matches(row)) {
        Some(held) if held.ready => StageMatch::Ready,
        Some(_) => StageMatch::Loading,
        None => StageMatch::Differs,
    }
}

fn make_order(
    document: &ConfigDocument,
    engine: &ObservedEngine,
    row: Option<&StagePlacement>,
) -> PlannedOrder {
    let stage = row.map(|row| HeldStage {
        model: row.model.clone(),
        version: row.version.clone(),
        layers: row.layers,
        ready: false,
    });
    PlannedOrder {
        instance: engine.instance.clone(),
        address: engine.address,
        stage,
        layer_bytes: row.map_or(0, |row| document.layer_bytes(row)),
    }
}
