//! SHA-256 digests of bearer tokens, compared in constant time.

use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Result of parsing a token digest.
pub type Result<T> = std::result::Result<T, DigestError>;

/// Parse error: the text is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 64 hexadecimal digits")
    }
}

impl std::error::Error for DigestError {}

/// SHA-256 digest of a bearer token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Compares two digests in constant time, so that timing does not reveal where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Computes the SHA-256 digest of a bearer token.
pub fn digest_token(token: &str) -> TokenDigest {
    TokenDigest(Sha256::digest(token.as_bytes()).into())
}

impl FromStr for TokenDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_cause| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
