//! Limits retries without coordination between daemons: each daemon spends a share of its own
//! request count plus its part of the fixed allowance, so that the sum stays within the overall
//! limit.

use crate::ids::ServiceId;
use crate::units::MonoTime;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

/// Width of a bucket of the sliding window.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);
/// Share of its allowed retries that a daemon spends. It spends no more because the windows of the
/// daemons are not aligned, and because a daemon that does not know all others yet takes too large
/// a part of the fixed allowance.
const SPENDABLE_SHARE: f64 = 0.75;

/// The same in the first window after the start of the process. A process before it on this
/// instance may have spent its share already, of which the new one knows nothing.
const SPENDABLE_SHARE_AT_START: f64 = 1.0 - SPENDABLE_SHARE;

/// Share of these that attempts beside a running one may spend. A slow attempt may still succeed, a
/// request whose attempts have all failed has only the retry.
const BESIDE_SHARE: f64 = 0.5;

/// Limits on the retries of one service, over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Fixed allowance: retries per window beyond the ratio, whatever the number of requests.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    start: MonoTime,
    requests: u32,
    retries: u32,
}

/// Retry budget of each service, counted over a sliding window. Times count from the start of the
/// process.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Mutex<BudgetLimits>,
    windows: Mutex<HashMap<ServiceId, VecDeque<CountBucket>>>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits: Mutex::new(limits),
            windows: Mutex::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: BudgetLimits) {
        *self.lock_limits() = limits;
    }

    fn lock_limits(&self) -> std::sync::MutexGuard<'_, BudgetLimits> {
        self.limits.lock().expect("retry limits are never poisoned")
    }

    /// Counts a request; each one raises the number of allowed retries by the ratio.
    pub fn count_request(&self, service: &ServiceId, now: MonoTime) {
        self.with_window(service, now, |window| {
            if let Some(bucket) = window.back_mut() {
                bucket.requests += 1;
            }
        });
    }

    /// Spends a retry if the budget, shared by `daemons` daemons, allows one. Zero stands for a fleet
    /// that is not known yet, of which nothing of the fixed allowance may be spent.
    pub fn try_spend(&self, service: &ServiceId, daemons: usize, now: MonoTime) -> bool {
        let limits = *self.lock_limits();
        self.with_window(service, now, |window| {
            let granted = allows_retry(&limits, window, daemons, 1.0, now);
            if let (true, Some(bucket)) = (granted, window.back_mut()) {
                bucket.retries += 1;
            }
            granted
        })
    }

    /// True when an attempt may be started beside a running one. It spends from the same budget, but
    /// leaves a part of it to requests without a running attempt.
    pub fn may_spend_beside(&self, service: &ServiceId, daemons: usize, now: MonoTime) -> bool {
        let limits = *self.lock_limits();
        self.with_window(service, now, |window| {
            allows_retry(&limits, window, daemons, BESIDE_SHARE, now)
        })
    }

    /// Drops the expired buckets of the service's window, adds a bucket when one is due, and calls
    /// `act`.
    fn with_window<T>(
        &self,
        service: &ServiceId,
        now: MonoTime,
        act: impl FnOnce(&mut VecDeque<CountBucket>) -> T,
    ) -> T {
        let span = self.lock_limits().window;
        let mut windows = self.windows.lock().expect("retry budget is never poisoned");
        let window = windows.entry(service.clone()).or_default();
        while window
            .front()
            .is_some_and(|bucket| now.since(bucket.start) > span)
        {
            window.pop_front();
        }
        if window
            .back()
            .is_none_or(|bucket| now.since(bucket.start) >= BUCKET_WIDTH)
        {
            window.push_back(CountBucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        act(window)
    }
}

/// True when one more retry stays within `part` of this daemon's share of the limits.
fn allows_retry(
    limits: &BudgetLimits,
    window: &VecDeque<CountBucket>,
    daemons: usize,
    part: f64,
    now: MonoTime,
) -> bool {
    let requests: u32 = window.iter().map(|bucket| bucket.requests).sum();
    let retries: u32 = window.iter().map(|bucket| bucket.retries).sum();
    let allowance = match daemons {
        0 => 0.0,
        _ => limits.allowance / daemons as f64,
    };
    let uptime = now.since(MonoTime::default());
    let share = if uptime < limits.window {
        SPENDABLE_SHARE_AT_START
    } else {
        SPENDABLE_SHARE
    };
    let allowed = part * share * (limits.ratio * f64::from(requests) + allowance);
    f64::from(retries + 1) <= allowed
}
