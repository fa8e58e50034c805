//! Key-value cache of an engine: how many tokens of each request it holds, least recently used
//! evicted first.

use arbutusmount::RequestId;
use std::collections::HashMap;

/// Number of cached tokens of each request, within a total limit.
#[derive(Debug)]
pub(super) struct KvCache {
    limit_tokens: u64,
    used_tokens: u64,
    /// Number of calls so far; orders entries by their last use.
    clock: u64,
    entries: HashMap<RequestId, KvEntry>,
}

#[derive(Debug, Clone, Copy)]
struct KvEntry {
    tokens: u32,
    last_use: u64,
}

impl KvCache {
    /// Creates a cache for up to `limit_tokens` tokens.
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            used_tokens: 0,
            clock: 0,
            entries: HashMap::new(),
        }
    }

    /// Extends the cache of a request to `context_tokens` and returns how many of them were
    /// missing and have to be prefilled.
    pub(super) fn extend(&mut self, request: RequestId, context_tokens: u32) -> u32 {
        self.clock += 1;
        let entry = self.entries.entry(request).or_insert(KvEntry {
            tokens: 0,
            last_use: 0,
        });
        let missing = context_tokens.saturating_sub(entry.tokens);
        entry.last_use = self.clock;
        entry.tokens += missing;
        self.used_tokens += u64::from(missing);
        self.evict(request);
        missing
    }

    fn evict(&mut self, keep: RequestId) {
        while self.used_tokens > self.limit_tokens {
            let others = self.entries.iter().filter(|(request, _)| **request != keep);
            let oldest = others
                .min_by_key(|(_, entry)| entry.last_use)
                .map(|(request, _)| *request);
            let Some(entry) = oldest.and_then(|request| self.entries.remove(&request)) else {
                return;
            };
            self.used_tokens -= u64::from(entry.tokens);
        }
    }
}
