//! Pages of claims. A page is the value of one key in the store and changes only by
//! compare-and-swap.

use crate::claims::key::{
    ClaimAttempt, ClaimRequest, DATED_SLOT_COUNT, KeyDigest, UNDATED_RETENTION_S,
};
use crate::ids::InstanceId;
use prost::Message;
use std::collections::BTreeMap;

/// Maximum number of claims in one page. At about 40 bytes each, a full page stays below the
/// store's limit of 1 MB for a value.
pub const MAX_PAGE_CLAIMS: usize = 20_000;

/// One claim in a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// Digest of the call.
    pub fingerprint: u64,
    /// Attempt that may dispatch the call.
    pub attempt: ClaimAttempt,
    /// Daemon that made the attempt and keeps its state.
    pub owner: InstanceId,
    /// Unix time of the claim, in seconds.
    pub claimed_s: u64,
}

/// A change to a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageChange {
    /// Claims a key for an attempt.
    Claim {
        /// Key to claim.
        claim: ClaimRequest,
        /// Attempt that claims the key.
        attempt: ClaimAttempt,
        /// Daemon that makes the attempt.
        owner: InstanceId,
        /// Earlier attempt that was not executed and never will be. If it holds the claim, the new
        /// attempt takes it over.
        supersedes: Option<ClaimAttempt>,
    },
    /// Releases the claim of an attempt that was not executed and never will be.
    Release {
        /// Claimed key.
        claim: ClaimRequest,
        /// Attempt that claimed the key.
        attempt: ClaimAttempt,
    },
}

impl PageChange {
    /// The claim that the change creates or releases.
    pub fn claim(&self) -> &ClaimRequest {
        match self {
            Self::Claim { claim, .. } | Self::Release { claim, .. } => claim,
        }
    }
}

/// Result of a change to a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt holds the claim and may dispatch its call.
    Granted,
    /// Another attempt holds the claim.
    Taken(ClaimRow),
    /// The attempt does not hold the claim; another attempt may.
    Released,
    /// The page is in use for a later window than the key's, so earlier claims on the key may have
    /// been dropped.
    TooOld,
    /// The page holds [`MAX_PAGE_CLAIMS`] claims.
    PageFull,
    /// The writer's queue is full, or its oldest change has waited too long.
    Overloaded,
    /// The change was not confirmed: calls to the store failed, the page was malformed, or the
    /// writes kept conflicting. It may have taken effect nevertheless.
    StoreDown,
}

/// Claims of one page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimPage {
    window: u64,
    rows: BTreeMap<KeyDigest, ClaimRow>,
}

impl ClaimPage {
    /// Window of the dated keys in the page; 0 for undated keys and for a page that was never
    /// written.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True when the page holds no claim.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Finds the claim on a key.
    pub fn find(&self, claim: &ClaimRequest) -> Option<&ClaimRow> {
        let is_current = claim.window.is_none_or(|window| window == self.window);
        is_current.then(|| self.rows.get(&claim.digest)).flatten()
    }

    /// Applies a change; `now_s` is the Unix time in seconds. Idempotent: a change that is applied
    /// twice gives the same page and the same verdict, so a write may be retried.
    pub fn apply(&mut self, change: &PageChange, now_s: u64) -> ClaimVerdict {
        match change {
            PageChange::Release { claim, attempt } => self.release(claim, *attempt),
            PageChange::Claim {
                claim,
                attempt,
                owner,
                supersedes,
            } => {
                let row = ClaimRow {
                    fingerprint: claim.fingerprint,
                    attempt: *attempt,
                    owner: owner.clone(),
                    claimed_s: now_s,
                };
                self.claim(claim, row, *supersedes)
            }
        }
    }

    fn claim(
        &mut self,
        claim: &ClaimRequest,
        row: ClaimRow,
        supersedes: Option<ClaimAttempt>,
    ) -> ClaimVerdict {
        if self.advance_window(claim.window) == WindowCheck::TooOld {
            return ClaimVerdict::TooOld;
        }
        match self.rows.get_mut(&claim.digest) {
            Some(present) if present.attempt == row.attempt => ClaimVerdict::Granted,
            Some(present) if supersedes == Some(present.attempt) => {
                *present = row;
                ClaimVerdict::Granted
            }
            Some(present) => ClaimVerdict::Taken(present.clone()),
            None => self.insert(claim, row),
        }
    }

