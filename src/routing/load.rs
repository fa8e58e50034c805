//! Load of an engine: what it reported, corrected by what this daemon knows better.

use crate::engine::EngineReport;
use crate::ids::{ModelId, VersionId};
use crate::units::{LayerRange, MonoTime};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Samples of this daemon's own requests kept for each engine.
const MAX_SAMPLES: usize = 32;
/// Step time assumed for an engine without a report, in microseconds.
const DEFAULT_STEP_MICROS: u64 = 10_000;
/// Largest batch assumed for an engine without a report.
const DEFAULT_BATCH: u32 = 8;

/// Digest of a model, a version and a layer range, compared in place of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageKey(u64);

impl StageKey {
    /// Digest of a stage.
    pub fn new(model: &ModelId, version: &VersionId, layers: LayerRange) -> Self {
        let mut hasher = DefaultHasher::new();
        (model, version, layers).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Load of one engine, published to requests.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// The newest report.
    pub report: Arc<EngineReport>,
    /// Requests of other daemons at the time of the report.
    pub other_sessions: u32,
    /// Stages that the engine has loaded.
    pub ready_stages: Vec<StageKey>,
    /// Time at which the report was made.
    pub reported_at: MonoTime,
    /// Time at which it was received; `None` when it must be read again.
    pub received_at: Option<MonoTime>,
}

/// Time of one step and of each further item, for the whole range that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTiming {
    /// Step with a batch of one, in microseconds.
    pub step_micros: f64,
    /// Share of one item in a step with the largest batch, in microseconds.
    pub item_micros: f64,
}

impl StepTiming {
    /// Reads the rates off a report, or assumes them when there is none.
    pub fn from_report(report: Option<&EngineReport>) -> Self {
        let reported = report.filter(|report| report.step_micros > 0 && report.max_batch > 0);
        let Some(report) = reported else {
            return Self {
                step_micros: DEFAULT_STEP_MICROS as f64,
                item_micros: DEFAULT_STEP_MICROS as f64 / f64::from(DEFAULT_BATCH),
            };
        };
        let batch = f64::from(report.max_batch);
        let full_step = report.step_micros as f64 + report.item_micros as f64 * (batch - 1.0);
        Self {
            step_micros: report.step_micros as f64,
            item_micros: full_step / batch,
        }
    }

    /// Tokens a second of the engine with full batches.
    pub fn tokens_per_second(self) -> f64 {
        1e6 / self.item_micros
    }

    /// Expected time of one token with `sessions` requests in progress, this one included: the
    /// engine serves each of them once between two tokens of one.
    pub fn token_micros(self, sessions: u32) -> f64 {
        self.step_micros + self.item_micros * f64::from(sessions.saturating_sub(1))
    }
}

/// This daemon's own requests on one engine over time, to subtract them from a lagged report.
#[derive(Debug, Clone, Default)]
pub struct InFlightHistory {
    samples: VecDeque<(MonoTime, u32)>,
}

impl InFlightHistory {
    /// Records the requests in progress now.
    pub fn record(&mut self, now: MonoTime, own: u32) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, own));
    }

    /// Requests in progress at `time`: the newest sample no later than that, else the oldest.
    pub fn at(&self, time: MonoTime) -> u32 {
        let known = self
            .samples
            .iter()
            .rev()
            .find(|(taken, _)| *taken <= time)
            .or_else(|| self.samples.front());
        known.map_or(0, |(_, own)| *own)
    }
}
