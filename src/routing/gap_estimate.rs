//! Estimate of the gap between tokens, and the timeout for the next token that follows from it.

use std::time::Duration;

/// Weight of a new sample in the moving mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the moving mean deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Multiple of the mean gap in the timeout.
const MEAN_FACTOR: f64 = 2.0;
/// Multiple of the mean deviation that is added to the timeout.
const DEVIATION_FACTOR: f64 = 4.0;

/// Moving mean and mean deviation of the gaps between tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GapEstimate {
    samples: u32,
    mean_micros: f64,
    deviation_micros: f64,
}

impl GapEstimate {
    /// Adds an observed gap.
    pub fn observe(&mut self, gap: Duration) {
        let sample = gap.as_micros() as f64;
        if self.samples == 0 {
            self.mean_micros = sample;
            self.deviation_micros = sample / 2.0;
        } else {
            let error = sample - self.mean_micros;
            self.mean_micros += MEAN_GAIN * error;
            self.deviation_micros += DEVIATION_GAIN * (error.abs() - self.deviation_micros);
        }
        self.samples += 1;
    }

    /// Timeout for the next token, between `floor` and `ceiling`; `None` before the first sample.
    pub fn timeout(&self, floor: Duration, ceiling: Duration) -> Option<Duration> {
        if self.samples == 0 {
            return None;
        }
        let micros = MEAN_FACTOR * self.mean_micros + DEVIATION_FACTOR * self.deviation_micros;
        Some(Duration::from_micros(micros as u64).clamp(floor, ceiling))
    }
}
