//! Accept loop: serves a `tide` application over `async-h1`, one task for each connection.

use crate::http::problem::{ProblemAnswer, ProblemKind};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, StreamExt};
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tide::http::Request;

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Watches the caller's connection while its request is served.
#[derive(Debug, Clone)]
pub struct CallerWatch(TcpStream);

impl CallerWatch {
    /// Returns once the caller has closed its connection.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // The caller has sent its next request already, so it is still there.
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Number of open connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Connections open now.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Serves `app` on `listener` until the task is cancelled.
///
/// # Errors
/// Only when the listener itself is closed.
pub async fn serve_http<S: Clone + Send + Sync + 'static>(
    listener: TcpListener,
    app: tide::Server<S>,
    count: ConnectionCount,
) -> io::Result<()> {
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        match accepted {
            Ok(stream) => {
                let app = app.clone();
                let count = count.clone();
                task::spawn(async move {
                    count.0.fetch_add(1, Ordering::Relaxed);
                    serve_connection(stream, app).await;
                    count.0.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(_cause) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
    Ok(())
}

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
/// `TooLarge` past the limit, `BadRequest` when the body breaks off.
pub async fn read_body<S>(
    request: &mut tide::Request<S>,
    limit: usize,
) -> Result<Vec<u8>, ProblemAnswer> {
    let mut body = Vec::new();
    let mut reader = request.take_body().into_reader().take(limit as u64 + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|cause| {
        ProblemAnswer::not_run(ProblemKind::BadRequest, format!("body broke off: {cause}"))
    })?;
    if body.len() > limit {
        let detail = format!("the body must be at most {limit} bytes");
        return Err(ProblemAnswer::not_run(ProblemKind::TooLarge, detail));
    }
    Ok(body)
}

async fn serve_connection<S: Clone + Send + Sync + 'static>(
    stream: TcpStream,
    app: tide::Server<S>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let watch = CallerWatch(stream.clone());
    let served = async_h1::accept(stream.clone(), |mut request: Request| {
        let app = app.clone();
        request.ext_mut().insert(watch.clone());
        async move { app.respond(request).await }
    });
    if served.await.is_err() {
        // The caller broke the connection; what is left of it is closed below.
    }
    if stream.shutdown(Shutdown::Both).is_err() {
        // The caller closed it first.
    }
}
