//! Accept loop: serves a `tide` application over `async-h1` with one task per connection.

use crate::http::problem::{ProblemKind, ProblemResponse};
use crate::http::tracking::{ConnectionCount, TrackedStream};
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
            Some(Err(_cause)) => task::sleep(ACCEPT_PAUSE).await,
            None => return Ok(()),
        }
    }
}

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
/// `BodyTooLarge` beyond the limit, `BadRequest` if the body cannot be read to its end.
pub async fn read_body<S>(
    request: &mut tide::Request<S>,
    limit: usize,
) -> Result<Vec<u8>, ProblemResponse> {
    let declared = request.len();
    let mut body = Vec::new();
    let mut reader = request.take_body().into_reader().take(limit as u64 + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|cause| {
        ProblemResponse::not_executed(
            ProblemKind::BadRequest,
            format!("body is incomplete: {cause}"),
        )
    })?;
    if body.len() > limit {
        let detail = format!("the body must be at most {limit} bytes");
        return Err(ProblemResponse::not_executed(
            ProblemKind::BodyTooLarge,
            detail,
        ));
    }
    // The reader ends without an error when the connection ends before the declared length.
    match declared {
        Some(length) if length != body.len() => Err(ProblemResponse::not_executed(
            ProblemKind::BadRequest,
            format!("body is incomplete: {} of {length} bytes", body.len()),
        )),
        _ => Ok(body),
    }
}

async fn serve_connection<S: Clone + Send + Sync + 'static>(
    stream: TcpStream,
    app: tide::Server<S>,
    count: ConnectionCount,
) {
    let _open = count.track_open();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let tracked = TrackedStream::new(stream.clone(), &count);
    let watch = CallerWatch(stream.clone());
    let endpoint = |mut request: Request| {
        let (app, count) = (app.clone(), count.clone());
        request.ext_mut().insert(watch.clone());
        async move {
            let mut response: Response = app.respond(request).await?;
            if count.is_draining() {
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
        let status = futures_lite::future::or(served, closed_idle).await;
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
