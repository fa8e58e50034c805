//! Splits the configuration into content-addressed sections, so that only changed sections have to
//! be transferred.
//!
//! The head names every section by the digest of its content. A configuration can therefore be
//! assembled only from a head and exactly the sections it names, never from a mix of revisions.

use crate::config::{ChangeEntry, ConfigDocument, FleetDeclaration, StagePlacement, TeamSpec};
use crate::config::{ModelSpec, RolloutSpec, ServiceSpec, ServingVersion};
use crate::ids::{ConfigRevision, PlanId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Result of assembling a configuration.
pub type Result<T> = std::result::Result<T, BundleError>;

/// Number of sections over which the teams are distributed, by hash of the team name.
const TEAM_SECTIONS: u64 = 32;
/// Number of sections over which the placements are distributed, by hash of the engine name.
const PLACEMENT_SECTIONS: u64 = 24;
/// Name of the section with models, services, rollout settings and serving versions.
const CATALOG: &str = "catalog";
/// Length of a section digest, in bytes: the first half of a SHA-256 digest.
const DIGEST_BYTES: usize = 16;

/// Reason why a configuration cannot be assembled from a head and sections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BundleError {
    /// Sections named by the head are missing.
    Missing(Vec<SectionDigest>),
    /// The head, a digest or a section cannot be parsed.
    Malformed(String),
}

impl fmt::Display for BundleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(digests) => write!(f, "{} sections are missing", digests.len()),
            Self::Malformed(cause) => write!(f, "malformed head or section: {cause}"),
        }
    }
}

impl std::error::Error for BundleError {}

/// Digest that identifies a section by its content; written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionDigest(pub [u8; DIGEST_BYTES]);

impl SectionDigest {
    /// Computes the digest of a section's content.
    pub fn of(content: &[u8]) -> Self {
        let digest: [u8; 32] = Sha256::digest(content).into();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for SectionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for SectionDigest {
    type Err = BundleError;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || BundleError::Malformed(format!("section digest {text}"));
        if text.len() != 2 * DIGEST_BYTES {
            return Err(malformed());
        }
        let number = u128::from_str_radix(text, 16).map_err(|_cause| malformed())?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl TryFrom<String> for SectionDigest {
    type Error = BundleError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<SectionDigest> for String {
    fn from(digest: SectionDigest) -> Self {
        digest.to_string()
    }
}

/// Configuration head: the value of the configuration key in the store.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigHead {
    /// Plan whose confirmation wrote this head.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub author: Arc<str>,
    /// Digests of the sections, by section name.
    pub sections: BTreeMap<Arc<str>, SectionDigest>,
    /// Latest changes, oldest first; the last entry is the change that wrote this head.
    pub recent: Vec<ChangeEntry>,
}

/// Section contents by digest.
pub type SectionMap = BTreeMap<SectionDigest, Arc<[u8]>>;

/// Complete configuration as head and sections, the form in which it is stored and sent to peers.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigBundle {
    /// Revision of the configuration key.
    pub revision: ConfigRevision,
    /// Head of the configuration.
    pub head: ConfigHead,
    /// All sections named by the head.
    pub sections: SectionMap,
}

/// Content of the catalog section: the parts of the document that are small and change together.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct CatalogSection {
    models: Vec<ModelSpec>,
    services: Vec<ServiceSpec>,
    rollout: RolloutSpec,
    serving: Vec<ServingVersion>,
}

impl ConfigBundle {
    /// Splits a document into a head and sections. The sections do not depend on the order of teams
    /// and placements.
    pub fn split(
        revision: ConfigRevision,
        document: &ConfigDocument,
        recent: Vec<ChangeEntry>,
    ) -> Self {
        let declaration = &document.declaration;
        let mut contents: BTreeMap<Arc<str>, Vec<u8>> = BTreeMap::new();
        let catalog = CatalogSection {
            models: declaration.models.clone(),
            services: declaration.services.clone(),
            rollout: declaration.rollout.clone(),
            serving: document.serving.clone(),
        };
        contents.insert(Arc::from(CATALOG), encode(&catalog));
        let team_key = |team: &TeamSpec| team.team.to_string();
        add_bucketed_sections(
            &mut contents,
            "teams",
            TEAM_SECTIONS,
            &declaration.teams,
            team_key,
        );
        let row_key = |row: &StagePlacement| row.instance.to_string();
        let rows = &document.placements;
        add_bucketed_sections(
            &mut contents,
            "placements",
            PLACEMENT_SECTIONS,
            rows,
            row_key,
        );
        let mut sections = SectionMap::new();
        let mut names = BTreeMap::new();
        for (name, content) in contents {
            let digest = SectionDigest::of(&content);
            names.insert(name, digest);
            sections.insert(digest, Arc::from(content));
        }
        let head = ConfigHead {
            plan: document.plan.clone(),
            author: Arc::clone(&document.author),
            sections: names,
            recent,
        };
        Self {
            revision,
            head,
            sections,
        }
    }

