//! Orders and placement changes of the reconciler under random schedules, without sockets or
//! clocks.

#[path = "support/seeded.rs"]
mod seeded;

use arbutusmount::{
    ConfigDocument, DrainTable, EngineCapacity, FleetDeclaration, HeldStage, InstanceId,
    LayerRange, MonoTime, ObservedEngine, PlacementError, PlannedOrder, StagePlacement,
    advance_rollout, count_replicas, place_models, plan_orders,
};
use proptest::prelude::*;
use seeded::seeded;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Number of layers of the model.
const LAYERS: u32 = 24;
/// Time between two rounds of the reconciler.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Rounds without faults after which the declared state must be reached.
const SETTLE_ROUNDS: usize = 200;

/// Simulated engine, which ignores fencing numbers.
#[derive(Debug, Clone)]
struct FakeEngine {
    capacity: EngineCapacity,
    stage: Option<HeldStage>,
    load_rounds: u32,
    busy: u32,
    listed: bool,
}

impl FakeEngine {
    fn take(&mut self, order: &PlannedOrder) {
        let same = match (&self.stage, &order.stage) {
            (Some(held), Some(wanted)) => {
                held.version == wanted.version && held.layers == wanted.layers
            }
            (None, None) => true,
            _ => false,
        };
        if !same {
            self.stage.clone_from(&order.stage);
            self.load_rounds = 2;
            self.busy = 0;
        }
    }

    fn advance_round(&mut self) {
        self.load_rounds = self.load_rounds.saturating_sub(1);
        if self.load_rounds == 0
            && let Some(held) = &mut self.stage
        {
            held.ready = true;
        }
    }

    fn view(&self) -> ObservedEngine {
        ObservedEngine {
            instance: self.capacity.instance.clone(),
            address: self.capacity.address,
            stages: self.stage.iter().cloned().collect(),
            busy: self.busy,
        }
    }

    fn holds(&self, row: &StagePlacement) -> bool {
        let held = self.stage.as_ref();
        held.is_some_and(|held| held.ready && held.matches(row))
    }
}

/// Simulated fleet: the engines, the document in force and the state of the reconciler.
#[derive(Debug)]
struct FleetSim {
    engines: BTreeMap<InstanceId, FakeEngine>,
    document: ConfigDocument,
    drains: DrainTable,
    /// Lost orders, which may still arrive late.
    lost_orders: Vec<PlannedOrder>,
    now: MonoTime,
    /// Largest number of concurrent loads in a plan.
    max_loading: usize,
}

fn declaration(version: &str, replicas: u32, floor: u32) -> FleetDeclaration {
    let text = serde_json::json!({
        "models": [{
            "model": "helpdesk", "version": version, "layers": LAYERS, "layer_bytes": 1_000,
            "replicas": replicas, "floor": floor,
        }],
        "rollout": { "loads_at_once": 2, "drain_seconds": 5 },
    });
    FleetDeclaration::parse(&text.to_string()).expect("a valid declaration")
}

