//! The membership protocol under random schedules of faults, without sockets or clocks: once all
//! faults have ended, all views agree within a bounded number of periods.

#[path = "support/member_net.rs"]
mod member_net;

use arbutusmount::{InstanceId, MemberState};
use member_net::{MemberNet, NetFaults, PERIOD, name_of};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::Cell;
use std::collections::BTreeSet;
use test_case::test_case;

/// Number of periods within which all views must agree after all faults have ended: the suspicion
/// time of eight members, one rotation of the probes of dead members, and the gossip of
/// refutations.
const AGREE_PERIODS: u32 = 60;
/// Default seed of the schedules; `ARBUTUSMOUNT_SEED` overrides it.
const SEED: u64 = 20_261_203;

/// One fault of a schedule; member indexes are taken modulo the number of members.
#[derive(Debug, Clone)]
enum Fault {
    Loss(u8),
    Duplicate(u8),
    Cut(usize, usize),
    CutInbound(usize),
    CutOutbound(usize),
    Partition(usize),
    Repair,
    Pause(usize, u32),
    Crash(usize),
    Restart(usize, u64),
    Leave(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_u8..60).prop_map(Fault::Loss),
        (0_u8..60).prop_map(Fault::Duplicate),
        (0_usize..8, 0_usize..8).prop_map(|(from, to)| Fault::Cut(from, to)),
        (0_usize..8).prop_map(Fault::CutInbound),
        (0_usize..8).prop_map(Fault::CutOutbound),
        (1_usize..8).prop_map(Fault::Partition),
        Just(Fault::Repair),
        (0_usize..8, 1_u32..40).prop_map(|(node, periods)| Fault::Pause(node, periods)),
        (0_usize..8).prop_map(Fault::Crash),
        (0_usize..8, 0_u64..5).prop_map(|(node, incarnation)| Fault::Restart(node, incarnation)),
        (0_usize..8).prop_map(Fault::Leave),
    ]
}

/// Generates a schedule: the number of members, the seed of the network, and faults, each with the
/// number of periods that follow it.
fn schedule() -> impl Strategy<Value = (usize, u64, Vec<(Fault, u32)>)> {
    let steps = prop::collection::vec((fault(), 1_u32..15), 1..10);
    (3_usize..=8, any::<u64>(), steps)
}

fn apply(net: &mut MemberNet, count: usize, leaving: &mut BTreeSet<usize>, fault: &Fault) {
    let all = || 0..count;
    match *fault {
        Fault::Loss(percent) => net.faults.loss_percent = percent,
        Fault::Duplicate(percent) => net.faults.duplicate_percent = percent,
        Fault::Cut(from, to) => {
            net.faults.cuts.insert((from % count, to % count));
        }
        Fault::CutInbound(node) => net
            .faults
            .cuts
            .extend(all().map(|from| (from, node % count))),
        Fault::CutOutbound(node) => net.faults.cuts.extend(all().map(|to| (node % count, to))),
        Fault::Partition(size) => {
            for (from, to) in all().flat_map(|from| all().map(move |to| (from, to))) {
                if (from < size) != (to < size) {
                    net.faults.cuts.insert((from, to));
                }
            }
        }
        Fault::Repair => net.faults = NetFaults::default(),
        Fault::Pause(node, periods) => net.pause(node % count, PERIOD * periods),
        Fault::Crash(node) => net.crash(node % count),
        Fault::Restart(node, incarnation) => {
            net.crash(node % count);
            net.start(node % count, incarnation + 1);
            leaving.remove(&(node % count));
        }
        Fault::Leave(node) => {
            if net.is_running(node % count) {
                net.leave(node % count);
                leaving.insert(node % count);
            }
        }
    }
}

fn names(nodes: impl Iterator<Item = usize>) -> BTreeSet<InstanceId> {
    nodes.map(name_of).collect()
}

