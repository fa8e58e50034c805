//! Tracks the connections of a listener, so that it can be closed without cutting a request.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use futures_lite::{AsyncRead, AsyncWrite};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

struct CountInner {
    open: AtomicUsize,
    busy: AtomicUsize,
    draining: AtomicBool,
    close_sender: Sender<()>,
    close_receiver: Receiver<()>,
}

/// Connections of one listener: how many are open, how many carry a request, and whether they
/// are to be closed. Cheap to clone.
#[derive(Clone)]
pub struct ConnectionCount(Arc<CountInner>);

impl Default for ConnectionCount {
    fn default() -> Self {
        let (close_sender, close_receiver) = bounded(1);
        Self(Arc::new(CountInner {
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            close_sender,
            close_receiver,
        }))
    }
}

impl fmt::Debug for ConnectionCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionCount")
            .field("open", &self.open_count())
            .field("busy", &self.busy_count())
            .finish_non_exhaustive()
    }
}

impl ConnectionCount {
    /// Connections open now.
    pub fn open_count(&self) -> usize {
        self.0.open.load(Ordering::Acquire)
    }

    /// Connections that carry a request: from its first byte read to the last byte of its answer
    /// written.
    pub fn busy_count(&self) -> usize {
        self.0.busy.load(Ordering::Acquire)
    }

    /// Makes each answer from now on the last one of its connection.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Release);
    }

    /// True once the connections are being drained.
    pub fn is_draining(&self) -> bool {
        self.0.draining.load(Ordering::Acquire)
    }

    /// Stops accepting, and closes each connection as soon as it carries no request.
    pub fn close(&self) {
        self.drain();
        self.0.close_sender.close();
    }

    /// True once [`Self::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.0.close_sender.is_closed()
    }

    /// Returns once [`Self::close`] is called.
    pub(super) async fn closed(&self) {
        while self.0.close_receiver.recv().await.is_ok() {}
    }

    /// Counts a connection as open until the guard is dropped.
    pub(super) fn enter(&self) -> OpenGuard {
        self.0.open.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }
}

/// Counts one connection as open while it lives.
#[derive(Debug)]
pub(super) struct OpenGuard(ConnectionCount);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

struct StreamInner {
    count: ConnectionCount,
    busy: AtomicBool,
}

impl StreamInner {
    fn set_busy(&self, busy: bool) {
        if self.busy.swap(busy, Ordering::AcqRel) == busy {
            return;
        }
        let total = &self.count.0.busy;
        if busy {
            total.fetch_add(1, Ordering::AcqRel);
        } else {
            total.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for StreamInner {
    fn drop(&mut self) {
        self.set_busy(false);
    }
}

/// A connection that notes when a request begins to arrive; clones share the connection.
#[derive(Clone)]
pub(super) struct TrackedStream {
    stream: TcpStream,
    inner: Arc<StreamInner>,
}

impl TrackedStream {
    pub(super) fn new(stream: TcpStream, count: &ConnectionCount) -> Self {
        let inner = StreamInner {
            count: count.clone(),
            busy: AtomicBool::new(false),
        };
        Self {
            stream,
            inner: Arc::new(inner),
        }
    }

    /// True from the first byte of a request to the end of its answer.
    pub(super) fn is_busy(&self) -> bool {
        self.inner.busy.load(Ordering::Acquire)
    }

    /// Notes that the answer has been written.
    pub(super) fn end_request(&self) {
        self.inner.set_busy(false);
    }

    /// True when bytes of a request have arrived that were not read yet.
    pub(super) async fn has_arrivals(&self) -> bool {
        let mut byte = [0; 1];
        matches!(poll_once(self.stream.peek(&mut byte)).await, Some(Ok(1..)))
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.inner.set_busy(true);
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
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
