//! Messages of the membership protocol.

use prost::Message;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Kind of a membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// Direct probe of the receiver.
    Probe = 0,
    /// Request to the receiver to probe another member on the sender's behalf (indirect probe).
    Relay = 1,
    /// Reply: the probed member has answered.
    Ack = 2,
    /// Reply to a relay: the probed member has not answered.
    Nack = 3,
}

/// Update about one member.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberRecord {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation number that the update refers to.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// State of the daemon, a [`MemberState`](super::MemberState).
    #[prost(enumeration = "super::row::MemberState", tag = "3")]
    pub state: i32,
    /// True once the daemon serves callers.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Address for callers: 4 or 16 bytes of IP address, then 2 bytes of port in network byte
    /// order.
    #[prost(bytes = "vec", tag = "5")]
    pub address: Vec<u8>,
    /// Address for other daemons, in the same form.
    #[prost(bytes = "vec", tag = "6")]
    pub peer_address: Vec<u8>,
    /// Failure domain in which it runs.
    #[prost(string, tag = "7")]
    pub failure_domain: String,
}

/// Mark of a leaving target.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MarkRecord {
    /// Engine or service instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address of the target, in the form of [`MemberRecord::address`].
    #[prost(bytes = "vec", tag = "2")]
    pub address: Vec<u8>,
    /// Time since the target was last seen leaving, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Membership message, either request or reply.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberMessage {
    /// Kind of the message, a [`MessageKind`].
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// Sender, as an update about itself.
    #[prost(message, optional, tag = "2")]
    pub from: Option<MemberRecord>,
    /// Member that a relay is to probe or has probed; empty in other messages.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Gossiped updates about members.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<MemberRecord>,
    /// Digest of each bucket of the sender's member table, for anti-entropy; empty in replies to
    /// probes.
    #[prost(fixed32, repeated, tag = "5")]
    pub digests: Vec<u32>,
    /// Gossiped marks of leaving targets.
    #[prost(message, repeated, tag = "6")]
    pub marks: Vec<MarkRecord>,
}

const PORT_BYTES: usize = 2;

/// Encodes an address in its wire form.
pub(super) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes an address from its wire form; `None` when it is malformed.
pub(super) fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_at_checked(bytes.len().checked_sub(PORT_BYTES)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let ip = match ip.len() {
        4 => IpAddr::from(Ipv4Addr::from(<[u8; 4]>::try_from(ip).ok()?)),
        16 => IpAddr::from(Ipv6Addr::from(<[u8; 16]>::try_from(ip).ok()?)),
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}
