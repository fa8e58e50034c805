//! Gives error responses without a body, such as the web framework's 404 for an unknown path, the
//! form of all other error responses.

use crate::http::{ProblemKind, ProblemResponse};
use tide::{Response, StatusCode};

/// Problem kind and detail for each status code that the web framework sends by itself.
const FALLBACK_TABLE: [(StatusCode, ProblemKind, &str); 3] = [
    (
        StatusCode::NotFound,
        ProblemKind::NotFound,
        "unknown path; see the documentation for callers",
    ),
    (
        StatusCode::MethodNotAllowed,
        ProblemKind::MethodNotAllowed,
        "the path does not support this method",
    ),
    (
        StatusCode::UnprocessableEntity,
        ProblemKind::BadRequest,
        "the request could not be read",
    ),
];

/// Replaces an error response without a body by a problem response; returns others unchanged.
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
