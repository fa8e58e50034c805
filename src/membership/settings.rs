//! Settings of membership, the address answer and shutdown.

use crate::check::{FieldKind, FieldRule};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of membership, the address answer and shutdown.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberSettings {
    /// Fewest daemons that a team's address answer names, as far as there are so many.
    pub subset_daemons: usize,
    /// Longest time of a graceful shutdown, in milliseconds; what is in progress then is cut.
    pub drain_limit_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            subset_daemons: 4,
            drain_limit_ms: 300_000,
        }
    }
}

impl MemberSettings {
    /// Longest time of a graceful shutdown.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Most daemons that an address answer may be set to name.
const MAX_SUBSET: u64 = 4_096;
/// Longest drain limit accepted, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;

/// Fields of [`MemberSettings`].
pub const MEMBER_TABLE: &[FieldRule] = &[
    FieldRule::optional("subset_daemons", FieldKind::Number(1, MAX_SUBSET)),
    FieldRule::optional("drain_limit_ms", FieldKind::Number(1, MAX_DRAIN_MS)),
];
