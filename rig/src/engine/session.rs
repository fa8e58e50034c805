//! What an engine does for each request at the moment.

use arbutusmount::{AttemptNumber, RequestId, StagePhase, StageProgress, TokenPosition};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after the last step for which a request still counts as worked for.
const SESSION_IDLE: Duration = Duration::from_millis(500);
/// Requests kept before idle ones are dropped.
const MAX_SESSIONS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct SessionState {
    attempt: AttemptNumber,
    position: TokenPosition,
    phase: StagePhase,
    since: Instant,
    held: Duration,
}

/// Last known step of each request.
#[derive(Debug, Default)]
pub(super) struct SessionTable {
    sessions: Mutex<HashMap<RequestId, SessionState>>,
}

impl SessionTable {
    /// Records that a request has entered a phase of a step.
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
        let known = sessions.get(&request).copied();
        if known.is_some_and(|known| (known.attempt, known.position) > step) {
            return;
        }
        let held = known.map_or(Duration::ZERO, |known| match known.phase {
            StagePhase::Held if phase != StagePhase::Held => known.since.elapsed(),
            _ => known.held,
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

    /// Forgets a request whose answer has ended.
    pub(super) fn end(&self, request: RequestId) {
        let mut sessions = self
            .sessions
            .lock()
            .expect("session lock is never poisoned");
        sessions.remove(&request);
    }

    /// Number of requests that are worked for.
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
        self.phase == StagePhase::Held || self.since.elapsed() < SESSION_IDLE
    }
}
