//! Settings of the address answer and of graceful shutdown.

use crate::check::{FieldKind, FieldRule};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the address answer and of graceful shutdown.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberSettings {
    /// Minimum number of daemons in a team's address answer, if there are that many.
    pub subset_daemons: usize,
    /// Time limit of a graceful shutdown, in milliseconds; requests still in flight are cut off
    /// then.
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
    /// Time limit of a graceful shutdown.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Largest value accepted for `subset_daemons`.
const MAX_SUBSET: u64 = 4_096;
/// Largest value accepted for `drain_limit_ms`, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;

/// Validation rules for the fields of [`MemberSettings`].
pub const MEMBER_TABLE: &[FieldRule] = &[
    FieldRule::optional("subset_daemons", FieldKind::Integer(1, MAX_SUBSET)),
    FieldRule::optional("drain_limit_ms", FieldKind::Integer(1, MAX_DRAIN_MS)),
];
