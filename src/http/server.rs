//! Accept loop: serves a `tide` application over `async-h1` with one task per connection.

use crate::http::problem::{ProblemKind, ProblemResponse};
use crate::http::tracking::{CallerHold, ConnectionCount, TrackedStream};
use crate::wire::{ConnectionPhase, HoldError, UploadBounds, grow_body};
use async_h1::server::ConnectionStatus;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tide::http::{Request, Response};

/// Pause after a failed accept. The loop would spin while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum time to wait for a caller to close its side of a closed connection.
const CLOSE_LINGER: Duration = Duration::from_secs(1);

/// Longest head that `async-h1` reads.
const HEAD_BYTES: usize = 8 * 1024;
/// Bytes of a body that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Retry-After of a body for which there is no memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for the refusal of an upload that is ended to be written. `async-h1` would then read the rest of the body.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Watches the caller's connection while its request is served.
#[derive(Debug, Clone)]
pub struct CallerWatch(TcpStream);

impl CallerWatch {
    /// Returns once the caller has closed its connection; never, if the caller has sent more data.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // The caller has already sent its next request, so it is still connected.
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Serves `app` on `listener` until [`ConnectionCount::close`] is called on `count` or the task is
/// cancelled.
///
/// # Errors
/// None at present: a failed accept is retried.
pub async fn serve_http<S: Clone + Send + Sync + 'static>(
    listener: TcpListener,
    app: tide::Server<S>,
    count: ConnectionCount,
) -> io::Result<()> {
    loop {
        // Polled first: connections that have already arrived are accepted before the close.
        let accept = async { Some(listener.accept().await) };
        let closed = async {
            count.wait_for_close().await;
            None
        };
        match futures_lite::future::or(accept, closed).await {
            Some(Ok((stream, _address))) => {
                task::spawn(serve_connection(stream, app.clone(), count.clone()));
            }
            Some(Err(_cause)) => {
                count.free_descriptor();
                task::sleep(ACCEPT_PAUSE).await;
            }
            None => return Ok(()),
        }
    }
}

/// Reads the body of a request, up to `limit` bytes, within the memory that all connections share.
///
/// # Errors
/// `BodyTooLarge` beyond the limit, `BadRequest` if the body cannot be read to its end, `Overloaded` if there is
/// no memory for it.
pub async fn read_body<S>(
    request: &mut tide::Request<S>,
    limit: usize,
) -> Result<Vec<u8>, ProblemResponse> {
    let held = request.ext::<CallerHold>().cloned();
    let held = held.unwrap_or_else(|| ConnectionCount::default().open_hold());
    let declared = request.len();
    if declared.is_some_and(|length| length > limit) {
        held.count_end("too_large");
        return Err(too_large(limit));
    }
    if !held.budget.enter(ConnectionPhase::Body) {
        return Err(no_memory(&held, HoldError::Ended));
    }
    let body = read_within(request, limit, declared, &held).await?;
    // The reader ends without an error when the connection ends before the declared length.
    match declared {
        Some(length) if length != body.len() => Err(ProblemResponse::not_executed(
            ProblemKind::BadRequest,
            format!("body is incomplete: {} of {length} bytes", body.len()),
        )),
        _ if !held.budget.enter(ConnectionPhase::Serving) => {
            Err(no_memory(&held, HoldError::Ended))
        }
        _ => Ok(body),
    }
}