    /// Inserts a claim. In a page of undated keys, the claims older than [`UNDATED_RETENTION_S`]
    /// are dropped first.
    fn insert(&mut self, claim: &ClaimRequest, row: ClaimRow) -> ClaimVerdict {
        if claim.window.is_none() {
            let cutoff_s = row.claimed_s.saturating_sub(UNDATED_RETENTION_S);
            self.rows.retain(|_digest, row| row.claimed_s >= cutoff_s);
        }
        if self.rows.len() >= MAX_PAGE_CLAIMS {
            return ClaimVerdict::PageFull;
        }
        self.rows.insert(claim.digest, row);
        ClaimVerdict::Granted
    }

    /// Removes the claim if `attempt` holds it. Succeeds also when it does not, e.g. on a retry.
    fn release(&mut self, claim: &ClaimRequest, attempt: ClaimAttempt) -> ClaimVerdict {
        if self.find(claim).is_some_and(|row| row.attempt == attempt) {
            self.rows.remove(&claim.digest);
        }
        ClaimVerdict::Released
    }

    /// Advances a dated page to a later window, which drops the claims of the earlier one. A page
    /// never returns to an earlier window, so keys of a dropped window stay refused even when a
    /// daemon's clock is wrong.
    fn advance_window(&mut self, window: Option<u64>) -> WindowCheck {
        let Some(window) = window else {
            return WindowCheck::Current;
        };
        if window < self.window {
            return WindowCheck::TooOld;
        }
        if window > self.window {
            debug_assert!(
                self.window == 0 || (window - self.window).is_multiple_of(DATED_SLOT_COUNT),
                "windows that share a slot differ by a multiple of the slot count"
            );
            self.window = window;
            self.rows.clear();
        }
        WindowCheck::Current
    }

    /// Encodes the page for the store. Owners are written once and referred to by position.
    pub fn encode(&self) -> Vec<u8> {
        let mut owners: Vec<&InstanceId> = self.rows.values().map(|row| &row.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        let position = |owner: &InstanceId| owners.binary_search(&owner).unwrap_or_default() as u32;
        let rows = self.rows.iter().map(|(digest, row)| RowBody {
            digest: digest.0.to_vec(),
            fingerprint: row.fingerprint,
            attempt: row.attempt.0,
            owner: position(&row.owner),
            claimed_s: row.claimed_s,
        });
        let body = PageBody {
            window: self.window,
            rows: rows.collect(),
            owners: owners.iter().map(ToString::to_string).collect(),
        };
        body.encode_to_vec()
    }

    /// Decodes a page from the store; `None` when it is malformed.
    pub fn decode(value: &[u8]) -> Option<Self> {
        let body = PageBody::decode(value).ok()?;
        let owners: Option<Vec<InstanceId>> =
            body.owners.iter().map(|owner| owner.parse().ok()).collect();
        let owners = owners?;
        let mut rows = BTreeMap::new();
        for row in body.rows {
            let digest = KeyDigest(row.digest.try_into().ok()?);
            let found = ClaimRow {
                fingerprint: row.fingerprint,
                attempt: ClaimAttempt(row.attempt),
                owner: owners.get(row.owner as usize)?.clone(),
                claimed_s: row.claimed_s,
            };
            rows.insert(digest, found);
        }
        Some(Self {
            window: body.window,
            rows,
        })
    }
}

#[derive(Debug, PartialEq, Eq)]
enum WindowCheck {
    Current,
    TooOld,
}

/// Encoded form of a page.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct PageBody {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(message, repeated, tag = "2")]
    rows: Vec<RowBody>,
    #[prost(string, repeated, tag = "3")]
    owners: Vec<String>,
}

/// Encoded form of a claim; `owner` is a position in the page's `owners`.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct RowBody {
    #[prost(bytes = "vec", tag = "1")]
    digest: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    fingerprint: u64,
    #[prost(fixed64, tag = "3")]
    attempt: u64,
    #[prost(uint32, tag = "4")]
    owner: u32,
    #[prost(uint64, tag = "5")]
    claimed_s: u64,
}
