//! Identifiers as newtypes, so that they cannot be confused with each other. Each can be parsed
//! from and displayed as text.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Length of the longest text identifier accepted.
const MAX_ID_BYTES: usize = 64;

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text contains a character other than `A-Z a-z 0-9 . _ -`.
    BadCharacter(char),
    /// The text is not a number in the expected format.
    BadNumber,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("must not be empty"),
            Self::TooLong => write!(f, "must be at most {MAX_ID_BYTES} bytes"),
            Self::BadCharacter(found) => write!(f, "must not contain {found:?}"),
            Self::BadNumber => f.write_str("must be a number in the expected format"),
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
    let bad_character = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-'));
    bad_character.map_or(Ok(()), |found| Err(IdError::BadCharacter(found)))
}

/// Defines an identifier that consists of at most [`MAX_ID_BYTES`] of the accepted characters.
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

/// Defines an identifier that is a number.
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
    /// Name of an instance on the platform: a daemon, an engine or a plain service.
    InstanceId
}
text_id! {
    /// Name of a failure domain: a group of instances that may fail together.
    DomainId
}
text_id! {
    /// Name of a team, the unit of authentication, limits and fairness.
    TeamId
}
text_id! {
    /// Name of a model.
    ModelId
}
text_id! {
    /// Name of a version of a model.
    VersionId
}
text_id! {
    /// Name of a plain service behind the router.
    ServiceId
}
text_id! {
    /// Name of a plan, which makes its confirmation idempotent.
    PlanId
}
number_id! {
    /// Revision of the accepted configuration: the modification revision of its key in the store.
    ConfigRevision, u64
}
number_id! {
    /// Number of an attempt of one request, from 1. Output of earlier attempts is ignored.
    AttemptNumber, u32
}
number_id! {
    /// Index of a generated token in its answer, from 0.
    TokenPosition, u32
}
number_id! {
    /// Fencing number of an order to a target; the target ignores orders with a lower number than
    /// the highest seen.
    FenceNumber, u64
}
number_id! {
    /// Era of the platform's store: rises by one with each restore from an older copy. 0 stands for a
    /// store that names none.
    StoreEra, u64
}
number_id! {
    /// Identifier of a lease, assigned by the key-value store of the platform.
    LeaseId, i64
}

/// Random 128-bit identifier of a request, displayed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates an identifier, which is never 0, from `rng`.
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
