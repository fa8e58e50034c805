//! The operators' declaration of models, services and teams, and its validation.

use crate::check::{CheckError, CheckFault, FieldKind, FieldRule, parse_document};
use crate::ids::{ModelId, ServiceId, TeamId, VersionId};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

/// Result of reading a declaration; the error lists every fault in the document.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// Declaration of the whole fleet, read from one JSON document.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetDeclaration {
    /// Models to serve.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// HTTP services to route to.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Teams that may send requests.
    #[serde(default)]
    pub teams: Vec<TeamSpec>,
    /// Limits and timeouts of model rollouts.
    #[serde(default)]
    pub rollout: RolloutSpec,
}

/// Limits and timeouts of model rollouts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// Rate limit of the weight store, in bytes per second.
    pub weight_bytes_per_second: u64,
    /// Maximum number of engines that load from the weight store at the same time.
    pub loads_at_once: u32,
    /// Maximum time that an engine is drained before its stage is replaced, in seconds.
    pub drain_seconds: u64,
    /// Grace period after which an engine missing from the instance list is replaced, in seconds.
    pub replace_seconds: u64,
}

impl Default for RolloutSpec {
    fn default() -> Self {
        Self {
            weight_bytes_per_second: 100 << 20,
            loads_at_once: 4,
            drain_seconds: 60,
            replace_seconds: 15,
        }
    }
}

/// Declared model with the version to serve.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelSpec {
    /// Model name, as used in requests.
    pub model: ModelId,
    /// Version to serve.
    pub version: VersionId,
    /// Number of layers.
    pub layers: u32,
    /// Size of one layer's weights, in bytes.
    pub layer_bytes: u64,
    /// Number of replicas (whole copies of the model) to keep loaded.
    pub replicas: u32,
    /// Minimum number of replicas that must stay available during a rollout.
    #[serde(default = "default_floor")]
    pub floor: u32,
}

fn default_floor() -> u32 {
    1
}

/// Declared HTTP service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Service name, the first path segment under `/services/`.
    pub service: ServiceId,
    /// HTTP methods that may be retried; all others need an idempotency key.
    #[serde(default = "default_repeatable")]
    pub repeatable: Vec<Arc<str>>,
    /// True when the service's targets reject requests that carry an outdated fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
}

fn default_repeatable() -> Vec<Arc<str>> {
    vec![Arc::from("GET"), Arc::from("HEAD")]
}

/// Declared team with its limits and permissions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamSpec {
    /// Team name.
    pub team: TeamId,
    /// SHA-256 digest of the team's bearer token, as 64 hexadecimal digits.
    pub token_sha256: Arc<str>,
    /// Priority class; 0 is the highest priority.
    #[serde(default)]
    pub priority: u8,
    /// Share of the capacity relative to other teams when demand exceeds capacity.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rate limit on prompt and generated tokens, in tokens per second; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Models the team may use; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelId>,
    /// Services the team may use; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceId>,
}

fn default_weight() -> u32 {
    1
}

impl TeamSpec {
    /// True when the team may use `model`.
    pub fn may_use_model(&self, model: &ModelId) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }

    /// True when the team may use `service`.
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// Maximum number of layers in one model.
const MAX_LAYERS: u64 = 1_024;
/// Maximum number of replicas of one model.
const MAX_REPLICAS: u64 = 100_000;
/// Number of the lowest priority class.
const MAX_PRIORITY: u64 = 9;

const MODEL_TABLE: &[FieldRule] = &[
    FieldRule::required("model", FieldKind::Id),
    FieldRule::required("version", FieldKind::Id),
    FieldRule::required("layers", FieldKind::Integer(1, MAX_LAYERS)),
    FieldRule::required("layer_bytes", FieldKind::Integer(1, u64::MAX)),
    FieldRule::required("replicas", FieldKind::Integer(0, MAX_REPLICAS)),
    FieldRule::optional("floor", FieldKind::Integer(0, MAX_REPLICAS)),
];

