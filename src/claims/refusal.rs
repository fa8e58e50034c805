//! Reasons for which a call is not dispatched, and the problem response of each.

use crate::http::{ExecutionOutcome, ProblemKind, ProblemResponse};
use std::time::Duration;

/// Reason for which a call was not dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The key was used for a different call: same key, other fingerprint.
    OtherCall,
    /// An earlier call with this key is in progress.
    InProgress,
    /// The outcome of an earlier call with this key is unknown: it may have been executed.
    OutcomeUnknown,
    /// An earlier call with this key was executed, and its response was too large to cache.
    AnswerNotKept,
    /// The key is older than the claims that are retained.
    KeyTooOld,
    /// The key's time is too far ahead of the clock.
    KeyAhead,
    /// The claim was not confirmed: the store failed, the page was malformed, its writes kept
    /// conflicting, or there was no verdict within the claim timeout.
    StoreDown,
    /// Too many operations are pending on this daemon, the writer's queue is full or waits too
    /// long, or the key's page is full.
    Overloaded,
}

/// Properties of a refusal: metric label, problem kind, outcome, Retry-After and detail.
struct RefusalRow {
    refusal: ClaimRefusal,
    name: &'static str,
    kind: ProblemKind,
    outcome: ExecutionOutcome,
    retry_after: Option<Duration>,
    detail: &'static str,
}

/// Retry-After while an earlier call is in progress, and on overload.
const SHORT_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(1));
/// Retry-After while the store is unreachable.
const STORE_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(2));

const REFUSAL_TABLE: [RefusalRow; 8] = [
    RefusalRow {
        refusal: ClaimRefusal::OtherCall,
        name: "other_call",
        kind: ProblemKind::Conflict,
        outcome: ExecutionOutcome::NotExecuted,
        retry_after: None,
        detail: "the idempotency key was used for a different call",
    },
    RefusalRow {
        refusal: ClaimRefusal::InProgress,
        name: "in_progress",
        kind: ProblemKind::Conflict,
        outcome: ExecutionOutcome::Unknown,
        retry_after: SHORT_RETRY_DELAY,
        detail: "an earlier call with this idempotency key is in progress",
    },
    RefusalRow {
        refusal: ClaimRefusal::OutcomeUnknown,
        name: "outcome_unknown",
        kind: ProblemKind::Conflict,
        outcome: ExecutionOutcome::Unknown,
        retry_after: None,
        detail: "a call with this idempotency key may have been executed; it is not retried",
    },
    RefusalRow {
        refusal: ClaimRefusal::AnswerNotKept,
        name: "answer_not_kept",
        kind: ProblemKind::Conflict,
        // `ExecutionOutcome` has no variant for a call that was executed in full.
        outcome: ExecutionOutcome::Unknown,
        retry_after: None,
        detail: "a call with this idempotency key was executed; its response was not cached",
    },
    RefusalRow {
        refusal: ClaimRefusal::KeyTooOld,
        name: "key_too_old",
        kind: ProblemKind::Conflict,
        outcome: ExecutionOutcome::Unknown,
        retry_after: None,
        detail: "the idempotency key is too old; its call may have been executed",
    },
    RefusalRow {
        refusal: ClaimRefusal::KeyAhead,
        name: "key_ahead",
        kind: ProblemKind::BadRequest,
        outcome: ExecutionOutcome::NotExecuted,
        retry_after: None,
        detail: "the time in the idempotency key is too far ahead of the server's clock",
    },
    RefusalRow {
        refusal: ClaimRefusal::StoreDown,
        name: "store_down",
        kind: ProblemKind::NotReady,
        outcome: ExecutionOutcome::NotExecuted,
        retry_after: STORE_RETRY_DELAY,
        detail: "the store did not confirm the claim on the idempotency key",
    },
    RefusalRow {
        refusal: ClaimRefusal::Overloaded,
        name: "overloaded",
        kind: ProblemKind::Overloaded,
        outcome: ExecutionOutcome::NotExecuted,
        retry_after: SHORT_RETRY_DELAY,
        detail: "too many calls are waiting for claims on idempotency keys",
    },
];

impl ClaimRefusal {
    /// Label for metrics and spans.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// Converts the refusal to the response for the caller. The outcome `not_run` is about this
    /// request only: if the caller of an earlier request with the same key got no response or the
    /// outcome `unknown`, that request may have been executed.
    pub fn to_problem(self) -> ProblemResponse {
        let row = self.row();
        ProblemResponse {
            kind: row.kind,
            detail: row.detail.to_owned(),
            outcome: row.outcome,
            retry_after: row.retry_after,
        }
    }

    fn row(self) -> &'static RefusalRow {
        let found = REFUSAL_TABLE.iter().find(|row| row.refusal == self);
        found.expect("every refusal has a row")
    }
}
