//! Connection to a server that fails once more bytes have come than are allowed.

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

/// Bytes after which other tasks run first, also if more can be read at once.
const YIELD_BYTES: usize = 64 * 1024;

/// A TCP connection with an allowance of bytes to read; clones share it.
#[derive(Debug, Clone)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    allowance: Arc<AtomicUsize>,
    since_yield: usize,
}

impl BoundedStream {
    /// Allows `bytes` to be read from the connection.
    pub(super) fn new(stream: TcpStream, bytes: usize) -> Self {
        Self {
            stream,
            allowance: Arc::new(AtomicUsize::new(bytes)),
            since_yield: 0,
        }
    }

    /// Allows `bytes` more from now on, whatever was left.
    pub(super) fn allow(&self, bytes: usize) {
        self.allowance.store(bytes, Ordering::Relaxed);
    }

    /// The connection without a limit.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.since_yield >= YIELD_BYTES {
            self.since_yield = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let allowance = self.allowance.load(Ordering::Relaxed);
        if allowance == 0 {
            let cause = "response exceeds the size limit";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let length = buf.len().min(allowance);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]);
        let count = ready!(read)?;
        self.allowance.fetch_sub(count, Ordering::Relaxed);
        self.since_yield += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
