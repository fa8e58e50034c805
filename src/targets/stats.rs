//! Load, reachability and ejection state of one target, updated by requests. Only the estimate of
//! the first event takes a lock.

use crate::limits::LimitCell;
use crate::routing::GapEstimate;
use crate::targets::shedding::SheddingCell;
use crate::units::MonoTime;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Ejection time after the first failure; doubles with each consecutive failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Time that a target counts as degraded after an incorrect response.
const DEGRADED_TIME: Duration = Duration::from_millis(300);
/// Time for which a full target gets nothing: by then, other daemons have announced what they reserved.
const SATURATION_TIME: Duration = Duration::from_millis(250);
/// Consecutive failed connects after which this daemon reports the target to others as unreachable.
const UNREACHABLE_THRESHOLD: u32 = 2;
/// Consecutive failed connects after which the target counts as lost whatever other daemons report.
const LOST_THRESHOLD: u32 = 5;
/// Number of other daemons whose requests fail at a target from which it counts as degraded: a single one
/// may have failed for reasons that no other daemon has.
const FAILING_PEERS_THRESHOLD: u32 = 2;
/// Shortest interval between two queries for a target's report.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between two probes of a target.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which the time of a stall is replaced by that of a later one.
const MAX_STALL_AGE: Duration = Duration::from_secs(5);
/// Longest ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Statistics about one target.
#[derive(Debug, Default)]
pub struct TargetStats {
    in_progress: AtomicU32,
    reserved_tokens: AtomicI64,
    peer_tokens: AtomicU64,
    peer_requests: AtomicU32,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    degraded_until: AtomicU64,
    saturated_until: AtomicU64,
    replaced: AtomicBool,
    leaving: AtomicBool,
    first_event: Mutex<GapEstimate>,
    failed_connects: AtomicU32,
    peers_unreachable: AtomicU32,
    peers_failing: AtomicU32,
    last_report_query: AtomicU64,
    refused_at: AtomicU64,
    stalled_since: AtomicU64,
    last_probe: AtomicU64,
    limit: LimitCell,
    shedding: SheddingCell,
}

impl TargetStats {
    /// Rate limit that the target has named.
    pub fn limit(&self) -> &LimitCell {
        &self.limit
    }

    /// Whether the target turns requests away.
    pub fn shedding(&self) -> &SheddingCell {
        &self.shedding
    }

    /// Requests of this daemon in flight.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Context tokens reserved by this daemon's requests in flight.
    pub fn reserved_tokens(&self) -> f64 {
        self.reserved_tokens.load(Ordering::Relaxed) as f64
    }

    /// Sets the tokens and requests of the other daemons at the target, and the number of those
    /// daemons that cannot reach it.
    pub fn set_peer_load(&self, tokens: u64, requests: u32, peers_unreachable: u32) {
        self.peers_unreachable
            .store(peers_unreachable, Ordering::Relaxed);
        self.peer_tokens.store(tokens, Ordering::Relaxed);
        self.peer_requests.store(requests, Ordering::Relaxed);
    }

    /// Sets the number of other daemons whose last requests at the target have failed.
    pub fn set_peers_failing(&self, daemons: u32) {
        self.peers_failing.store(daemons, Ordering::Relaxed);
    }

    /// Context tokens reserved by requests of all daemons.
    pub fn total_tokens(&self) -> f64 {
        self.reserved_tokens() + self.peer_tokens.load(Ordering::Relaxed) as f64
    }

    /// Requests of all daemons in flight.
    pub fn total_requests(&self) -> u32 {
        self.in_progress()
            .saturating_add(self.peer_requests.load(Ordering::Relaxed))
    }

    /// Records the time to the first event of a stream.
    pub fn observe_first_event(&self, elapsed: Duration) {
        let mut estimate = self.first_event.lock().expect("estimate is never poisoned");
        estimate.observe(elapsed);
    }

    /// Time after which the first event of a stream counts as late, from `floor` to `ceiling`;
    /// `ceiling` before the first sample.
    pub fn first_event_timeout(&self, floor: Duration, ceiling: Duration) -> Duration {
        let estimate = self.first_event.lock().expect("estimate is never poisoned");
        estimate.timeout(floor, ceiling).unwrap_or(ceiling)
    }

