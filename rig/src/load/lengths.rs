//! Heavy-tailed lengths: log-normal with a cap.

use serde::{Deserialize, Serialize};
use std::f64::consts::TAU;

/// Distribution of a length, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LengthSpec {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest length.
    pub cap: u32,
}

/// Draws a length of at least 1.
pub fn draw_length(spec: LengthSpec, rng: &mut fastrand::Rng) -> u32 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (TAU * rng.f64()).cos();
    let length = spec.median * (spec.sigma * normal).exp();
    (length.round() as u32).clamp(1, spec.cap)
}
