//! Assignment of daemons to teams: a small subset per team, chosen by rendezvous hashing across
//! failure domains, with weights that balance the load of the daemons.

use crate::hash::stable_hash;
use crate::ids::{DomainId, TeamId};
use crate::membership::row::{MemberRow, MemberState};
use std::collections::{BTreeMap, HashMap};

/// Number of daemons over which a team with one daemon's average share of the traffic is spread.
const SPREAD_DAEMONS: f64 = 4.0;
/// Number of iterations of the weight balancing.
const BALANCE_ITERATIONS: u32 = 12;
/// Lowest and highest weight of a daemon in a subset, before the factor for suspects is applied.
/// Only the ratio of the weights within a subset matters.
const WEIGHT_RANGE: (f64, f64) = (0.2, 5.0);
/// Factor applied to the weight of a suspect daemon.
const SUSPECT_FACTOR: f64 = 0.1;

/// Share of a team in the traffic of all teams.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// Team name.
    pub team: TeamId,
    /// Share of the traffic, from 0 to 1.
    pub share: f64,
}

/// Daemon in a team's subset, as an index into the members, with its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SubsetRow {
    member: usize,
    weight: f64,
}

/// Subsets of daemons for all teams. The same input gives the same subsets on every daemon.
#[derive(Debug, Clone)]
pub struct AddressPlan {
    teams: Vec<TeamShare>,
    members: Vec<MemberRow>,
    subsets: HashMap<TeamId, Vec<SubsetRow>>,
}

impl AddressPlan {
    /// Computes the subsets, each of at least `minimum` daemons if there are that many.
    pub fn new(teams: Vec<TeamShare>, members: Vec<MemberRow>, minimum: usize) -> Self {
        let mut subsets: Vec<Vec<SubsetRow>> = teams
            .iter()
            .map(|team| choose_subset(team, &members, minimum))
            .collect();
        for _ in 0..BALANCE_ITERATIONS {
            balance_weights(&teams, members.len(), &mut subsets);
        }
        for row in subsets.iter_mut().flatten() {
            if members[row.member].state == MemberState::Suspect {
                row.weight *= SUSPECT_FACTOR;
            }
        }
        let names = teams.iter().map(|team| team.team.clone());
        Self {
            subsets: names.zip(subsets).collect(),
            teams,
            members,
        }
    }

    /// Returns true when the plan was computed from this input.
    pub fn is_current_for(&self, teams: &[TeamShare], members: &[MemberRow]) -> bool {
        self.teams == teams && self.members == members
    }

    /// Iterates over the daemons of a team's subset with their weights, highest rank first.
    pub fn subset(&self, team: &TeamId) -> impl Iterator<Item = (&MemberRow, f64)> {
        let rows = self.subsets.get(team).into_iter().flatten();
        rows.map(|row| (&self.members[row.member], row.weight))
    }

    /// Returns the expected load of each daemon, as a share of all traffic.
    pub fn expected_loads(&self) -> Vec<f64> {
        let subsets = self.teams.iter().map(|team| &self.subsets[&team.team]);
        compute_loads(&self.teams, subsets, self.members.len())
    }
}

/// Computes the shares of teams from their weights in the declaration.
pub fn share_by_weight<'a>(teams: impl Iterator<Item = (&'a TeamId, u32)>) -> Vec<TeamShare> {
    let teams: Vec<_> = teams.collect();
    let total: f64 = teams.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let share = |weight: u32| f64::from(weight) / total.max(1.0);
    let rows = teams.into_iter().map(|(team, weight)| TeamShare {
        team: team.clone(),
        share: share(weight),
    });
    rows.collect()
}

/// Returns the subset size for a team of this share: large enough that the team does not dominate
/// the load of any daemon, and at least `minimum`.
fn subset_size(share: f64, members: usize, minimum: usize) -> usize {
    let wanted = (share * members as f64 * SPREAD_DAEMONS).ceil() as usize;
    wanted.max(minimum).min(members)
}

/// Chooses the members of highest rank for the team, in rounds that each take one member from every
/// failure domain.
fn choose_subset(team: &TeamShare, members: &[MemberRow], minimum: usize) -> Vec<SubsetRow> {
    let mut domains: BTreeMap<&DomainId, Vec<(u64, usize)>> = BTreeMap::new();
    for (index, member) in members.iter().enumerate() {
        let name = member.instance.as_str().as_bytes();
        let rank = stable_hash(&[team.team.as_str().as_bytes(), name]);
        domains
            .entry(&member.failure_domain)
            .or_default()
            .push((rank, index));
    }
    // Sorting by the position within the domain first makes each round take one member per domain.
    let mut order: Vec<(usize, u64, usize)> = Vec::with_capacity(members.len());
    for ranks in domains.values_mut() {
        ranks.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let rows = ranks.iter().enumerate();
        order.extend(rows.map(|(round, (rank, index))| (round, *rank, *index)));
    }
    order.sort_unstable_by_key(|(round, rank, _)| (*round, std::cmp::Reverse(*rank)));
    order.truncate(subset_size(team.share, members.len(), minimum));
    let row = |(_, _, member)| SubsetRow {
        member,
        weight: 1.0,
    };
    order.into_iter().map(row).collect()
}

/// One iteration of balancing: shifts each team's weights from daemons above the mean load to those
/// below it, within [`WEIGHT_RANGE`].
fn balance_weights(teams: &[TeamShare], members: usize, subsets: &mut [Vec<SubsetRow>]) {
    let loads = compute_loads(teams, subsets.iter(), members);
    let mean = loads.iter().sum::<f64>() / members.max(1) as f64;
    for row in subsets.iter_mut().flatten() {
        let correction = (mean / loads[row.member].max(f64::MIN_POSITIVE)).sqrt();
        let (low, high) = WEIGHT_RANGE;
        row.weight = (row.weight * correction).clamp(low, high);
    }
}

fn compute_loads<'a>(
    teams: &[TeamShare],
    subsets: impl Iterator<Item = &'a Vec<SubsetRow>>,
    members: usize,
) -> Vec<f64> {
    let mut loads = vec![0.0; members];
    for (team, subset) in teams.iter().zip(subsets) {
        let total: f64 = subset.iter().map(|row| row.weight).sum();
        for row in subset {
            loads[row.member] += team.share * row.weight / total;
        }
    }
    loads
}
