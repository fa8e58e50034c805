//! Which daemons each team uses: a small subset by rendezvous hashing, spread over failure domains,
//! with weights that even out the daemons' load.

use crate::hash::stable_hash;
use crate::ids::{DomainId, TeamId};
use crate::membership::row::{MemberRow, MemberState};
use std::collections::{BTreeMap, HashMap};

/// A team that makes up one daemon's share of the traffic is spread over this many daemons.
const SPREAD_FACTOR: f64 = 4.0;
/// Rounds of evening out the weights.
const BALANCE_ROUNDS: u32 = 12;
/// Lowest and highest weight of a row before rows are compared with each other.
const WEIGHT_RANGE: (f64, f64) = (0.2, 5.0);
/// Factor on the weight of a daemon that is suspected to have failed.
const SUSPECT_FACTOR: f64 = 0.1;

/// A team and its share of all teams' traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamShare {
    /// Team.
    pub team: TeamId,
    /// Share, from 0 to 1.
    pub share: f64,
}

/// One daemon of a team's subset, by its index, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SubsetRow {
    member: usize,
    weight: f64,
}

/// The subsets of all teams. Equal input gives equal subsets on every daemon.
#[derive(Debug, Clone)]
pub struct AddressPlan {
    teams: Vec<TeamShare>,
    members: Vec<MemberRow>,
    subsets: HashMap<TeamId, Vec<SubsetRow>>,
}

impl AddressPlan {
    /// Plans the subsets; each has at least `minimum` daemons, as far as there are so many.
    pub fn new(teams: Vec<TeamShare>, members: Vec<MemberRow>, minimum: usize) -> Self {
        let mut subsets: Vec<Vec<SubsetRow>> = teams
            .iter()
            .map(|team| choose_subset(team, &members, minimum))
            .collect();
        for _ in 0..BALANCE_ROUNDS {
            balance(&teams, members.len(), &mut subsets);
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

    /// True when the plan was made from this input.
    pub fn is_current_for(&self, teams: &[TeamShare], members: &[MemberRow]) -> bool {
        self.teams == teams && self.members == members
    }

    /// The daemons of a team's subset with their weights, the highest-ranked first.
    pub fn subset(&self, team: &TeamId) -> impl Iterator<Item = (&MemberRow, f64)> {
        let rows = self.subsets.get(team).into_iter().flatten();
        rows.map(|row| (&self.members[row.member], row.weight))
    }

    /// Expected load of each daemon, in shares of all traffic.
    pub fn expected_loads(&self) -> Vec<f64> {
        let subsets = self.teams.iter().map(|team| &self.subsets[&team.team]);
        add_loads(&self.teams, subsets, self.members.len())
    }
}

/// Shares of teams by their weights in the declaration.
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

/// Daemons that a team of this share needs so that it is no daemon's main load.
fn subset_size(share: f64, members: usize, minimum: usize) -> usize {
    let wanted = (share * members as f64 * SPREAD_FACTOR).ceil() as usize;
    wanted.max(minimum).min(members)
}

/// The members of highest rank for the team, each time from the domains chosen least so far.
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
    // Rank within the domain comes first, so that each round takes one member of every domain.
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

/// Shifts each team's weights from loaded daemons to others, within [`WEIGHT_RANGE`].
fn balance(teams: &[TeamShare], members: usize, subsets: &mut [Vec<SubsetRow>]) {
    let loads = add_loads(teams, subsets.iter(), members);
    let mean = loads.iter().sum::<f64>() / members.max(1) as f64;
    for row in subsets.iter_mut().flatten() {
        let correction = (mean / loads[row.member].max(f64::MIN_POSITIVE)).sqrt();
        let (low, high) = WEIGHT_RANGE;
        row.weight = (row.weight * correction).clamp(low, high);
    }
}

fn add_loads<'a>(
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
