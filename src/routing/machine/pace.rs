//! Pace of the tokens of a request: tells a chain that has turned slow from single late tokens.

use std::time::Duration;

/// Gaps from which the usual pace is taken.
const WINDOW: usize = 16;
/// Gaps of the window that are shorter than the usual pace, as a share: one in this many. Pauses of
/// processes only add to gaps, so the pace of the chain itself shows in the shorter ones; the
/// shortest are left out, as tokens that were held up arrive together.
const SHORTER_SHARE: usize = 4;
/// Multiple of the usual pace above which a token counts as slow.
const SLOW_FACTOR: u32 = 2;
/// Slow tokens in a row after which the chain counts as slow. Several engines that are stopped in
/// turn make a few tokens in a row slow.
const MIN_SLOW_TOKENS: u32 = 5;
/// Slow tokens in a row after which their pace has become the usual one.
const MAX_SLOW_TOKENS: u32 = 12;

/// Latest gaps between tokens without the slow ones at the end, and the number of these.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TokenPace {
    gaps: [Duration; WINDOW],
    /// Gaps observed, of which the window holds the last ones.
    count: usize,
    /// Lower quartile of the window.
    usual: Option<Duration>,
    slow_tokens: u32,
}

impl TokenPace {
    /// Adds the gap before a token.
    pub(super) fn observe(&mut self, gap: Duration) {
        let is_slow = self.slow_limit().is_some_and(|limit| gap > limit);
        self.slow_tokens = if is_slow { self.slow_tokens + 1 } else { 0 };
        if !is_slow || self.slow_tokens > MAX_SLOW_TOKENS {
            self.add_gap(gap);
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
        self.usual.map(|usual| usual * SLOW_FACTOR)
    }

    fn add_gap(&mut self, gap: Duration) {
        self.gaps[self.count % WINDOW] = gap;
        self.count += 1;
        let mut window = self.gaps;
        let window = &mut window[..self.count.min(WINDOW)];
        let rank = window.len() / SHORTER_SHARE;
        let (_shorter, usual, _longer) = window.select_nth_unstable(rank);
        self.usual = Some(*usual);
    }
}
