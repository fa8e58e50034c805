//! Run files: checked JSON documents that describe the fleet, the load and the faults of a run.

use crate::engine::{EngineKnobs, LinkKnobs};
use crate::load::arrivals::ArrivalSpec;
use crate::load::faults::FaultSpec;
use crate::load::lengths::LengthSpec;
use arbutusmount::{CheckError, CheckFault, FieldKind, FieldRule, check_document, parse_json};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::sync::Arc;
use std::time::Duration;

/// Result of parsing a run file; the error lists every invalid field.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// Where the fleet runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunMode {
    /// Daemons and stand-ins all run in the process of the load tool.
    #[default]
    InProcess,
    /// Each daemon and each stand-in is a process of its own.
    Processes,
    /// Each daemon is a process of its own; the stand-ins run in the process of the load tool.
    Daemons,
}

/// Accelerator kind and the timing of engines on it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineKind {
    /// Name by which [`RunSpec::engines`] refers to the kind.
    pub kind: Arc<str>,
    /// Number of layers that fit in its memory.
    pub layers: u32,
    /// Time to run one layer for a batch of one request, in microseconds.
    pub layer_micros: u64,
    /// Additional time for one layer for each further request in the batch, in microseconds.
    pub item_micros: u64,
    /// Time for one layer for each token to prefill, in microseconds.
    pub prefill_micros: u64,
    /// Maximum number of requests in a batch.
    pub max_batch: usize,
}

/// Team whose callers send requests during the run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamLoad {
    /// Team name.
    pub team: Arc<str>,
    /// Share of the requests that the team sends, relative to the other teams.
    pub share: u32,
    /// Priority of its requests; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Weight in the declaration: the team's share of capacity, relative to the other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Prompt prefixes that several requests have in common, so that engines can cache them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PrefixSpec {
    /// Number of different prefixes of each team.
    pub count: u32,
    /// Length of each prefix in tokens.
    pub tokens: u32,
    /// Percentage of requests that start with a prefix.
    pub percent: u32,
}

/// Run: the fleet, the load sent to it and the faults injected into it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunSpec {
    /// Name of the run.
    pub name: Arc<str>,
    /// Seed of all random choices of the load.
    pub seed: u64,
    /// Where the fleet runs.
    #[serde(default)]
    pub mode: RunMode,
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start of the run that the measurements exclude, in milliseconds.
    pub warmup_ms: u64,
    /// Load in percent of the throughput bound; not used when `requests_per_second` is set.
    #[serde(default = "default_load")]
    pub load_percent: f64,
    /// Chat requests per second; overrides `load_percent`.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
    /// Number of requests in flight in a closed loop; overrides `load_percent` and
    /// `requests_per_second`.
    #[serde(default)]
    pub closed_loop: Option<u32>,
    /// Arrival process of chat requests.
    #[serde(default)]
    pub arrivals: ArrivalSpec,
    /// Distribution of prompt lengths.
    pub prompt: LengthSpec,
    /// Distribution of answer lengths.
    pub answer: LengthSpec,
    /// Prefixes that prompts share.
    #[serde(default)]
    pub prefixes: PrefixSpec,
    /// Service calls with an idempotency key per second.
    #[serde(default)]
    pub service_calls_per_second: f64,
    /// Teams that send requests.
    pub teams: Vec<TeamLoad>,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of replicas of the model in the declaration.
    pub replicas: u32,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of instances of the service.
    #[serde(default)]
    pub services: usize,
    /// Names of the failure domains.
    pub domains: Vec<Arc<str>>,
    /// Accelerator kinds.
    pub kinds: Vec<EngineKind>,
    /// Accelerator kind of each engine of a failure domain, in the order of the engines' names. All
    /// domains have the same engines.
    pub engines: Vec<Arc<str>>,
    /// Links between engines of one failure domain.
    pub near: LinkKnobs,
    /// Links between engines of different failure domains.
    pub far: LinkKnobs,
    /// Delay with which engines' load reports show their state, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Changes to the knobs of individual engines, by engine name.
    #[serde(default)]
    pub knobs: Map<String, Value>,
    /// Settings merged into those of every daemon.
    #[serde(default)]
    pub settings: Map<String, Value>,
    /// Faults to inject during the run.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// Time without a token after which callers restart a stream at another daemon, in
    /// milliseconds; absent when callers leave recovery to the daemons.
    #[serde(default)]
    pub restart_gap_ms: Option<u64>,
}

