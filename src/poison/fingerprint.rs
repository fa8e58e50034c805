//! Digest by which daemons recognize a request that comes again.

use sha2::{Digest, Sha256};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// SHA-256 digest of the parts that make two requests the same, cut to 128 bits. All daemons
/// compute the same digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoisonFingerprint(pub u128);

impl PoisonFingerprint {
    /// Computes the digest of the parts, separated by zero bytes. Only the last part may contain a
    /// zero byte.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                hasher.update([0]);
            }
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl FromStr for PoisonFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for PoisonFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
