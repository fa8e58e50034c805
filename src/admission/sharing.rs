//! Sharing of a team's limit among the daemons that it uses: each enforces a part in proportion to
//! the demand that it sees, and tells the others that demand.

use crate::ids::{InstanceId, TeamId};
use crate::units::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// One team's demand on one daemon.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DemandRow {
    /// Team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Demand, in tokens a second.
    #[prost(double, tag = "2")]
    pub tokens_per_second: f64,
}

/// Demand that one daemon sees, sent to the others.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DemandReport {
    /// Daemon.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Teams with a limit that have been active.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<DemandRow>,
}

/// Time after which another daemon's demand is forgotten.
const DEMAND_TTL: Duration = Duration::from_secs(5);
/// Weight of the newest sample in the moving average of demand.
const DEMAND_SHARE: f64 = 0.5;
/// Smallest part of a limit that a daemon enforces, so that a team that moves to it can start.
const MIN_PART: f64 = 0.05;
/// Demand rows kept from other daemons.
const MAX_ROWS: usize = 65_536;
/// Demand below which a team counts as idle, in tokens a second.
const IDLE_DEMAND: f64 = 0.5;

/// Demand of teams with limits, own and as told by other daemons.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    own: HashMap<TeamId, OwnDemand>,
    others: HashMap<TeamId, HashMap<InstanceId, (f64, MonoTime)>>,
    other_rows: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct OwnDemand {
    tokens: f64,
    per_second: f64,
}

impl DemandTable {
    /// Counts tokens that a team asked for here.
    pub fn record_tokens(&mut self, team: &TeamId, tokens: f64) {
        self.own.entry(team.clone()).or_default().tokens += tokens;
    }

    /// Ends a period of `span` and returns what to tell the others.
    pub fn end_period(&mut self, span: Duration) -> Vec<DemandRow> {
        let seconds = span.as_secs_f64().max(0.001);
        for demand in self.own.values_mut() {
            let sample = demand.tokens / seconds;
            demand.per_second += (sample - demand.per_second) * DEMAND_SHARE;
            demand.tokens = 0.0;
        }
        self.own
            .retain(|_team, demand| demand.per_second > IDLE_DEMAND);
        let row = |(team, demand): (&TeamId, &OwnDemand)| DemandRow {
            team: team.to_string(),
            tokens_per_second: demand.per_second,
        };
        self.own.iter().map(row).collect()
    }

    /// Takes what another daemon told.
    pub fn merge_peer(&mut self, instance: &InstanceId, rows: &[DemandRow], now: MonoTime) {
        self.forget_old(now);
        for row in rows {
            let Ok(team) = row.team.parse::<TeamId>() else {
                continue;
            };
            if self.other_rows >= MAX_ROWS || !row.tokens_per_second.is_finite() {
                return;
            }
            let demands = self.others.entry(team).or_default();
            let known = demands.insert(instance.clone(), (row.tokens_per_second.max(0.0), now));
            self.other_rows += usize::from(known.is_none());
        }
    }

    /// Part of the team's limit that this daemon enforces, from 0 to 1.
    pub fn limit_share(&self, team: &TeamId, now: MonoTime) -> f64 {
        let own = self.own.get(team).map_or(0.0, |demand| demand.per_second);
        let fresh = |(_, heard): &&(f64, MonoTime)| now.since(*heard) < DEMAND_TTL;
        let others: f64 = self.others.get(team).map_or(0.0, |demands| {
            demands.values().filter(fresh).map(|(rate, _)| rate).sum()
        });
        if others <= 0.0 {
            return 1.0;
        }
        (own / (own + others)).max(MIN_PART)
    }

    fn forget_old(&mut self, now: MonoTime) {
        for demands in self.others.values_mut() {
            demands.retain(|_instance, (_, heard)| now.since(*heard) < DEMAND_TTL);
        }
        self.others.retain(|_team, demands| !demands.is_empty());
        self.other_rows = self.others.values().map(HashMap::len).sum();
    }
}
