//! Pages that a shard's writer has seen, with the revision that a compare-and-swap expects.

use crate::claims::key::PageSlot;
use crate::claims::page::{ClaimPage, MAX_PAGE_CLAIMS};
use crate::store::ExpectedRevision;
use std::collections::HashMap;

/// Claims cached for one shard; one full page always fits.
const MAX_CACHED_ROWS: usize = MAX_PAGE_CLAIMS;
/// Pages cached for one shard.
const MAX_CACHED_PAGES: usize = 64;

/// A page as it was at a revision.
#[derive(Debug, Clone)]
pub(super) struct CachedPage {
    /// Revision that last changed the page.
    pub(super) expected: ExpectedRevision,
    /// Its claims.
    pub(super) page: ClaimPage,
    last_use: u64,
}

impl CachedPage {
    /// A page read at a revision.
    pub(super) fn new(expected: ExpectedRevision, page: ClaimPage) -> Self {
        Self {
            expected,
            page,
            last_use: 0,
        }
    }
}

/// Pages of one shard; the least recently used are dropped.
#[derive(Debug, Default)]
pub(super) struct PageCache {
    pages: HashMap<PageSlot, CachedPage>,
    use_count: u64,
}

impl PageCache {
    /// The page in a slot, if it is cached.
    pub(super) fn get(&mut self, slot: PageSlot) -> Option<&CachedPage> {
        self.use_count += 1;
        let use_count = self.use_count;
        let cached = self.pages.get_mut(&slot)?;
        cached.last_use = use_count;
        Some(cached)
    }

    /// Puts a page into a slot.
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

    /// Claims cached.
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
