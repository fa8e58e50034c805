//! Concurrency limit of one model on one daemon (AIMD): it increases while the limit is in use and
//! the gaps between tokens are short, and decreases by a factor while they are long.
//!
//! Daemons that share engines see the same gaps, so their limits converge to fair shares without
//! messages between them.

use crate::units::MonoTime;
use std::time::Duration;

/// Bounds of the limit, and the gap between tokens that it aims at.
#[derive(Debug, Clone, Copy)]
pub struct LimitSettings {
    /// Gap that 95 % of the gaps should not exceed.
    pub target_gap: Duration,
    /// Limit before the first observation window has ended.
    pub initial: f64,
    /// Lowest limit.
    pub floor: f64,
    /// Highest limit.
    pub ceiling: f64,
}

/// Length of one observation window.
const WINDOW: Duration = Duration::from_millis(250);
/// Fewest gaps that a window needs before it can end.
const MIN_GAPS: u32 = 20;
/// Share of gaps in a window that may exceed the target.
const MAX_LONG_SHARE: f64 = 0.05;
/// Factor on the limit after a window with too many long gaps.
const DECREASE_FACTOR: f64 = 0.9;
/// Share of the limit that is added after any other window.
const INCREASE_SHARE: f64 = 0.02;
/// Share of the limit that must be in use for the limit to grow.
const MIN_USED_SHARE: f64 = 0.9;
/// Multiple of the shortest median gap up to which gaps count as short, so that engines slower than
/// the target do not shrink the limit to its floor.
const BASELINE_FACTOR: f64 = 2.5;
/// Share by which the shortest median gap grows in each window, so that it follows engines that
/// become slower.
const BASELINE_GROWTH_SHARE: f64 = 0.002;

/// Adaptive concurrency limit.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    window_start: MonoTime,
    gaps: Vec<Duration>,
    /// Shortest median gap of a window so far, with the growth since then.
    baseline: Option<Duration>,
}

/// Most gaps that are kept in one window; they suffice for its quantiles.
const MAX_GAPS: usize = 2_048;

impl ConcurrencyLimit {
    /// Creates a limit that starts at `settings.initial`.
    pub fn new(settings: LimitSettings, now: MonoTime) -> Self {
        Self {
            limit: settings.initial,
            settings,
            window_start: now,
            gaps: Vec::new(),
            baseline: None,
        }
    }

    /// The limit, in requests.
    pub fn get(&self) -> usize {
        self.limit as usize
    }

    /// Records the gap before a token.
    pub fn observe(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        }
    }

    /// Ends the window and adapts the limit, once the window is long enough and has enough gaps.
    /// `in_use` is the number of requests in progress.
    pub fn update(&mut self, now: MonoTime, in_use: usize) {
        if now.since(self.window_start) < WINDOW || self.gaps.len() < MIN_GAPS as usize {
            return;
        }
        self.gaps.sort_unstable();
        let median = self.gaps[self.gaps.len() / 2];
        let threshold = self.threshold(median);
        let long_gaps = self.gaps.len() - self.gaps.partition_point(|gap| *gap <= threshold);
        let share = long_gaps as f64 / self.gaps.len() as f64;
        self.adapt_limit(share, in_use);
        self.gaps.clear();
        self.window_start = now;
    }

    fn threshold(&mut self, median: Duration) -> Duration {
        let grown = self
            .baseline
            .map(|known| known.mul_f64(1.0 + BASELINE_GROWTH_SHARE));
        let baseline = grown.map_or(median, |known| known.min(median));
        self.baseline = Some(baseline);
        self.settings
            .target_gap
            .max(baseline.mul_f64(BASELINE_FACTOR))
    }

    fn adapt_limit(&mut self, long_share: f64, in_use: usize) {
        let LimitSettings { floor, ceiling, .. } = self.settings;
        if long_share > MAX_LONG_SHARE {
            self.limit = (self.limit * DECREASE_FACTOR).max(floor);
        } else if in_use as f64 >= self.limit * MIN_USED_SHARE {
            self.limit = (self.limit + (self.limit * INCREASE_SHARE).max(1.0)).min(ceiling);
        }
    }
}