fn capacities(count: usize) -> Vec<EngineCapacity> {
    let capacity = |index: usize| EngineCapacity {
        instance: format!("engine-{index:02}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        domain: format!("domain-{}", index % 3)
            .parse()
            .expect("a valid name"),
        memory_bytes: 8_000,
    };
    (0..count).map(capacity).collect()
}

impl FleetSim {
    fn new(engines: usize, replicas: u32, floor: u32) -> Self {
        let capacities = capacities(engines);
        let declaration = declaration("v1", replicas, floor);
        let plan = place_models(&declaration, &capacities, None).expect("it fits");
        let engine = |capacity: EngineCapacity| FakeEngine {
            capacity,
            stage: None,
            load_rounds: 0,
            busy: 0,
            listed: true,
        };
        let engines = capacities
            .into_iter()
            .map(|o| (o.instance.clone(), engine(o)));
        Self {
            engines: engines.collect(),
            document: ConfigDocument {
                plan: "plan-0".parse().expect("a valid name"),
                author: Arc::from("somchai"),
                declaration,
                placements: plan.placements,
                serving: plan.serving,
            },
            drains: DrainTable::default(),
            lost_orders: Vec::new(),
            now: MonoTime(0),
            max_loading: 0,
        }
    }

    fn capacities(&self) -> Vec<EngineCapacity> {
        let listed = self.engines.values().filter(|engine| engine.listed);
        listed.map(|engine| engine.capacity.clone()).collect()
    }

    fn declare(&mut self, declaration: FleetDeclaration) -> Result<(), PlacementError> {
        let plan = place_models(&declaration, &self.capacities(), Some(&self.document))?;
        self.document.declaration = declaration;
        self.document.placements = plan.placements;
        self.document.serving = plan.serving;
        Ok(())
    }

    /// Runs one round: the placement first, then the orders. `lost` tells by index which orders do
    /// not arrive.
    fn round(&mut self, lost: impl Fn(usize) -> bool) {
        self.now = self.now.after(ROUND_PERIOD);
        let loaded = |row: &StagePlacement| {
            let engine = self.engines.get(&row.instance);
            engine.is_some_and(|engine| engine.listed && engine.holds(row))
        };
        if let Some(next) = advance_rollout(&self.document, &self.capacities(), loaded) {
            self.document = next;
        }
        let listed = self.engines.values().filter(|engine| engine.listed);
        let views: Vec<ObservedEngine> = listed.map(FakeEngine::view).collect();
        let plan = plan_orders(&self.document, &views, &mut self.drains, self.now);
        // Late orders may start loads beyond the limit, so only plans that start loads are checked.
        if plan.orders.iter().any(|order| order.stage.is_some()) {
            self.max_loading = self.max_loading.max(plan.loading);
        }
        for (index, order) in plan.orders.into_iter().enumerate() {
            if lost(index) {
                self.lost_orders.push(order);
            } else if let Some(engine) = self.engines.get_mut(&order.instance) {
                engine.take(&order);
            }
        }
        for engine in self.engines.values_mut() {
            engine.advance_round();
        }
    }

    /// Number of full replicas of the serving version that are loaded on listed engines.
    fn serving_replicas(&self) -> u32 {
        let spec = self
            .document
            .serving_spec(&self.document.declaration.models[0]);
        let serves = |row: &&StagePlacement| {
            let engine = self.engines.get(&row.instance);
            row.version == spec.version && engine.is_some_and(|e| e.listed && e.holds(row))
        };
        let rows: Vec<StagePlacement> = self
            .document
            .placements
            .iter()
            .filter(serves)
            .cloned()
            .collect();
        count_replicas(&rows, spec.layers)
    }

    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.round(|_| false);
        }
    }

    fn is_settled(&self) -> bool {
        let rows = &self.document.placements;
        let spare_empty = self
            .engines
            .values()
            .filter(|engine| engine.listed)
            .all(|engine| engine.stage.is_none() || rows.iter().any(|row| engine.holds(row)));
        let wanted = self.document.declaration.models[0].replicas;
        spare_empty && self.document.serving.is_empty() && self.serving_replicas() == wanted
    }
}

/// Event of a schedule.
#[derive(Debug, Clone, Copy)]
enum FleetFault {
    /// An engine restarts without a stage.
    Restart(usize),
    /// An engine disappears from the instance list.
    Vanish(usize),
    /// All engines are in the instance list again.
    Return,
    /// The oldest lost order arrives late, at an engine that ignores fencing numbers.
    Late,
    /// An engine has requests in progress.
    Busy(usize, u32),
    /// A round runs, in which the orders with a set bit are lost.
    Round(u8),
}

fn any_fault() -> impl Strategy<Value = FleetFault> {
    prop_oneof![
        1 => (0_usize..9).prop_map(FleetFault::Restart),
        1 => (0_usize..9).prop_map(FleetFault::Vanish),
        1 => Just(FleetFault::Return),
        1 => Just(FleetFault::Late),
        2 => (0_usize..9, 0_u32..4).prop_map(|(e, n)| FleetFault::Busy(e, n)),
        8 => any::<u8>().prop_map(FleetFault::Round),
    ]
}

