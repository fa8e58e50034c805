//! Decisions about one request: retries, final responses, the shared retry budget, and the selected
//! target or chain.

#[path = "support/shapes.rs"]
mod shapes;

use arbutusmount::{
    BudgetLimits, ChainPart, ChainRequirement, DomainId, InstanceId, LayerChain, LayerRange,
    MAX_RESERVED_SHARE, ModelShape, MonoTime, RefusalCause, RelayFailure, RetryBudget, RetryRule,
    RetryState, RetryStep, ServiceId, StallDetector, StallStep, TargetEntry, pick_chain,
    pick_target,
};
use shapes::{model_on, ready_target};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

fn id(name: &str) -> InstanceId {
    name.parse().expect("an identifier")
}

const STREAM: RetryRule = RetryRule::Stream { resumable: true };
const ONE_WAY_STREAM: RetryRule = RetryRule::Stream { resumable: false };

#[test_case(RetryRule::Idempotent, RelayFailure::OutcomeUnknown => RetryStep::TryNext)]
#[test_case(RetryRule::Idempotent, RelayFailure::NotExecuted => RetryStep::TryNext)]
#[test_case(STREAM, RelayFailure::OutcomeUnknown => RetryStep::TryNext)]
#[test_case(ONE_WAY_STREAM, RelayFailure::OutcomeUnknown => RetryStep::Fail)]
#[test_case(RetryRule::AtMostOnce, RelayFailure::OutcomeUnknown => RetryStep::Fail)]
#[test_case(RetryRule::AtMostOnce, RelayFailure::Failed => RetryStep::Fail)]
#[test_case(RetryRule::AtMostOnce, RelayFailure::NotExecuted => RetryStep::TryNext)]
#[test_case(RetryRule::AtMostOnce, RelayFailure::NotSent => RetryStep::TryNext)]
fn step_after_the_first_failure(rule: RetryRule, failure: RelayFailure) -> RetryStep {
    let mut state = RetryState::new(rule, 2, at(3_000));

    state.on_failure(&id("a"), failure, at(10))
}

#[test]
fn refusal_only_while_nothing_was_executed() {
    let mut state = RetryState::new(RetryRule::Idempotent, 3, at(3_000));
    state.on_failure(&id("a"), RelayFailure::NotExecuted, at(10));
    assert_eq!(state.final_step(), RetryStep::Refuse);

    state.on_failure(&id("b"), RelayFailure::OutcomeUnknown, at(20));

    assert_eq!(state.final_step(), RetryStep::Fail);
}

/// A stream that returns to a target that it had left adds no target to those that may execute it.
#[test]
fn target_that_is_used_again_counts_once() {
    let mut state = RetryState::new(STREAM, 2, at(20_000));
    state.on_start(&id("a"));
    state.on_failure(&id("a"), RelayFailure::OutcomeUnknown, at(10));
    state.on_start(&id("b"));
    state.on_failure(&id("b"), RelayFailure::OutcomeUnknown, at(20));
    assert_eq!(state.next_step(at(20)), RetryStep::Fail);
    assert_eq!(state.next_step_at_used(at(20)), RetryStep::TryNext);

    state.on_start(&id("a"));

    assert_eq!(state.executions(), 2);
    state.on_failure(&id("a"), RelayFailure::OutcomeUnknown, at(30));
    assert_eq!(state.executions(), 2);
}

/// A request that may run once only is not sent again, not even to the same target.
#[test]
fn request_that_may_run_once_does_not_return_to_a_target() {
    let mut state = RetryState::new(ONE_WAY_STREAM, 3, at(20_000));
    state.on_failure(&id("a"), RelayFailure::OutcomeUnknown, at(10));

    assert_eq!(state.next_step_at_used(at(10)), RetryStep::Fail);
}

#[test]
fn no_more_targets_than_the_route_allows() {
    let mut state = RetryState::new(STREAM, 2, at(20_000));
    state.on_failure(&id("a"), RelayFailure::OutcomeUnknown, at(10));

    let step = state.on_failure(&id("b"), RelayFailure::OutcomeUnknown, at(20));

    assert_eq!(step, RetryStep::Fail);
}

