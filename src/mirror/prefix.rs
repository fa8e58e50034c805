//! Mirror of all keys with one prefix. Decides which call to make next and applies the replies;
//! does no I/O.
//!
//! A key never goes back to an older version, whatever the order of the replies. After a gap in
//! the history the prefix is listed again, and keys missing from the list are reported as removed,
//! or as lost if the store was restored in between.

use crate::ids::StoreEra;
use crate::mirror::port::{ItemPage, StoreItem, WatchChange, WatchOutcome};
use crate::mirror::version::StoreVersion;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

/// Most removals that are remembered for daemons that know an earlier version.
const MAX_REMOVALS: usize = 1_024;

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
    /// True if the list only makes sure that a cut watch has missed nothing.
    is_recheck: bool,
}

impl ListProgress {
    fn start() -> Self {
        Self {
            after: None,
            version: None,
            seen: HashSet::new(),
            is_recheck: false,
        }
    }
}

/// What one mirror knows more than another one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MirrorDelta {
    /// The keys that exist, if removals may be missing from the changes.
    pub listed: Option<BTreeSet<Arc<str>>>,
    /// Changes in the order of their versions, each key's last one only.
    pub changes: Vec<WatchChange>,
    /// Version up to which the changes are complete.
    pub version: StoreVersion,
}

impl MirrorDelta {
    /// True if it tells only the version.
    pub fn is_empty(&self) -> bool {
        self.listed.is_none() && self.changes.is_empty()
    }
}

/// Removals since a version, the earliest first.
#[derive(Debug, Default)]
struct RemovalLog {
    removals: VecDeque<(Arc<str>, StoreVersion)>,
    /// Removals up to this version are not remembered.
    floor: StoreVersion,
}

impl RemovalLog {
    fn reset(&mut self, floor: StoreVersion) {
        self.removals.clear();
        self.floor = floor;
    }

    fn push(&mut self, key: &Arc<str>, at: StoreVersion) {
        self.removals.push_back((Arc::clone(key), at));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, forgotten)) = self.removals.pop_front()
        {
            self.floor = self.floor.max(forgotten);
        }
    }
}

/// Mirror of all keys with one prefix.
#[derive(Debug)]
pub struct PrefixMirror {
    items: BTreeMap<Arc<str>, StoreItem>,
    removed: RemovalLog,
    listing: Option<ListProgress>,
    version: StoreVersion,
    complete: bool,
}

impl Default for PrefixMirror {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            removed: RemovalLog::default(),
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

    /// Version up to which the mirror is complete.
    pub fn version(&self) -> StoreVersion {
        self.version
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
        // Keys that were written and removed again since the last version are unknown.
        self.removed.reset(first);
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
        let is_recheck = self
            .listing
            .as_ref()
            .is_none_or(|listing| listing.is_recheck);
        self.listing = Some(ListProgress {
            is_recheck,
            ..ListProgress::start()
        });
    }

    /// Continues from the last version without a list. To be called only if all changes since then are
    /// known to follow, as from a daemon that has not missed any.
    pub fn resume(&mut self) {
        self.listing = None;
    }

    /// Version from which this mirror can continue with the changes that another daemon has read; `None`
    /// while it needs a list from the store.
    pub fn resume_version(&self) -> Option<StoreVersion> {
        let may_resume = self
            .listing
            .as_ref()
            .is_none_or(|listing| listing.is_recheck);
        (may_resume && self.version != StoreVersion::default()).then_some(self.version)
    }

    /// Records that the store was restored from an older copy. The prefix is listed again.
    pub fn on_restore(&mut self) {
        self.listing = Some(ListProgress::start());
    }

    /// Everything that a mirror that is complete up to `since` needs to be complete up to this one's
    /// version. `None` when `since` is of another era.
    pub fn delta_since(&self, since: StoreVersion) -> Option<MirrorDelta> {
        if since.era() != self.version.era() {
            return None;
        }
        // Without a complete list, earlier changes may be missing.
        if self.listing.is_some() || self.version <= since {
            return Some(MirrorDelta {
                listed: None,
                changes: Vec::new(),
                version: since,
            });
        }
        let is_forgotten = since < self.removed.floor;
        let listed = is_forgotten.then(|| self.items.keys().map(Arc::clone).collect());
        // Pages of a list may hold later versions than the one that is complete.
        let is_new = |version: StoreVersion| version > since && version <= self.version;
        let written = self.items.values().filter(|item| is_new(item.version));
        let written = written.map(|item| WatchChange::Written(item.clone()));
        let removals = self.removed.removals.iter();
        let removed = removals.filter(|(key, at)| is_new(*at) && !self.items.contains_key(key));
        let removed = removed.map(|(key, at)| WatchChange::Removed(Arc::clone(key), *at));
        let mut changes: Vec<WatchChange> = written.chain(removed).collect();
        changes.sort_by_key(WatchChange::version);
        Some(MirrorDelta {
            listed,
            changes,
            version: self.version,
        })
    }

    /// Applies what another mirror knows more than this one.
    pub fn on_delta(&mut self, delta: MirrorDelta) -> Vec<MirrorChange> {
        let known = self.version;
        if delta.version.era() != known.era() || delta.version < known {
            return Vec::new();
        }
        // An earlier write may be of a key that this mirror knows to be removed.
        let is_new = |change: &WatchChange| change.version() > known;
        let changes = delta.changes.into_iter().filter(is_new).collect();
        let mut applied = match delta.listed {
            Some(listed) => self.keep_listed(&listed, delta.version),
            None => Vec::new(),
        };
        applied.extend(self.on_watch(WatchOutcome::Changes(changes, delta.version)));
        applied
    }

    /// Removes the keys that are not among those that exist at a version.
    fn keep_listed(
        &mut self,
        listed: &BTreeSet<Arc<str>>,
        version: StoreVersion,
    ) -> Vec<MirrorChange> {
        self.removed.reset(version);
        let is_gone = |item: &&StoreItem| item.version <= version && !listed.contains(&item.key);
        let gone = self.items.values().filter(is_gone);
        let gone: Vec<Arc<str>> = gone.map(|item| Arc::clone(&item.key)).collect();
        for key in &gone {
            self.items.remove(key);
        }
        gone.into_iter().map(MirrorChange::Removed).collect()
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
        let known = self.items.get(key).map(|item| item.version);
        if known.is_some_and(|known| known > at) {
            return None;
        }
        self.removed.push(key, at);
        self.items.remove(key)?;
        Some(MirrorChange::Removed(Arc::clone(key)))
    }
}
