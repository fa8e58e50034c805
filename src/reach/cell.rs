//! This daemon's own path to the targets, shared by all requests.

use crate::reach::peers::return_share;
use crate::reach::statement::ReachStatement;
use crate::reach::tracker::{PathLoss, ReachCandidate, ReachChange, ReachStep, ReachTracker};
use crate::targets::try_begin;
use crate::units::MonoTime;
use async_std::sync::{Mutex as AsyncMutex, MutexGuard as AsyncGuard};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Tracker of this daemon's path. Reading the verdict takes no lock.
#[derive(Debug, Default)]
pub struct ReachCell {
    tracker: Mutex<ReachTracker>,
    /// Held during a round of probes, so that there is one at a time.
    round: AsyncMutex<()>,
    is_lost: AtomicBool,
    /// Number of changes of the verdict.
    version: AtomicU64,
    /// Time at which the path came back, in microseconds of the clock; 0 if it was never lost.
    regained_at: AtomicU64,
    /// Last time at which bytes of a target arrived, in microseconds of the clock.
    heard_at: AtomicU64,
    last_check: AtomicU64,
}

impl ReachCell {
    /// True while this daemon reaches no target.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }

    /// How the path was lost; `None` while there is one.
    pub fn loss(&self) -> Option<PathLoss> {
        if !self.is_lost() {
            return None;
        }
        self.lock().lost().map(|(_, loss)| loss)
    }

    /// What to tell the other daemons.
    pub fn statement(&self) -> ReachStatement {
        ReachStatement {
            version: self.version.load(Ordering::Acquire),
            is_lost: self.is_lost(),
        }
    }

    /// Share of the address responses that are to name this daemon.
    pub fn named_share(&self, now: MonoTime) -> f64 {
        if self.is_lost() {
            return 0.0;
        }
        match self.regained_at.load(Ordering::Acquire) {
            0 => 1.0,
            at => return_share(Some(MonoTime(at)), now),
        }
    }

    /// Records that bytes of a target have arrived.
    pub fn on_heard(&self, now: MonoTime) {
        self.heard_at.store(now.0, Ordering::Relaxed);
    }

    /// Last time at which bytes of a target arrived or one accepted a connection.
    pub fn heard_at(&self) -> MonoTime {
        MonoTime(self.heard_at.load(Ordering::Relaxed))
    }

    /// See [`ReachTracker::on_connected`].
    pub fn on_connected(&self, now: MonoTime) -> ReachChange {
        self.on_heard(now);
        let change = self.lock().on_connected(now);
        if let ReachChange::Regained(_) = change {
            self.regained_at.store(now.0.max(1), Ordering::Release);
            self.set_lost(false);
        }
        change
    }

    /// See [`ReachTracker::on_failed`].
    pub fn on_failed(&self, run: u64, started: MonoTime, loss: PathLoss) {
        self.lock().on_failed(run, started, loss);
    }

    /// See [`ReachTracker::next_step`].
    pub fn next_step(&self, candidates: &[ReachCandidate], now: MonoTime) -> ReachStep {
        let mut rng = fastrand::Rng::new();
        self.lock().next_step(candidates, now, &mut rng)
    }

    /// See [`ReachTracker::mark_lost`].
    pub fn mark_lost(&self, now: MonoTime) -> ReachChange {
        let change = self.lock().mark_lost(now);
        if change != ReachChange::None {
            self.set_lost(true);
        }
        change
    }

    /// True when the path may be checked now, which starts a new interval.
    pub fn try_begin_check(&self, interval: Duration, now: MonoTime) -> bool {
        try_begin(&self.last_check, interval, now)
    }

    /// Waits for the right to probe targets.
    pub async fn begin_round(&self) -> AsyncGuard<'_, ()> {
        self.round.lock().await
    }

    fn set_lost(&self, is_lost: bool) {
        self.is_lost.store(is_lost, Ordering::Release);
        self.version.fetch_add(1, Ordering::AcqRel);
    }

    fn lock(&self) -> MutexGuard<'_, ReachTracker> {
        self.tracker.lock().expect("tracker is never poisoned")
    }
}
