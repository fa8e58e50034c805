//! What daemons tell each other about the rate limits of targets.

use crate::limits::known::LimitStatement;
use crate::units::RequestRate;
use prost::Message;

/// A limit that a daemon knows, first-hand or from others.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
pub struct LimitRow {
    /// Names the run of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Requests a second; absent when the limit has ended.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Time since a response of the target showed it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl LimitRow {
    /// What the daemon says about the limit.
    pub fn statement(&self) -> LimitStatement {
        match self.rate.map(RequestRate::new) {
            None => LimitStatement::Unlimited,
            Some(Some(rate)) => LimitStatement::Limited(rate),
            Some(None) => LimitStatement::Malformed,
        }
    }
}

/// Asks the keeper of a target for permits.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
pub struct PermitAsk {
    /// Repeated in the reply.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The target and its limit, as the asking daemon knows it.
    #[prost(message, required, tag = "2")]
    pub limit: LimitRow,
    /// Permits that the asking daemon can use.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// Reply to a [`PermitAsk`].
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct PermitReply {
    /// Number of the question.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Permits that were handed out.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Time until there is one, if there was none, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}