/// Creates a test runner and prints its seed; `PROPTEST_CASES` sets the number of schedules.
fn runner() -> TestRunner {
    let seed = std::env::var("ARBUTUSMOUNT_SEED").ok();
    let seed = seed.and_then(|text| text.parse().ok()).unwrap_or(SEED);
    println!("seed {seed}");
    TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Returns the number of periods until all running members list exactly `wanted`; `None` when that
/// takes more than [`AGREE_PERIODS`].
fn periods_to_agree(net: &mut MemberNet, wanted: &BTreeSet<InstanceId>) -> Option<u32> {
    for periods in 0..=AGREE_PERIODS {
        if net.agrees_on(wanted) {
            return Some(periods);
        }
        net.run_periods(1);
    }
    None
}

#[test]
fn views_agree_after_any_schedule_has_healed() {
    let slowest = Cell::new(0);
    let outcome = runner().run(&schedule(), |(count, seed, steps)| {
        // Arrange
        let mut net = MemberNet::new(count, seed);
        net.run_periods(10);
        let mut leaving = BTreeSet::new();

        // Act
        for (fault, periods) in &steps {
            apply(&mut net, count, &mut leaving, fault);
            net.run_periods(*periods);
        }
        net.heal();

        // Assert: they agree within the bound, and still agree later.
        let serves = |node: &usize| net.is_running(*node) && !leaving.contains(node);
        let wanted = names((0..count).filter(serves));
        let periods = periods_to_agree(&mut net, &wanted);
        prop_assert!(periods.is_some(), "no agreement on {wanted:?}");
        slowest.set(periods.unwrap_or_default().max(slowest.get()));
        net.run_periods(AGREE_PERIODS);
        prop_assert!(net.agrees_on(&wanted), "agreement on {wanted:?} was lost");
        Ok(())
    });
    println!("slowest agreement after {} periods", slowest.get());
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test_case(8, 20; "a small fleet")]
#[test_case(64, 25; "a middle fleet")]
fn crashed_member_is_dropped_everywhere(count: usize, limit: u32) {
    // Arrange
    let mut net = MemberNet::new(count, SEED);
    net.run_periods(30);
    assert!(
        net.agrees_on(&names(0..count)),
        "the views do not agree at the start"
    );

    // Act
    net.crash(0);

    // Assert
    let wanted = names(1..count);
    let mut periods = 0;
    while !net.agrees_on(&wanted) {
        assert!(periods < limit, "not dropped in {periods} periods");
        net.run_periods(1);
        periods += 1;
    }
    println!("{count} members: dropped after {periods} periods");
}

#[test_case(8, 2; "a small fleet")]
#[test_case(64, 4; "a middle fleet")]
fn leaving_member_is_dropped_within_few_heartbeats(count: usize, limit: u32) {
    // Arrange
    let mut net = MemberNet::new(count, SEED);
    net.run_periods(40);

    assert!(
        net.agrees_on(&names(0..count)),
        "the views do not agree at the start"
    );

    // Act
    net.leave(0);

    // Assert
    let periods = periods_to_agree(&mut net, &names(1..count));
    println!("{count} members: left after {periods:?} periods");
    assert!(
        periods.is_some_and(|periods| periods <= limit),
        "{periods:?}"
    );
}

#[test_case(8, 25; "a small fleet")]
#[test_case(64, 15; "a middle fleet")]
fn lossy_links_bring_no_live_member_down(count: usize, loss_percent: u8) {
    // Arrange
    let mut net = MemberNet::new(count, SEED);
    net.run_periods(30);

    // Act
    net.faults.loss_percent = loss_percent;

    // Assert
    for period in 0..300 {
        net.run_periods(1);
        assert_eq!(
            net.members_considered_dead(),
            BTreeSet::new(),
            "period {period}"
        );
    }
}

#[test]
fn member_that_is_not_ready_is_known_but_not_named() {
    // Arrange
    let mut net = MemberNet::new(3, SEED);
    net.run_periods(10);

    // Act
    net.crash(2);
    net.start_unready(2, 9);
    net.run_periods(10);

    // Assert
    let view = net.protocol(0).expect("it runs").view();
    let peers = view.live_peers().count();
    assert_eq!(peers, 2);
    assert_eq!(net.serving_members(0), names(0..2));
}

#[test]
fn member_cut_off_from_one_other_stays_named_by_all() {
    // Arrange
    let mut net = MemberNet::new(8, SEED);
    net.run_periods(30);

    // Act: messages from member 1 to member 0 are lost, and between members 2 and 3 both ways.
    net.faults.cuts.extend([(1, 0), (2, 3), (3, 2)]);

    // Assert: indirect probes keep every member in all views.
    for _ in 0..100 {
        net.run_periods(1);
        assert!(net.agrees_on(&names(0..8)));
    }
}

#[test]
fn pause_does_not_run_out_the_time_of_suspects() {
    // Arrange: member 1 is cut off until member 0 suspects it.
    let mut net = MemberNet::new(3, SEED);
    net.run_periods(20);
    net.faults.cuts.extend([(0, 1), (2, 1)]);
    let is_suspect = |net: &MemberNet| {
        let view = net.protocol(0).expect("it runs").view();
        view.count(MemberState::Suspect) == 1
    };
    while !is_suspect(&net) {
        net.run_periods(1);
    }

    // Act: the links recover while member 0 is paused for longer than the suspicion time.
    net.faults = NetFaults::default();
    net.pause(0, PERIOD * 40);
    net.run_periods(60);

    // Assert: member 0 receives the refutation before it declares member 1 dead.
    let changes = net.take_changes(0);
    let died = changes.iter().any(|change| change.to == MemberState::Dead);
    assert!(!died, "{changes:?}");
    assert!(net.agrees_on(&names(0..3)));
}

#[test]
fn member_that_was_alone_does_not_bring_down_the_others() {
    // Arrange: member 0 is cut off until it considers all others dead.
    let mut net = MemberNet::new(8, SEED);
    net.run_periods(30);
    for other in 1..8 {
        net.faults.cuts.extend([(0, other), (other, 0)]);
    }
    net.run_periods(60);
    assert!(net.agrees_except(0, &names(1..8)));
    let refutations = |net: &MemberNet| -> u64 {
        let others = (1..8).filter_map(|node| net.protocol(node));
        others.map(|protocol| protocol.counts().refutations).sum()
    };
    let before = refutations(&net);

    // Act
    net.heal();

    // Assert: the others list each other throughout.
    for _ in 0..AGREE_PERIODS {
        net.run_periods(1);
        for node in 1..8 {
            assert!(
                net.serving_members(node).is_superset(&names(1..8)),
                "view of {node}"
            );
        }
    }
    assert!(net.agrees_on(&names(0..8)));
    // Member 0 withdraws the deaths it declared, so that no member has to refute them.
    assert_eq!(refutations(&net) - before, 0);
}
