//! State that the threads of a run share.

use crate::soak::evidence::SoakEvidence;
use crate::soak::fault::CallerMood;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Shared state of a run.
#[derive(Debug)]
pub struct SoakShared {
    started: Instant,
    evidence: Mutex<SoakEvidence>,
    moods: Mutex<Vec<CallerMood>>,
    /// Paths of routes that were added.
    added_paths: Mutex<Vec<String>>,
    is_stopped: AtomicBool,
}

impl Default for SoakShared {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            evidence: Mutex::default(),
            moods: Mutex::default(),
            added_paths: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        }
    }
}

impl SoakShared {
    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Everything seen so far, locked.
    pub fn evidence(&self) -> MutexGuard<'_, SoakEvidence> {
        self.evidence.lock().expect("evidence is never poisoned")
    }

    /// A copy of everything seen so far.
    pub fn snapshot(&self) -> SoakEvidence {
        let evidence = self.evidence();
        SoakEvidence {
            now: self.now(),
            ..evidence.clone()
        }
    }

    /// Moods of callers at present.
    pub fn moods(&self) -> MutexGuard<'_, Vec<CallerMood>> {
        self.moods.lock().expect("moods are never poisoned")
    }

    /// Paths of routes that were added, also of those that were removed again.
    pub fn added_paths(&self) -> MutexGuard<'_, Vec<String>> {
        self.added_paths.lock().expect("paths are never poisoned")
    }

    /// Ends the callers.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// True once the run is over.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}
