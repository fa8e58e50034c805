//! Membership messages between daemons.

use prost::Message;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// What a membership message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks the receiver whether it is alive.
    Probe = 0,
    /// Asks the receiver to probe another member.
    Relay = 1,
    /// The probed member is alive.
    Ack = 2,
    /// The probed member did not answer the relay.
    Nack = 3,
}

/// One statement about a member.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberRecord {
    /// Daemon.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation number.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// State.
    #[prost(enumeration = "super::row::MemberState", tag = "3")]
    pub state: i32,
    /// True once the daemon serves callers.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Address for callers: 4 or 16 bytes of IP address and 2 bytes of port.
    #[prost(bytes = "vec", tag = "5")]
    pub address: Vec<u8>,
    /// Address for other daemons, in the same form.
    #[prost(bytes = "vec", tag = "6")]
    pub peer_address: Vec<u8>,
    /// Failure domain.
    #[prost(string, tag = "7")]
    pub failure_domain: String,
}

/// A target seen to be leaving.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MarkRecord {
    /// Engine or service instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its address, in the form of [`MemberRecord::address`].
    #[prost(bytes = "vec", tag = "2")]
    pub address: Vec<u8>,
    /// Time since it was last seen leaving, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A membership message, request or reply.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberMessage {
    /// What it is.
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// The sender's statement about itself.
    #[prost(message, optional, tag = "2")]
    pub from: Option<MemberRecord>,
    /// Member that a relay is to probe.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Statements about members.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<MemberRecord>,
    /// Digest of each bucket of the sender's member table.
    #[prost(fixed32, repeated, tag = "5")]
    pub digests: Vec<u32>,
    /// Targets seen to be leaving.
    #[prost(message, repeated, tag = "6")]
    pub marks: Vec<MarkRecord>,
}

const PORT_BYTES: usize = 2;

/// An address as it travels.
pub(super) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Reads an address; `None` when it is malformed.
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
