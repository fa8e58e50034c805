//! Authentication of callers and operators by bearer token.

use crate::config::{AcceptedConfig, TeamSpec, TokenDigest, digest_token};
use crate::http::{ProblemKind, ProblemResponse};
use crate::kernel::KernelContext;
use std::sync::Arc;
use std::time::Duration;
use tide::Request;

/// Result of authentication.
pub type Result<T> = std::result::Result<T, ProblemResponse>;

/// When to come back to a daemon that has no configuration yet.
const NOT_READY_DELAY: Duration = Duration::from_secs(1);

/// The team whose token the request carries, and the configuration that names it.
///
/// # Errors
/// `Unauthorized` for a missing or unknown token, `NotReady` without a configuration.
pub fn authenticate_team(
    request: &Request<Arc<KernelContext>>,
) -> Result<(Arc<AcceptedConfig>, Arc<TeamSpec>)> {
    let config = request.state().config.load().ok_or_else(|| {
        ProblemResponse::not_executed(ProblemKind::NotReady, "no configuration is in force yet")
            .retry_after(NOT_READY_DELAY)
    })?;
    let digest = read_digest(request)?;
    let team = config.team(&digest).cloned().ok_or_else(unauthorized)?;
    Ok((config, team))
}

/// Checks that the request carries the operators' token.
///
/// # Errors
/// `Unauthorized` for any other token.
pub fn authenticate_operator(request: &Request<Arc<KernelContext>>) -> Result<()> {
    let digest = read_digest(request)?;
    let expected: Option<TokenDigest> = request.state().settings.operator_token_sha256.parse().ok();
    match expected {
        Some(expected) if expected.matches(&digest) => Ok(()),
        _ => Err(unauthorized()),
    }
}

fn read_digest(request: &Request<Arc<KernelContext>>) -> Result<TokenDigest> {
    let header = request.header("authorization").ok_or_else(unauthorized)?;
    let token = header
        .last()
        .as_str()
        .strip_prefix("Bearer ")
        .ok_or_else(unauthorized)?;
    Ok(digest_token(token.trim()))
}

fn unauthorized() -> ProblemResponse {
    ProblemResponse::not_executed(
        ProblemKind::Unauthorized,
        "a known bearer token is required",
    )
}