    /// Records whether the target accepted a connection. A failure is also recorded when another
    /// target waits for this one in vain.
    pub fn record_connect(&self, reached: bool) {
        if reached {
            if self.failed_connects.load(Ordering::Relaxed) != 0 {
                self.failed_connects.store(0, Ordering::Relaxed);
            }
        } else {
            self.failed_connects.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that a connection was refused, that is, the target has ended.
    pub fn record_refusal(&self, now: MonoTime) {
        self.refused_at.store(now.0, Ordering::Relaxed);
    }

    /// Last time at which a connection was refused.
    pub fn refused_at(&self) -> Option<MonoTime> {
        match self.refused_at.load(Ordering::Relaxed) {
            0 => None,
            at => Some(MonoTime(at)),
        }
    }

    /// True when a connection was refused at `since` or later.
    pub fn was_refused_since(&self, since: MonoTime) -> bool {
        self.refused_at().is_some_and(|at| at >= since)
    }

    /// Records that an attempt through the target failed and that nothing came through it after
    /// `since`. Of several such times within a few seconds the first one is kept.
    pub fn record_stall(&self, since: MonoTime) {
        let known = self.stalled_since.load(Ordering::Relaxed);
        let is_old = since.since(MonoTime(known)) > MAX_STALL_AGE;
        if known == 0 || is_old || since.0 < known {
            self.stalled_since.store(since.0, Ordering::Relaxed);
        }
    }

    /// Time from which attempts through the target are known to have failed; `None` if one has been
    /// successful since.
    pub fn stalled_since(&self) -> Option<MonoTime> {
        match self.stalled_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(MonoTime(since)),
        }
    }

    /// True after several consecutive failed connects of this daemon.
    pub fn is_unreachable(&self) -> bool {
        self.failed_connects.load(Ordering::Relaxed) >= UNREACHABLE_THRESHOLD
    }

    /// True when at least two daemons cannot reach the target, or when this daemon has failed for
    /// long: a single daemon may only have lost its own links for a moment.
    pub fn is_lost(&self) -> bool {
        let daemons =
            u32::from(self.is_unreachable()) + self.peers_unreachable.load(Ordering::Relaxed);
        daemons >= 2 || self.failed_connects.load(Ordering::Relaxed) >= LOST_THRESHOLD
    }

    /// Ends the ejection and the series of failures.
    pub fn clear_ejection(&self) {
        self.ejected_until.store(0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Forgets failures that say nothing about the target, as this daemon had lost its path to all.
    pub fn forgive_failures(&self) {
        self.clear_ejection();
        self.failed_connects.store(0, Ordering::Relaxed);
        self.refused_at.store(0, Ordering::Relaxed);
        self.stalled_since.store(0, Ordering::Relaxed);
        self.degraded_until.store(0, Ordering::Relaxed);
    }

    /// True when the target's report may be queried now, which starts a new interval: one query at
    /// a time is enough for all requests.
    pub fn try_begin_report(&self, now: MonoTime) -> bool {
        try_begin(&self.last_report_query, MIN_REPORT_INTERVAL, now)
    }

    /// True when the target may be probed now, which starts a new interval: one probe at a time is
    /// enough for all requests.
    pub fn try_begin_probe(&self, now: MonoTime) -> bool {
        try_begin(&self.last_probe, MIN_PROBE_INTERVAL, now)
    }

    /// Counts a request and reserves its tokens until the guard is dropped.
    pub fn reserve(self: &Arc<Self>, tokens: u32) -> ReservationGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.reserved_tokens
            .fetch_add(i64::from(tokens), Ordering::Relaxed);
        ReservationGuard {
            stats: Arc::clone(self),
            tokens,
        }
    }

    /// True while the target is ejected or replaced.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed) || self.is_replaced()
    }

    /// Ejects the target, as it does not respond; longer after each consecutive failure. Failures
    /// while it is ejected are ignored.
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

    /// Marks the target degraded: it responds, but incorrectly.
    pub fn record_bad_reply(&self, now: MonoTime) {
        self.degraded_until
            .store(now.after(DEGRADED_TIME).0, Ordering::Relaxed);
    }

    /// Records that the target has turned a request away because it is full. It gets nothing more from this
    /// daemon for a moment.
    pub fn record_saturation(&self, now: MonoTime) {
        let until = now.after(SATURATION_TIME).0;
        self.saturated_until.store(until, Ordering::Relaxed);
    }

    /// True shortly after the target has turned a request away because it is full.
    pub fn is_saturated(&self, now: MonoTime) -> bool {
        now.0 < self.saturated_until.load(Ordering::Relaxed)
    }

    /// True while the target is degraded, sheds load or fails requests of other daemons, that is, used only
    /// where no other is left.
    pub fn is_degraded(&self, now: MonoTime) -> bool {
        let is_failing = self.peers_failing.load(Ordering::Relaxed) >= FAILING_PEERS_THRESHOLD;
        let is_degraded = now.0 < self.degraded_until.load(Ordering::Relaxed);
        is_degraded || is_failing || self.shedding.is_shedding(now)
    }

    /// Records a successful request, which ends a series of failures.
    pub fn record_success(&self) {
        self.record_connect(true);
        self.shedding.on_response();
        self.stalled_since.store(0, Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Records that the target has announced that it leaves. True if that was not known.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// True when the target has announced that it leaves, so that its end is no crash.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records that another target has taken over the address.
    pub fn mark_replaced(&self) {
        self.replaced.store(true, Ordering::Relaxed);
    }

    /// True when another target has taken over the address.
    pub fn is_replaced(&self) -> bool {
        self.replaced.load(Ordering::Relaxed)
    }
}

/// Sets the time of the last run to `now`. False when that is less than `interval` ago.
pub(crate) fn try_begin(last_run: &AtomicU64, interval: Duration, now: MonoTime) -> bool {
    let last = last_run.load(Ordering::Relaxed);
    let due = last == 0 || now.since(MonoTime(last)) >= interval;
    due && last_run
        .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed)
        .is_ok()
}

/// Counts one request and its tokens at one target until dropped.
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
