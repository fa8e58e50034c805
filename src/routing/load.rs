//! Load of an engine: its newest report, corrected by this daemon's requests in flight.

use crate::engine::EngineReport;
use crate::ids::{ModelId, VersionId};
use crate::units::{LayerRange, MonoTime};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Samples of this daemon's requests in flight that are kept for each engine.
const MAX_SAMPLES: usize = 32;
/// Step time assumed for an engine without a report, in microseconds.
const DEFAULT_STEP_MICROS: u64 = 10_000;
/// Largest batch assumed for an engine without a report.
const DEFAULT_BATCH: u32 = 8;

/// Hash of a model, a version and a layer range, compared in place of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageKey(u64);

impl StageKey {
    /// Hashes a stage.
    pub fn new(model: &ModelId, version: &VersionId, layers: LayerRange) -> Self {
        let mut hasher = DefaultHasher::new();
        (model, version, layers).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Load of one engine, as requests read it.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// The newest report.
    pub report: Arc<EngineReport>,
    /// Requests of other daemons in progress when the report was made.
    pub other_sessions: u32,
    /// Stages that the engine has loaded.
    pub ready_stages: Vec<StageKey>,
    /// Time at which the report was made.
    pub reported_at: MonoTime,
    /// Time at which the report was received; `None` when the engine's report must be read anew.
    pub received_at: Option<MonoTime>,
}

/// Step time of an engine and its growth with the batch, for all layers that the engine holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTiming {
    /// Time of a step with a batch of one, in microseconds.
    pub step_micros: f64,
    /// Time per item of a step with the largest batch, in microseconds.
    pub item_micros: f64,
}

impl StepTiming {
    /// Takes the times from a report, or assumes defaults when there is none.
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

    /// Throughput of the engine with full batches, in tokens per second.
    pub fn tokens_per_second(self) -> f64 {
        1e6 / self.item_micros
    }

    /// Expected time of one token in microseconds, with `sessions` requests in progress including
    /// this one: between two tokens of a request, the engine serves each other request once.
    pub fn token_micros(self, sessions: u32) -> f64 {
        self.step_micros + self.item_micros * f64::from(sessions.saturating_sub(1))
    }
}

/// This daemon's requests in flight on one engine over time. A load report lags behind, so the
/// count at the time of the report is subtracted from it.
#[derive(Debug, Clone, Default)]
pub struct InFlightHistory {
    samples: VecDeque<(MonoTime, u32)>,
}

impl InFlightHistory {
    /// Records the requests in flight at `now`.
    pub fn record(&mut self, now: MonoTime, in_flight: u32) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, in_flight));
    }

    /// Requests in flight at `time`: the newest sample that is not later, or else the oldest one.
    pub fn at(&self, time: MonoTime) -> u32 {
        let known = self
            .samples
            .iter()
            .rev()
            .find(|(taken, _)| *taken <= time)
            .or_else(|| self.samples.front());
        known.map_or(0, |(_, in_flight)| *in_flight)
    }
}