const METHODS: FieldKind =
    FieldKind::Choice(&["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"]);

const SERVICE_TABLE: &[FieldRule] = &[
    FieldRule::required("service", FieldKind::Id),
    FieldRule::optional("repeatable", FieldKind::List(&METHODS)),
    FieldRule::optional("honours_fencing", FieldKind::Boolean),
];

const TEAM_TABLE: &[FieldRule] = &[
    FieldRule::required("team", FieldKind::Id),
    FieldRule::required("token_sha256", FieldKind::Digest),
    FieldRule::optional("priority", FieldKind::Integer(0, MAX_PRIORITY)),
    FieldRule::optional("weight", FieldKind::Integer(1, 1_000_000)),
    FieldRule::optional("tokens_per_second", FieldKind::NonNegative),
    FieldRule::optional("models", FieldKind::List(&FieldKind::Id)),
    FieldRule::optional("services", FieldKind::List(&FieldKind::Id)),
];

/// Upper bound of the times in [`RolloutSpec`], in seconds.
const MAX_SECONDS: u64 = 86_400;

const ROLLOUT_TABLE: &[FieldRule] = &[
    FieldRule::optional("weight_bytes_per_second", FieldKind::Integer(1, u64::MAX)),
    FieldRule::optional("loads_at_once", FieldKind::Integer(1, MAX_REPLICAS)),
    FieldRule::optional("drain_seconds", FieldKind::Integer(0, MAX_SECONDS)),
    FieldRule::optional("replace_seconds", FieldKind::Integer(1, MAX_SECONDS)),
];

const DECLARATION_TABLE: &[FieldRule] = &[
    FieldRule::optional("models", FieldKind::List(&FieldKind::Object(MODEL_TABLE))),
    FieldRule::optional(
        "services",
        FieldKind::List(&FieldKind::Object(SERVICE_TABLE)),
    ),
    FieldRule::optional("teams", FieldKind::List(&FieldKind::Object(TEAM_TABLE))),
    FieldRule::optional("rollout", FieldKind::Object(ROLLOUT_TABLE)),
];

impl FleetDeclaration {
    /// Parses and validates a declaration in JSON.
    ///
    /// # Errors
    /// All faults of the document, each with its JSON path.
    pub fn parse(text: &str) -> Result<Self> {
        let declaration: Self = parse_document(text, DECLARATION_TABLE)?;
        let errors = declaration.find_conflicts();
        if errors.is_empty() {
            Ok(declaration)
        } else {
            Err(errors)
        }
    }

    fn find_conflicts(&self) -> Vec<CheckError> {
        let mut errors = Vec::new();
        let models = self.models.iter().map(|spec| &spec.model);
        find_duplicates("models", "model", models, &mut errors);
        let services = self.services.iter().map(|spec| &spec.service);
        find_duplicates("services", "service", services, &mut errors);
        find_duplicates(
            "teams",
            "team",
            self.teams.iter().map(|spec| &spec.team),
            &mut errors,
        );
        let digests = self.teams.iter().map(|spec| &spec.token_sha256);
        find_duplicates("teams", "token_sha256", digests, &mut errors);
        for (index, spec) in self.models.iter().enumerate() {
            if spec.floor > spec.replicas {
                let path = format!("$.models[{index}].floor");
                errors.push(conflict(
                    path,
                    "must not exceed the number of replicas".to_owned(),
                ));
            }
        }
        errors
    }
}

fn find_duplicates<T: Eq + Hash>(
    list: &str,
    field: &str,
    values: impl Iterator<Item = T>,
    errors: &mut Vec<CheckError>,
) {
    let mut seen = HashSet::new();
    for (index, value) in values.enumerate() {
        if !seen.insert(value) {
            let path = format!("$.{list}[{index}].{field}");
            errors.push(conflict(path, "is used more than once".to_owned()));
        }
    }
}

fn conflict(path: String, cause: String) -> CheckError {
    CheckError {
        path,
        fault: CheckFault::Conflict(cause),
    }
}
