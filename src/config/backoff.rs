//! Delays between attempts: exponential with a cap, and spread at random.

use std::time::Duration;

/// Bounds of the delays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffLimits {
    /// Delay after the first failure, before it is spread.
    pub first: Duration,
    /// Longest delay, before it is spread.
    pub longest: Duration,
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
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Takes the outcome of an attempt; the delay before the next one after a failure.
    pub fn settle(&mut self, succeeded: bool, rng: &mut fastrand::Rng) -> Option<Duration> {
        if succeeded {
            self.succeed();
            return None;
        }
        Some(self.fail(rng))
    }

    /// Counts a failure; the delay before the next attempt, from half to all of the exponential.
    pub fn fail(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = self.limits.first.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let full = doubled.min(self.limits.longest);
        full.mul_f64(0.5 + rng.f64() / 2.0)
    }
}
