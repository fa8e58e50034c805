//! Message in which a daemon announces its reservations, the crashes that it saw and the rate limits
//! of targets.

use crate::hash::stable_hash;
use crate::ids::InstanceId;
use crate::lending::{RetryAsk, RetryLoan};
use crate::limits::{LimitRow, PermitAsk, PermitReply};
use crate::loads::demand::PriorityDemandRow;
use crate::poison::PoisonRow;
use crate::reach::ReachStatement;
use prost::Message;

/// Everything that one daemon's requests have reserved. A datagram with sequence 0 announces nothing
/// and carries a question or its reply.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ReservationDigest {
    /// Random identifier that the sender draws at its start. Digests of an earlier run expire by
    /// their age.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Increases with each message; datagrams may arrive out of order.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Reservations by target.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<ReservationRow>,
    /// Crashes under requests that the store may not know yet.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<PoisonRow>,
    /// Rate limits of targets.
    #[prost(message, repeated, tag = "5")]
    pub limits: Vec<LimitRow>,
    /// Question for permits of a target that the receiver keeps.
    #[prost(message, optional, tag = "6")]
    pub ask: Option<PermitAsk>,
    /// Reply to such a question of the receiver.
    #[prost(message, optional, tag = "7")]
    pub reply: Option<PermitReply>,
    /// Whether the sender has a path to the targets.
    #[prost(message, optional, tag = "8")]
    pub reach: Option<ReachStatement>,
    /// Runs of targets that leave, by their hashes.
    #[prost(fixed64, repeated, tag = "9")]
    pub leaving: Vec<u64>,
    /// Question for retries that the receiver does not need.
    #[prost(message, optional, tag = "10")]
    pub retry_ask: Option<RetryAsk>,
    /// Reply to such a question of the receiver.
    #[prost(message, optional, tag = "11")]
    pub retry_loan: Option<RetryLoan>,
    /// Demand for services whose requests differ in priority.
    #[prost(message, repeated, tag = "12")]
    pub demand: Vec<PriorityDemandRow>,
}

impl ReservationDigest {
    /// True when the sender reaches no target, so that what it cannot reach says nothing about targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_some_and(|reach| reach.is_lost)
    }
}

/// Reservations at one target.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct ReservationRow {
    /// Hash of the target's identity, see [`target_hash`].
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Reserved tokens of context.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// True when the sender cannot reach the target.
    #[prost(bool, tag = "4")]
    pub unreachable: bool,
    /// True while the sender gives the target nothing because its last requests there have failed.
    #[prost(bool, tag = "5")]
    pub failing: bool,
}

/// Hash of a target's identity, the same in all daemons.
pub fn target_hash(id: &InstanceId) -> u64 {
    stable_hash(&[id.as_str().as_bytes()])
}
