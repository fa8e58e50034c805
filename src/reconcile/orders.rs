//! Decides which orders bring the engines from what they report to what is placed.

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
    /// Name.
    pub instance: InstanceId,
    /// Address.
    pub address: SocketAddr,
    /// Stages that it holds or loads.
    pub stages: Vec<HeldStage>,
    /// Requests in progress or waiting on it.
    pub busy: u32,
}

/// An order to send: the complete state that the engine should reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Stage to hold; absent to hold none.
    pub stage: Option<HeldStage>,
    /// Size of one layer's weights, in bytes.
    pub layer_bytes: u64,
}

/// Orders to send now, and what still has to wait.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderPlan {
    /// Orders, those needed most first.
    pub orders: Vec<PlannedOrder>,
    /// Engines that load now.
    pub loading: usize,
    /// Engines whose load waits for its turn at the weight store.
    pub waiting_loads: usize,
    /// Engines that finish requests before their stage is replaced.
    pub draining: usize,
}

/// Since when engines have been waiting for their requests to end.
#[derive(Debug, Clone, Default)]
pub struct DrainTable(HashMap<InstanceId, MonoTime>);

impl DrainTable {
    /// True while the engine's requests may still finish.
    fn must_wait(&mut self, view: &ObservedEngine, limit: Duration, now: MonoTime) -> bool {
        let serves = view.stages.iter().any(|stage| stage.ready);
        if !serves || view.busy == 0 {
            return false;
        }
        let since = *self.0.entry(view.instance.clone()).or_insert(now);
        now.since(since) < limit
    }

    fn remove(&mut self, instance: &InstanceId) {
        self.0.remove(instance);
    }
}

/// Plans orders for the observed engines. An engine that is not in `engines` gets none.
///
/// An order for what an engine holds or loads already is left out. A stage that serves is replaced
/// only when its requests have ended or the drain limit has passed. At most as many engines load at
/// once as the rollout allows, those of models with the fewest loaded stages first.
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
    for view in engines {
        let row = placed.get(&view.instance).copied();
        match compare_stage(view, row) {
            StageMatch::Ready => {
                let model = row.map(|row| row.model.clone());
                *ready
                    .entry(model.expect("a ready stage is placed"))
                    .or_default() += 1;
                drains.remove(&view.instance);
            }
            StageMatch::Loading => {
                plan.loading += 1;
                drains.remove(&view.instance);
            }
            StageMatch::Empty => drains.remove(&view.instance),
            StageMatch::Differs if drains.must_wait(view, limit, now) => plan.draining += 1,
            StageMatch::Differs => match row {
                None => plan.orders.push(make_order(document, view, None)),
                Some(row) => loads.push(make_order(document, view, Some(row))),
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

/// How an engine's stages compare with what is placed on it.
enum StageMatch {
    Ready,
    Loading,
    Empty,
    Differs,
}

fn compare_stage(view: &ObservedEngine, row: Option<&StagePlacement>) -> StageMatch {
    let Some(row) = row else {
        return if view.stages.is_empty() {
            StageMatch::Empty
        } else {
            StageMatch::Differs
        };
    };
    match view.stages.iter().find(|held| held.matches(row)) {
        Some(held) if held.ready => StageMatch::Ready,
        Some(_) => StageMatch::Loading,
        None => StageMatch::Differs,
    }
}

fn make_order(
    document: &ConfigDocument,
    view: &ObservedEngine,
    row: Option<&StagePlacement>,
) -> PlannedOrder {
    let stage = row.map(|row| HeldStage {
        model: row.model.clone(),
        version: row.version.clone(),
        layers: row.layers,
        ready: false,
    });
    PlannedOrder {
        instance: view.instance.clone(),
        address: view.address,
        stage,
        layer_bytes: row.map_or(0, |row| document.layer_bytes(row)),
    }
}
