//! Final outcomes that are not complete answers, as problems.

use crate::http::{ProblemAnswer, ProblemKind, RunOutcome};
use crate::routing::FinalAnswer;
use std::time::Duration;

/// When to come back after a refusal for want of a chain.
const NO_CHAIN_DELAY: Duration = Duration::from_secs(1);

/// The final answer as a problem; `None` when it is complete.
pub(super) fn find_problem(answer: &FinalAnswer) -> Option<ProblemAnswer> {
    let describe = |kind, detail: String, partial: bool| {
        let problem = ProblemAnswer::not_run(kind, detail);
        let outcome = if partial {
            RunOutcome::Partial
        } else {
            RunOutcome::NotRun
        };
        ProblemAnswer { outcome, ..problem }.retry_after(NO_CHAIN_DELAY)
    };
    match answer {
        FinalAnswer::Complete { .. } => None,
        FinalAnswer::NoChain { partial } => {
            let detail = "no open engines hold all layers of the model".to_owned();
            Some(describe(ProblemKind::NoTarget, detail, *partial))
        }
        FinalAnswer::Exhausted { partial, failure } => {
            let detail = format!("all attempts failed, the last one by {failure:?}");
            Some(describe(ProblemKind::TargetFailed, detail, *partial))
        }
        FinalAnswer::TimedOut { partial } => {
            let detail = "the time allowed for the request has run out".to_owned();
            Some(describe(ProblemKind::TimedOut, detail, *partial))
        }
        FinalAnswer::CallerGone => {
            let detail = "the caller closed its connection".to_owned();
            Some(describe(ProblemKind::TargetFailed, detail, true))
        }
    }
}

/// The problem of a caller that closed its connection.
pub(super) fn caller_gone() -> ProblemAnswer {
    ProblemAnswer::partial(
        ProblemKind::TargetFailed,
        "the caller closed its connection",
    )
}
