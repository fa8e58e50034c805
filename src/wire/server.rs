//! Accepts connections and reads the requests of callers.

use crate::wire::head::{HeadError, HeadLimits, HeadStep, WireHead, parse_request};
use crate::wire::stream::{WireStream, pause_after_read};
use async_io::{Async, Timer};
use async_std::future::timeout;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Delay before the next accept after a failed one, for instance when file descriptors have run
/// out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener for connections of callers.
#[derive(Debug)]
pub struct WireServer {
    listener: Async<TcpListener>,
}

/// Result of reading a request head.
#[derive(Debug)]
pub enum HeadOutcome {
    /// A complete head; the body follows on the connection.
    Request(WireHead),
    /// The caller closed the connection or exceeded the idle timeout between two requests.
    Idle,
    /// The connection ended within a head.
    ConnectionLost,
    /// The head was not complete within its timeout.
    TimedOut,
    /// The head is not accepted.
    Invalid(HeadError),
}

impl WireServer {
    /// Listens on `address`.
    ///
    /// # Errors
    /// The I/O error when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        Ok(Self { listener })
    }

    /// Waits for the next connection. `on_failure` is called when one cannot be accepted, for instance to
    /// close connections that are not in use.
    pub async fn accept(&self, on_failure: impl Fn()) -> WireStream {
        loop {
            match self.listener.accept().await {
                Ok((socket, _peer)) => return WireStream::new(socket),
                Err(cause) => {
                    log::warn!("cannot accept a connection: {cause}");
                    on_failure();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Waits for the first byte of the next request; false when the caller closes the connection or
/// `idle_timeout` passes.
pub async fn wait_for_request(stream: &mut WireStream, idle_timeout: Duration) -> bool {
    if !stream.input.is_empty() {
        return true;
    }
    // Frees the buffer, so that idle connections hold none.
    stream.input = bytes::BytesMut::new();
    let filled = timeout(idle_timeout, stream.fill()).await;
    matches!(filled, Ok(Ok(_)))
}

/// Reads the rest of a request head within `head_timeout`.
pub async fn read_head_within(
    stream: &mut WireStream,
    limits: HeadLimits,
    head_timeout: Duration,
) -> HeadOutcome {
    let read = timeout(head_timeout, read_head(stream, limits)).await;
    read.unwrap_or(HeadOutcome::TimedOut)
}

/// Reads the next request head. `idle_timeout` applies to its first byte, `head_timeout` to the
/// rest.
pub async fn read_request_head(
    stream: &mut WireStream,
    limits: HeadLimits,
    idle_timeout: Duration,
    head_timeout: Duration,
) -> HeadOutcome {
    if !wait_for_request(stream, idle_timeout).await {
        return HeadOutcome::Idle;
    }
    read_head_within(stream, limits, head_timeout).await
}

async fn read_head(stream: &mut WireStream, limits: HeadLimits) -> HeadOutcome {
    let mut count = 0;
    loop {
        match parse_request(&stream.input, limits) {
            Err(cause) => return HeadOutcome::Invalid(cause),
            Ok(HeadStep::Complete(head, length)) => {
                let _used = stream.input.split_to(length);
                return HeadOutcome::Request(head);
            }
            Ok(HeadStep::Incomplete) => {
                pause_after_read(count).await;
                match stream.fill().await {
                    Ok(read) => count = read,
                    Err(_) => return HeadOutcome::ConnectionLost,
                }
            }
        }
    }
}
