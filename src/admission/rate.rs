//! Rate of tokens over the last seconds.

use crate::units::MonoTime;
use std::time::Duration;

/// Time in which counted tokens lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Moving average of the tokens in a second, with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenRate {
    /// Tokens with the weights that they had at `at`.
    tokens: f64,
    at: MonoTime,
}

impl TokenRate {
    /// Counts tokens.
    pub fn record(&mut self, tokens: f64, now: MonoTime) {
        self.tokens = self.weighted(now) + tokens;
        self.at = now;
    }

    /// Tokens in a second.
    pub fn per_second(&self, now: MonoTime) -> f64 {
        self.weighted(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn weighted(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.tokens * 0.5_f64.powf(half_lives)
    }
}
