//! Token bucket of one team, in model tokens.

use crate::units::MonoTime;
use std::time::Duration;

/// Outcome of taking from a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BucketOutcome {
    /// The cost was taken.
    Taken,
    /// The team is over its limit; the bucket will hold enough after this time.
    Empty(Duration),
}

/// Token bucket whose level may fall below zero: requests are charged an estimate first and the
/// difference once their real cost is known.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: MonoTime,
}

/// Longest wait named to a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens a second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: MonoTime) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Changes the rate and size from now on.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: MonoTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `cost` when the bucket holds any tokens. A cost above the bucket's size is let
    /// through when it is full, and paid off afterwards.
    pub fn take(&mut self, cost: f64, now: MonoTime) -> BucketOutcome {
        self.refill(now);
        let needed = cost.min(self.burst);
        if self.level >= needed {
            self.level -= cost;
            return BucketOutcome::Taken;
        }
        let seconds = (needed - self.level) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        BucketOutcome::Empty(wait.min(MAX_WAIT))
    }

    /// Corrects an estimate: gives back a positive difference, takes a negative one.
    pub fn adjust(&mut self, difference: f64, now: MonoTime) {
        self.refill(now);
        self.level = (self.level + difference).min(self.burst);
    }

    fn refill(&mut self, now: MonoTime) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.level = (self.level + seconds * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}
