//! Mirrors of all prefixes that a daemon follows.

use crate::ids::StoreEra;
use crate::mirror::port::StoreItem;
use crate::mirror::prefix::{MirrorDelta, PrefixMirror};
use crate::mirror::version::StoreVersion;
use event_listener::{Event, EventListener};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Mirror that several tasks read and update.
pub type SharedMirror = Arc<Mutex<PrefixMirror>>;

/// Mirrors by prefix. Clones share the same mirrors.
#[derive(Debug, Clone, Default)]
pub struct MirrorSet {
    mirrors: Arc<Mutex<HashMap<Arc<str>, SharedMirror>>>,
    changed: Arc<Event>,
}

impl MirrorSet {
    /// Returns the mirror of a prefix, and creates an empty one if there is none.
    pub fn mirror(&self, prefix: &Arc<str>) -> SharedMirror {
        Arc::clone(self.lock().entry(Arc::clone(prefix)).or_default())
    }

    /// Tells all listeners that a mirror has changed.
    pub fn notify_change(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Completes at the next change of a mirror.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// The version from which each mirror can continue with another daemon's changes; `None` while one
    /// of them cannot.
    pub fn resume_versions(&self) -> Option<Vec<(Arc<str>, StoreVersion)>> {
        let mirrors = self.lock();
        let versions = mirrors.iter().map(|(prefix, mirror)| {
            let version = lock_mirror(mirror).resume_version()?;
            Some((Arc::clone(prefix), version))
        });
        versions.collect()
    }

    /// What has changed in a prefix since a version. `None` when the prefix is not followed, or the
    /// version is of another era.
    pub fn delta_since(&self, prefix: &str, since: StoreVersion) -> Option<MirrorDelta> {
        let mirror = Arc::clone(self.lock().get(prefix)?);
        lock_mirror(&mirror).delta_since(since)
    }

    /// True when all mirrors hold a complete list of this era of the store.
    pub fn are_current(&self, era: StoreEra) -> bool {
        let mirrors = self.lock();
        mirrors
            .values()
            .all(|mirror| lock_mirror(mirror).is_current(era))
    }

    /// Returns the items of a prefix; `None` while the mirror is incomplete.
    pub fn items(&self, prefix: &str) -> Option<Vec<StoreItem>> {
        let mirror = Arc::clone(self.lock().get(prefix)?);
        let mirror = lock_mirror(&mirror);
        mirror
            .is_complete()
            .then(|| mirror.items().cloned().collect())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, SharedMirror>> {
        self.mirrors
            .lock()
            .expect("mirror set lock is never poisoned")
    }
}

fn lock_mirror(mirror: &SharedMirror) -> MutexGuard<'_, PrefixMirror> {
    mirror.lock().expect("mirror lock is never poisoned")
}
