//! One member of the fleet of daemons, and the order of the statements made about it.

use crate::ids::{DomainId, InstanceId};
use crate::instances::InstanceRow;
use crate::membership::wire::{MemberRecord, decode_address, encode_address};
use std::fmt;
use std::net::SocketAddr;

/// Number that a member raises to overrule older statements about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationNumber(pub u64);

impl IncarnationNumber {
    /// The next higher number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for IncarnationNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// State of a member. At equal incarnation numbers the later variant overrules the earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// Answers probes.
    Alive = 0,
    /// Did not answer a probe, nor through others; dead unless it refutes this in time.
    Suspect = 1,
    /// Shuts down by its own word; still serves, gets nothing new.
    Leaving = 2,
    /// Gone.
    Dead = 3,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// What is stated about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRow {
    /// Daemon.
    pub instance: InstanceId,
    /// Incarnation that the statement is about.
    pub incarnation: IncarnationNumber,
    /// State.
    pub state: MemberState,
    /// True once the daemon has a configuration and serves callers.
    pub ready: bool,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: DomainId,
}

impl MemberRow {
    /// True when this statement supersedes `other` about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// A daemon as the platform lists it, overruled by whatever it says itself; `None` without an
    /// address for other daemons.
    pub fn from_listed(row: &InstanceRow) -> Option<Self> {
        Some(Self {
            instance: row.instance.clone(),
            incarnation: IncarnationNumber::default(),
            state: MemberState::Alive,
            ready: false,
            address: row.address,
            peer_address: row.peer_address?,
            failure_domain: row.failure_domain.clone(),
        })
    }

    /// The statement as it travels.
    pub(super) fn to_record(&self) -> MemberRecord {
        MemberRecord {
            instance: self.instance.to_string(),
            incarnation: self.incarnation.0,
            state: self.state.into(),
            ready: self.ready,
            address: encode_address(self.address),
            peer_address: encode_address(self.peer_address),
            failure_domain: self.failure_domain.to_string(),
        }
    }

    /// Reads a statement; `None` when it is malformed.
    pub(super) fn from_record(record: &MemberRecord) -> Option<Self> {
        Some(Self {
            instance: record.instance.parse().ok()?,
            incarnation: IncarnationNumber(record.incarnation),
            state: MemberState::try_from(record.state).ok()?,
            ready: record.ready,
            address: decode_address(&record.address)?,
            peer_address: decode_address(&record.peer_address)?,
            failure_domain: record.failure_domain.parse().ok()?,
        })
    }
}
