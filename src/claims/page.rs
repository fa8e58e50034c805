//! A page of claims: the value of one key of the store, changed only by compare-and-swap.

use crate::claims::key::{
    ClaimAttempt, ClaimRequest, DATED_SLOT_COUNT, KeyDigest, UNDATED_RETENTION_S,
};
use crate::ids::InstanceId;
use prost::Message;
use std::collections::BTreeMap;

/// Most claims of one page; at about 40 bytes each it stays below the store's 1 MB.
pub const MAX_PAGE_CLAIMS: usize = 20_000;

/// One claim within a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// Digest of the call.
    pub fingerprint: u64,
    /// Attempt that may dispatch the call.
    pub attempt: ClaimAttempt,
    /// Daemon that made the attempt and knows what became of it.
    pub owner: InstanceId,
    /// Unix time of the claim, in seconds.
    pub claimed_s: u64,
}

/// A change of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageChange {
    /// Claims a key for an attempt.
    Claim {
        /// Claim wanted.
        claim: ClaimRequest,
        /// Attempt that wants it.
        attempt: ClaimAttempt,
        /// Daemon that makes the attempt.
        owner: InstanceId,
        /// Earlier attempt that is known to never run and may be replaced.
        supersedes: Option<ClaimAttempt>,
    },
    /// Gives up the claim of an attempt that never runs.
    Release {
        /// Claim made.
        claim: ClaimRequest,
        /// Attempt that made it.
        attempt: ClaimAttempt,
    },
}

impl PageChange {
    /// The claim concerned.
    pub fn claim(&self) -> &ClaimRequest {
        match self {
            Self::Claim { claim, .. } | Self::Release { claim, .. } => claim,
        }
    }
}

/// Answer to a change of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt holds the claim.
    Granted,
    /// Another attempt holds the claim.
    Taken(ClaimRow),
    /// The attempt does not hold the claim any more.
    Released,
    /// Claims of the key's window may have been dropped.
    TooOld,
    /// The page holds as many claims as it may.
    PageFull,
    /// Too many changes wait.
    Overloaded,
    /// The store did not take the change, or not for certain.
    StoreDown,
}

/// Claims of one page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimPage {
    window: u64,
    rows: BTreeMap<KeyDigest, ClaimRow>,
}

impl ClaimPage {
    /// Window whose dated keys the page holds; 0 for undated keys.
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

    /// The claim on a key, if the page holds it.
    pub fn find(&self, claim: &ClaimRequest) -> Option<&ClaimRow> {
        let is_current = claim.window.is_none_or(|window| window == self.window);
        is_current.then(|| self.rows.get(&claim.digest)).flatten()
    }

    /// Applies a change; `now_s` is the Unix time in seconds. Applying a change twice gives the
    /// same page and the same verdict.
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

    fn insert(&mut self, claim: &ClaimRequest, row: ClaimRow) -> ClaimVerdict {
        if claim.window.is_none() {
            let oldest = row.claimed_s.saturating_sub(UNDATED_RETENTION_S);
            self.rows.retain(|_digest, row| row.claimed_s >= oldest);
        }
        if self.rows.len() >= MAX_PAGE_CLAIMS {
            return ClaimVerdict::PageFull;
        }
        self.rows.insert(claim.digest, row);
        ClaimVerdict::Granted
    }

    fn release(&mut self, claim: &ClaimRequest, attempt: ClaimAttempt) -> ClaimVerdict {
        if self.find(claim).is_some_and(|row| row.attempt == attempt) {
            self.rows.remove(&claim.digest);
        }
        ClaimVerdict::Released
    }

    /// Moves a dated page on to a later window, which drops the claims of the earlier one. A page
    /// never goes back, so a key of a dropped window is refused for ever, whatever clocks say.
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
                "windows of one slot differ by whole rounds"
            );
            self.window = window;
            self.rows.clear();
        }
        WindowCheck::Current
    }

    /// Encodes the page as a value of the store.
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

    /// Decodes a value of the store; `None` when it is malformed.
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

/// Wire form of a page.
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

/// Wire form of a claim.
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
