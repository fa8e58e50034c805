//! Operations of the claim protocol that wait for an answer.

use crate::claims::attempts::AttemptState;
use crate::claims::event::ClaimDecision;
use crate::claims::key::{AHEAD_WINDOWS, ClaimAttempt, ClaimRequest, RETAINED_WINDOWS, WINDOW_MS};
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
    pub(super) rounds: u32,
    pub(super) at_self: bool,
    /// Claim of an earlier attempt, whose owner is being asked what became of it.
    pub(super) asked: Option<ClaimRow>,
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
pub(super) fn explain_state(state: AttemptState) -> Option<ClaimDecision> {
    let refusal = match state {
        AttemptState::NotRun => return None,
        AttemptState::Completed(Some(answer)) => return Some(ClaimDecision::Repeat(answer)),
        AttemptState::Completed(None) => ClaimRefusal::AnswerNotKept,
        AttemptState::Waiting | AttemptState::Running => ClaimRefusal::InProgress,
        AttemptState::Unknown => ClaimRefusal::OutcomeUnknown,
    };
    Some(ClaimDecision::Refuse(refusal))
}

/// Refuses keys whose page may be reused, now or on a daemon with a faster clock.
pub(super) fn check_age(claim: &ClaimRequest, now: ClaimTime) -> Option<ClaimRefusal> {
    let window = claim.window?;
    let current = now.unix_ms / WINDOW_MS;
    if window > current + AHEAD_WINDOWS {
        Some(ClaimRefusal::KeyAhead)
    } else if window + RETAINED_WINDOWS < current {
        Some(ClaimRefusal::KeyTooOld)
    } else {
        None
    }
}