fn default_load() -> f64 {
    80.0
}

/// Longest time in a run file: one hour, in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// Time in milliseconds.
const MILLIS: FieldKind = FieldKind::Integer(0, MAX_MS);
/// Index of an instance or a failure domain.
const INDEX: FieldKind = FieldKind::Integer(0, 100_000);
/// Time in microseconds, up to one minute.
const MICROS: FieldKind = FieldKind::Integer(0, 60_000_000);

const STEP_TABLE: &[FieldRule] = &[
    FieldRule::required("at_ms", MILLIS),
    FieldRule::required("percent", FieldKind::NonNegative),
];

const ARRIVAL_TABLE: &[FieldRule] = &[
    FieldRule::required("kind", FieldKind::Choice(&["poisson", "bursts", "steps"])),
    FieldRule::optional("period_ms", FieldKind::Integer(10, MAX_MS)),
    FieldRule::optional("on_percent", FieldKind::Integer(1, 100)),
    FieldRule::optional("steps", FieldKind::List(&FieldKind::Object(STEP_TABLE))),
];

const LENGTH_TABLE: &[FieldRule] = &[
    FieldRule::required("median", FieldKind::NonNegative),
    FieldRule::required("sigma", FieldKind::NonNegative),
    FieldRule::required("cap", FieldKind::Integer(1, 8_192)),
];

const PREFIX_TABLE: &[FieldRule] = &[
    FieldRule::required("count", FieldKind::Integer(1, 100_000)),
    FieldRule::required("tokens", FieldKind::Integer(1, 8_192)),
    FieldRule::required("percent", FieldKind::Integer(0, 100)),
];

const TEAM_TABLE: &[FieldRule] = &[
    FieldRule::required("team", FieldKind::Id),
    FieldRule::required("share", FieldKind::Integer(1, 1_000_000)),
    FieldRule::optional("priority", FieldKind::Integer(0, 9)),
    FieldRule::optional("weight", FieldKind::Integer(1, 1_000_000)),
];

const KIND_TABLE: &[FieldRule] = &[
    FieldRule::required("kind", FieldKind::Id),
    FieldRule::required("layers", FieldKind::Integer(1, 1_024)),
    FieldRule::required("layer_micros", MICROS),
    FieldRule::required("item_micros", MICROS),
    FieldRule::required("prefill_micros", MICROS),
    FieldRule::required("max_batch", FieldKind::Integer(1, 4_096)),
];

const LINK_TABLE: &[FieldRule] = &[
    FieldRule::required("delay_micros", MICROS),
    FieldRule::required("per_second", FieldKind::NonNegative),
];

const FAULT_TABLE: &[FieldRule] = &[
    FieldRule::required("at_ms", MILLIS),
    FieldRule::required(
        "fault",
        FieldKind::Choice(&[
            "kill_engine",
            "freeze_engine",
            "slow_engine",
            "slow_link",
            "kill_domain",
            "kill_daemon",
            "store_down",
            "store_up",
        ]),
    ),
    FieldRule::optional("index", INDEX),
    FieldRule::optional("factor", FieldKind::Integer(2, 100_000)),
];

