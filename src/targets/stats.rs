//! Counters of one target, updated by requests without locks.

use crate::routing::GapEstimate;
use crate::units::MonoTime;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which a target is passed over after its first failure; doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Time for which a target that answers wrongly is passed over while there is another.
const DEGRADED_TIME: Duration = Duration::from_millis(300);
/// Times in a row that a target was not reached, from which this daemon tells others.
const UNREACHABLE_THRESHOLD: u32 = 2;
/// The same, from which the target counts as lost whatever others see.
const LOST_THRESHOLD: u32 = 5;
/// Least time between two questions for a target's report.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// What this daemon's requests made of one target.
#[derive(Debug, Default)]
pub struct TargetStats {
    in_progress: AtomicU32,
    reserved_tokens: AtomicI64,
    peer_tokens: AtomicU64,
    peer_requests: AtomicU32,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    degraded_until: AtomicU64,
    replaced: AtomicBool,
    first_event: Mutex<GapEstimate>,
    unreachable: AtomicU32,
    peers_unreachable: AtomicU32,
    last_report_query: AtomicU64,
}

impl TargetStats {
    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Tokens of context that requests in progress may come to hold.
    pub fn reserved_tokens(&self) -> f64 {
        self.reserved_tokens.load(Ordering::Relaxed) as f64
    }

    /// Takes in what other daemons' requests hold, and how many daemons do not reach it.
    pub fn set_peer_load(&self, tokens: u64, requests: u32, unreachable: u32) {
        self.peers_unreachable.store(unreachable, Ordering::Relaxed);
        self.peer_tokens.store(tokens, Ordering::Relaxed);
        self.peer_requests.store(requests, Ordering::Relaxed);
    }

    /// Tokens of context that requests of all daemons may come to hold.
    pub fn total_tokens(&self) -> f64 {
        self.reserved_tokens() + self.peer_tokens.load(Ordering::Relaxed) as f64
    }

    /// Requests in progress of all daemons.
    pub fn total_requests(&self) -> u32 {
        self.in_progress()
            .saturating_add(self.peer_requests.load(Ordering::Relaxed))
    }

    /// Notes how long the target took to a stream's first event.
    pub fn observe_first_event(&self, elapsed: Duration) {
        let mut estimate = self.first_event.lock().expect("estimate is never poisoned");
        estimate.observe(elapsed);
    }

    /// Time after which a stream's first event counts as late.
    pub fn first_event_limit(&self, floor: Duration, ceiling: Duration) -> Duration {
        let estimate = self.first_event.lock().expect("estimate is never poisoned");
        estimate.timeout(floor, ceiling).unwrap_or(ceiling)
    }

    /// Notes whether the target took a connection, or another target waits for it in vain.
    pub fn record_connect(&self, reached: bool) {
        if reached {
            if self.unreachable.load(Ordering::Relaxed) != 0 {
                self.unreachable.store(0, Ordering::Relaxed);
            }
        } else {
            self.unreachable.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// True when this daemon has not reached the target several times in a row.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed) >= UNREACHABLE_THRESHOLD
    }

    /// True when at least two daemons do not reach the target, or this one has not for long: one alone
    /// may have lost its own links for a moment.
    pub fn is_lost(&self) -> bool {
        let daemons =
            u32::from(self.is_unreachable()) + self.peers_unreachable.load(Ordering::Relaxed);
        daemons >= 2 || self.unreachable.load(Ordering::Relaxed) >= LOST_THRESHOLD
    }

    /// Ends the time for which the target is passed over.
    pub fn clear_ejection(&self) {
        self.ejected_until.store(0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// True when its report may be asked for now: once in a while is enough for all requests.
    pub fn try_begin_report(&self, now: MonoTime) -> bool {
        let last = self.last_report_query.load(Ordering::Relaxed);
        let due = last == 0 || now.since(MonoTime(last)) >= MIN_REPORT_INTERVAL;
        due && self
            .last_report_query
            .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Counts a request until the guard is dropped.
    pub fn reserve(self: &Arc<Self>, tokens: u32) -> ReservationGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.reserved_tokens
            .fetch_add(i64::from(tokens), Ordering::Relaxed);
        ReservationGuard {
            stats: Arc::clone(self),
            tokens,
        }
    }

    /// True while the target is passed over.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed) || self.is_replaced()
    }

    /// Passes the target over for a while, as it does not answer; longer after each failure in a row.
    pub fn record_failure(&self, now: MonoTime) {
        if now.0 < self.ejected_until.load(Ordering::Relaxed) {
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let ejection = BASE_EJECTION_TIME
            .saturating_mul(1 << failures)
            .min(MAX_EJECTION_TIME);
        self.ejected_until
            .store(now.after(ejection).0, Ordering::Relaxed);
    }

    /// Passes the target over for a while where there is another: it answers, but wrongly.
    pub fn record_bad_reply(&self, now: MonoTime) {
        self.degraded_until
            .store(now.after(DEGRADED_TIME).0, Ordering::Relaxed);
    }

    /// True while the target is passed over where there is another.
    pub fn is_degraded(&self, now: MonoTime) -> bool {
        now.0 < self.degraded_until.load(Ordering::Relaxed)
    }

    /// Ends a series of failures.
    pub fn record_success(&self) {
        self.record_connect(true);
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Notes that another target answers at the address.
    pub fn mark_replaced(&self) {
        self.replaced.store(true, Ordering::Relaxed);
    }

    /// True when another target answers at the address.
    pub fn is_replaced(&self) -> bool {
        self.replaced.load(Ordering::Relaxed)
    }
}

/// Counts one request at one target while it lives.
#[derive(Debug)]
pub struct ReservationGuard {
    stats: Arc<TargetStats>,
    tokens: u32,
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        self.stats.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.stats
            .reserved_tokens
            .fetch_sub(i64::from(self.tokens), Ordering::Relaxed);
    }
}
