//! Sizes, rates, points in time and layer ranges as newtypes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Result of parsing a size, rate or layer range.
pub type Result<T> = std::result::Result<T, UnitError>;

/// Why a text is not a valid size, rate or layer range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitError {
    /// A number cannot be parsed.
    BadNumber,
    /// The unit is unknown, or the `..` of a range is missing.
    BadUnit,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadNumber => f.write_str("must start with a whole number"),
            Self::BadUnit => f.write_str("must end with a known unit"),
        }
    }
}

impl std::error::Error for UnitError {}

/// A point in time on the monotonic clock of this process, in microseconds since the clock started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The point in time `span` after this one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// The duration from `earlier` to this point in time; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A number of bytes, parsed from texts such as `512`, `64KiB`, `10MiB` or `2GiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// Units of [`ByteSize`], largest first: a size is displayed in the first unit that divides it.
const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("", 1),
];

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let number: u64 = digits
            .trim()
            .parse()
            .map_err(|_cause| UnitError::BadNumber)?;
        let unit = &text[digits.len()..];
        let found = BYTE_UNITS.iter().find(|(name, _)| *name == unit);
        let (_, factor) = found.ok_or(UnitError::BadUnit)?;
        Ok(Self(number.saturating_mul(*factor)))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides =
            |(_, factor): &&(&str, u64)| self.0 >= *factor && self.0.is_multiple_of(*factor);
        let (name, factor) = BYTE_UNITS.iter().find(divides).unwrap_or(&("", 1));
        write!(f, "{}{name}", self.0 / factor)
    }
}

/// A rate in tokens per second, parsed from texts such as `250` or `250/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.trim_end_matches("/s");
        number
            .parse()
            .map(Self)
            .map_err(|_cause| UnitError::BadNumber)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Requests per second, parsed from a decimal number. Never negative, infinite or not a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate(pub f64);

impl RequestRate {
    /// This many requests per second; `None` if that is negative, infinite or not a number.
    pub fn new(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let rate = text.trim().parse().map_err(|_cause| UnitError::BadNumber)?;
        Self::new(rate).ok_or(UnitError::BadNumber)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A half-open range of model layers, displayed as `from..to`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer of the range.
    pub from: u32,
    /// Layer after the last one of the range.
    pub to: u32,
}

impl LayerRange {
    /// Creates the range `from..to`.
    pub fn new(from: u32, to: u32) -> Self {
        Self { from, to }
    }

    /// Number of layers in the range.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// True when the range contains no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.from, self.to)
    }
}

impl FromStr for LayerRange {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let (from, to) = text.split_once("..").ok_or(UnitError::BadUnit)?;
        let from = from.parse().map_err(|_cause| UnitError::BadNumber)?;
        let to = to.parse().map_err(|_cause| UnitError::BadNumber)?;
        Ok(Self { from, to })
    }
}
