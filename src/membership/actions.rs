//! Actions that the membership protocol requests from its caller, its timing and its counters.

use crate::ids::InstanceId;
use crate::membership::wire::MemberMessage;
use std::net::SocketAddr;
use std::time::Duration;

/// Number that identifies a call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// Timing of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolTiming {
    /// Time between probes.
    pub period: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
}

impl ProtocolTiming {
    /// Creates the timing for a heartbeat period; the probe timeout is one period.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            probe_timeout: period,
        }
    }
}

/// Call to another daemon that the protocol requests. The caller passes its result to
/// [`receive_reply`](crate::membership::MemberProtocol::receive_reply), also when the call fails or
/// times out.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberCall {
    /// Number of the call.
    pub number: CallNumber,
    /// Peer address of the callee.
    pub address: SocketAddr,
    /// Timeout of the call.
    pub timeout: Duration,
    /// Message to send.
    pub message: MemberMessage,
}

/// How to respond to a request from another daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestStep {
    /// Send this reply.
    Reply(MemberMessage),
    /// Indirect probe: send the message to this address, then reply with the result of
    /// [`finish_relay`](crate::membership::MemberProtocol::finish_relay).
    Relay {
        /// Peer address of the member to probe.
        address: SocketAddr,
        /// Member that must answer the probe.
        target: InstanceId,
        /// Timeout of the probe.
        timeout: Duration,
        /// Probe message to send.
        message: MemberMessage,
    },
    /// Send no reply, as the request is malformed or the member to probe is unknown.
    Ignore,
}

/// Counters of protocol events since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProtocolCounts {
    /// Direct probes sent.
    pub probes: u64,
    /// Direct probes without an answer in time.
    pub failed_probes: u64,
    /// Suspicions raised by this daemon itself, without those received by gossip.
    pub suspicions: u64,
    /// Updates about this daemon that it has refuted.
    pub refutations: u64,
}
