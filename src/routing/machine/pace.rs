//! Pace of the tokens of a request: tells a chain that has turned slow from single late tokens.

use crate::routing::GapEstimate;
use std::time::Duration;

/// Multiple of the mean gap above which a token counts as slow.
const SLOW_FACTOR: u32 = 2;
/// Slow tokens in a row after which the chain counts as slow.
const MIN_SLOW_TOKENS: u32 = 3;
/// Slow tokens in a row after which their pace has become the usual one.
const MAX_SLOW_TOKENS: u32 = 12;

/// Mean gap between tokens without the slow ones at the end, and the number of these.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TokenPace {
    usual: GapEstimate,
    slow_tokens: u32,
}

impl TokenPace {
    /// Adds the gap before a token.
    pub(super) fn observe(&mut self, gap: Duration) {
        let is_slow = self.slow_limit().is_some_and(|limit| gap > limit);
        self.slow_tokens = if is_slow { self.slow_tokens + 1 } else { 0 };
        if !is_slow || self.slow_tokens > MAX_SLOW_TOKENS {
            self.usual.observe(gap);
        }
    }

    /// Forgets the slow tokens, as the next ones come from another chain.
    pub(super) fn start_attempt(&mut self) {
        self.slow_tokens = 0;
    }

    /// Longest gap that is not slow, while the chain counts as slow. Uneven gaps raise the timeout
    /// for a single token above the gaps of such a chain, but not this limit.
    pub(super) fn timeout(&self) -> Option<Duration> {
        let is_slow = (MIN_SLOW_TOKENS..=MAX_SLOW_TOKENS).contains(&self.slow_tokens);
        self.slow_limit().filter(|_limit| is_slow)
    }

    fn slow_limit(&self) -> Option<Duration> {
        self.usual.mean().map(|mean| mean * SLOW_FACTOR)
    }
}
