//! Operations of the claim protocol that wait for an answer.

use crate::claims::attempts::AttemptState;
use crate::claims::event::ClaimDecision;
use crate::claims::key::{
    ClaimAttempt, ClaimRequest, MAX_KEY_AGE_WINDOWS, MAX_KEY_AHEAD_WINDOWS, WINDOW_MS,
};
use crate::claims::page::ClaimRow;
use crate::claims::refusal::ClaimRefusal;
use crate::claims::step::ClaimTime;
use crate::units::MonoTime;

/// An operation under way.
#[derive(Debug)]
pub(super) enum Operation {
    Claim(PendingClaim),
    Release(PendingRelease),
}

/// A claim that waits for its verdict, or for word of the attempt that holds it.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) claim: ClaimRequest,
    pub(super) attempt: ClaimAttempt,
    pub(super) supersedes: Option<ClaimAttempt>,
    pub(super) replacements: u32,
    pub(super) is_local: bool,
    /// Claim of an earlier attempt, whose owner is being asked what became of it.
    pub(super) holder: Option<ClaimRow>,
    pub(super) deadline: MonoTime,
}

/// A claim to be given up, as its attempt never runs.
#[derive(Debug)]
pub(super) struct PendingRelease {
    pub(super) claim: ClaimRequest,
    pub(super) attempt: ClaimAttempt,
    pub(super) tries: u32,
}

/// The decision on a call whose key an earlier attempt holds; `None` when that never runs.
pub(super) fn decide_by_state(state: AttemptState) -> Option<ClaimDecision> {
    let refusal = match state {
        AttemptState::NotRun => return None,
        AttemptState::Completed(Some(answer)) => return Some(ClaimDecision::Replay(answer)),
        AttemptState::Completed(None) => ClaimRefusal::AnswerNotKept,
        AttemptState::Waiting | AttemptState::Running => ClaimRefusal::InProgress,
        AttemptState::Unknown => ClaimRefusal::OutcomeUnknown,
    };
    Some(ClaimDecision::Refuse(refusal))
}

/// Refuses keys whose page may be reused, now or on a daemon with a faster clock.
pub(super) fn check_key_time(claim: &ClaimRequest, now: ClaimTime) -> Option<ClaimRefusal> {
    let window = claim.window?;
    let current = now.unix_ms / WINDOW_MS;
    if window > current + MAX_KEY_AHEAD_WINDOWS {
        Some(ClaimRefusal::KeyAhead)
    } else if window + MAX_KEY_AGE_WINDOWS < current {
        Some(ClaimRefusal::KeyTooOld)
    } else {
        None
    }
}
