//! Run files: what fleet, what load and what faults, as checked JSON.

use crate::engine::{EngineKnobs, LinkKnobs};
use crate::load::arrivals::ArrivalSpec;
use crate::load::faults::FaultSpec;
use crate::load::lengths::LengthSpec;
use arbutusmount::{CheckError, CheckFault, FieldKind, FieldRule, check_document, parse_json};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::sync::Arc;
use std::time::Duration;

/// Result of reading a run file; the error lists every fault found.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// Where the fleet runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunMode {
    /// Everything in the load tool's own process.
    #[default]
    InProcess,
    /// Each daemon and stand-in as a process.
    Processes,
    /// Each daemon as a process, the stand-ins in the load tool's own.
    Daemons,
}

/// One kind of accelerator.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineKind {
    /// Name, by which `engines` refers to it.
    pub kind: Arc<str>,
    /// Layers that its memory holds.
    pub layers: u32,
    /// Time of one layer for a batch of one, in microseconds.
    pub layer_micros: u64,
    /// Additional time of one layer for each further item of a batch, in microseconds.
    pub item_micros: u64,
    /// Time of one layer for each token to prefill, in microseconds.
    pub prefill_micros: u64,
    /// Largest batch.
    pub max_batch: usize,
}

/// One team of callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamLoad {
    /// Team name.
    pub team: Arc<str>,
    /// Share of the requests, relative to the other teams.
    pub share: u32,
    /// Priority class, 0 is the most important.
    #[serde(default)]
    pub priority: u8,
    /// Share of capacity that the team is declared with.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Prompt prefixes that several requests share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PrefixSpec {
    /// Number of prefixes of each team.
    pub count: u32,
    /// Length of each, in tokens.
    pub tokens: u32,
    /// Requests that start with one, in per cent.
    pub percent: u32,
}

/// One run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunSpec {
    /// Name of the run.
    pub name: Arc<str>,
    /// Seed of every random choice of the load.
    pub seed: u64,
    /// Where the fleet runs.
    #[serde(default)]
    pub mode: RunMode,
    /// Time in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Time from the start that is left out of the figures, in milliseconds.
    pub warmup_ms: u64,
    /// Load as a share of the bound, in per cent; not used when `requests_per_second` is given.
    #[serde(default = "default_load")]
    pub load_percent: f64,
    /// Requests a second, in place of `load_percent`.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
    /// Requests in progress at once, in a closed loop, in place of either.
    #[serde(default)]
    pub closed_loop: Option<u32>,
    /// Course of the arrival rate.
    #[serde(default)]
    pub arrivals: ArrivalSpec,
    /// Prompt lengths.
    pub prompt: LengthSpec,
    /// Answer lengths.
    pub answer: LengthSpec,
    /// Shared prefixes.
    #[serde(default)]
    pub prefixes: PrefixSpec,
    /// Keyed service calls a second.
    #[serde(default)]
    pub service_calls_per_second: f64,
    /// Teams.
    pub teams: Vec<TeamLoad>,
    /// Layers of the model.
    pub layers: u32,
    /// Copies of the model to declare.
    pub replicas: u32,
    /// Daemons.
    pub daemons: usize,
    /// Instances of the plain service.
    #[serde(default)]
    pub services: usize,
    /// Failure domains.
    pub domains: Vec<Arc<str>>,
    /// Kinds of accelerators.
    pub kinds: Vec<EngineKind>,
    /// Kinds of the engines of each failure domain, in the order of their names.
    pub engines: Vec<Arc<str>>,
    /// Links within a failure domain.
    pub near: LinkKnobs,
    /// Links between failure domains.
    pub far: LinkKnobs,
    /// Age of load reports, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// Knobs merged into those of single engines, by engine name.
    #[serde(default)]
    pub knobs: Map<String, Value>,
    /// Settings merged into those of each daemon.
    #[serde(default)]
    pub settings: Map<String, Value>,
    /// Faults to bring about.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// Longest gap between tokens that callers wait before they start over elsewhere, in
    /// milliseconds; absent when they leave recovery to the daemon.
    #[serde(default)]
    pub restart_gap_ms: Option<u64>,
}

