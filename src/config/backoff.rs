//! Delays between attempts: exponential with a cap, and spread at random.

use std::time::Duration;

/// Bounds of the delays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffLimits {
    /// Delay after the first failure, before it is spread.
    pub initial: Duration,
    /// Longest delay, before it is spread.
    pub max: Duration,
}

/// Counts failures in a row and gives the delay before the next attempt.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    limits: BackoffLimits,
    failures: u32,
}

impl RetryBackoff {
    /// Starts without a failure.
    pub fn new(limits: BackoffLimits) -> Self {
        Self {
            limits,
            failures: 0,
        }
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Takes the outcome of an attempt; the delay before the next one after a failure.
    pub fn record_outcome(&mut self, succeeded: bool, rng: &mut fastrand::Rng) -> Option<Duration> {
        if succeeded {
            self.reset();
            return None;
        }
        Some(self.record_failure(rng))
    }

    /// Counts a failure; the delay before the next attempt, from half to all of the exponential.
    pub fn record_failure(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = self
            .limits
            .initial
            .saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let full = doubled.min(self.limits.max);
        full.mul_f64(0.5 + rng.f64() / 2.0)
    }
}
