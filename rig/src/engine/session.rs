//! Progress of an engine on each request.

use arbutusmount::{AttemptNumber, RequestId, StagePhase, StageProgress, TokenPosition};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after its last step for which a request still counts as active.
const ACTIVE_PERIOD: Duration = Duration::from_millis(500);
/// Number of requests at which idle ones are dropped.
const MAX_SESSIONS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct SessionState {
    attempt: AttemptNumber,
    position: TokenPosition,
    phase: StagePhase,
    /// Start of the phase.
    since: Instant,
    /// Time that the step spent in [`StagePhase::Held`].
    held: Duration,
}

/// Last known step of each request.
#[derive(Debug, Default)]
pub(super) struct SessionTable {
    sessions: Mutex<HashMap<RequestId, SessionState>>,
}

impl SessionTable {
    /// Records that a request has entered a phase of a step. Steps earlier than the last one
    /// recorded are ignored.
    pub(super) fn enter(
        &self,
        request: RequestId,
        step: (AttemptNumber, TokenPosition),
        phase: StagePhase,
    ) {
        let mut sessions = self
            .sessions
            .lock()
            .expect("session lock is never poisoned");
        if sessions.len() >= MAX_SESSIONS {
            sessions.retain(|_, session| session.is_active());
        }
        let last = sessions.get(&request).copied();
        if last.is_some_and(|last| (last.attempt, last.position) > step) {
            return;
        }
        let held = last.map_or(Duration::ZERO, |last| match last.phase {
            StagePhase::Held if phase != StagePhase::Held => last.since.elapsed(),
            _ => last.held,
        });
        sessions.insert(
            request,
            SessionState {
                attempt: step.0,
                position: step.1,
                phase,
                since: Instant::now(),
                held,
            },
        );
    }

    /// Removes a request whose answer has ended.
    pub(super) fn remove(&self, request: RequestId) {
        let mut sessions = self
            .sessions
            .lock()
            .expect("session lock is never poisoned");
        sessions.remove(&request);
    }

    /// Number of active requests.
    pub(super) fn count(&self) -> u32 {
        let sessions = self
            .sessions
            .lock()
            .expect("session lock is never poisoned");
        let active = sessions.values().filter(|session| session.is_active());
        active.count() as u32
    }

    /// Progress of one request, without the engine's load.
    pub(super) fn progress(&self, request: RequestId) -> StageProgress {
        let sessions = self
            .sessions
            .lock()
            .expect("session lock is never poisoned");
        sessions
            .get(&request)
            .map_or_else(StageProgress::default, |session| StageProgress {
                attempt: session.attempt,
                position: session.position,
                phase: session.phase,
                since_micros: session.since.elapsed().as_micros() as u64,
                held_micros: session.held.as_micros() as u64,
                ..StageProgress::default()
            })
    }
}

impl SessionState {
    fn is_active(&self) -> bool {
        self.phase == StagePhase::Held || self.since.elapsed() < ACTIVE_PERIOD
    }
}