const RUN_TABLE: &[FieldRule] = &[
    FieldRule::required("name", FieldKind::Id),
    FieldRule::required("seed", FieldKind::Integer(0, u64::MAX)),
    FieldRule::optional(
        "mode",
        FieldKind::Choice(&["in_process", "processes", "daemons"]),
    ),
    FieldRule::required("duration_ms", FieldKind::Integer(100, MAX_MS)),
    FieldRule::required("warmup_ms", MILLIS),
    FieldRule::optional("load_percent", FieldKind::NonNegative),
    FieldRule::optional("requests_per_second", FieldKind::NonNegative),
    FieldRule::optional("closed_loop", FieldKind::Integer(1, 100_000)),
    FieldRule::optional("arrivals", FieldKind::Object(ARRIVAL_TABLE)),
    FieldRule::required("prompt", FieldKind::Object(LENGTH_TABLE)),
    FieldRule::required("answer", FieldKind::Object(LENGTH_TABLE)),
    FieldRule::optional("prefixes", FieldKind::Object(PREFIX_TABLE)),
    FieldRule::optional("service_calls_per_second", FieldKind::NonNegative),
    FieldRule::required("teams", FieldKind::List(&FieldKind::Object(TEAM_TABLE))),
    FieldRule::required("layers", FieldKind::Integer(1, 1_024)),
    FieldRule::required("replicas", FieldKind::Integer(1, 1_000)),
    FieldRule::required("daemons", FieldKind::Integer(1, 64)),
    FieldRule::optional("services", FieldKind::Integer(0, 64)),
    FieldRule::required("domains", FieldKind::List(&FieldKind::Id)),
    FieldRule::required("kinds", FieldKind::List(&FieldKind::Object(KIND_TABLE))),
    FieldRule::required("engines", FieldKind::List(&FieldKind::Id)),
    FieldRule::required("near", FieldKind::Object(LINK_TABLE)),
    FieldRule::required("far", FieldKind::Object(LINK_TABLE)),
    FieldRule::optional("report_lag_ms", MILLIS),
    FieldRule::optional("faults", FieldKind::List(&FieldKind::Object(FAULT_TABLE))),
    FieldRule::optional("restart_gap_ms", FieldKind::Integer(1, MAX_MS)),
];

/// Fields that the rules do not cover: the daemons and the engines check them when they parse them.
const UNCHECKED_FIELDS: [&str; 2] = ["settings", "knobs"];

/// Returns the error for a value that contradicts another one or the run, at a JSON path.
pub(super) fn conflict_error(path: impl Into<String>, cause: impl Into<String>) -> CheckError {
    CheckError {
        path: path.into(),
        fault: CheckFault::Conflict(cause.into()),
    }
}

impl RunSpec {
    /// Parses and checks a run file.
    ///
    /// # Errors
    /// Returns every invalid field with its JSON path.
    pub fn parse(text: &str) -> Result<Self> {
        let mut value = parse_json(text)?;
        let unchecked = take_unchecked_fields(&mut value)?;
        let mut value = check_document(&value.to_string(), RUN_TABLE)?;
        for (name, field) in unchecked {
            value[name] = field;
        }
        let spec: Self = serde_json::from_value(value)
            .map_err(|cause| vec![conflict_error("$", cause.to_string())])?;
        let errors = spec.find_conflicts();
        if errors.is_empty() {
            Ok(spec)
        } else {
            Err(errors)
        }
    }

    /// Finds values that contradict each other, which the rules of single fields cannot express.
    fn find_conflicts(&self) -> Vec<CheckError> {
        let mut errors = Vec::new();
        for (index, kind) in self.engines.iter().enumerate() {
            if self.kind(kind).is_none() {
                errors.push(conflict_error(
                    format!("$.engines[{index}]"),
                    "is not the name of an entry of kinds",
                ));
            }
        }
        for (field, is_empty) in [
            ("teams", self.teams.is_empty()),
            ("domains", self.domains.is_empty()),
            ("engines", self.engines.is_empty()),
        ] {
            if is_empty {
                errors.push(conflict_error(
                    format!("$.{field}"),
                    "must have at least one entry",
                ));
            }
        }
        if self.warmup_ms >= self.duration_ms {
            errors.push(conflict_error(
                "$.warmup_ms",
                "must be less than duration_ms",
            ));
        }
        for (index, fault) in self.faults.iter().enumerate() {
            if let Some(cause) = fault.find_conflict(self) {
                errors.push(conflict_error(format!("$.faults[{index}]"), cause));
            }
        }
        errors
    }