impl FleetSim {
    fn apply(&mut self, fault: FleetFault) {
        let nth = |index: usize| format!("engine-{index:02}").parse::<InstanceId>();
        let find = |index: usize| nth(index).expect("a valid name");
        match fault {
            FleetFault::Restart(index) => {
                if let Some(engine) = self.engines.get_mut(&find(index)) {
                    (engine.stage, engine.busy) = (None, 0);
                }
            }
            FleetFault::Vanish(index) => {
                if let Some(engine) = self.engines.get_mut(&find(index)) {
                    (engine.listed, engine.busy) = (false, 0);
                }
            }
            FleetFault::Return => self.engines.values_mut().for_each(|e| e.listed = true),
            FleetFault::Late => {
                if !self.lost_orders.is_empty() {
                    let order = self.lost_orders.remove(0);
                    if let Some(engine) = self.engines.get_mut(&order.instance) {
                        engine.take(&order);
                    }
                }
            }
            FleetFault::Busy(index, busy) => {
                if let Some(engine) = self.engines.get_mut(&find(index)) {
                    engine.busy = if engine.stage.is_some() { busy } else { 0 };
                }
            }
            FleetFault::Round(lost) => self.round(|index| lost >> (index % 8) & 1 == 1),
        }
    }
}

proptest! {
    #![proptest_config(seeded(600))]

    #[test]
    fn declared_state_comes_back_after_any_faults(
        faults in prop::collection::vec(any_fault(), 0..80),
        change_at in 0_usize..40,
    ) {
        // Arrange: two replicas on nine engines, so that the engines for a third one are spare.
        let mut fleet = FleetSim::new(9, 2, 1);

        // Act
        for (index, fault) in faults.into_iter().enumerate() {
            if index == change_at && fleet.declare(declaration("v2", 2, 1)).is_err() {
                // Refused, as too few engines are listed; the declared state stays.
            }
            fleet.apply(fault);
        }
        fleet.apply(FleetFault::Return);
        for engine in fleet.engines.values_mut() {
            engine.busy = 0;
        }
        fleet.settle();

        // Assert
        prop_assert!(fleet.is_settled(), "{fleet:?}");
        prop_assert!(fleet.max_loading <= 2, "{} at once", fleet.max_loading);
    }

    #[test]
    fn version_change_keeps_the_floor_whatever_orders_are_lost(
        rounds in prop::collection::vec(any::<u8>(), 0..60),
        (engines, replicas, floor) in prop_oneof![
            Just((6, 2, 1)), Just((9, 2, 2)), Just((9, 3, 1)), Just((12, 4, 2)), Just((7, 2, 1)),
        ],
    ) {
        // Arrange: every replica is loaded.
        let mut fleet = FleetSim::new(engines, replicas, floor);
        fleet.settle();
        prop_assert!(fleet.is_settled());

        // Act and assert: the floor holds after each round, with orders lost.
        let change = declaration("v2", replicas, floor);
        if fleet.declare(change).is_err() {
            // Refused, as these engines are too few to keep the floor during the change.
            prop_assert_eq!((engines, floor), (9, 2));
            return Ok(());
        }
        for lost in rounds {
            fleet.apply(FleetFault::Round(lost));
            prop_assert!(fleet.serving_replicas() >= floor, "{fleet:?}");
        }
        for _ in 0..SETTLE_ROUNDS {
            fleet.round(|_| false);
            prop_assert!(fleet.serving_replicas() >= floor, "{fleet:?}");
        }
        prop_assert!(fleet.is_settled(), "{fleet:?}");
    }
}

