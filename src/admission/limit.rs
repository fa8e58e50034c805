//! Concurrency limit of one model on one daemon: additive increase while it is used and token gaps
//! are short, multiplicative decrease while they are long.
//!
//! Daemons that share engines see the same gaps, so their limits move to a fair share without any
//! message between them.

use crate::units::MonoTime;
use std::time::Duration;

/// Bounds of the limit and the gap that it steers to.
#[derive(Debug, Clone, Copy)]
pub struct LimitSettings {
    /// Gap between tokens that 95 in 100 should stay under.
    pub target_gap: Duration,
    /// Limit before anything was observed.
    pub initial: f64,
    /// Lowest limit.
    pub floor: f64,
    /// Highest limit.
    pub ceiling: f64,
}

/// Length of one observation window.
const WINDOW: Duration = Duration::from_millis(250);
/// Fewest gaps that a window needs to count.
const MIN_SAMPLES: u32 = 20;
/// Share of gaps that may exceed the target.
const ALLOWED_SHARE: f64 = 0.05;
/// Factor on the limit after a window with too many long gaps.
const DECREASE: f64 = 0.9;
/// Share of the limit added after a window without.
const INCREASE: f64 = 0.02;
/// Share of the limit that must be in use for it to grow.
const USED_SHARE: f64 = 0.9;
/// Multiple of the shortest median gap seen that counts as long even on slow engines.
const BASELINE_FACTOR: f64 = 2.5;
/// Share by which the remembered shortest median grows in each window, so that it follows change.
const BASELINE_GROWTH: f64 = 0.002;

/// Adaptive concurrency limit.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    window_start: MonoTime,
    gaps: Vec<Duration>,
    baseline: Option<Duration>,
}

/// Gaps kept for one window; further ones are not needed for its quantiles.
const MAX_SAMPLES: usize = 2_048;

impl ConcurrencyLimit {
    /// Creates a limit.
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

    /// Takes the gap before a token.
    pub fn observe(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_SAMPLES {
            self.gaps.push(gap);
        }
    }

    /// Ends the window when its time has come. `in_use` is the number of requests in progress.
    pub fn update(&mut self, now: MonoTime, in_use: usize) {
        if now.since(self.window_start) < WINDOW || self.gaps.len() < MIN_SAMPLES as usize {
            return;
        }
        self.gaps.sort_unstable();
        let median = self.gaps[self.gaps.len() / 2];
        let threshold = self.threshold(median);
        let long = self.gaps.len() - self.gaps.partition_point(|gap| *gap <= threshold);
        let share = long as f64 / self.gaps.len() as f64;
        self.move_limit(share, in_use);
        self.gaps.clear();
        self.window_start = now;
    }

    fn threshold(&mut self, median: Duration) -> Duration {
        let grown = self
            .baseline
            .map(|known| known.mul_f64(1.0 + BASELINE_GROWTH));
        let baseline = grown.map_or(median, |known| known.min(median));
        self.baseline = Some(baseline);
        self.settings
            .target_gap
            .max(baseline.mul_f64(BASELINE_FACTOR))
    }

    fn move_limit(&mut self, long_share: f64, in_use: usize) {
        let LimitSettings { floor, ceiling, .. } = self.settings;
        if long_share > ALLOWED_SHARE {
            self.limit = (self.limit * DECREASE).max(floor);
        } else if in_use as f64 >= self.limit * USED_SHARE {
            self.limit = (self.limit + (self.limit * INCREASE).max(1.0)).min(ceiling);
        }
    }
}
