//! Cache of a shard's pages, each with the revision that the next compare-and-swap expects.

use crate::claims::key::PageSlot;
use crate::claims::page::{ClaimPage, MAX_PAGE_CLAIMS};
use crate::store::ExpectedRevision;
use std::collections::HashMap;

/// Maximum number of claims cached for one shard. The last remaining page is kept even if it
/// exceeds the limit.
const MAX_CACHED_ROWS: usize = MAX_PAGE_CLAIMS;
/// Maximum number of pages cached for one shard.
const MAX_CACHED_PAGES: usize = 64;

/// A page as of a revision.
#[derive(Debug, Clone)]
pub(super) struct CachedPage {
    /// Revision that the next compare-and-swap of the page expects; `Absent` if the page does not
    /// exist in the store.
    pub(super) expected: ExpectedRevision,
    /// Claims of the page.
    pub(super) page: ClaimPage,
    /// [`PageCache::use_count`] at the last access.
    last_use: u64,
}

impl CachedPage {
    /// Creates an entry for a page that was read or written at a revision.
    pub(super) fn new(expected: ExpectedRevision, page: ClaimPage) -> Self {
        Self {
            expected,
            page,
            last_use: 0,
        }
    }
}

/// Cache of one shard's pages; evicts the least recently used ones.
#[derive(Debug, Default)]
pub(super) struct PageCache {
    pages: HashMap<PageSlot, CachedPage>,
    /// Number of accesses so far; orders the pages by their last use.
    use_count: u64,
}

impl PageCache {
    /// Finds the cached page of a slot and marks it as used.
    pub(super) fn get(&mut self, slot: PageSlot) -> Option<&CachedPage> {
        self.use_count += 1;
        let use_count = self.use_count;
        let cached = self.pages.get_mut(&slot)?;
        cached.last_use = use_count;
        Some(cached)
    }

    /// Inserts the page of a slot and evicts others while a limit is exceeded.
    pub(super) fn put(&mut self, slot: PageSlot, mut cached: CachedPage) {
        self.use_count += 1;
        cached.last_use = self.use_count;
        self.pages.insert(slot, cached);
        while self.pages.len() > MAX_CACHED_PAGES
            || (self.rows() > MAX_CACHED_ROWS && self.pages.len() > 1)
        {
            self.evict_least_recent();
        }
    }

    /// Number of cached claims.
    pub(super) fn rows(&self) -> usize {
        self.pages.values().map(|cached| cached.page.len()).sum()
    }

    fn evict_least_recent(&mut self) {
        let oldest = self
            .pages
            .iter()
            .min_by_key(|(_slot, cached)| cached.last_use);
        if let Some(slot) = oldest.map(|(slot, _cached)| *slot) {
            self.pages.remove(&slot);
        }
    }
}
