//! The message between daemons.

use crate::hash::stable_hash;
use crate::ids::InstanceId;
use prost::Message;

/// What one daemon's requests have reserved.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ReservationDigest {
    /// Hash of the sender's instance and of its start, so that a restart replaces its old figures.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Grows with each message; datagrams may overtake each other.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Targets with reservations.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<ReservationRow>,
}

/// Reservations at one target.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct ReservationRow {
    /// Hash of the target's identity.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Tokens of context.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Requests in progress.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// True when the sender does not reach it.
    #[prost(bool, tag = "4")]
    pub unreachable: bool,
}

/// Hash of a target's identity in digests; the same in all daemons.
pub fn target_hash(id: &InstanceId) -> u64 {
    stable_hash(&[id.as_str().as_bytes()])
}
