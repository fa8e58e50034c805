//! Limits retries: each daemon spends a share of the requests that it counts plus its part of the fixed
//! allowance, so that the sum stays within the overall limit. Daemons lend each other what they do
//! not need.

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
/// Share of these that a daemon spends and lends together before it lends no more.
const LENDABLE_SHARE: f64 = 0.8;
/// Time for which a borrowed retry can be used.
const LOAN_LIFETIME: Duration = Duration::from_secs(1);
/// Time after which a daemon that nobody lends anything asks again.
const ASK_PAUSE: Duration = Duration::from_millis(100);

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

/// Retries of other daemons that this one may use.
#[derive(Debug, Default)]
struct BorrowedRetries {
    count: u32,
    usable_until: MonoTime,
    /// Time until which others are not asked, as they had none to lend.
    ask_after: MonoTime,
}

impl BorrowedRetries {
    fn usable(&self, now: MonoTime) -> u32 {
        if now < self.usable_until {
            self.count
        } else {
            0
        }
    }
}

/// Budget of one service.
#[derive(Debug, Default)]
struct ServiceBudget {
    window: VecDeque<CountBucket>,
    borrowed: BorrowedRetries,
    /// Retries lent to other daemons, and the time until which they count as spent here.
    lent: VecDeque<(MonoTime, u32)>,
}

impl ServiceBudget {
    /// Drops what has left the window, and adds a bucket when one is due.
    fn advance(&mut self, span: Duration, now: MonoTime) {
        let is_over = |bucket: &CountBucket| now.since(bucket.start) > span;
        while self.window.front().is_some_and(is_over) {
            self.window.pop_front();
        }
        while self.lent.front().is_some_and(|(until, _)| *until <= now) {
            self.lent.pop_front();
        }
        let is_current = |bucket: &CountBucket| now.since(bucket.start) < BUCKET_WIDTH;
        if !self.window.back().is_some_and(is_current) {
            self.window.push_back(CountBucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
    }

    /// Retries of this daemon's own that are left when `part` of its share may be spent.
    fn left(&self, limits: &BudgetLimits, daemons: usize, part: f64, now: MonoTime) -> u32 {
        let requests: u32 = self.window.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.window.iter().map(|bucket| bucket.retries).sum();
        let lent: u32 = self.lent.iter().map(|(_, count)| count).sum();
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
        (allowed as u32).saturating_sub(retries + lent)
    }
}

/// Retry budget of each service, counted over a sliding window. Times count from the start of the
/// process.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Mutex<BudgetLimits>,
    services: Mutex<HashMap<ServiceId, ServiceBudget>>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits: Mutex::new(limits),
            services: Mutex::default(),
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
        self.with_budget(service, now, |budget, _| {
            if let Some(bucket) = budget.window.back_mut() {
                bucket.requests += 1;
            }
        });
    }

    /// Spends a retry if the budget, shared by `daemons` daemons, allows one; a borrowed one first, as it
    /// is lost otherwise. Zero means a fleet that is not known yet, of which nothing of the
    /// fixed allowance may be spent.
    pub fn try_spend(&self, service: &ServiceId, daemons: usize, now: MonoTime) -> bool {
        self.with_budget(service, now, |budget, limits| {
            if budget.borrowed.usable(now) > 0 {
                budget.borrowed.count -= 1;
                return true;
            }
            let granted = budget.left(limits, daemons, 1.0, now) > 0;
            if let (true, Some(bucket)) = (granted, budget.window.back_mut()) {
                bucket.retries += 1;
            }
            granted
        })
    }

    /// True when a request without a running attempt may be retried.
    pub fn may_spend(&self, service: &ServiceId, daemons: usize, now: MonoTime) -> bool {
        self.has_left(service, daemons, 1.0, now)
    }

    /// True when an attempt may be started beside a running one. It spends from the same budget, but
    /// leaves a part of it to requests without a running attempt.
    pub fn may_spend_beside(&self, service: &ServiceId, daemons: usize, now: MonoTime) -> bool {
        self.has_left(service, daemons, BESIDE_SHARE, now)
    }

    /// Lends another daemon up to `wanted` retries that this one does not need; returns their number.
    /// They count as spent here until no window can hold them and their use.
    pub fn lend(&self, service: &ServiceId, wanted: u32, daemons: usize, now: MonoTime) -> u32 {
        self.with_budget(service, now, |budget, limits| {
            let count = wanted.min(budget.left(limits, daemons, LENDABLE_SHARE, now));
            if count > 0 {
                let until = now.after(limits.window + LOAN_LIFETIME);
                budget.lent.push_back((until, count));
            }
            count
        })
    }

    /// Adds retries that another daemon has lent.
    pub fn add_loan(&self, service: &ServiceId, count: u32, now: MonoTime) {
        self.with_budget(service, now, |budget, _| {
            let borrowed = &mut budget.borrowed;
            borrowed.count = borrowed.usable(now).saturating_add(count);
            borrowed.usable_until = now.after(LOAN_LIFETIME);
        });
    }

    /// True when other daemons may be asked for retries.
    pub fn may_ask(&self, service: &ServiceId, now: MonoTime) -> bool {
        self.with_budget(service, now, |budget, _| now >= budget.borrowed.ask_after)
    }

    /// Records that nobody lends any: they are not asked again for a while.
    pub fn pause_asking(&self, service: &ServiceId, now: MonoTime) {
        self.with_budget(service, now, |budget, _| {
            budget.borrowed.ask_after = now.after(ASK_PAUSE);
        });
    }

    fn has_left(&self, service: &ServiceId, daemons: usize, part: f64, now: MonoTime) -> bool {
        self.with_budget(service, now, |budget, limits| {
            budget.borrowed.usable(now) > 0 || budget.left(limits, daemons, part, now) > 0
        })
    }

    /// Calls `act` with the service's budget at `now`.
    fn with_budget<T>(
        &self,
        service: &ServiceId,
        now: MonoTime,
        act: impl FnOnce(&mut ServiceBudget, &BudgetLimits) -> T,
    ) -> T {
        let limits = *self.lock_limits();
        let mut services = self
            .services
            .lock()
            .expect("retry budget is never poisoned");
        let budget = services.entry(service.clone()).or_default();
        budget.advance(limits.window, now);
        act(budget, &limits)
    }
}
