//! What this daemon knows of the attempts that it made.

use crate::claims::key::{ClaimAttempt, ClaimRequest, KeyDigest};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Finished attempts remembered.
pub const MAX_FINISHED_ATTEMPTS: usize = 20_000;
/// Bytes of answers kept.
pub const MAX_CACHED_BYTES: usize = 16 << 20;
/// Largest answer kept, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// A target's answer, kept for a retry of the same call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState {
    /// It waits for its claim.
    Waiting,
    /// It may have been dispatched.
    Running,
    /// It has not run and never will.
    NotRun,
    /// The target answered; the answer is absent when it was too large to keep.
    Completed(Option<Arc<CachedResponse>>),
    /// It may or may not have run, or nothing is known of it.
    Unknown,
}

impl AttemptState {
    fn is_finished(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }

    fn response_bytes(&self) -> usize {
        match self {
            Self::Completed(Some(answer)) => answer.body.len(),
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct AttemptRow {
    state: AttemptState,
    digest: KeyDigest,
    fingerprint: u64,
}

/// Attempts by number. Finished ones are forgotten, oldest first, when there are too many.
#[derive(Debug, Default)]
pub struct AttemptTable {
    rows: HashMap<ClaimAttempt, AttemptRow>,
    /// Attempt that holds or wants each key.
    by_key: HashMap<KeyDigest, ClaimAttempt>,
    finished: VecDeque<ClaimAttempt>,
    cached_bytes: usize,
}

impl AttemptTable {
    /// Adds an attempt that waits for its claim.
    pub fn start(&mut self, attempt: ClaimAttempt, claim: &ClaimRequest) {
        let row = AttemptRow {
            state: AttemptState::Waiting,
            digest: claim.digest,
            fingerprint: claim.fingerprint,
        };
        self.rows.insert(attempt, row);
        self.by_key.entry(claim.digest).or_insert(attempt);
    }

    /// Fingerprint and state of an earlier attempt to run a call with the same key, unless it never
    /// ran or is forgotten.
    pub fn find(&self, claim: &ClaimRequest) -> Option<(u64, AttemptState)> {
        let attempt = self.by_key.get(&claim.digest)?;
        let row = self.rows.get(attempt)?;
        Some((row.fingerprint, row.state.clone()))
    }

    /// Lets a waiting attempt run; false when it was given up before.
    pub fn dispatch(&mut self, attempt: ClaimAttempt) -> bool {
        match self.rows.get_mut(&attempt) {
            Some(row) if row.state == AttemptState::Waiting => {
                row.state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Ends an attempt. The end is final.
    pub fn finish(&mut self, attempt: ClaimAttempt, end: AttemptState) {
        let Some(row) = self.rows.get_mut(&attempt) else {
            return;
        };
        if row.state.is_finished() || !end.is_finished() {
            return;
        }
        row.state = match end {
            AttemptState::Completed(Some(answer)) if answer.body.len() > MAX_RESPONSE_BYTES => {
                AttemptState::Completed(None)
            }
            end => end,
        };
        self.cached_bytes += row.state.response_bytes();
        if row.state == AttemptState::NotRun {
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

    /// What became of an attempt; `Unknown` when it was forgotten or made by an earlier process.
    pub fn state(&self, attempt: ClaimAttempt) -> AttemptState {
        let known = self.rows.get(&attempt);
        known.map_or(AttemptState::Unknown, |row| row.state.clone())
    }

    /// Bytes of answers kept.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }
}
