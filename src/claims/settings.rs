//! Settings of the claim protocol.

use crate::check::{FieldKind, FieldRule};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the claim protocol. They need not be equal on all daemons.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ClaimSettings {
    /// Minimum time between two batches of one shard on this daemon, in milliseconds. Retries of a
    /// batch may follow sooner.
    pub write_spacing_ms: u64,
    /// Timeout of a claim, in milliseconds; the call is refused after it.
    pub claim_ms: u64,
    /// Timeout of a request to another daemon, in milliseconds.
    pub peer_ms: u64,
    /// Maximum time from the start of a claim to the dispatch of its call, in milliseconds.
    pub dispatch_ms: u64,
    /// Timeout of a call to a service, in milliseconds.
    pub service_ms: u64,
    /// Whether claims are forwarded to the home of their shard. If not, each daemon writes the
    /// claims of its own callers.
    pub forward: bool,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            write_spacing_ms: 80,
            claim_ms: 2_500,
            peer_ms: 1_500,
            dispatch_ms: 5_000,
            service_ms: 10_000,
            forward: true,
        }
    }
}

impl ClaimSettings {
    /// Minimum time between two batches of one shard on this daemon.
    pub fn write_spacing(&self) -> Duration {
        Duration::from_millis(self.write_spacing_ms)
    }

    /// Timeout of a claim.
    pub fn claim_timeout(&self) -> Duration {
        Duration::from_millis(self.claim_ms)
    }

    /// Timeout of a request to another daemon.
    pub fn peer_timeout(&self) -> Duration {
        Duration::from_millis(self.peer_ms)
    }

    /// Maximum time from the start of a claim to the dispatch of its call.
    pub fn dispatch_timeout(&self) -> Duration {
        Duration::from_millis(self.dispatch_ms)
    }

    /// Timeout of a call to a service.
    pub fn service_timeout(&self) -> Duration {
        Duration::from_millis(self.service_ms)
    }
}

/// Largest accepted value of a time, in milliseconds.
const MAX_MS: u64 = 600_000;
const MILLIS: FieldKind = FieldKind::Integer(1, MAX_MS);

/// Rules that check the fields of [`ClaimSettings`].
pub const CLAIM_TABLE: &[FieldRule] = &[
    FieldRule::optional("write_spacing_ms", FieldKind::Integer(0, MAX_MS)),
    FieldRule::optional("claim_ms", MILLIS),
    FieldRule::optional("peer_ms", MILLIS),
    FieldRule::optional("dispatch_ms", MILLIS),
    FieldRule::optional("service_ms", MILLIS),
    FieldRule::optional("forward", FieldKind::Boolean),
];
