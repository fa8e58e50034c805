//! Exponential back-off with a cap and random jitter.

use std::time::Duration;

/// Bounds of the back-off delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffLimits {
    /// Delay after the first failure, before jitter.
    pub initial: Duration,
    /// Upper bound of the delay, before jitter.
    pub max: Duration,
}

/// Counts consecutive failures and computes the delay before the next attempt.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    limits: BackoffLimits,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a back-off without failures.
    pub fn new(limits: BackoffLimits) -> Self {
        Self {
            limits,
            failures: 0,
        }
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records the outcome of an attempt. Returns the delay before the next attempt, or `None`
    /// after a success.
    pub fn record_outcome(&mut self, succeeded: bool, rng: &mut fastrand::Rng) -> Option<Duration> {
        if succeeded {
            self.reset();
            return None;
        }
        Some(self.record_failure(rng))
    }

    /// Records a failure and returns the delay before the next attempt. Jitter spreads the delay
    /// evenly between half and all of the exponential value.
    pub fn record_failure(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let exponential = self
            .limits
            .initial
            .saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let capped = exponential.min(self.limits.max);
        capped.mul_f64(0.5 + rng.f64() / 2.0)
    }
}
