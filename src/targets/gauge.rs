//! Counters of one target, updated by requests without locks.

use crate::units::MonoTime;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Time for which a target is passed over after its first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
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
    wrong_identity: AtomicU32,
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

    /// Takes in what other daemons' requests hold.
    pub fn set_peer_load(&self, tokens: u64, requests: u32) {
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

    /// Passes the target over for a while, longer after each failure in a row.
    pub fn record_failure(&self, now: MonoTime) {
        if now.0 < self.paused_until.load(Ordering::Relaxed) {
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let pause = FIRST_PAUSE.saturating_mul(1 << failures).min(LONGEST_PAUSE);
        self.paused_until
            .store(now.after(pause).0, Ordering::Relaxed);
    }

    /// Ends a series of failures.
    pub fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Notes that another target answers at the address.
    pub fn mark_replaced(&self) {
        self.wrong_identity.store(1, Ordering::Relaxed);
    }

    /// True when another target answers at the address.
    pub fn is_replaced(&self) -> bool {
        self.wrong_identity.load(Ordering::Relaxed) != 0
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
