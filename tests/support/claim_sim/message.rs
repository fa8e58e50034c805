//! Messages of the simulation that are in flight.

use arbutusmount::{
    ClaimAttempt, ClaimEvent, ExpectedRevision, PageChange, PageSlot, StoreError, StoreRecord,
};

/// One process of a daemon; a restart increments the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeProcess {
    pub node: usize,
    pub epoch: u32,
}

/// A compare-and-swap of a page.
#[derive(Debug, Clone)]
pub struct PageWrite {
    pub slot: PageSlot,
    pub expected: ExpectedRevision,
    pub value: Vec<u8>,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub enum SimMessage {
    /// A reply to a daemon.
    Event(NodeProcess, ClaimEvent),
    /// A page read for a shard.
    Read(NodeProcess, usize, PageSlot),
    /// A page write for a shard.
    Swap(NodeProcess, usize, PageWrite),
    /// A page write whose sender has stopped waiting for the reply.
    LateSwap(PageWrite),
    /// A change for a home, with the operation of the sender.
    ToHome(NodeProcess, u64, usize, PageChange),
    /// A query to the owner of an attempt, with the operation of the sender.
    ToOwner(NodeProcess, u64, usize, ClaimAttempt),
    /// A granted call that its daemon may send to the target.
    Dispatch(NodeProcess, ClaimAttempt),
    /// A call that the target has received.
    Run(ClaimAttempt),
}

pub fn make_record(slot: PageSlot, (revision, value): &(u64, Vec<u8>)) -> StoreRecord {
    StoreRecord {
        key: slot.to_string(),
        value: value.clone(),
        revision: *revision,
        lease: None,
    }
}

/// The event that a daemon sees instead of a reply that is lost.
pub fn event_after_loss(event: ClaimEvent) -> ClaimEvent {
    let lost = || StoreError::OutcomeUnknown("lost".to_owned());
    match event {
        ClaimEvent::PageRead { shard, .. } => ClaimEvent::PageRead {
            shard,
            outcome: Err(lost()),
        },
        ClaimEvent::PageSwapped { shard, .. } => ClaimEvent::PageSwapped {
            shard,
            outcome: Err(lost()),
        },
        ClaimEvent::HomeReplied { operation, .. } => ClaimEvent::HomeReplied {
            operation,
            verdict: None,
        },
        ClaimEvent::OwnerReplied { operation, .. } => ClaimEvent::OwnerReplied {
            operation,
            state: None,
        },
        other => other,
    }
}