/// An attempt that goes on beside another one may be executed, so it counts like a failed one.
#[test]
fn running_attempts_count_towards_max_targets() {
    let mut state = RetryState::new(STREAM, 2, at(20_000));
    state.on_start(&id("a"));
    assert_eq!(state.next_step(at(10)), RetryStep::TryNext);

    state.on_start(&id("b"));

    assert_eq!(state.next_step(at(20)), RetryStep::Fail);
    assert_eq!(state.tried(), [id("a"), id("b")]);
}

#[test]
fn running_attempt_that_was_not_executed_counts_no_longer() {
    let mut state = RetryState::new(STREAM, 1, at(20_000));
    state.on_start(&id("a"));

    state.on_failure(&id("a"), RelayFailure::NotExecuted, at(20));

    assert_eq!(state.next_step(at(30)), RetryStep::TryNext);
    assert_eq!(state.final_step(), RetryStep::Refuse);
    assert_eq!(state.tried(), [id("a")]);
}

#[test]
fn ended_target_does_not_count_towards_max_targets() {
    let mut state = RetryState::new(STREAM, 2, at(20_000));
    state.on_failure(&id("a"), RelayFailure::OutcomeUnknown, at(10));
    state.on_failure(&id("b"), RelayFailure::OutcomeUnknown, at(20));

    state.set_ended(1);

    assert_eq!(state.next_step(at(30)), RetryStep::TryNext);
}

#[test]
fn no_attempt_without_time_for_it() {
    let mut state = RetryState::new(RetryRule::Idempotent, 3, at(1_000));

    let step = state.on_failure(&id("a"), RelayFailure::NotSent, at(990));

    assert_eq!(step, RetryStep::Refuse);
}

/// A daemon without a configuration must respond 503. Just after its start one answered 413 to
/// every body.
#[test_case(RefusalCause::NoConfiguration => 503)]
#[test_case(RefusalCause::NoTarget => 503)]
#[test_case(RefusalCause::Poison => 503)]
#[test_case(RefusalCause::Failed => 502)]
#[test_case(RefusalCause::TimedOut => 504)]
#[test_case(RefusalCause::UnknownKey => 401)]
fn status_of_a_local_reply(cause: RefusalCause) -> u16 {
    cause.status()
}

fn service() -> ServiceId {
    "desk".parse().expect("an identifier")
}

#[test]
fn daemons_together_stay_within_the_budget() {
    let daemons = fleet_budgets();

    let mut granted = 0;
    for step in 0..1_000_u64 {
        // After the first window, in which a daemon spends less.
        let now = at(10_000 + step * 10);
        for budget in &daemons {
            budget.count_request(&service(), now);
            granted += u32::from(budget.try_spend(&service(), 8, now));
        }
    }

    let allowed = 0.2 * 8_000.0 + 200.0;
    assert!(
        f64::from(granted) <= allowed,
        "{granted} retries granted, {allowed} allowed"
    );
    assert!(
        f64::from(granted) >= allowed / 2.0,
        "{granted} retries granted, {allowed} allowed"
    );
}

/// Limits of a fleet of eight daemons.
const FLEET_LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    allowance: 200.0,
    window: Duration::from_secs(10),
};

fn fleet_budgets() -> Vec<RetryBudget> {
    (0..8).map(|_| RetryBudget::new(FLEET_LIMITS)).collect()
}

/// Retries that a budget grants at once.
fn spend_all(budget: &RetryBudget, daemons: usize, now: MonoTime) -> u32 {
    let granted = (0..).take_while(|_| budget.try_spend(&service(), daemons, now));
    granted.count() as u32
}

/// Daemons that have not heard how many they are spend none of the fixed allowance. Each took the
/// whole of it.
#[test]
fn daemons_that_do_not_know_each_other_stay_within_the_budget() {
    let budgets = fleet_budgets();

    let granted: u32 = budgets
        .iter()
        .map(|budget| spend_all(budget, 0, at(1_000)))
        .sum();

    assert!(f64::from(granted) <= FLEET_LIMITS.allowance, "{granted}");
}

