//! Splits the configuration into sections by content, so that a change ships only what it changed.
//!
//! The head names every section by a digest of its content; head and sections together are one
//! configuration, and no other combination can be assembled.

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

/// Sections that the teams are spread over, by name.
const TEAM_SECTIONS: u64 = 32;
/// Sections that the placements are spread over, by engine.
const PLACEMENT_SECTIONS: u64 = 24;
/// Section with models, services and the rollout.
const CATALOG: &str = "catalog";
/// Bytes of a SHA-256 digest that name a section.
const DIGEST_BYTES: usize = 16;

/// Why a head and sections are not a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BundleError {
    /// Sections that the head names are not there.
    Missing(Vec<SectionDigest>),
    /// The head or a section is not what this version writes.
    Malformed(String),
}

impl fmt::Display for BundleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(digests) => write!(f, "{} sections are missing", digests.len()),
            Self::Malformed(cause) => write!(f, "malformed: {cause}"),
        }
    }
}

impl std::error::Error for BundleError {}

/// Names a section by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionDigest(pub [u8; DIGEST_BYTES]);

impl SectionDigest {
    /// Digest of a section's content.
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
        let malformed = || BundleError::Malformed(format!("digest {text}"));
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

/// The value of the configuration key.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigHead {
    /// Plan that was confirmed last.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub author: Arc<str>,
    /// Digests of the sections, by section name.
    pub sections: BTreeMap<Arc<str>, SectionDigest>,
    /// The last changes, oldest first; the last one wrote this head.
    pub recent: Vec<ChangeEntry>,
}

/// Contents of sections by digest.
pub type SectionMap = BTreeMap<SectionDigest, Arc<[u8]>>;

/// A complete configuration in the form in which it travels.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigBundle {
    /// Revision of the configuration key.
    pub revision: ConfigRevision,
    /// Head.
    pub head: ConfigHead,
    /// Sections that the head names.
    pub sections: SectionMap,
}

/// Models, services and rollout: small, and changed together.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct CatalogSection {
    models: Vec<ModelSpec>,
    services: Vec<ServiceSpec>,
    rollout: RolloutSpec,
    serving: Vec<ServingVersion>,
}

impl ConfigBundle {
    /// Splits a document.
    pub fn split(
        revision: ConfigRevision,
        document: &ConfigDocument,
        recent: Vec<ChangeEntry>,
    ) -> Self {
        let declaration = &document.declaration;
        let mut parts: BTreeMap<Arc<str>, Vec<u8>> = BTreeMap::new();
        let catalog = CatalogSection {
            models: declaration.models.clone(),
            services: declaration.services.clone(),
            rollout: declaration.rollout.clone(),
            serving: document.serving.clone(),
        };
        parts.insert(Arc::from(CATALOG), encode(&catalog));
        let team_key = |team: &TeamSpec| team.team.to_string();
        spread(
            &mut parts,
            "teams",
            TEAM_SECTIONS,
            &declaration.teams,
            team_key,
        );
        let row_key = |row: &StagePlacement| row.instance.to_string();
        let rows = &document.placements;
        spread(&mut parts, "placements", PLACEMENT_SECTIONS, rows, row_key);
        let mut sections = SectionMap::new();
        let mut names = BTreeMap::new();
        for (name, content) in parts {
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

    /// Puts a head together with the sections that it names, taken from `known`.
    ///
    /// # Errors
    /// [`BundleError::Missing`] with the digests that are not in `known`.
    pub fn gather(revision: ConfigRevision, head: ConfigHead, known: &SectionMap) -> Result<Self> {
        let (mut sections, mut missing) = (SectionMap::new(), Vec::new());
        for digest in head.sections.values() {
            match known.get(digest) {
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

    /// Assembles the document.
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

/// Reads a head from the value of the configuration key.
///
/// # Errors
/// [`BundleError::Malformed`] when it is not a head.
pub fn read_head(value: &[u8]) -> Result<ConfigHead> {
    decode(value)
}

/// Adds one section for each bucket of `items`, in an order that depends on their keys only.
fn spread<T: Serialize>(
    parts: &mut BTreeMap<Arc<str>, Vec<u8>>,
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
        parts.insert(Arc::from(format!("{kind}/{bucket}")), encode(&content));
    }
}

/// First eight bytes of the text's SHA-256 digest: the same in every version and on every machine.
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
