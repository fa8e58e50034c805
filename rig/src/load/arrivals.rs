//! Arrival times of an open loop: a Poisson process with a rate that is constant, alternates
//! between bursts and pauses, or changes in recorded steps.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the arrival rate changes over time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalKind {
    /// The rate is constant.
    #[default]
    Poisson,
    /// Requests arrive only during the first part of each period.
    Bursts,
    /// The rate is that of the latest step.
    Steps,
}

/// Change of the arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ArrivalStep {
    /// Time of the change from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Rate from then on, in percent of the run's rate.
    pub percent: f64,
}

/// Arrival process of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ArrivalSpec {
    /// How the rate changes over time.
    pub kind: ArrivalKind,
    /// Length of a burst period, in milliseconds.
    pub period_ms: u64,
    /// Part of a burst period in which requests arrive, in percent. The mean rate stays the run's
    /// rate.
    pub on_percent: u64,
    /// Changes of the rate, in order of time.
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
    /// Rate at this offset from the start, relative to the run's rate.
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
                let latest = self.steps.iter().rev().find(|step| step.at_ms <= millis);
                latest.map_or(1.0, |step| step.percent / 100.0)
            }
        }
    }

    /// Highest rate, relative to the run's rate; at least 1.
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

/// Draws the arrival times of a run of this length, in order, as offsets from its start. Draws are
/// made at the peak rate, and each is kept with the ratio of the current rate to the peak as
/// probability.
pub fn plan_arrivals(
    spec: &ArrivalSpec,
    rate: f64,
    length: Duration,
    rng: &mut fastrand::Rng,
) -> Vec<Duration> {
    let peak = spec.peak_factor();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.f64()).ln() / (rate * peak);
        let time = Duration::try_from_secs_f64(at).unwrap_or(Duration::MAX);
        if time >= length {
            return arrivals;
        }
        if rng.f64() * peak < spec.rate_factor(time) {
            arrivals.push(time);
        }
    }
}
