//! State of one member of the fleet, and the precedence of updates about it.

use crate::ids::{DomainId, InstanceId};
use crate::instances::InstanceRow;
use crate::membership::wire::{MemberRecord, decode_address, encode_address};
use std::fmt;
use std::net::SocketAddr;

/// Incarnation number of a member, as in SWIM. The member increments it to supersede older updates
/// about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationNumber(pub u64);

impl IncarnationNumber {
    /// Returns the next higher number.
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

/// State of a member. At equal incarnation numbers, a later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// The member answers probes.
    Alive = 0,
    /// The member answered neither a direct nor an indirect probe. It is declared dead unless it
    /// refutes the suspicion in time.
    Suspect = 1,
    /// The member has announced its shutdown; it still serves, but gets no new callers.
    Leaving = 2,
    /// The member did not refute a suspicion in time.
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

/// Update about one member: its state at an incarnation number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRow {
    /// Name of the daemon.
    pub instance: InstanceId,
    /// Incarnation number that the update refers to.
    pub incarnation: IncarnationNumber,
    /// State of the daemon.
    pub state: MemberState,
    /// True once the daemon has a configuration and serves callers.
    pub ready: bool,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: DomainId,
}

impl MemberRow {
    /// Returns true when this update supersedes `other` about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Creates a member from a row of the platform's list, at the lowest incarnation number, so
    /// that any update by the member itself supersedes it. Returns `None` when the row has no peer
    /// address.
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

    /// Converts the update to its wire form.
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

    /// Converts an update from its wire form; `None` when it is malformed.
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
