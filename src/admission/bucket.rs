//! Token bucket of one team, counted in tokens of the models.

use crate::units::MonoTime;
use std::time::Duration;

/// Result of charging a cost to a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BucketOutcome {
    /// The cost was charged.
    Taken,
    /// The team is over its limit; the bucket holds enough after this time.
    Empty(Duration),
}

/// Token bucket whose level may fall below zero: a request is charged its estimated cost first, and
/// the difference once its real cost is known.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    rate: f64,
    /// Size of the bucket, in tokens.
    burst: f64,
    level: f64,
    updated: MonoTime,
}

/// Longest Retry-After time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second up to `burst` tokens.
    pub fn new(rate: f64, burst: f64, now: MonoTime) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Changes the rate and the size from `now` on.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: MonoTime) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Charges `cost` when the bucket holds that many tokens. A cost above the bucket's size is
    /// accepted when the bucket is full, and leaves it below zero.
    pub fn take(&mut self, cost: f64, now: MonoTime) -> BucketOutcome {
        self.refill(now);
        let needed = cost.min(self.burst);
        if self.level >= needed {
            self.level -= cost;
            return BucketOutcome::Taken;
        }
        let seconds = (needed - self.level) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        BucketOutcome::Empty(wait.min(MAX_RETRY_AFTER))
    }

    /// Corrects an estimate: refunds a positive difference, charges a negative one.
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
