//! Compressed changes that most followers of a reader need at the same time.

use crate::feed::message::FeedParts;
use crate::mirror::StoreVersion;
use crate::snapshots::pack_message;
use prost::bytes::Bytes;
use std::sync::{Arc, Mutex};

/// Versions that changes lead from and to, by prefix.
pub(super) type ChangeRange = Vec<(Arc<str>, StoreVersion, StoreVersion)>;

/// The changes that were compressed last.
#[derive(Debug, Default)]
pub(crate) struct PackedCache {
    last: Mutex<Option<(ChangeRange, Bytes)>>,
}

impl PackedCache {
    /// The compressed changes of a range; `None` where they are small.
    pub(super) fn pack(&self, range: ChangeRange, parts: &FeedParts) -> Option<Bytes> {
        let mut last = self.last.lock().expect("cache is never poisoned");
        if let Some((known, packed)) = &*last
            && *known == range
        {
            return Some(packed.clone());
        }
        let packed = pack_message(parts)?;
        *last = Some((range, packed.clone()));
        Some(packed)
    }
}