/// Daemons that restart do not spend again what they have spent before. A new process knows nothing
/// of that and spent its whole share once more.
#[test]
fn restarted_daemons_stay_within_the_budget() {
    // Arrange: ten requests a second and daemon; then all attempts fail, and the daemons restart.
    let requests = |budgets: &[RetryBudget], from: u64| {
        for step in 0..100 {
            for budget in budgets {
                budget.count_request(&service(), at(from + step * 100));
            }
        }
    };
    let spend = |budgets: &[RetryBudget], now: MonoTime| -> u32 {
        budgets.iter().map(|budget| spend_all(budget, 8, now)).sum()
    };
    let before = fleet_budgets();
    requests(&before, 20_000);
    let spent_before = spend(&before, at(30_000));

    // Act: the clock of a new process starts at zero.
    let after = fleet_budgets();
    requests(&after, 0);
    let spent_after = spend(&after, at(9_990));

    // Assert: both lie within one window.
    let allowed = FLEET_LIMITS.ratio * 800.0 + FLEET_LIMITS.allowance;
    let spent = f64::from(spent_before + spent_after);
    assert!(spent <= allowed, "{spent} of {allowed}");
}

#[test]
fn budget_is_restored_after_its_window() {
    let limits = BudgetLimits {
        ratio: 0.0,
        allowance: 4.0,
        window: Duration::from_secs(10),
    };
    let budget = RetryBudget::new(limits);
    while budget.try_spend(&service(), 1, at(0)) {}

    assert!(!budget.try_spend(&service(), 1, at(9_000)));
    assert!(budget.try_spend(&service(), 1, at(11_000)));
}

fn domain(name: &str) -> DomainId {
    name.parse().expect("an identifier")
}

fn target(name: &str, domain_name: &str, layers: Option<LayerRange>) -> Arc<TargetEntry> {
    ready_target(name, domain_name, "card", layers)
}

fn model() -> ModelShape {
    model_on(10, &[("card", 2.0)])
}

fn chain(name: &str, domain_name: &str, token_ms: f64) -> Arc<LayerChain> {
    let layers = LayerRange::new(0, 10);
    let part = ChainPart {
        target: target(name, domain_name, Some(layers)),
        layers,
    };
    let domain = domain(domain_name);
    Arc::new(LayerChain {
        parts: vec![part],
        domain,
        token_ms,
        token_capacity: 1_000.0,
    })
}

fn pick(chains: &[Arc<LayerChain>], tokens: f64) -> Option<&str> {
    let local = domain("here");
    let requirement = ChainRequirement {
        domain: &local,
        tokens,
        is_resumed: false,
        max_share: MAX_RESERVED_SHARE,
    };
    let mut rng = fastrand::Rng::with_seed(7);
    let chosen = pick_chain(chains, &model(), requirement, &[], at(1_000), &mut rng);
    chosen.map(|chain| chain.head().id.as_str())
}

#[test]
fn chain_of_the_own_domain_is_preferred_until_it_fills() {
    let chains = [chain("far", "there", 2.0), chain("near", "here", 2.0)];
    assert_eq!(pick(&chains, 10.0), Some("near"));

    let _reserved = chains[1].head().stats.reserve(800);

    assert_eq!(pick(&chains, 10.0), Some("far"));
}

/// Requests of other daemons count towards a chain's load. Without them all daemons selected the
/// fastest chain until it preempted requests.
#[test]
fn load_of_other_daemons_counts() {
    let chains = [chain("far", "there", 2.0), chain("near", "here", 2.0)];

    chains[1].head().stats.set_peer_load(800, 3, 0);

    assert_eq!(pick(&chains, 10.0), Some("far"));
}

#[test]
fn no_chain_is_filled_over_its_room() {
    let chains = [chain("near", "here", 2.0)];

    assert_eq!(pick(&chains, 800.0), Some("near"));
    assert_eq!(pick(&chains, 950.0), None);
}

#[test]
fn failing_chain_is_passed_over_and_tried_again_later() {
    let chains = [chain("near", "here", 2.0)];
    chains[0].head().stats.record_failure(at(900));
    assert_eq!(pick(&chains, 10.0), None);

    let local = domain("here");
    let requirement = ChainRequirement {
        domain: &local,
        tokens: 10.0,
        is_resumed: false,
        max_share: MAX_RESERVED_SHARE,
    };
    let mut rng = fastrand::Rng::with_seed(7);
    let later = pick_chain(&chains, &model(), requirement, &[], at(1_400), &mut rng);

    assert!(later.is_some());
}

