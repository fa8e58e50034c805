//! Pending operations of the claim protocol: claims and releases that wait for a result.

use crate::claims::attempts::AttemptState;
use crate::claims::event::ClaimDecision;
use crate::claims::key::{
    ClaimAttempt, ClaimRequest, MAX_KEY_AGE_WINDOWS, MAX_KEY_AHEAD_WINDOWS, WINDOW_MS,
};
use crate::claims::page::ClaimRow;
use crate::claims::refusal::ClaimRefusal;
use crate::claims::writer_action::ClaimTime;
use crate::units::MonoTime;

/// A pending operation.
#[derive(Debug)]
pub(super) enum Operation {
    Claim(PendingClaim),
    Release(PendingRelease),
}

/// A claim that waits for its verdict, or for the state of the attempt that holds the key.
#[derive(Debug)]
pub(super) struct PendingClaim {
    /// Claim that the call needs.
    pub(super) claim: ClaimRequest,
    /// Attempt for which the key is claimed.
    pub(super) attempt: ClaimAttempt,
    /// Earlier attempt that was not executed; this claim may supersede its claim.
    pub(super) supersedes: Option<ClaimAttempt>,
    /// Number of earlier attempts whose claims this one has tried to supersede.
    pub(super) superseded_count: u32,
    /// The claim goes to the local writer instead of the home.
    pub(super) is_local: bool,
    /// Claim that holds the key; its owner is being queried for the state of the attempt.
    pub(super) holder: Option<ClaimRow>,
    /// Time at which the claim expires and its call is refused.
    pub(super) deadline: MonoTime,
}

/// A release of a claim whose attempt was not executed and never will be.
#[derive(Debug)]
pub(super) struct PendingRelease {
    /// Claim to release.
    pub(super) claim: ClaimRequest,
    /// Attempt that may hold the claim.
    pub(super) attempt: ClaimAttempt,
    /// Number of times that the release has been sent.
    pub(super) tries: u32,
}

/// Decides on a call whose key an earlier attempt holds, by the state of that attempt. `None` when
/// the earlier attempt was not executed and never will be, so that its claim may be superseded.
pub(super) fn decide_by_state(state: AttemptState) -> Option<ClaimDecision> {
    let refusal = match state {
        AttemptState::NotExecuted => return None,
        AttemptState::Completed(Some(response)) => return Some(ClaimDecision::Replay(response)),
        AttemptState::Completed(None) => ClaimRefusal::AnswerNotKept,
        AttemptState::Waiting | AttemptState::Running => ClaimRefusal::InProgress,
        AttemptState::Unknown => ClaimRefusal::OutcomeUnknown,
    };
    Some(ClaimDecision::Refuse(refusal))
}

/// Refuses dated keys outside the accepted times. The page of a key beyond the age limit may have
/// been reused, by this daemon or by one whose clock is ahead. A key too far ahead would advance
/// the window of its page and could drop claims on keys that are still accepted.
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
