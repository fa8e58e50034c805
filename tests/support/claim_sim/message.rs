//! Messages of the simulation that are under way.

use arbutusmount::{
    ClaimAttempt, ClaimEvent, ExpectedRevision, PageChange, PageSlot, StoreError, StoreRecord,
};

/// A daemon in one life of its process.
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

/// Something under way.
#[derive(Debug, Clone)]
pub enum SimMessage {
    /// A reply on its way to a daemon.
    Event(NodeProcess, ClaimEvent),
    /// A read for a shard.
    Read(NodeProcess, usize, PageSlot),
    /// A write for a shard.
    Swap(NodeProcess, usize, PageWrite),
    /// A write whose sender has stopped waiting for it.
    LateSwap(PageWrite),
    /// A change for a home, under the sender's operation.
    ToHome(NodeProcess, u64, usize, PageChange),
    /// A question to an owner, under the sender's operation.
    ToOwner(NodeProcess, u64, usize, ClaimAttempt),
    /// A call that its daemon may send to the target.
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

/// The event for who waits for a reply that does not come.
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
        ClaimEvent::HomeAnswered { operation, .. } => ClaimEvent::HomeAnswered {
            operation,
            verdict: None,
        },
        ClaimEvent::OwnerAnswered { operation, .. } => ClaimEvent::OwnerAnswered {
            operation,
            state: None,
        },
        other => other,
    }
}