#[test]
fn plain_target_is_selected_by_the_load_of_all_daemons() {
    let targets = [target("a", "here", None), target("b", "there", None)];
    let local = domain("here");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut choose = || {
        let chosen = pick_target(&targets, &[], &local, at(0), &mut rng);
        chosen.map(|target| target.id.to_string())
    };
    assert_eq!(choose(), Some("a".to_owned()));

    targets[0].stats.set_peer_load(0, 3, 0);

    assert_eq!(choose(), Some("b".to_owned()));
}

/// A target that sheds load without naming a time looks idle, so that each request asked it first.
#[test]
fn target_that_sheds_load_is_used_only_where_no_other_is_left() {
    let targets = [
        target("busy", "here", None),
        target("shedding", "here", None),
    ];
    targets[0].stats.set_peer_load(0, 3, 0);
    let local = domain("here");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut choose = |tried: &[InstanceId], now: MonoTime| {
        let chosen = pick_target(&targets, tried, &local, now, &mut rng);
        chosen.map(|target| target.id.to_string())
    };
    assert_eq!(choose(&[], at(0)), Some("shedding".to_owned()));

    targets[1].stats.shedding().on_refusal(at(10));

    assert_eq!(choose(&[], at(20)), Some("busy".to_owned()));
    assert_eq!(choose(&[id("busy")], at(20)), Some("shedding".to_owned()));
    targets[1].stats.record_success();
    assert_eq!(choose(&[], at(30)), Some("shedding".to_owned()));
}

/// Several servers crash at once: each of 39 daemons of a domain found out by its own failed attempts,
/// and spent its retries on that.
#[test]
fn chain_that_fails_at_two_other_daemons_is_used_only_where_no_other_has_room() {
    let chains = [chain("fast", "here", 1.0), chain("slow", "here", 4.0)];
    let local = domain("here");
    let requirement = ChainRequirement {
        domain: &local,
        tokens: 10.0,
        is_resumed: false,
        max_share: MAX_RESERVED_SHARE,
    };
    let mut rng = fastrand::Rng::with_seed(7);
    let mut choose = |tried: &[InstanceId]| {
        let chosen = pick_chain(&chains, &model(), requirement, tried, at(0), &mut rng);
        chosen.map(|chain| chain.head().id.to_string())
    };
    let fast = &chains[0].head().stats;

    fast.set_peers_failing(1);
    assert_eq!(choose(&[]), Some("fast".to_owned()), "one may be mistaken");
    fast.set_peers_failing(2);
    assert_eq!(choose(&[]), Some("slow".to_owned()));
    assert_eq!(choose(&[id("slow")]), Some("fast".to_owned()));
    fast.set_peers_failing(0);
    assert_eq!(choose(&[]), Some("fast".to_owned()));
}

/// Streams slow down together, and a few of their requests fail: attempts beside the slow ones must not
/// leave nothing for those that have failed.
#[test]
fn attempts_beside_running_ones_leave_retries_for_failed_requests() {
    let budget = RetryBudget::new(BudgetLimits {
        ratio: 0.2,
        allowance: 40.0,
        window: Duration::from_secs(10),
    });
    let now = at(20_000);
    (0..100).for_each(|_| budget.count_request(&service(), now));
    let mut beside = 0;
    while budget.may_spend_beside(&service(), 1, now) && budget.try_spend(&service(), 1, now) {
        beside += 1;
    }

    let left = (0..).take_while(|_| budget.try_spend(&service(), 1, now));
    let left = left.count();

    assert!(beside > 0 && left >= beside, "{beside} beside, {left} left");
}

#[test]
fn target_whose_address_was_taken_over_is_never_chosen() {
    let targets = [target("a", "here", None)];
    targets[0].stats.mark_replaced();
    let local = domain("here");
    let mut rng = fastrand::Rng::with_seed(7);

    assert!(pick_target(&targets, &[], &local, at(0), &mut rng).is_none());
}

