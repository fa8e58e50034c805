//! Final outcomes that are not complete answers, as problems.

use crate::http::{ExecutionOutcome, ProblemKind, ProblemResponse};
use crate::routing::FinalAnswer;
use std::time::Duration;

/// When to come back after a refusal for want of a chain.
const NO_CHAIN_DELAY: Duration = Duration::from_secs(1);

/// The final answer as a problem; `None` when it is complete.
pub(super) fn find_problem(answer: &FinalAnswer) -> Option<ProblemResponse> {
    let describe = |kind, detail: String, outcome: ExecutionOutcome| {
        let problem = ProblemResponse::not_executed(kind, detail);
        ProblemResponse { outcome, ..problem }.retry_after(NO_CHAIN_DELAY)
    };
    match answer {
        FinalAnswer::Complete { .. } => None,
        FinalAnswer::NoChain { outcome } => {
            let detail = "no open engines hold all layers of the model".to_owned();
            Some(describe(ProblemKind::NoTarget, detail, *outcome))
        }
        FinalAnswer::Exhausted { outcome, failure } => {
            let detail = format!("all attempts failed, the last one by {failure:?}");
            Some(describe(ProblemKind::TargetFailed, detail, *outcome))
        }
        FinalAnswer::TimedOut { outcome } => {
            let detail = "the time allowed for the request has run out".to_owned();
            Some(describe(ProblemKind::TimedOut, detail, *outcome))
        }
        FinalAnswer::Poisoned { outcome } => {
            let detail = "targets crash when they run this request";
            let problem = ProblemResponse::not_executed(ProblemKind::Poison, detail);
            Some(ProblemResponse {
                outcome: *outcome,
                ..problem
            })
        }
        FinalAnswer::CallerGone => {
            let detail = "the caller closed its connection".to_owned();
            Some(describe(
                ProblemKind::TargetFailed,
                detail,
                ExecutionOutcome::Partial,
            ))
        }
    }
}

/// The problem of a caller that closed its connection.
pub(super) fn caller_gone() -> ProblemResponse {
    ProblemResponse::partial(
        ProblemKind::TargetFailed,
        "the caller closed its connection",
    )
}
