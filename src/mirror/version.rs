//! Order of the store's writes. It also holds across a restore of the store from an older copy,
//! after which revisions are given out again.

use crate::ids::StoreEra;
use std::fmt;

/// Bits of a [`StoreVersion::fence_value`] below the era.
const FENCE_REVISION_BITS: u32 = 40;
/// Highest era of a [`StoreVersion::fence_value`], which stays exact in a 64-bit floating point
/// number.
const MAX_FENCE_ERA: u64 = (1 << 13) - 1;

/// Place of a write in the order of all writes: first the era of the store, then the revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    era: StoreEra,
    revision: u64,
}

impl StoreVersion {
    /// The version of a write that an answer of `era` shows with `revision`.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Era of the store in which the write was read.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Revision within the era.
    pub fn revision(self) -> RevisionNumber {
        RevisionNumber(self.revision)
    }

    /// A number that rises with the version, up to era 8,191 and revision 2^40; above, it no longer
    /// rises.
    pub fn fence_value(self) -> u64 {
        let max_revision = (1 << FENCE_REVISION_BITS) - 1;
        let era = self.era.0.min(MAX_FENCE_ERA);
        (era << FENCE_REVISION_BITS) | self.revision.min(max_revision)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Revision without its era, for messages. It cannot be compared, since the same number stands for
/// another write after a restore:
///
/// ```compile_fail,E0369
/// # use arbutusmount::{StoreEra, StoreVersion};
/// let version = StoreVersion::new(StoreEra(1), 7);
/// let is_later = version.revision() > version.revision();
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RevisionNumber(u64);

impl From<RevisionNumber> for u64 {
    fn from(revision: RevisionNumber) -> Self {
        revision.0
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
