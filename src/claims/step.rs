//! What the writer of a shard wants done, and counts of what it did.

use crate::claims::key::PageSlot;
use crate::claims::page::ClaimVerdict;
use crate::store::ExpectedRevision;
use crate::units::MonoTime;

/// Time as the claim protocol sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimTime {
    /// Monotonic clock, for delays.
    pub mono: MonoTime,
    /// Unix time in milliseconds, for the age of keys.
    pub unix_ms: u64,
}

/// Who wants to know the verdict on a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeOrigin {
    /// An operation of this daemon.
    Local(u64),
    /// A message of another daemon.
    Peer(u64),
}

/// Verdicts by origin.
pub type Verdicts = Vec<(ChangeOrigin, ClaimVerdict)>;

/// What the writer wants done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriterAction {
    /// Nothing until a change is submitted or the store answers.
    Idle,
    /// Nothing before this time.
    WaitUntil(MonoTime),
    /// Read the page.
    Read(PageSlot),
    /// Write the page.
    Swap {
        /// Page.
        slot: PageSlot,
        /// Revision expected.
        expected: ExpectedRevision,
        /// New value.
        value: Vec<u8>,
    },
    /// Hand out verdicts.
    Answer(Verdicts),
}

/// Counts of what a writer did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriterCounts {
    /// Reads of pages.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Writes that took effect.
    pub committed: u64,
    /// Changes that they carried.
    pub changes: u64,
    /// Writes that found another revision.
    pub conflicts: u64,
    /// Reads and writes that failed.
    pub failures: u64,
}

impl WriterCounts {
    /// Adds the counts of another writer.
    pub fn add(&mut self, other: Self) {
        self.reads += other.reads;
        self.writes += other.writes;
        self.committed += other.committed;
        self.changes += other.changes;
        self.conflicts += other.conflicts;
        self.failures += other.failures;
    }
}