/// Pattern: servers crash, and 39 daemons of a failure domain resume three streams each at the same moment,
/// all with the same loads in view. Guards against a queue of prompts at the fastest chain that is left,
/// where resumed streams waited for seconds.
#[test]
fn streams_resumed_at_the_same_moment_are_spread_over_the_chains() {
    // Arrange: as the accelerators of the largest site are.
    let mut chains = vec![chain("fast", "here", 2.4), chain("next", "here", 3.3)];
    chains.extend((0..6).map(|number| chain(&format!("even-{number}"), "here", 5.7)));
    chains.extend((0..4).map(|number| chain(&format!("slow-{number}"), "here", 16.3)));
    chains.extend((0..8).map(|number| chain(&format!("far-{number}"), "there", 2.4)));
    let local = domain("here");
    let requirement = ChainRequirement {
        domain: &local,
        tokens: 10.0,
        is_resumed: true,
        max_share: MAX_RESERVED_SHARE,
    };

    // Act
    let mut streams: BTreeMap<&str, usize> = BTreeMap::new();
    for daemon in 0..39 {
        let mut rng = fastrand::Rng::with_seed(daemon);
        for _ in 0..3 {
            let chosen = pick_chain(&chains, &model(), requirement, &[], at(1_000), &mut rng);
            let chosen = chosen.expect("all have room");
            *streams.entry(chosen.head().id.as_str()).or_default() += 1;
        }
    }

    // Assert: no chain gets a quarter of them, and fast ones get more than slow ones.
    let most = streams.values().max().copied().unwrap_or_default();
    assert!(most < 39 * 3 / 4, "{streams:?}");
    let count = |name: &str| streams.get(name).copied().unwrap_or_default();
    assert!(count("fast") > 2 * count("slow-0"), "{streams:?}");
}

#[test]
fn resumed_stream_may_use_more_of_a_chain() {
    let chains = [chain("near", "here", 2.0)];
    let local = domain("here");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut chosen = |is_resumed: bool| {
        let requirement = ChainRequirement {
            domain: &local,
            tokens: 980.0,
            is_resumed,
            max_share: MAX_RESERVED_SHARE,
        };
        pick_chain(&chains, &model(), requirement, &[], at(0), &mut rng).is_some()
    };

    assert!(!chosen(false));
    assert!(chosen(true));
}

fn detector_after(gaps: &[u64]) -> (StallDetector, u64) {
    let mut detector = StallDetector::new(at(0), Duration::from_millis(300));
    let mut now = 100;
    detector.on_event(at(now));
    for gap in gaps {
        now += gap;
        detector.on_event(at(now));
    }
    (detector, now)
}

#[test]
fn stall_limit_follows_the_gaps_of_the_stream() {
    let (detector, now) = detector_after(&[20, 20, 20, 20, 20, 20]);

    let soon = detector.next_step(at(now + 60));
    let late = detector.next_step(at(now + 130));

    assert!(matches!(soon, StallStep::Wait(_)));
    assert!(matches!(late, StallStep::SeekOther(_)));
}

/// Another chain is looked for as long as a stalled stream lasts, and at short intervals, so that the first
/// one with capacity is found.
#[test_case(700)]
#[test_case(1_800)]
#[test_case(10_000)]
fn another_chain_is_looked_for_as_long_as_a_stream_is_stalled(silence: u64) {
    let (detector, now) = detector_after(&[20, 20, 20]);

    let step = detector.next_step(at(now + silence));

    let StallStep::SeekOther(interval) = step else {
        panic!("the attempt has stalled: {step:?}");
    };
    assert!(interval <= Duration::from_millis(100), "{interval:?}");
}

#[test]
fn time_to_first_event_is_returned_once() {
    let mut detector = StallDetector::new(at(0), Duration::from_millis(300));

    assert_eq!(detector.on_event(at(70)), Some(Duration::from_millis(70)));
    assert_eq!(detector.on_event(at(90)), None);
}

/// Incorrect responses must not make a target count as lost. When they did, the leader planned
/// whole domains from scratch.
#[test]
fn target_that_answers_wrongly_is_not_lost() {
    let target = target("a", "here", None);
    for step in 0..20 {
        target.stats.record_bad_reply(at(step));
        target.stats.set_peer_load(0, 0, 0);
    }

    assert!(!target.stats.is_lost());
}

#[test]
fn target_that_two_daemons_do_not_reach_is_lost() {
    let target = target("a", "here", None);
    target.stats.record_connect(false);
    target.stats.record_connect(false);
    assert!(!target.stats.is_lost());

    target.stats.set_peer_load(0, 0, 1);
    assert!(target.stats.is_lost());

    target.stats.record_success();
    target.stats.set_peer_load(0, 0, 0);
    assert!(!target.stats.is_lost());
}