    /// Returns the accelerator kind with this name.
    pub fn kind(&self, name: &str) -> Option<&EngineKind> {
        self.kinds.iter().find(|kind| *kind.kind == *name)
    }

    /// Number of engines in all failure domains.
    pub fn engine_count(&self) -> usize {
        self.engines.len() * self.domains.len()
    }

    /// Failure domain of the engine with this index.
    pub fn engine_domain(&self, index: usize) -> &str {
        &self.domains[index / self.engines.len()]
    }

    /// Accelerator kind of the engine with this index.
    pub fn engine_kind(&self, index: usize) -> &EngineKind {
        let name = &self.engines[index % self.engines.len()];
        self.kind(name)
            .expect("kinds were checked when the run file was parsed")
    }

    /// Name of the engine with this index. The index is padded, so that names sort in index order.
    pub fn engine_name(index: usize) -> String {
        format!("engine-{index:03}")
    }

    /// Time without a token after which callers restart a stream at another daemon.
    pub fn restart_gap(&self) -> Option<Duration> {
        self.restart_gap_ms.map(Duration::from_millis)
    }

    /// Link between the engines with these indexes.
    pub fn link(&self, from: usize, to: usize) -> LinkKnobs {
        if self.engine_domain(from) == self.engine_domain(to) {
            self.near
        } else {
            self.far
        }
    }

    /// Knobs of the engine with this index: those of its accelerator kind and links, with the run's
    /// changes merged in.
    ///
    /// # Errors
    /// Returns why the run's changes to the engine's knobs cannot be parsed.
    pub fn engine_knobs(&self, index: usize) -> std::result::Result<EngineKnobs, String> {
        let kind = self.engine_kind(index);
        let is_limited = |link: LinkKnobs| link.delay_micros > 0 || link.per_second > 0.0;
        let has_links = is_limited(self.near) || is_limited(self.far);
        let others = (0..self.engine_count()).filter(|other| has_links && *other != index);
        let links = others.map(|other| {
            let name = Arc::from(Self::engine_name(other));
            (name, self.link(index, other))
        });
        let knobs = EngineKnobs {
            layer_micros: kind.layer_micros,
            item_micros: kind.item_micros,
            prefill_micros: kind.prefill_micros,
            max_batch: kind.max_batch,
            report_lag_ms: self.report_lag_ms,
            links: links.collect(),
            ..EngineKnobs::default()
        };
        let name = Self::engine_name(index);
        let Some(changes) = self.knobs.get(&name) else {
            return Ok(knobs);
        };
        let mut value = serde_json::to_value(&knobs).map_err(|e| e.to_string())?;
        merge_json(&mut value, changes);
        serde_json::from_value(value).map_err(|cause| format!("$.knobs.{name}: {cause}"))
    }

    /// Time during which requests arrive.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Time at the start of the run that the measurements exclude.
    pub fn warmup(&self) -> Duration {
        Duration::from_millis(self.warmup_ms)
    }
}

/// Removes [`UNCHECKED_FIELDS`] from a document and returns them.
fn take_unchecked_fields(value: &mut Value) -> Result<Vec<(&'static str, Value)>> {
    let mut unchecked = Vec::new();
    if let Some(fields) = value.as_object_mut() {
        for name in UNCHECKED_FIELDS {
            match fields.remove(name) {
                Some(field) if field.is_object() => unchecked.push((name, field)),
                Some(_) => {
                    let fault = CheckFault::Expected("an object");
                    return Err(vec![CheckError {
                        path: format!("$.{name}"),
                        fault,
                    }]);
                }
                None => {}
            }
        }
    }
    Ok(unchecked)
}

/// Merges `changes` into `value`: objects recursively by field, while any other value is replaced.
pub(super) fn merge_json(value: &mut Value, changes: &Value) {
    match (value, changes) {
        (Value::Object(fields), Value::Object(changes)) => {
            for (name, change) in changes {
                merge_json(fields.entry(name.clone()).or_insert(Value::Null), change);
            }
        }
        (value, changes) => *value = changes.clone(),
    }
}