async fn read_within<S>(
    request: &mut tide::Request<S>,
    limit: usize,
    declared: Option<usize>,
    held: &CallerHold,
) -> Result<Vec<u8>, ProblemResponse> {
    let bounds = UploadBounds {
        head_bytes: HEAD_BYTES,
        body_bytes: limit,
    };
    let granted = held.budget.hold(READ_BYTES, bounds.one_request()).await;
    granted.map_err(|cause| no_memory(held, cause))?;
    let mut input = vec![0; READ_BYTES];
    let mut body = Vec::new();
    let mut reader = request.take_body().into_reader();
    loop {
        let ended = async {
            held.budget.ended().await;
            Err(no_memory(held, HoldError::Ended))
        };
        let filled = async {
            reader.read(&mut input).await.map_err(|cause| {
                ProblemResponse::not_executed(
                    ProblemKind::BadRequest,
                    format!("body is incomplete: {cause}"),
                )
            })
        };
        let count = futures_lite::future::or(ended, filled).await?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > limit {
            held.count_end("too_large");
            return Err(too_large(limit));
        }
        held.budget.on_progress();
        let longest = declared.unwrap_or(limit);
        let grown = grow_body(&mut body, count, longest, bounds, &held.budget).await;
        grown.map_err(|cause| no_memory(held, cause))?;
        body.extend_from_slice(&input[..count]);
    }
}

fn too_large(limit: usize) -> ProblemResponse {
    let detail = format!("the body must be at most {limit} bytes");
    ProblemResponse::not_executed(ProblemKind::BodyTooLarge, detail)
}

/// The refusal of a body for which there is no memory; the connection holds none from now on.
fn no_memory(held: &CallerHold, cause: HoldError) -> ProblemResponse {
    held.budget.release_to(0);
    held.count_end(match cause {
        HoldError::Ended => "upload",
        HoldError::NoMemory => "memory_wait",
    });
    ProblemResponse::not_executed(ProblemKind::Overloaded, "no memory for the body")
        .retry_after(MEMORY_RETRY_DELAY)
}

async fn serve_connection<S: Clone + Send + Sync + 'static>(
    stream: TcpStream,
    app: tide::Server<S>,
    count: ConnectionCount,
) {
    let _open = count.track_open();
    let held = count.open_hold();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let tracked = TrackedStream::new(stream.clone(), &count, held.clone());
    let watch = CallerWatch(stream.clone());
    let endpoint = |mut request: Request| {
        let (app, count) = (app.clone(), count.clone());
        let (held, tracked) = (held.clone(), tracked.clone());
        request.ext_mut().insert(watch.clone());
        request.ext_mut().insert(held.clone());
        async move {
            held.budget.enter(ConnectionPhase::Serving);
            let mut response: Response = app.respond(request).await?;
            let is_staying = held.budget.enter(ConnectionPhase::Serving);
            tracked.set_answered();
            if count.is_draining() || !is_staying {
                response.insert_header("connection", "close");
            }
            Ok(response)
        }
    };
    let mut server = async_h1::server::Server::new(tracked.clone(), endpoint);
    loop {
        let served = async { server.accept_one().await.ok() };
        let closed_idle = async {
            wait_until_closable(&tracked, &count).await;
            None
        };
        let ended = async {
            held.budget.ended().await;
            if tracked.is_busy() {
                task::sleep(REFUSAL_TIME).await;
            }
            None
        };
        let closing = futures_lite::future::or(closed_idle, ended);
        let status = futures_lite::future::or(served, closing).await;
        if status.is_none() && !tracked.is_busy() && !held.budget.enter(ConnectionPhase::Idle) {
            // Ended for another connection: nothing was sent that the caller must have time to read.
            held.count_end("idle");
            return;
        }
        tracked.end_request();
        if status != Some(ConnectionStatus::KeepAlive) {
            break;
        }
    }
    close_after_reading(stream).await;
}

/// Returns once the listener is closed, if the connection carries no request then; else never.
async fn wait_until_closable(stream: &TrackedStream, count: &ConnectionCount) {
    count.wait_for_close().await;
    if stream.is_busy() || stream.has_unread_bytes().await {
        // The response to the request says that the connection closes.
        std::future::pending::<()>().await;
    }
}

/// Shuts down the sending side and waits up to [`CLOSE_LINGER`] for the caller to close the
/// connection. Closing it at once could discard a response that the caller has not read yet.
async fn close_after_reading(mut stream: TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut sink = [0; 512];
    let rest = async { while matches!(stream.read(&mut sink).await, Ok(1..)) {} };
    if timeout(CLOSE_LINGER, rest).await.is_err() {
        // The caller keeps its side open; it has had time to read the response.
    }
}
