//! The copies of all prefixes that a daemon follows.

use crate::mirror::port::StoreItem;
use crate::mirror::prefix::PrefixMirror;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// A copy that is followed and read by different tasks.
pub type SharedMirror = Arc<Mutex<PrefixMirror>>;

/// Copies by prefix; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct MirrorSet {
    mirrors: Arc<Mutex<HashMap<Arc<str>, SharedMirror>>>,
}

impl MirrorSet {
    /// The copy of a prefix, empty at first.
    pub fn mirror(&self, prefix: &Arc<str>) -> SharedMirror {
        let mut mirrors = self.mirrors.lock().expect("copies are never poisoned");
        Arc::clone(mirrors.entry(Arc::clone(prefix)).or_default())
    }

    /// The items of a prefix; `None` while not all of them are known.
    pub fn items(&self, prefix: &str) -> Option<Vec<StoreItem>> {
        let mirrors = self.mirrors.lock().expect("copies are never poisoned");
        let mirror = Arc::clone(mirrors.get(prefix)?);
        drop(mirrors);
        let mirror = mirror.lock().expect("a copy is never poisoned");
        mirror
            .is_complete()
            .then(|| mirror.items().cloned().collect())
    }
}
