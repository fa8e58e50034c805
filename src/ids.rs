//! Identifiers as newtypes: they parse from text, print as text and never mix.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Longest identifier accepted, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

/// Reason why a text is not an identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text holds a character outside `A-Z a-z 0-9 . _ -`.
    BadCharacter(char),
    /// The text is not a number of the expected form.
    BadNumber,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("must not be empty"),
            Self::TooLong => write!(f, "must be at most {MAX_ID_BYTES} bytes"),
            Self::BadCharacter(found) => write!(f, "must not contain {found:?}"),
            Self::BadNumber => f.write_str("must be a number"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_id_text(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong);
    }
    let bad = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'));
    bad.map_or(Ok(()), |found| Err(IdError::BadCharacter(found)))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                check_id_text(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_cause| IdError::BadNumber)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

text_id! {
    /// Names one process on the platform: a daemon, an engine or a plain service.
    InstanceId
}
text_id! {
    /// Names a failure domain: instances that tend to fail together.
    DomainId
}
text_id! {
    /// Names a team, the unit of authentication, limits and fairness.
    TeamId
}
text_id! {
    /// Names a model.
    ModelId
}
text_id! {
    /// Names a version of a model.
    VersionId
}
text_id! {
    /// Names a plain service behind the router.
    ServiceId
}
text_id! {
    /// Names a plan, so that confirming it is idempotent.
    PlanId
}
number_id! {
    /// Revision of the accepted configuration, the store's modification revision of its key.
    ConfigRevision, u64
}
number_id! {
    /// Number of an attempt to serve one request, from 1. Output of older attempts is ignored.
    AttemptNumber, u32
}
number_id! {
    /// Index of a generated token within one answer, from 0.
    TokenPosition, u32
}
number_id! {
    /// Fencing number on orders to targets; a higher number supersedes a lower one.
    FenceNumber, u64
}
number_id! {
    /// Lease number handed out by the platform's key-value service.
    LeaseId, i64
}

/// Random 128-bit request identifier, printed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(pub u128);

impl RequestId {
    /// Draws a new identifier from the given random source.
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        Self(rng.u128(1..))
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() != 32 {
            return Err(IdError::BadNumber);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_cause| IdError::BadNumber)
    }
}

impl TryFrom<String> for RequestId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
