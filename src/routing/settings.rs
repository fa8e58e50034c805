//! Settings of the routing policy.

use crate::check::{FieldKind, FieldRule};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Policy by which the chain of a request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The engines at each boundary in turn.
    RoundRobin,
    /// The chain whose engines have the fewest requests in flight from this daemon.
    LeastInFlight,
    /// The less loaded of two stages drawn at random, at each boundary.
    TwoChoices,
    /// The chain with the shortest expected time for one token.
    ExpectedTime,
    /// The faster of two stages drawn by the weights of the maximum flow, at each boundary.
    #[default]
    FlowWeighted,
}

/// Names of the policies in the settings, in the order of the variants.
const POLICY_NAMES: &[&str] = &[
    "round_robin",
    "least_in_flight",
    "two_choices",
    "expected_time",
    "flow_weighted",
];

const POLICIES: [PolicyName; 5] = [
    PolicyName::RoundRobin,
    PolicyName::LeastInFlight,
    PolicyName::TwoChoices,
    PolicyName::ExpectedTime,
    PolicyName::FlowWeighted,
];

impl PolicyName {
    /// All policies.
    pub fn all() -> [Self; 5] {
        POLICIES
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(POLICY_NAMES[*self as usize])
    }
}

/// Error of parsing a policy name: no policy has this name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyError;

impl FromStr for PolicyName {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let index = POLICY_NAMES.iter().position(|name| *name == text);
        index.map(|index| POLICIES[index]).ok_or(PolicyError)
    }
}

/// Settings of routing.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RoutingSettings {
    /// Policy by which chains are chosen.
    pub policy: PolicyName,
    /// Shortest wait for a token before its chain is probed, in milliseconds.
    pub token_floor_ms: u64,
    /// Longest wait for a token before its chain is probed, in milliseconds.
    pub token_ceiling_ms: u64,
    /// Longest wait for the first token of an attempt before its chain is probed, in milliseconds.
    pub first_token_ms: u64,
    /// Crashes of engines after which a request is refused as poison.
    pub poison_crashes: u32,
    /// Time for which a poison request is refused, in milliseconds.
    pub poison_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: PolicyName::default(),
            token_floor_ms: 40,
            token_ceiling_ms: 1_500,
            first_token_ms: 1_000,
            poison_crashes: 2,
            poison_ms: 600_000,
        }
    }
}

impl RoutingSettings {
    /// Shortest wait for a token before its chain is probed.
    pub fn token_floor(&self) -> Duration {
        Duration::from_millis(self.token_floor_ms)
    }

    /// Longest wait for a token before its chain is probed.
    pub fn token_ceiling(&self) -> Duration {
        Duration::from_millis(self.token_ceiling_ms)
    }

    /// Longest wait for the first token of an attempt before its chain is probed.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Time for which a poison request is refused.
    pub fn poison_time(&self) -> Duration {
        Duration::from_millis(self.poison_ms)
    }
}

/// Longest time that the settings accept, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const MILLIS: FieldKind = FieldKind::Integer(1, MAX_MS);

/// Field table of [`RoutingSettings`].
pub const ROUTING_TABLE: &[FieldRule] = &[
    FieldRule::optional("policy", FieldKind::Choice(POLICY_NAMES)),
    FieldRule::optional("token_floor_ms", MILLIS),
    FieldRule::optional("token_ceiling_ms", MILLIS),
    FieldRule::optional("first_token_ms", MILLIS),
    FieldRule::optional("poison_crashes", FieldKind::Integer(1, 100)),
    FieldRule::optional("poison_ms", MILLIS),
];
