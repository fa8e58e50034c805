//! What the membership protocol asks its surroundings to do, and what it counts.

use crate::ids::InstanceId;
use crate::membership::wire::MemberMessage;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a call that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// Periods of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolTiming {
    /// Time between probes.
    pub period: Duration,
    /// Time allowed for the answer to a probe.
    pub probe_timeout: Duration,
}

impl ProtocolTiming {
    /// Timing for a heartbeat period: an answer may take as long as a period.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            probe_timeout: period,
        }
    }
}

/// A call to another daemon that the protocol wants made. Its end is reported to
/// [`MemberProtocol::receive_reply`], also when there is no reply in time.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberCall {
    /// Number of the call.
    pub number: CallNumber,
    /// Peer address.
    pub address: SocketAddr,
    /// Time allowed for the reply.
    pub timeout: Duration,
    /// Message.
    pub message: MemberMessage,
}

/// What to do with a request from another daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestStep {
    /// Send this reply.
    Reply(MemberMessage),
    /// Probe this address with the message, then reply with [`MemberProtocol::finish_relay`].
    Relay {
        /// Peer address of the member to probe.
        address: SocketAddr,
        /// Member that must answer.
        target: InstanceId,
        /// Time allowed for its answer.
        timeout: Duration,
        /// Probe.
        message: MemberMessage,
    },
    /// Send nothing: the request is malformed or the member to probe is not known.
    Ignore,
}

/// Counts of what the protocol has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProtocolCounts {
    /// Probes sent, relays not counted.
    pub probes: u64,
    /// Probes without an answer.
    pub failed_probes: u64,
    /// Members suspected first by this daemon.
    pub suspicions: u64,
    /// Statements about this daemon that it has refuted.
    pub refutations: u64,
}
