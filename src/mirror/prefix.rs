//! Mirror of all keys with one prefix. Decides which call to make next and applies the replies;
//! does no I/O.
//!
//! A key never goes back to an older version, whatever the order of the replies. After a gap in
//! the history the prefix is listed again, and keys missing from the list are reported as removed,
//! or as lost if the store was restored in between.

use crate::ids::StoreEra;
use crate::mirror::port::{ItemPage, StoreItem, WatchChange, WatchOutcome};
use crate::mirror::version::StoreVersion;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Next call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorStep {
    /// List the prefix from the key after this one.
    List(Option<Arc<str>>),
    /// Watch the prefix for changes after this version.
    Watch(StoreVersion),
}

/// Change of the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// The key has a new value.
    Written(StoreItem),
    /// The key is gone.
    Removed(Arc<str>),
    /// The key was written before a restore of the store and is not in the restored state. Whoever
    /// wrote it may write it again.
    Lost(Arc<str>),
    /// The mirror is complete, up to a version no older than the request for the list.
    Synced,
}

#[derive(Debug)]
struct ListProgress {
    after: Option<Arc<str>>,
    /// Version of the first page. Later changes are watched for once the list is complete.
    version: Option<StoreVersion>,
    seen: HashSet<Arc<str>>,
}

impl ListProgress {
    fn start() -> Self {
        Self {
            after: None,
            version: None,
            seen: HashSet::new(),
        }
    }
}

/// Mirror of all keys with one prefix.
#[derive(Debug)]
pub struct PrefixMirror {
    items: BTreeMap<Arc<str>, StoreItem>,
    listing: Option<ListProgress>,
    version: StoreVersion,
    complete: bool,
}

impl Default for PrefixMirror {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            listing: Some(ListProgress::start()),
            version: StoreVersion::default(),
            complete: false,
        }
    }
}

impl PrefixMirror {
    /// Next call to make.
    pub fn next_step(&self) -> MirrorStep {
        match &self.listing {
            Some(listing) => MirrorStep::List(listing.after.clone()),
            None => MirrorStep::Watch(self.version),
        }
    }

    /// The mirrored items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &StoreItem> {
        self.items.values()
    }

    /// True once all items have been known, from the store or from a peer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Applies a peer's snapshot, unless the mirror is already complete. The prefix is still listed
    /// once the store answers.
    pub fn load_snapshot(&mut self, items: Vec<StoreItem>) -> Vec<MirrorChange> {
        if self.complete {
            return Vec::new();
        }
        self.complete = true;
        let written = items.into_iter().filter_map(|item| self.write(item));
        let mut changes: Vec<MirrorChange> = written.collect();
        changes.push(MirrorChange::Synced);
        changes
    }

    /// True when the last list was complete in this era of the store.
    pub fn is_current(&self, era: StoreEra) -> bool {
        self.listing.is_none() && self.version.era() == era
    }

    /// Applies a page of a list. One of an earlier era than known is ignored, and a list whose pages
    /// are of several eras begins anew.
    pub fn on_page(&mut self, page: ItemPage) -> Vec<MirrorChange> {
        let Some(mut listing) = self.listing.take() else {
            return Vec::new();
        };
        let first = *listing.version.get_or_insert(page.version);
        if first.era() != page.version.era() || first.era() < self.version.era() {
            self.listing = Some(ListProgress::start());
            return Vec::new();
        }
        listing.after = page.items.last().map(|item| Arc::clone(&item.key));
        let mut changes = Vec::new();
        for item in page.items {
            listing.seen.insert(Arc::clone(&item.key));
            changes.extend(self.write(item));
        }
        if page.has_more && listing.after.is_some() {
            self.listing = Some(listing);
            return changes;
        }
        let missing =
            |item: &&StoreItem| !listing.seen.contains(&item.key) && item.version <= first;
        let gone: Vec<Arc<str>> = self
            .items
            .values()
            .filter(missing)
            .map(|item| Arc::clone(&item.key))
            .collect();
        for key in gone {
            let known = self.items.remove(&key);
            let is_lost = known.is_some_and(|item| item.version.era() < first.era());
            changes.push(if is_lost {
                MirrorChange::Lost(key)
            } else {
                MirrorChange::Removed(key)
            });
        }
        self.version = self.version.max(first);
        self.complete = true;
        changes.push(MirrorChange::Synced);
        changes
    }

    /// Applies the reply to a watch.
    pub fn on_watch(&mut self, outcome: WatchOutcome) -> Vec<MirrorChange> {
        let (events, version) = match outcome {
            WatchOutcome::Compacted => {
                self.listing = Some(ListProgress::start());
                return Vec::new();
            }
            WatchOutcome::Changes(events, version) => (events, version),
        };
        if version.era() != self.version.era() {
            self.listing = Some(ListProgress::start());
            return Vec::new();
        }
        let mut changes = Vec::new();
        for event in events {
            match event {
                WatchChange::Written(item) => changes.extend(self.write(item)),
                WatchChange::Removed(key, at) => changes.extend(self.remove(&key, at)),
            }
        }
        self.version = self.version.max(version);
        changes
    }

    /// Records that a call failed. The prefix is listed again: a watch that resumes from the last
    /// revision after its connection was cut may wait past a change whose history is already gone.
    pub fn on_failure(&mut self) {
        self.listing = Some(ListProgress::start());
    }

    /// Records that the store was restored from an older copy. The prefix is listed again.
    pub fn on_restore(&mut self) {
        self.listing = Some(ListProgress::start());
    }

    fn write(&mut self, item: StoreItem) -> Option<MirrorChange> {
        let known = self.items.get(&item.key).map(|known| known.version);
        if item.version <= known.unwrap_or_default() {
            return None;
        }
        self.items.insert(Arc::clone(&item.key), item.clone());
        Some(MirrorChange::Written(item))
    }

    fn remove(&mut self, key: &Arc<str>, at: StoreVersion) -> Option<MirrorChange> {
        let known = self.items.get(key)?;
        if known.version > at {
            return None;
        }
        self.items.remove(key);
        Some(MirrorChange::Removed(Arc::clone(key)))
    }
}
