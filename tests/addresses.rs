//! Subsets of daemons assigned to teams: spread over failure domains, load balance and stability.

use arbutusmount::{
    AddressPlan, IncarnationNumber, InstanceId, MemberRow, MemberState, TeamId, TeamShare,
    share_by_weight,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;
use test_case::test_case;

/// Minimum number of daemons in a subset.
const MINIMUM: usize = 4;
/// Maximum load of the most loaded daemon, relative to the mean.
const MAX_IMBALANCE: f64 = 1.25;

fn daemons(count: usize, domains: usize) -> Vec<MemberRow> {
    let row = |index: usize| MemberRow {
        instance: format!("router-{index}").parse().expect("names are valid"),
        incarnation: IncarnationNumber(1),
        state: MemberState::Alive,
        ready: true,
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16)),
        failure_domain: format!("domain-{}", index % domains)
            .parse()
            .expect("names are valid"),
    };
    (0..count).map(row).collect()
}

/// Creates teams of which the first `large` have ten times the weight of the others.
fn teams(count: usize, large: usize) -> Vec<TeamShare> {
    let names: Vec<TeamId> = (0..count)
        .map(|index| format!("team-{index}").parse().expect("names are valid"))
        .collect();
    let weight = |index: usize| if index < large { 10 } else { 1 };
    share_by_weight(
        names
            .iter()
            .enumerate()
            .map(|(index, team)| (team, weight(index))),
    )
}

fn names(plan: &AddressPlan, team: &TeamId) -> BTreeSet<InstanceId> {
    plan.subset(team)
        .map(|(row, _)| row.instance.clone())
        .collect()
}

/// Returns the load of the most loaded daemon relative to the mean.
fn imbalance(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

/// Returns the loads of the daemons if all daemons of a subset had the same weight.
fn unweighted_loads(plan: &AddressPlan, teams: &[TeamShare], members: &[MemberRow]) -> Vec<f64> {
    let mut loads: BTreeMap<InstanceId, f64> = BTreeMap::new();
    for member in members {
        loads.insert(member.instance.clone(), 0.0);
    }
    for team in teams {
        let names = names(plan, &team.team);
        for name in &names {
            *loads.entry(name.clone()).or_default() += team.share / names.len() as f64;
        }
    }
    loads.into_values().collect()
}

#[test_case(10, 3, 8, 3; "today")]
#[test_case(2_400, 24, 430, 15; "at the target size")]
fn load_is_even(count: usize, large: usize, members: usize, domains: usize) {
    let (teams, members) = (teams(count, large), daemons(members, domains));
    for minimum in [2, 3, MINIMUM, 6, 8] {
        // Arrange and act
        let start = Instant::now();
        let plan = AddressPlan::new(teams.clone(), members.clone(), minimum);
        let spent = start.elapsed();

        // Assert
        let weighted = imbalance(&plan.expected_loads());
        let unweighted = imbalance(&unweighted_loads(&plan, &teams, &members));
        println!("{count} teams, subsets of {minimum}: {weighted:.3}, {unweighted:.3} unweighted");
        println!("computed in {spent:?}");
        if minimum >= MINIMUM {
            assert!(
                weighted <= MAX_IMBALANCE,
                "{weighted} with subsets of {minimum}"
            );
            assert!(weighted <= unweighted);
        }
    }
}

#[test]
fn subset_spans_failure_domains() {
    // Arrange and act
    let plan = AddressPlan::new(teams(200, 0), daemons(60, 15), MINIMUM);

    // Assert
    for team in teams(200, 0) {
        let rows: Vec<_> = plan.subset(&team.team).collect();
        let domains: BTreeSet<_> = rows.iter().map(|(row, _)| &row.failure_domain).collect();
        assert_eq!((rows.len(), domains.len()), (MINIMUM, MINIMUM));
    }
}

#[test]
fn large_team_is_no_daemons_main_load() {
    // Arrange and act
    let plan = AddressPlan::new(teams(10, 3), daemons(8, 3), MINIMUM);

    // Assert: the three teams with 10/37 of the traffic each use all daemons, the others four.
    let sizes = teams(10, 3);
    let sizes = sizes.iter().map(|team| names(&plan, &team.team).len());
    assert_eq!(sizes.collect::<Vec<_>>(), [8, 8, 8, 4, 4, 4, 4, 4, 4, 4]);
}

#[test]
fn loss_of_a_daemon_moves_only_its_own_teams() {
    // Arrange
    let all = daemons(60, 15);
    let before = AddressPlan::new(teams(200, 0), all.clone(), MINIMUM);
    let gone = all[17].instance.clone();
    let rest: Vec<_> = all.into_iter().filter(|row| row.instance != gone).collect();

    // Act
    let after = AddressPlan::new(teams(200, 0), rest, MINIMUM);

    // Assert
    let mut moved = 0;
    for team in teams(200, 0) {
        let (old, new) = (names(&before, &team.team), names(&after, &team.team));
        if old.contains(&gone) {
            moved += 1;
            assert!(old.difference(&new).count() <= 1, "{old:?} became {new:?}");
        } else {
            assert_eq!(old, new);
        }
    }
    assert!(moved > 0, "the daemon was in no subset");
}

#[test]
fn suspects_stay_with_little_weight() {
    // Arrange
    let mut members = daemons(4, 4);
    members[0].state = MemberState::Suspect;

    // Act
    let plan = AddressPlan::new(teams(5, 0), members.clone(), MINIMUM);

    // Assert
    for team in teams(5, 0) {
        let weights: BTreeMap<_, _> = plan
            .subset(&team.team)
            .map(|(row, weight)| (row.instance.clone(), weight))
            .collect();
        assert!(weights[&members[0].instance] < 0.2 * weights[&members[1].instance]);
    }
}
