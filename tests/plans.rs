//! Plans: the cost they report, and the edited plans that validation rejects.

use arbutusmount::{
    CapacityChange, ConfigDocument, ConfigRevision, EngineCapacity, FleetDeclaration, FleetPlan,
    InstanceId, PlacementError, PlanChange, PlanInputs, check_plan, format_plan, make_plan,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;

fn declaration(version: &str, replicas: u32, floor: u32) -> FleetDeclaration {
    let text = serde_json::json!({
        "models": [{
            "model": "helpdesk", "version": version, "layers": 24, "layer_bytes": 1_000,
            "replicas": replicas, "floor": floor,
        }],
        "rollout": { "weight_bytes_per_second": 2_000 },
    });
    FleetDeclaration::parse(&text.to_string()).expect("a valid declaration")
}

fn engines(count: usize) -> Vec<EngineCapacity> {
    let engine = |index: usize| EngineCapacity {
        instance: format!("engine-{index}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        domain: "bangna".parse().expect("a valid name"),
        memory_bytes: 8_000,
    };
    (0..count).map(engine).collect()
}

/// Makes a plan for `wanted` on `count` engines with two requests in flight on each.
fn plan_for(
    current: Option<&ConfigDocument>,
    wanted: FleetDeclaration,
    count: usize,
) -> Result<FleetPlan, PlacementError> {
    let engines = engines(count);
    let busy = |engine: &EngineCapacity| (engine.instance.clone(), 2);
    let load: BTreeMap<InstanceId, u32> = engines.iter().map(busy).collect();
    let inputs = PlanInputs {
        base: ConfigRevision(u64::from(current.is_some())),
        current,
        engines: &engines,
        load: &load,
        plan: "plan-1".parse().expect("a valid name"),
        author: Arc::from("somchai"),
    };
    make_plan(inputs, wanted)
}

fn loads(plan: &FleetPlan) -> usize {
    let is_load = |change: &&PlanChange| matches!(change, PlanChange::Load(_));
    plan.changes.iter().filter(is_load).count()
}

#[test]
fn version_change_is_planned_in_steps_and_costed_whole() {
    // Arrange
    let first = plan_for(None, declaration("v1", 2, 1), 6).expect("it fits");

    // Act
    let plan = plan_for(Some(&first.document), declaration("v2", 2, 1), 6).expect("it fits");

    // Assert: one replica of three stages loads first; the cost covers both replicas.
    assert_eq!(loads(&plan), 3);
    assert_eq!(plan.cost.weight_bytes, 2 * 24 * 1_000);
    assert!((plan.cost.load_seconds - 24.0).abs() < 1e-9);
    assert_eq!(plan.cost.requests_to_drain, 6);
    let expected = CapacityChange {
        model: "helpdesk".parse().expect("a valid name"),
        serving: "v1".parse().expect("a valid name"),
        before: 2,
        during: 1,
        after: 2,
    };
    assert_eq!(plan.cost.capacity, [expected]);
    let text = format_plan(&plan);
    for part in [
        "against revision 1",
        "modify  model helpdesk",
        "24.0 s",
        "during",
    ] {
        assert!(text.contains(part), "{part} is missing:\n{text}");
    }
}

#[test]
fn change_of_a_team_costs_nothing() {
    // Arrange
    let first = plan_for(None, declaration("v1", 1, 1), 3).expect("it fits");
    let mut wanted = first.document.declaration.clone();
    let team = serde_json::json!({ "team": "audit", "token_sha256": "00".repeat(32) });
    wanted
        .teams
        .push(serde_json::from_value(team).expect("a valid team"));

    // Act
    let plan = plan_for(Some(&first.document), wanted, 3).expect("it fits");

    // Assert
    let added = PlanChange::Add {
        item: "team audit".to_owned(),
    };
    assert_eq!(plan.changes, [added]);
    assert_eq!(plan.cost, arbutusmount::PlanCost::default());
}

#[test]
fn stage_of_a_lost_engine_moves_alone() {
    // Arrange: four engines were listed; the engine of the first stage is lost.
    let first = plan_for(None, declaration("v1", 1, 1), 4).expect("it fits");
    let lost = first.document.placements[0].instance.clone();
    let mut listed = engines(4);
    listed.retain(|engine| engine.instance != lost);

    // Act
    let next = arbutusmount::advance_rollout(&first.document, &listed, |_| true);

    // Assert: the other two stages stay in place.
    let next = next.expect("the stage moves");
    let kept = next
        .placements
        .iter()
        .filter(|row| first.document.placements.contains(row));
    assert_eq!(kept.count(), 2);
    assert_eq!(next.placements.len(), 3);
    assert_eq!(next.declaration, first.document.declaration);
}

#[test_case(6, 1, true; "one copy stays and one changes")]
#[test_case(6, 2, false; "both copies must stay and no engine is spare")]
#[test_case(12, 2, true; "both copies stay and spare engines load")]
fn version_change_is_refused_where_the_floor_cannot_be_kept(
    count: usize,
    floor: u32,
    possible: bool,
) {
    // Arrange
    let first = plan_for(None, declaration("v1", 2, floor), count).expect("it fits");

    // Act
    let plan = plan_for(Some(&first.document), declaration("v2", 2, floor), count);

    // Assert
    match plan {
        Ok(plan) => {
            assert!(possible);
            assert!(plan.cost.capacity[0].during >= floor);
        }
        Err(cause) => {
            assert!(!possible, "{cause}");
            assert!(matches!(cause, PlacementError::FloorUnreachable { .. }));
        }
    }
}

type PlanEdit = fn(&mut ConfigDocument);

#[test_case(|document| document.declaration.models[0].floor = 9, "$.models[0].floor"; "floor")]
#[test_case(|document| document.declaration.models[0].layers = 0, "$.models[0].layers"; "layers")]
#[test_case(|document| document.declaration.models.clear(), "undeclared model"; "model")]
#[test_case(|document| document.placements[1] = document.placements[0].clone(), "twice"; "engine")]
#[test_case(|document| document.placements[0].layers.to = 99, "does not fit"; "range")]
fn edited_plan_is_refused_by_its_check(edit: PlanEdit, cause: &str) {
    // Arrange
    let mut plan = plan_for(None, declaration("v1", 1, 1), 3).expect("it fits");
    let before = check_plan(&plan.document);

    // Act
    edit(&mut plan.document);
    let after = check_plan(&plan.document);

    // Assert
    assert_eq!(before, Ok(()));
    let detail = after.expect_err("the plan is refused");
    assert!(detail.contains(cause), "{detail}");
}
