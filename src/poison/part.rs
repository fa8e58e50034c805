//! Identifier of a part of a prompt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifier of a part of a prompt, a number in hexadecimal. Requests with the same part have the
/// same text in that place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u128);

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
