//! Gives error answers without a body, such as those for unknown paths, the form of all others.

use crate::http::{ProblemKind, ProblemResponse};
use tide::{Response, StatusCode};

/// Problems for status codes that the web framework answers by itself.
const FALLBACK_TABLE: [(StatusCode, ProblemKind, &str); 3] = [
    (
        StatusCode::NotFound,
        ProblemKind::NotFound,
        "no such path; see the documentation for callers",
    ),
    (
        StatusCode::MethodNotAllowed,
        ProblemKind::MethodNotAllowed,
        "the path does not take this method",
    ),
    (
        StatusCode::UnprocessableEntity,
        ProblemKind::BadRequest,
        "the request could not be read",
    ),
];

/// Replaces an error answer without a body by a problem; others pass unchanged.
pub fn add_problem_body(response: Response) -> Response {
    if response.is_empty() != Some(true) {
        return response;
    }
    let row = FALLBACK_TABLE
        .iter()
        .find(|(status, _, _)| *status == response.status());
    match row {
        None => response,
        Some((_, kind, detail)) => ProblemResponse::not_executed(*kind, *detail)
            .to_response()
            .into(),
    }
}