    /// Creates a bundle from a head and the sections that it names, taken from `available`.
    ///
    /// # Errors
    /// [`BundleError::Missing`] with the digests that are not in `available`.
    pub fn from_sections(
        revision: ConfigRevision,
        head: ConfigHead,
        available: &SectionMap,
    ) -> Result<Self> {
        let (mut sections, mut missing) = (SectionMap::new(), Vec::new());
        for digest in head.sections.values() {
            match available.get(digest) {
                Some(content) => drop(sections.insert(*digest, Arc::clone(content))),
                None => missing.push(*digest),
            }
        }
        if !missing.is_empty() {
            return Err(BundleError::Missing(missing));
        }
        Ok(Self {
            revision,
            head,
            sections,
        })
    }

    /// Assembles the configuration document from the sections.
    ///
    /// # Errors
    /// [`BundleError`] when a section is missing or malformed.
    pub fn assemble(&self) -> Result<ConfigDocument> {
        let mut declaration = FleetDeclaration::default();
        let (mut placements, mut serving) = (Vec::new(), Vec::new());
        for (name, digest) in &self.head.sections {
            let content = self.sections.get(digest);
            let content = content.ok_or_else(|| BundleError::Missing(vec![*digest]))?;
            match name.split('/').next() {
                Some("teams") => declaration.teams.extend(decode::<Vec<TeamSpec>>(content)?),
                Some("placements") => {
                    placements.extend(decode::<Vec<StagePlacement>>(content)?);
                }
                _ => {
                    let catalog: CatalogSection = decode(content)?;
                    declaration.models = catalog.models;
                    declaration.services = catalog.services;
                    declaration.rollout = catalog.rollout;
                    serving = catalog.serving;
                }
            }
        }
        Ok(ConfigDocument {
            plan: self.head.plan.clone(),
            author: Arc::clone(&self.head.author),
            declaration,
            placements,
            serving,
        })
    }
}

/// Parses a head from the value of the configuration key.
///
/// # Errors
/// [`BundleError::Malformed`] when the value is not a head.
pub fn read_head(value: &[u8]) -> Result<ConfigHead> {
    decode(value)
}

/// Distributes `items` over buckets by the hash of their keys and adds one section per non-empty
/// bucket. The items of a section are sorted by key, so that its digest does not depend on the
/// order of `items`.
fn add_bucketed_sections<T: Serialize>(
    contents: &mut BTreeMap<Arc<str>, Vec<u8>>,
    kind: &str,
    buckets: u64,
    items: &[T],
    key: impl Fn(&T) -> String,
) {
    let mut sorted: BTreeMap<u64, Vec<(String, &T)>> = BTreeMap::new();
    for item in items {
        let key = key(item);
        let bucket = hash_text(&key) % buckets;
        sorted.entry(bucket).or_default().push((key, item));
    }
    for (bucket, mut entries) in sorted {
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        let content: Vec<&T> = entries.into_iter().map(|(_, item)| item).collect();
        contents.insert(Arc::from(format!("{kind}/{bucket}")), encode(&content));
    }
}

/// Returns the first eight bytes of the SHA-256 digest of a text. Unlike the standard library's
/// hasher, the result is the same in every version and on every instance.
pub fn hash_text(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("sections serialize")
}

fn decode<T: serde::de::DeserializeOwned>(content: &[u8]) -> Result<T> {
    serde_json::from_slice(content).map_err(|cause| BundleError::Malformed(cause.to_string()))
}
