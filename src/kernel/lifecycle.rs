//! Phase of the daemon and count of its requests in progress.

use async_std::channel::{Receiver, Sender, bounded};
use std::fmt;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

/// Phase of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonPhase {
    /// No configuration is in force; requests are refused.
    Starting,
    /// Serving requests.
    Ready,
    /// Shutting down: withdrawn from address responses, but still serving requests.
    Draining,
}

impl fmt::Display for DaemonPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}

/// Values of the phase in [`LifecycleCell`].
const STARTING: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

/// Current phase and the number of requests in progress.
#[derive(Debug)]
pub struct LifecycleCell {
    phase: AtomicU8,
    in_progress: AtomicUsize,
    /// Closed when draining starts; nothing is ever sent.
    drain_sender: Sender<()>,
    drain_receiver: Receiver<()>,
}

impl Default for LifecycleCell {
    fn default() -> Self {
        let (drain_sender, drain_receiver) = bounded(1);
        Self {
            phase: AtomicU8::new(STARTING),
            in_progress: AtomicUsize::new(0),
            drain_sender,
            drain_receiver,
        }
    }
}

impl LifecycleCell {
    /// Current phase.
    pub fn phase(&self) -> DaemonPhase {
        match self.phase.load(Ordering::Acquire) {
            STARTING => DaemonPhase::Starting,
            READY => DaemonPhase::Ready,
            _ => DaemonPhase::Draining,
        }
    }

    /// Changes the phase from starting to ready; true when this call changed it.
    pub fn mark_ready(&self) -> bool {
        let order = Ordering::AcqRel;
        self.phase
            .compare_exchange(STARTING, READY, order, Ordering::Acquire)
            .is_ok()
    }

    /// Changes the phase to draining; true when this call changed it.
    pub fn mark_draining(&self) -> bool {
        let started = self.phase.swap(DRAINING, Ordering::AcqRel) != DRAINING;
        self.drain_sender.close();
        started
    }

    /// Waits until draining starts.
    pub async fn wait_for_drain(&self) {
        while self.drain_receiver.recv().await.is_ok() {}
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn start_request(self: &std::sync::Arc<Self>) -> ProgressGuard {
        // The daemon that stops first refuses requests and then reads this count, so a request that
        // it does not see has to see the refusal.
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        ProgressGuard(std::sync::Arc::clone(self))
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct ProgressGuard(std::sync::Arc<LifecycleCell>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