fn default_load() -> f64 {
    80.0
}

const MAX_MS: u64 = 3_600_000;
const MILLIS: FieldKind = FieldKind::Integer(0, MAX_MS);
const COUNT: FieldKind = FieldKind::Integer(0, 100_000);
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
    FieldRule::optional("index", COUNT),
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

/// Fields whose form is checked by those who read them: daemons and engines.
const UNCHECKED_FIELDS: [&str; 2] = ["settings", "knobs"];

/// One error of a run file.
pub(super) fn conflict_error(path: impl Into<String>, cause: impl Into<String>) -> CheckError {
    CheckError {
        path: path.into(),
        fault: CheckFault::Conflict(cause.into()),
    }
}

impl RunSpec {
    /// Reads a run file.
    ///
    /// # Errors
    /// Every fault of the document, each with its JSON path.
    pub fn parse(text: &str) -> Result<Self> {
        let mut value = parse_json(text)?;
        let free = take_unchecked_fields(&mut value)?;
        let mut value = check_document(&value.to_string(), RUN_TABLE)?;
        for (name, field) in free {
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

    fn find_conflicts(&self) -> Vec<CheckError> {
        let mut errors = Vec::new();
        for (index, kind) in self.engines.iter().enumerate() {
            if self.kind(kind).is_none() {
                errors.push(conflict_error(
                    format!("$.engines[{index}]"),
                    "is not one of the kinds",
                ));
            }
        }
        for (list, is_empty) in [
            ("teams", self.teams.is_empty()),
            ("domains", self.domains.is_empty()),
            ("engines", self.engines.is_empty()),
        ] {
            if is_empty {
                errors.push(conflict_error(format!("$.{list}"), "must not be empty"));
            }
        }
        if self.warmup_ms >= self.duration_ms {
            errors.push(conflict_error(
                "$.warmup_ms",
                "must be shorter than the run",
            ));
        }
        for (index, fault) in self.faults.iter().enumerate() {
            if let Some(cause) = fault.find_conflict(self) {
                errors.push(conflict_error(format!("$.faults[{index}]"), cause));
            }
        }
        errors
    }

    /// The kind of accelerator of that name.
    pub fn kind(&self, name: &str) -> Option<&EngineKind> {
        self.kinds.iter().find(|kind| *kind.kind == *name)
    }

    /// Number of engines in all failure domains.
    pub fn engine_count(&self) -> usize {
        self.engines.len() * self.domains.len()
    }

    /// Domain of an engine, by the engine's index.
    pub fn engine_domain(&self, index: usize) -> &str {
        &self.domains[index / self.engines.len()]
    }

    /// Kind of an engine, by the engine's index.
    pub fn engine_kind(&self, index: usize) -> &EngineKind {
        let name = &self.engines[index % self.engines.len()];
        self.kind(name).expect("kinds were checked")
    }

    /// Name of an engine, by its index; names sort as indexes do.
    pub fn engine_name(index: usize) -> String {
        format!("engine-{index:03}")
    }

    /// Longest time that callers wait between tokens before they start over elsewhere.
    pub fn restart_gap(&self) -> Option<Duration> {
        self.restart_gap_ms.map(Duration::from_millis)
    }

    /// Link between two engines.
    pub fn link(&self, from: usize, to: usize) -> LinkKnobs {
        if self.engine_domain(from) == self.engine_domain(to) {
            self.near
        } else {
            self.far
        }
    }

    /// Knobs of an engine.
    ///
    /// # Errors
    /// When the run's own knobs for the engine do not fit.
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

    /// Time in which requests arrive.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Time left out of the figures.
    pub fn warmup(&self) -> Duration {
        Duration::from_millis(self.warmup_ms)
    }
}

fn take_unchecked_fields(value: &mut Value) -> Result<Vec<(&'static str, Value)>> {
    let mut free = Vec::new();
    if let Some(fields) = value.as_object_mut() {
        for name in UNCHECKED_FIELDS {
            match fields.remove(name) {
                Some(field) if field.is_object() => free.push((name, field)),
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
    Ok(free)
}

/// Merges `changes` into `value`, object by object; anything else is replaced.
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
