//! Lengths of prompts and answers, from a log-normal distribution with a cap, which has a heavy
//! tail.

use serde::{Deserialize, Serialize};
use std::f64::consts::TAU;

/// Log-normal distribution of a length in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LengthSpec {
    /// Median length.
    pub median: f64,
    /// Standard deviation of the natural logarithm of the length.
    pub sigma: f64,
    /// Maximum length; longer ones are cut to it.
    pub cap: u32,
}

/// Draws a length between 1 and the cap.
pub fn draw_length(spec: LengthSpec, rng: &mut fastrand::Rng) -> u32 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (TAU * rng.f64()).cos();
    let length = spec.median * (spec.sigma * normal).exp();
    (length.round() as u32).clamp(1, spec.cap)
}
