//! Counters of one target, updated by requests without locks.

use crate::routing::GapEstimate;
use crate::units::MonoTime;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which a target is passed over after its first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a target that answers wrongly is passed over while there is another.
const FLAW_PAUSE: Duration = Duration::from_millis(300);
/// Times in a row that a target was not reached, from which this daemon tells others.
const UNREACHABLE_AFTER: u32 = 2;
/// The same, from which the target counts as lost whatever others see.
const LOST_AFTER: u32 = 5;
/// Least time between two questions for a target's report.
const INQUIRY_PERIOD: Duration = Duration::from_millis(250);
/// Longest such time.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// What this daemon's requests made of one target.
#[derive(Debug, Default)]
pub struct TargetGauge {
    in_progress: AtomicU32,
    reserved_tokens: AtomicI64,
    peer_tokens: AtomicU64,
    peer_requests: AtomicU32,
    failures: AtomicU32,
    paused_until: AtomicU64,
    flawed_until: AtomicU64,
    replaced: AtomicBool,
    first_event: Mutex<GapEstimate>,
    unreachable: AtomicU32,
    peers_unreachable: AtomicU32,
    inquired: AtomicU64,
}

impl TargetGauge {
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
    pub fn all_tokens(&self) -> f64 {
        self.reserved_tokens() + self.peer_tokens.load(Ordering::Relaxed) as f64
    }

    /// Requests in progress of all daemons.
    pub fn all_requests(&self) -> u32 {
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
    pub fn note_reached(&self, reached: bool) {
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
        self.unreachable.load(Ordering::Relaxed) >= UNREACHABLE_AFTER
    }

    /// True when at least two daemons do not reach the target, or this one has not for long: one alone
    /// may have lost its own links for a moment.
    pub fn is_lost(&self) -> bool {
        let daemons =
            u32::from(self.is_unreachable()) + self.peers_unreachable.load(Ordering::Relaxed);
        daemons >= 2 || self.unreachable.load(Ordering::Relaxed) >= LOST_AFTER
    }

    /// Ends the time for which the target is passed over.
    pub fn clear_pause(&self) {
        self.paused_until.store(0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// True when its report may be asked for now: once in a while is enough for all requests.
    pub fn may_inquire(&self, now: MonoTime) -> bool {
        let last = self.inquired.load(Ordering::Relaxed);
        let due = last == 0 || now.since(MonoTime(last)) >= INQUIRY_PERIOD;
        due && self
            .inquired
            .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>, tokens: u32) -> GaugeGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.reserved_tokens
            .fetch_add(i64::from(tokens), Ordering::Relaxed);
        GaugeGuard {
            gauge: Arc::clone(self),
            tokens,
        }
    }

    /// True while the target is passed over.
    pub fn is_paused(&self, now: MonoTime) -> bool {
        now.0 < self.paused_until.load(Ordering::Relaxed) || self.is_replaced()
    }

    /// Passes the target over for a while, as it does not answer; longer after each failure in a row.
    pub fn record_failure(&self, now: MonoTime) {
        if now.0 < self.paused_until.load(Ordering::Relaxed) {
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let pause = FIRST_PAUSE.saturating_mul(1 << failures).min(LONGEST_PAUSE);
        self.paused_until
            .store(now.after(pause).0, Ordering::Relaxed);
    }

    /// Passes the target over for a while where there is another: it answers, but wrongly.
    pub fn record_flaw(&self, now: MonoTime) {
        self.flawed_until
            .store(now.after(FLAW_PAUSE).0, Ordering::Relaxed);
    }

    /// True while the target is passed over where there is another.
    pub fn is_flawed(&self, now: MonoTime) -> bool {
        now.0 < self.flawed_until.load(Ordering::Relaxed)
    }

    /// Ends a series of failures.
    pub fn record_success(&self) {
        self.note_reached(true);
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
pub struct GaugeGuard {
    gauge: Arc<TargetGauge>,
    tokens: u32,
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.gauge
            .reserved_tokens
            .fetch_sub(i64::from(self.tokens), Ordering::Relaxed);
    }
}
