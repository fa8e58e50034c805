//! Sharing of a team's token limit among the daemons that it uses: each daemon enforces a share in
//! proportion to the demand that it sees, and broadcasts that demand to its peers.

use crate::ids::{InstanceId, TeamId};
use crate::units::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// One team's demand on one daemon.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DemandRow {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Demand, in tokens per second.
    #[prost(double, tag = "2")]
    pub tokens_per_second: f64,
}

/// Message with the demand that one daemon sees.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DemandReport {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Demand of the active teams with a limit.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<DemandRow>,
}

/// Time after which the demand of a peer expires.
const DEMAND_TTL: Duration = Duration::from_secs(5);
/// Weight of the newest sample in the moving average of demand.
const DEMAND_GAIN: f64 = 0.5;
/// Largest sum of the smallest shares that daemons enforce so that a team that moves to one of them can
/// start. Together they exceed the limit by no more than this.
const MIN_SHARE_SUM: f64 = 0.1;
/// Most rows that are kept from peers.
const MAX_PEER_ROWS: usize = 65_536;
/// Demand up to which a team counts as idle, in tokens per second.
const IDLE_DEMAND: f64 = 0.5;

/// Demand of the teams with a limit, on this daemon and as received from peers.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    local: HashMap<TeamId, LocalDemand>,
    /// Demand in tokens per second and time of receipt, by team and daemon.
    peers: HashMap<TeamId, HashMap<InstanceId, (f64, MonoTime)>>,
    /// Rows in `peers`.
    peer_rows: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct LocalDemand {
    /// Tokens requested in the current period.
    tokens: f64,
    /// Moving average of the demand, in tokens per second.
    per_second: f64,
}

impl DemandTable {
    /// Counts tokens that a team requested on this daemon.
    pub fn record_tokens(&mut self, team: &TeamId, tokens: f64) {
        self.local.entry(team.clone()).or_default().tokens += tokens;
    }

    /// Ends a period that lasted `span` and returns the rows to send to the peers.
    pub fn end_period(&mut self, span: Duration) -> Vec<DemandRow> {
        let seconds = span.as_secs_f64().max(0.001);
        for demand in self.local.values_mut() {
            let sample = demand.tokens / seconds;
            demand.per_second += (sample - demand.per_second) * DEMAND_GAIN;
            demand.tokens = 0.0;
        }
        self.local
            .retain(|_team, demand| demand.per_second > IDLE_DEMAND);
        let row = |(team, demand): (&TeamId, &LocalDemand)| DemandRow {
            team: team.to_string(),
            tokens_per_second: demand.per_second,
        };
        self.local.iter().map(row).collect()
    }

    /// Records the rows that a peer sent.
    pub fn merge_peer(&mut self, instance: &InstanceId, rows: &[DemandRow], now: MonoTime) {
        self.remove_expired(now);
        for row in rows {
            let Ok(team) = row.team.parse::<TeamId>() else {
                continue;
            };
            if self.peer_rows >= MAX_PEER_ROWS || !row.tokens_per_second.is_finite() {
                return;
            }
            let demands = self.peers.entry(team).or_default();
            let known = demands.insert(instance.clone(), (row.tokens_per_second.max(0.0), now));
            self.peer_rows += usize::from(known.is_none());
        }
    }

    /// Share of the team's limit that this daemon enforces, above 0 and up to 1.
    pub fn limit_share(&self, team: &TeamId, now: MonoTime) -> f64 {
        let local = self.local.get(team).map_or(0.0, |demand| demand.per_second);
        let fresh = |(_, received): &&(f64, MonoTime)| now.since(*received) < DEMAND_TTL;
        let demands = self.peers.get(team).into_iter().flat_map(HashMap::values);
        let rates = demands.filter(fresh).map(|(rate, _)| rate);
        let (peers, peer_demand) =
            rates.fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate));
        if peer_demand <= 0.0 {
            return 1.0;
        }
        let min_share = MIN_SHARE_SUM / f64::from(peers + 1);
        (local / (local + peer_demand)).max(min_share)
    }

    fn remove_expired(&mut self, now: MonoTime) {
        for demands in self.peers.values_mut() {
            demands.retain(|_instance, (_, received)| now.since(*received) < DEMAND_TTL);
        }
        self.peers.retain(|_team, demands| !demands.is_empty());
        self.peer_rows = self.peers.values().map(HashMap::len).sum();
    }
}
