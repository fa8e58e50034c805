//! HTTP over `async-h1`: pooled client connections, the accept loop and problem responses.

mod bounded;
mod connection;
mod fallback;
mod library_panic;
mod pool;
mod problem;
mod server;
mod sse;
mod tracking;

pub use connection::{ConnectionReuse, HttpResponse};
pub use fallback::add_problem_body;
pub use pool::{ConnectionPool, HttpCall, SendError};
pub use problem::{ExecutionOutcome, ProblemKind, ProblemResponse};
pub use server::{CallerWatch, read_body, serve_http};
pub use sse::{SseReader, encode_event, sse_response};
pub use tracking::ConnectionCount;
