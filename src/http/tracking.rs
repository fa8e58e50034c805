//! Tracks the connections of a listener, so that it can be closed without cutting off a request.

use crate::kernel::MonoClock;
use crate::wire::{ConnectionBudget, ConnectionHold, ConnectionPhase, UploadLimits};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use futures_lite::{AsyncRead, AsyncWrite};
use prometheus::{IntCounterVec, Opts};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

struct CountState {
    open: AtomicUsize,
    busy: AtomicUsize,
    draining: AtomicBool,
    connection_budget: ConnectionBudget,
    ended: IntCounterVec,
    close_sender: Sender<()>,
    close_receiver: Receiver<()>,
}

/// Connections of one listener: how many are open, how many carry a request, and whether they are
/// being drained or closed. Clones share the state.
#[derive(Clone)]
pub struct ConnectionCount(Arc<CountState>);

impl Default for ConnectionCount {
    /// Without limits.
    fn default() -> Self {
        let limits = UploadLimits {
            memory_bytes: usize::MAX,
            connections: usize::MAX,
        };
        let opts = Opts::new("callers_ended_total", "Not registered.");
        let ended = IntCounterVec::new(opts, &["cause"]).expect("the name is valid");
        Self::new(limits, MonoClock::start(), ended)
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
    /// Counts connections within `limits`; `ended` counts by cause those that are ended or refused.
    pub fn new(limits: UploadLimits, clock: MonoClock, ended: IntCounterVec) -> Self {
        let (close_sender, close_receiver) = bounded(1);
        Self(Arc::new(CountState {
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            connection_budget: ConnectionBudget::new(limits, clock),
            ended,
            close_sender,
            close_receiver,
        }))
    }

    /// Adds a connection to the shared limits; the one idle longest is ended if there are too many.
    pub(super) fn open_hold(&self) -> CallerHold {
        CallerHold {
            budget: Arc::new(self.0.connection_budget.open(true)),
            ended: self.0.ended.clone(),
        }
    }

    /// Ends the connection that is idle longest, as no descriptor is free.
    pub(super) fn free_descriptor(&self) {
        self.0.connection_budget.end_longest_idle();
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.0.open.load(Ordering::Acquire)
    }

    /// Number of connections that carry a request: from its first byte read to the last byte of its
    /// response written.
    pub fn busy_count(&self) -> usize {
        self.0.busy.load(Ordering::Acquire)
    }

    /// Makes each response from now on the last one of its connection.
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

    /// True once [`Self::close`] has been called.
    pub fn is_closed(&self) -> bool {
        self.0.close_sender.is_closed()
    }

    /// Returns once [`Self::close`] is called.
    pub(super) async fn wait_for_close(&self) {
        while self.0.close_receiver.recv().await.is_ok() {}
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(super) fn track_open(&self) -> OpenGuard {
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

/// Share of one connection in the limits. Clones share it; it is released with the last one.
#[derive(Debug, Clone)]
pub(super) struct CallerHold {
    pub(super) budget: Arc<ConnectionHold>,
    ended: IntCounterVec,
}

impl CallerHold {
    /// Counts an end or a refusal with its cause.
    pub(super) fn count_end(&self, cause: &str) {
        self.ended.with_label_values(&[cause]).inc();
    }
}

struct StreamState {
    count: ConnectionCount,
    held: CallerHold,
    busy: AtomicBool,
    /// True once the response is known: what is read then is the rest of a body, to be discarded.
    is_answered: AtomicBool,
}

impl StreamState {
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

impl Drop for StreamState {
    fn drop(&mut self) {
        self.set_busy(false);
    }
}

/// A connection that is marked as busy when a request begins to arrive. Clones share the state.
#[derive(Clone)]
pub(super) struct TrackedStream {
    stream: TcpStream,
    inner: Arc<StreamState>,
}

impl TrackedStream {
    pub(super) fn new(stream: TcpStream, count: &ConnectionCount, held: CallerHold) -> Self {
        let inner = StreamState {
            count: count.clone(),
            held,
            busy: AtomicBool::new(false),
            is_answered: AtomicBool::new(false),
        };
        Self {
            stream,
            inner: Arc::new(inner),
        }
    }

    /// True from the first byte of a request to the end of its response.
    pub(super) fn is_busy(&self) -> bool {
        self.inner.busy.load(Ordering::Acquire)
    }

    /// Marks the connection as idle after a response has been written.
    pub(super) fn end_request(&self) {
        self.inner.is_answered.store(false, Ordering::Release);
        self.inner.held.budget.release_to(0);
        self.inner.held.budget.enter(ConnectionPhase::Idle);
        self.inner.set_busy(false);
    }

    /// Records that the response to the request is known.
    pub(super) fn set_answered(&self) {
        self.inner.is_answered.store(true, Ordering::Release);
    }

    /// True if bytes have arrived that are not read yet.
    pub(super) async fn has_unread_bytes(&self) -> bool {
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
        if self.inner.is_answered.swap(false, Ordering::AcqRel) {
            self.inner.held.budget.enter(ConnectionPhase::Body);
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(1..))) {
            if !self.is_busy() {
                self.inner.held.budget.enter(ConnectionPhase::Head);
            }
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
