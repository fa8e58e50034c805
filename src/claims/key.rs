//! Idempotency keys: digests, the time in dated keys, and the page of the store that holds a claim.
//!
//! A dated key is a UUID of version 7, which carries its time of creation; any other key is
//! undated.

use crate::ids::{ServiceId, TeamId};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Number of shards of the key space. Each has a home daemon, which batches the writes of the
/// shard's pages.
pub const SHARD_COUNT: usize = 16;
/// Number of pages of undated keys; a multiple of [`SHARD_COUNT`], so that shards get equal parts.
pub const UNDATED_PAGE_COUNT: u16 = 64;
/// Length of a time window in milliseconds; dated keys of one shard and window share a page.
pub const WINDOW_MS: u64 = 10_000;
/// Number of pages of each shard for dated keys. The page of a window is reused this many windows
/// later.
pub const DATED_SLOT_COUNT: u64 = 750;
/// Largest accepted age of a dated key, in windows. The difference to [`DATED_SLOT_COUNT`] covers
/// [`MAX_KEY_AHEAD_WINDOWS`] and the clock skew between daemons, so that no page is reused while
/// its keys are accepted.
pub const MAX_KEY_AGE_WINDOWS: u64 = 720;
/// Largest accepted lead of a dated key over this daemon's clock, in windows; allows for clock
/// skew.
pub const MAX_KEY_AHEAD_WINDOWS: u64 = 6;
/// Retention of claims on undated keys, in seconds. Older claims may be dropped; a retry of the
/// call is then executed again.
pub const UNDATED_RETENTION_S: u64 = 24 * 3_600;

const DIGEST_BYTES: usize = 16;
/// Position of the version digit in the text of a UUID.
const VERSION_POSITION: usize = 14;
/// Positions of the hyphens in the text of a UUID.
const HYPHENS: [usize; 4] = [8, 13, 18, 23];
const UUID_LENGTH: usize = 36;

/// Truncated SHA-256 digest of a team, a service and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key. Equal keys of different teams or services have different
    /// digests.
    pub fn compute(team: &TeamId, service: &ServiceId, key: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [team.as_str(), service.as_str(), key] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// First two bytes, which choose the shard of a dated key and the page of an undated one.
    fn prefix(self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Random identifier of one attempt to claim a key and dispatch its call; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimAttempt(pub u64);

impl fmt::Display for ClaimAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ClaimAttempt {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Identifies a page of claims in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PageSlot {
    /// Page of the dated keys of one shard and window. It is reused for the window that comes
    /// [`DATED_SLOT_COUNT`] windows later.
    Dated {
        /// Shard number, below [`SHARD_COUNT`].
        shard: u16,
        /// Window number modulo [`DATED_SLOT_COUNT`].
        slot: u64,
    },
    /// Page of undated keys.
    Undated {
        /// Page number, below [`UNDATED_PAGE_COUNT`].
        bucket: u16,
    },
}

impl PageSlot {
    /// Shard that the page belongs to, below [`SHARD_COUNT`].
    pub fn shard(self) -> usize {
        match self {
            Self::Dated { shard, .. } => usize::from(shard),
            Self::Undated { bucket } => usize::from(bucket) % SHARD_COUNT,
        }
    }
}

/// Prints the key of the page in the store.
impl fmt::Display for PageSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dated { shard, slot } => write!(f, "arbutusmount/claims/v1/d/{shard}/{slot}"),
            Self::Undated { bucket } => write!(f, "arbutusmount/claims/v1/u/{bucket}"),
        }
    }
}

/// The claim that a call needs before it may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Digest of the idempotency key.
    pub digest: KeyDigest,
    /// Window number of a dated key: its Unix time divided by [`WINDOW_MS`]. `None` when undated.
    pub window: Option<u64>,
    /// Digest of the call. It detects the use of one key for two different calls.
    pub fingerprint: u64,
}

impl ClaimRequest {
    /// Creates the request for a call's key. A UUID of version 7 is a dated key.
    ///
    /// ```
    /// # use arbutusmount::ClaimRequest;
    /// let (team, service) = ("dispatch".parse().unwrap(), "bays".parse().unwrap());
    /// let dated = "0197f2a4-8c00-7abc-8def-0123456789ab";
    /// assert!(ClaimRequest::new(&team, &service, dated, 1).window.is_some());
    /// assert!(ClaimRequest::new(&team, &service, "order-17", 1).window.is_none());
    /// ```
    pub fn new(team: &TeamId, service: &ServiceId, key: &str, fingerprint: u64) -> Self {
        Self {
            digest: KeyDigest::compute(team, service, key),
            window: key_time_ms(key).map(|millis| millis / WINDOW_MS),
            fingerprint,
        }
    }

    /// Page that holds the claim.
    pub fn slot(&self) -> PageSlot {
        match self.window {
            Some(window) => PageSlot::Dated {
                shard: self.digest.prefix() % SHARD_COUNT as u16,
                slot: window % DATED_SLOT_COUNT,
            },
            None => PageSlot::Undated {
                bucket: self.digest.prefix() % UNDATED_PAGE_COUNT,
            },
        }
    }
}

/// Unix time in milliseconds in the first 48 bits of a UUID of version 7 (RFC 9562, section 5.7).
/// `None` when the key is not such a UUID.
fn key_time_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_uuid = bytes.len() == UUID_LENGTH
        && bytes.iter().enumerate().all(|(index, byte)| {
            if HYPHENS.contains(&index) {
                *byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !is_uuid || bytes[VERSION_POSITION] != b'7' {
        return None;
    }
    let digits = format!("{}{}", &key[..HYPHENS[0]], &key[HYPHENS[0] + 1..HYPHENS[1]]);
    u64::from_str_radix(&digits, 16).ok()
}
