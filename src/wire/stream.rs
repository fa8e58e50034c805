//! TCP connection with a buffer of bytes that have been read but not consumed.

use async_io::Async;
use async_std::future::timeout;
use bytes::BytesMut;
use futures_lite::future::yield_now;
use rustix::ioctl::{Getter, Opcode, ioctl};
use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, StreamError>;

/// Size of the buffer of one read from a socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Idle time after which the operating system sends the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which a connection with unacknowledged sent bytes counts as lost
/// (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// `SIOCOUTQ` of `linux/sockios.h`: number of sent bytes that the peer has not acknowledged.
const SIOCOUTQ: Opcode = 0x5411;

/// Why a connection cannot be used any further.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// The connection could not be established.
    NotConnected(io::ErrorKind),
    /// The peer closed its side of the connection cleanly.
    Closed,
    /// The peer closed its side of the connection before it had received all that was sent to it.
    ClosedEarly,
    /// The connection was reset or timed out.
    Broken(io::ErrorKind),
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(kind) => write!(f, "cannot connect: {kind}"),
            Self::Closed => f.write_str("connection closed by the peer"),
            Self::ClosedEarly => f.write_str(
                "connection closed by the peer before it had received the whole request",
            ),
            Self::Broken(kind) => write!(f, "connection lost: {kind}"),
        }
    }
}

impl std::error::Error for StreamError {}

/// A TCP connection and its unconsumed input.
#[derive(Debug)]
pub struct WireStream {
    socket: Async<TcpStream>,
    /// Bytes that have been read but not consumed.
    pub input: BytesMut,
    is_sent: bool,
}

impl WireStream {
    /// Wraps a connected socket and sets its TCP options.
    pub fn new(socket: Async<TcpStream>) -> Self {
        set_options(&socket);
        Self {
            socket,
            input: BytesMut::new(),
            is_sent: true,
        }
    }

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    /// [`StreamError::NotConnected`], with the kind `TimedOut` after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self> {
        let connected = timeout(limit, Async::<TcpStream>::connect(address)).await;
        let socket = connected.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        socket
            .map(Self::new)
            .map_err(|cause| StreamError::NotConnected(cause.kind()))
    }

    /// The socket and the input buffer as separate borrows, so that input can be awaited while a
    /// response is written.
    pub fn socket_and_input(&mut self) -> (&Async<TcpStream>, &mut BytesMut) {
        (&self.socket, &mut self.input)
    }

    /// The socket.
    pub fn socket(&self) -> &Async<TcpStream> {
        &self.socket
    }

    /// Appends the bytes that have arrived to [`Self::input`], waiting for at least one; returns
    /// how many were read.
    ///
    /// # Errors
    /// [`StreamError::Closed`] or [`StreamError::Broken`].
    pub async fn fill(&mut self) -> Result<usize> {
        read_some(&self.socket, &mut self.input).await
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// [`StreamError::Broken`].
    pub async fn send(&self, bytes: &[u8]) -> Result<()> {
        write_all(&self.socket, bytes).await
    }

    /// Records whether the last message was written completely.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }

    /// False when a message was not written completely, so that no other one can follow it.
    pub fn is_sent(&self) -> bool {
        self.is_sent
    }

    /// True when the peer has received all that was sent to it, as far as is known. To be asked once it has
    /// closed its side: what it had received by then is acknowledged, and it resets the connection if it gets
    /// more or has left some of it unread. A write may have failed with that reset, so that reads no longer
    /// report it.
    pub fn has_peer_received(&self) -> bool {
        let socket = self.socket.get_ref();
        let pending_error = socket.take_error().unwrap_or_else(Some);
        self.is_sent && pending_error.is_none() && unacknowledged_bytes(socket) == 0
    }

    /// True when the connection is open and there is no unread input.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        self.input.is_empty()
            && peeked.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Lets other tasks run after a read of this many bytes if there may be more at once: a peer that sends
/// faster than this daemon reads must not keep the thread from timers and other requests. To be awaited
/// once the bytes are handled, as a read that waits here is lost to a timeout.
pub async fn pause_after_read(count: usize) {
    if count == READ_BUFFER_BYTES {
        yield_now().await;
    }
}

/// Appends the bytes that have arrived to `input`, waiting for at least one; returns how many were
/// read. Nothing is lost when the future is dropped.
///
/// # Errors
/// [`StreamError::Closed`] or [`StreamError::Broken`].
pub async fn read_some(socket: &Async<TcpStream>, input: &mut BytesMut) -> Result<usize> {
    let read = |mut stream: &TcpStream| {
        let mut buffer = [0_u8; READ_BUFFER_BYTES];
        let count = stream.read(&mut buffer)?;
        input.extend_from_slice(&buffer[..count]);
        Ok(count)
    };
    match socket.read_with(read).await {
        Ok(0) => Err(StreamError::Closed),
        Ok(count) => Ok(count),
        Err(cause) => Err(StreamError::Broken(cause.kind())),
    }
}

/// Closes the sending side, and discards what arrives until the peer closes its side or `limit` passes. A
/// connection that is closed with unread input is reset, which may discard a response on its way.
pub async fn close_after_reading(socket: &Async<TcpStream>, limit: Duration) {
    if socket.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let rest = async {
        loop {
            let read = socket.read_with(|mut stream| stream.read(&mut [0; READ_BUFFER_BYTES]));
            match read.await {
                Ok(0) | Err(_) => return,
                Ok(count) => pause_after_read(count).await,
            }
        }
    };
    if timeout(limit, rest).await.is_err() {
        log::debug!("a peer keeps sending on a connection that is closed");
    }
}

/// Writes all bytes.
///
/// # Errors
/// [`StreamError::Broken`].
pub async fn write_all(socket: &Async<TcpStream>, mut bytes: &[u8]) -> Result<()> {
    while !bytes.is_empty() {
        let written = socket.write_with(|mut stream| stream.write(bytes)).await;
        match written {
            Ok(0) => return Err(StreamError::Broken(io::ErrorKind::WriteZero)),
            Ok(count) => bytes = &bytes[count..],
            Err(cause) => return Err(StreamError::Broken(cause.kind())),
        }
    }
    Ok(())
}

/// Sets whether closing the connection resets it, also when the process ends. A reset discards bytes
/// that the peer has not received yet.
pub fn reset_on_close(socket: &Async<TcpStream>, reset: bool) {
    let linger = reset.then_some(Duration::ZERO);
    if let Err(cause) = SockRef::from(socket.get_ref()).set_linger(linger) {
        log::warn!("cannot set how a connection is closed: {cause}");
    }
}

/// Number of sent bytes that the peer has not acknowledged; 0 where the operating system does not tell.
fn unacknowledged_bytes(socket: &TcpStream) -> i32 {
    // SAFETY: `SIOCOUTQ` writes one `int` and has no other effect.
    let count = unsafe { ioctl(socket, Getter::<SIOCOUTQ, i32>::new()) };
    count.unwrap_or_else(|cause| {
        log::debug!("cannot read the unacknowledged bytes of a connection: {cause}");
        0
    })
}

fn set_options(socket: &Async<TcpStream>) {
    let options = SockRef::from(socket.get_ref());
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let set = options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_keepalive(&keepalive))
        .and_then(|()| options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(cause) = set {
        log::debug!("cannot set the TCP options of a connection: {cause}");
    }
}
