//! Inputs, actions and counters of a shard's page writer.

use crate::claims::key::PageSlot;
use crate::claims::page::ClaimVerdict;
use crate::store::ExpectedRevision;
use crate::units::MonoTime;

/// Current time on both clocks that the claim protocol uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimTime {
    /// Monotonic time, for timeouts and delays.
    pub mono: MonoTime,
    /// Unix time in milliseconds, for the age of dated keys.
    pub unix_ms: u64,
}

/// Where the verdict on a change goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeOrigin {
    /// To an operation of this daemon, by its number.
    Local(u64),
    /// To another daemon, by the identifier of its request.
    Peer(u64),
}

/// Verdicts with the origins of their changes.
pub type Verdicts = Vec<(ChangeOrigin, ClaimVerdict)>;

/// Next action of a page writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriterAction {
    /// Nothing to do until a change is submitted or the store replies.
    Idle,
    /// Nothing to do before this time.
    WaitUntil(MonoTime),
    /// Read the page from the store.
    Read(PageSlot),
    /// Write the page by compare-and-swap.
    Swap {
        /// Page to write.
        slot: PageSlot,
        /// Revision that the page must have.
        expected: ExpectedRevision,
        /// New value of the page.
        value: Vec<u8>,
    },
    /// Deliver verdicts to their origins.
    Deliver(Verdicts),
}

/// Counters of a page writer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriterCounts {
    /// Page reads sent to the store.
    pub reads: u64,
    /// Page writes sent to the store.
    pub writes: u64,
    /// Writes that were committed.
    pub committed: u64,
    /// Changes in the batches whose writes were committed, including those that did not alter the
    /// page.
    pub changes: u64,
    /// Writes that failed because the page had another revision.
    pub conflicts: u64,
    /// Reads and writes that the store did not execute, or whose outcome is unknown.
    pub failures: u64,
}

impl WriterCounts {
    /// Adds the counters of another writer.
    pub fn add(&mut self, other: Self) {
        self.reads += other.reads;
        self.writes += other.writes;
        self.committed += other.committed;
        self.changes += other.changes;
        self.conflicts += other.conflicts;
        self.failures += other.failures;
    }
}
