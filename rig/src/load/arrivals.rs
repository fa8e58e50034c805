//! Open-loop arrival times: Poisson, in bursts, or with a rate that follows a recorded course.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Course of the arrival rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalKind {
    /// A constant rate.
    #[default]
    Poisson,
    /// All arrivals within a part of each period.
    Bursts,
    /// The rate of the latest step.
    Steps,
}

/// One step of a recorded course.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ArrivalStep {
    /// Time from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Rate from then on, in per cent of the run's rate.
    pub percent: f64,
}

/// Arrivals of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ArrivalSpec {
    /// Course of the rate.
    pub kind: ArrivalKind,
    /// Length of a burst period, in milliseconds.
    pub period_ms: u64,
    /// Part of a burst period in which requests arrive, in per cent.
    pub on_percent: u64,
    /// Steps of a recorded course.
    pub steps: Vec<ArrivalStep>,
}

impl Default for ArrivalSpec {
    fn default() -> Self {
        Self {
            kind: ArrivalKind::Poisson,
            period_ms: 2_000,
            on_percent: 25,
            steps: Vec::new(),
        }
    }
}

impl ArrivalSpec {
    /// Rate at a time, relative to the run's rate.
    fn rate_factor(&self, at: Duration) -> f64 {
        let millis = at.as_millis() as u64;
        match self.kind {
            ArrivalKind::Poisson => 1.0,
            ArrivalKind::Bursts => {
                let on = self.period_ms * self.on_percent / 100;
                if millis % self.period_ms < on {
                    100.0 / self.on_percent as f64
                } else {
                    0.0
                }
            }
            ArrivalKind::Steps => {
                let passed = self.steps.iter().rev().find(|step| step.at_ms <= millis);
                passed.map_or(1.0, |step| step.percent / 100.0)
            }
        }
    }

    fn peak_factor(&self) -> f64 {
        match self.kind {
            ArrivalKind::Poisson => 1.0,
            ArrivalKind::Bursts => 100.0 / self.on_percent as f64,
            ArrivalKind::Steps => {
                let highest = self.steps.iter().map(|step| step.percent / 100.0);
                highest.fold(1.0, f64::max)
            }
        }
    }
}

/// Arrival times of a run, in order, as offsets from its start. Draws at the peak rate and keeps
/// each draw with the probability that the course gives it.
pub fn plan_arrivals(
    spec: &ArrivalSpec,
    per_second: f64,
    length: Duration,
    rng: &mut fastrand::Rng,
) -> Vec<Duration> {
    let peak = spec.peak_factor();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.f64()).ln() / (per_second * peak);
        let time = Duration::try_from_secs_f64(at).unwrap_or(Duration::MAX);
        if time >= length {
            return arrivals;
        }
        if rng.f64() * peak < spec.rate_factor(time) {
            arrivals.push(time);
        }
    }
}