#[test_case(1, 0; "a stage in use waits")]
#[test_case(0, 1; "an idle stage is replaced")]
fn stage_is_replaced_when_its_requests_have_ended(busy: u32, orders: usize) {
    // Arrange: engine-00 serves a stage of a version that is no longer placed.
    let fleet = FleetSim::new(3, 1, 0);
    let row = fleet.document.placements[0].clone();
    let old = HeldStage {
        model: row.model.clone(),
        version: "v0".parse().expect("a valid name"),
        layers: LayerRange::new(0, 8),
        ready: true,
    };
    let view = ObservedEngine {
        instance: row.instance,
        address: row.address,
        stages: vec![old],
        busy,
    };
    let mut drains = DrainTable::default();

    // Act
    let views = [view];
    let first = plan_orders(&fleet.document, &views, &mut drains, MonoTime(0));
    let later = MonoTime(0).after(Duration::from_secs(5));
    let last = plan_orders(&fleet.document, &views, &mut drains, later);

    // Assert: at the end of the drain limit the stage is replaced in any case.
    assert_eq!(first.orders.len(), orders);
    assert_eq!(last.orders.len(), 1);
}

#[test]
fn shortage_of_an_unchanged_model_leaves_other_changes_alone() {
    // Arrange: an engine is lost and there is no spare one.
    let mut fleet = FleetSim::new(6, 2, 1);
    fleet.apply(FleetFault::Vanish(0));
    let mut wanted = fleet.document.declaration.clone();
    wanted.rollout.loads_at_once = 3;

    // Act
    let changed = fleet.declare(wanted);
    let grown = fleet.declare(declaration("v1", 3, 1));

    // Assert: the placement row of the lost engine stays, as the engine may return.
    assert_eq!(changed, Ok(()));
    assert_eq!(fleet.document.placements.len(), 6);
    assert!(matches!(grown, Err(PlacementError::OutOfCapacity { .. })));
}

/// Numbers of engines and models of the large fleet.
const LARGE_ENGINES: usize = 1_700;
const LARGE_MODELS: usize = 6;

/// Declaration of six models whose replicas take nearly all engines.
fn large_declaration() -> FleetDeclaration {
    let model = |index: usize| {
        serde_json::json!({
            "model": format!("model-{index}"), "version": "v1", "layers": LAYERS,
            "layer_bytes": 1_000, "replicas": 92, "floor": 60,
        })
    };
    let models: Vec<_> = (0..LARGE_MODELS).map(model).collect();
    let text = serde_json::json!({ "models": models, "rollout": { "loads_at_once": 40 } });
    FleetDeclaration::parse(&text.to_string()).expect("a valid declaration")
}

#[test]
fn loss_of_a_failure_domain_at_the_large_size_moves_only_its_stages() {
    // Arrange: 1,656 of 1,700 engines hold a stage, one engine in fifteen is lost.
    let engines = capacities(LARGE_ENGINES);
    let declaration = large_declaration();
    let plan = place_models(&declaration, &engines, None).expect("it fits");
    let mut fleet = FleetSim::new(3, 1, 0);
    fleet.document.declaration = declaration;
    fleet.document.placements = plan.placements;
    let lost = |index: usize| index % 15 == 4;
    let left = engines
        .iter()
        .enumerate()
        .filter(|(index, _)| !lost(*index));
    let left: Vec<EngineCapacity> = left.map(|(_, capacity)| capacity.clone()).collect();

    // Act
    let start = Instant::now();
    let unchanged = advance_rollout(&fleet.document, &engines, |_| true);
    let quiet = start.elapsed();
    let next = advance_rollout(&fleet.document, &left, |_| true);
    println!(
        "a round without a change {quiet:?}, the loss {:?}",
        start.elapsed().saturating_sub(quiet)
    );

    // Assert: every spare engine takes a stage; rows for which no spare engine is left stay.
    assert_eq!(unchanged, None);
    let next = next.expect("the placement changes");
    let before: HashSet<&StagePlacement> = fleet.document.placements.iter().collect();
    let added = next
        .placements
        .iter()
        .filter(|row| !before.contains(row))
        .count();
    let placed: HashSet<&InstanceId> = fleet
        .document
        .placements
        .iter()
        .map(|row| &row.instance)
        .collect();
    let spare = left
        .iter()
        .filter(|capacity| !placed.contains(&capacity.instance))
        .count();
    assert_eq!(added, spare);
    assert_eq!(next.placements.len(), fleet.document.placements.len());
}
