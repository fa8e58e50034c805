//! Mirrors of all prefixes that a daemon follows.

use crate::ids::StoreEra;
use crate::mirror::port::StoreItem;
use crate::mirror::prefix::PrefixMirror;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Mirror that several tasks read and update.
pub type SharedMirror = Arc<Mutex<PrefixMirror>>;

/// Mirrors by prefix. Clones share the same mirrors.
#[derive(Debug, Clone, Default)]
pub struct MirrorSet {
    mirrors: Arc<Mutex<HashMap<Arc<str>, SharedMirror>>>,
}

impl MirrorSet {
    /// Returns the mirror of a prefix, and creates an empty one if there is none.
    pub fn mirror(&self, prefix: &Arc<str>) -> SharedMirror {
        let mut mirrors = self
            .mirrors
            .lock()
            .expect("mirror set lock is never poisoned");
        Arc::clone(mirrors.entry(Arc::clone(prefix)).or_default())
    }

    /// True when all mirrors hold a complete list of this era of the store.
    pub fn are_current(&self, era: StoreEra) -> bool {
        let mirrors = self
            .mirrors
            .lock()
            .expect("mirror set lock is never poisoned");
        mirrors.values().all(|mirror| {
            let mirror = mirror.lock().expect("mirror lock is never poisoned");
            mirror.is_current(era)
        })
    }

    /// Returns the items of a prefix; `None` while the mirror is incomplete.
    pub fn items(&self, prefix: &str) -> Option<Vec<StoreItem>> {
        let mirrors = self
            .mirrors
            .lock()
            .expect("mirror set lock is never poisoned");
        let mirror = Arc::clone(mirrors.get(prefix)?);
        drop(mirrors);
        let mirror = mirror.lock().expect("mirror lock is never poisoned");
        mirror
            .is_complete()
            .then(|| mirror.items().cloned().collect())
    }
}
