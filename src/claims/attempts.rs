//! States of the attempts that this daemon has made.

use crate::claims::key::{ClaimAttempt, ClaimRequest, KeyDigest};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Maximum number of finished attempts that are kept.
pub const MAX_FINISHED_ATTEMPTS: usize = 20_000;
/// Maximum size of all cached responses, in bytes.
pub const MAX_CACHED_BYTES: usize = 16 << 20;
/// Largest response that is cached, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Response of a target, cached so that a retry of the call gets it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Vec<u8>,
}

/// State of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt waits for its claim.
    Waiting,
    /// The claim was granted; the call may be dispatched, or has been.
    Running,
    /// The call was not executed and never will be. Final.
    NotExecuted,
    /// The target responded; the response is absent when it was too large to cache. Final.
    Completed(Option<Arc<CachedResponse>>),
    /// The outcome is unknown: the call may have been executed, or the attempt is not known to this
    /// process. Final.
    Unknown,
}

impl AttemptState {
    fn is_finished(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }

    fn response_bytes(&self) -> usize {
        match self {
            Self::Completed(Some(response)) => response.body.len(),
            _ => 0,
        }
    }
}

/// An attempt with its key and the fingerprint of its call.
#[derive(Debug)]
struct AttemptRow {
    state: AttemptState,
    digest: KeyDigest,
    fingerprint: u64,
}

/// Attempts of this daemon. The oldest finished ones are evicted when there are too many or when
/// their responses take too much memory.
#[derive(Debug, Default)]
pub struct AttemptTable {
    rows: HashMap<ClaimAttempt, AttemptRow>,
    /// First attempt on each key. It stays until it is evicted or finished as not executed; the
    /// next attempt to start then takes its place.
    by_key: HashMap<KeyDigest, ClaimAttempt>,
    finished: VecDeque<ClaimAttempt>,
    cached_bytes: usize,
}

impl AttemptTable {
    /// Adds an attempt, which waits for its claim.
    pub fn start(&mut self, attempt: ClaimAttempt, claim: &ClaimRequest) {
        let row = AttemptRow {
            state: AttemptState::Waiting,
            digest: claim.digest,
            fingerprint: claim.fingerprint,
        };
        self.rows.insert(attempt, row);
        self.by_key.entry(claim.digest).or_insert(attempt);
    }

    /// Fingerprint and state of an earlier attempt with the same key. `None` when there is none, it
    /// was not executed and never will be, or it was evicted.
    pub fn find(&self, claim: &ClaimRequest) -> Option<(u64, AttemptState)> {
        let attempt = self.by_key.get(&claim.digest)?;
        let row = self.rows.get(attempt)?;
        Some((row.fingerprint, row.state.clone()))
    }

    /// Moves a waiting attempt to running; false when it has already finished.
    pub fn mark_running(&mut self, attempt: ClaimAttempt) -> bool {
        match self.rows.get_mut(&attempt) {
            Some(row) if row.state == AttemptState::Waiting => {
                row.state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Finishes an attempt. The first final state stays; later ones are ignored.
    pub fn finish(&mut self, attempt: ClaimAttempt, end: AttemptState) {
        let Some(row) = self.rows.get_mut(&attempt) else {
            return;
        };
        if row.state.is_finished() || !end.is_finished() {
            return;
        }
        row.state = match end {
            AttemptState::Completed(Some(response)) if response.body.len() > MAX_RESPONSE_BYTES => {
                AttemptState::Completed(None)
            }
            end => end,
        };
        self.cached_bytes += row.state.response_bytes();
        if row.state == AttemptState::NotExecuted {
            let digest = row.digest;
            self.remove_key(digest, attempt);
        }
        self.finished.push_back(attempt);
        while self.finished.len() > MAX_FINISHED_ATTEMPTS || self.cached_bytes > MAX_CACHED_BYTES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.finished.pop_front() else {
            return;
        };
        if let Some(row) = self.rows.remove(&oldest) {
            self.cached_bytes -= row.state.response_bytes();
            self.remove_key(row.digest, oldest);
        }
    }

    fn remove_key(&mut self, digest: KeyDigest, attempt: ClaimAttempt) {
        if self.by_key.get(&digest) == Some(&attempt) {
            self.by_key.remove(&digest);
        }
    }

    /// State of an attempt; `Unknown` when it was evicted or made by an earlier process.
    pub fn state(&self, attempt: ClaimAttempt) -> AttemptState {
        let known = self.rows.get(&attempt);
        known.map_or(AttemptState::Unknown, |row| row.state.clone())
    }

    /// Size of the cached responses, in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }
}
