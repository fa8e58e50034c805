//! Problem responses for generations that did not complete.

use crate::http::{ExecutionOutcome, ProblemKind, ProblemResponse};
use crate::routing::FinalAnswer;
use std::time::Duration;

/// Retry-After of requests that may succeed when the caller retries them.
const FAILURE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Converts a final answer to a problem response; `None` when the answer is complete.
pub(super) fn to_problem(answer: &FinalAnswer) -> Option<ProblemResponse> {
    let retryable = |kind, detail: String, outcome: ExecutionOutcome| {
        let problem = ProblemResponse::not_executed(kind, detail);
        ProblemResponse { outcome, ..problem }.retry_after(FAILURE_RETRY_DELAY)
    };
    match answer {
        FinalAnswer::Complete { .. } => None,
        FinalAnswer::NoChain { outcome } => {
            let detail = "no chain of available engines holds all layers of the model".to_owned();
            Some(retryable(ProblemKind::NoTarget, detail, *outcome))
        }
        FinalAnswer::Exhausted { outcome, failure } => {
            let detail = format!("all attempts failed, the last one with {failure:?}");
            Some(retryable(ProblemKind::TargetFailed, detail, *outcome))
        }
        FinalAnswer::TimedOut { outcome } => {
            let detail = "the deadline of the request has passed".to_owned();
            Some(retryable(ProblemKind::TimedOut, detail, *outcome))
        }
        FinalAnswer::Poisoned { outcome } => {
            let detail = "targets crash when they execute this request";
            let problem = ProblemResponse::not_executed(ProblemKind::Poison, detail);
            Some(ProblemResponse {
                outcome: *outcome,
                ..problem
            })
        }
        FinalAnswer::CallerGone => {
            let detail = "the caller closed its connection".to_owned();
            Some(retryable(
                ProblemKind::TargetFailed,
                detail,
                ExecutionOutcome::Partial,
            ))
        }
    }
}

/// Problem response for a caller that closed its connection.
pub(super) fn caller_gone() -> ProblemResponse {
    ProblemResponse::partial(
        ProblemKind::TargetFailed,
        "the caller closed its connection",
    )
}
