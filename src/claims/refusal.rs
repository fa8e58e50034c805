//! Why a call was not dispatched, and the answer that its caller gets.

use crate::http::{ProblemAnswer, ProblemKind, RunOutcome};
use std::time::Duration;

/// Why a call was not dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The key was used for a different call.
    OtherCall,
    /// A call with this key is running.
    InProgress,
    /// A call with this key may have run, and its answer is not known.
    OutcomeUnknown,
    /// A call with this key has run, and its answer was too large to keep.
    AnswerNotKept,
    /// The key is so old that its claim may have been dropped.
    KeyTooOld,
    /// The key's time lies ahead of the clock.
    KeyAhead,
    /// The store did not confirm the claim.
    StoreDown,
    /// Too many calls wait for claims.
    Overloaded,
}

struct RefusalRow {
    refusal: ClaimRefusal,
    name: &'static str,
    kind: ProblemKind,
    outcome: RunOutcome,
    retry_after: Option<Duration>,
    detail: &'static str,
}

const SHORT_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(1));
/// When to come back while the store is out of reach.
const STORE_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(2));

const REFUSAL_TABLE: [RefusalRow; 8] = [
    RefusalRow {
        refusal: ClaimRefusal::OtherCall,
        name: "other_call",
        kind: ProblemKind::Conflict,
        outcome: RunOutcome::NotRun,
        retry_after: None,
        detail: "the idempotency key was used for a different call",
    },
    RefusalRow {
        refusal: ClaimRefusal::InProgress,
        name: "in_progress",
        kind: ProblemKind::Conflict,
        outcome: RunOutcome::Unknown,
        retry_after: SHORT_RETRY_DELAY,
        detail: "a call with this idempotency key is running",
    },
    RefusalRow {
        refusal: ClaimRefusal::OutcomeUnknown,
        name: "outcome_unknown",
        kind: ProblemKind::Conflict,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        detail: "a call with this idempotency key may have run; it is not run again",
    },
    RefusalRow {
        refusal: ClaimRefusal::AnswerNotKept,
        name: "answer_not_kept",
        kind: ProblemKind::Conflict,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        detail: "a call with this idempotency key was answered; its answer was not kept",
    },
    RefusalRow {
        refusal: ClaimRefusal::KeyTooOld,
        name: "key_too_old",
        kind: ProblemKind::Conflict,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        detail: "the idempotency key is too old to tell whether its call has run",
    },
    RefusalRow {
        refusal: ClaimRefusal::KeyAhead,
        name: "key_ahead",
        kind: ProblemKind::BadRequest,
        outcome: RunOutcome::NotRun,
        retry_after: None,
        detail: "the time in the idempotency key lies ahead of the clock",
    },
    RefusalRow {
        refusal: ClaimRefusal::StoreDown,
        name: "store_down",
        kind: ProblemKind::NotReady,
        outcome: RunOutcome::NotRun,
        retry_after: STORE_RETRY_DELAY,
        detail: "the store did not confirm the claim on the idempotency key",
    },
    RefusalRow {
        refusal: ClaimRefusal::Overloaded,
        name: "overloaded",
        kind: ProblemKind::Overloaded,
        outcome: RunOutcome::NotRun,
        retry_after: SHORT_RETRY_DELAY,
        detail: "too many calls wait for claims on idempotency keys",
    },
];

impl ClaimRefusal {
    /// Name, for metrics.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// The answer for the caller. `not_run` speaks of this request alone: an earlier request with
    /// the same key may have run when its own answer was lost or `unknown`.
    pub fn to_problem(self) -> ProblemAnswer {
        let row = self.row();
        ProblemAnswer {
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
