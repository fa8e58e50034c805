//! A TCP connection with the bytes that were read from it and not yet used.

use async_io::Async;
use async_std::future::timeout;
use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Result of using a connection.
pub type Result<T> = std::result::Result<T, StreamError>;

/// Most bytes taken from a socket by one read.
const READ_BYTES: usize = 16 * 1024;
/// Silence after which the kernel asks whether the peer is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions after which the connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKED_LIMIT: Duration = Duration::from_secs(3);

/// Why a connection is of no further use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// No connection was made.
    NotConnected(io::ErrorKind),
    /// The peer closed its side cleanly.
    Closed,
    /// The connection was reset or timed out.
    Broken(io::ErrorKind),
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(kind) => write!(f, "cannot connect: {kind}"),
            Self::Closed => f.write_str("closed by the peer"),
            Self::Broken(kind) => write!(f, "connection lost: {kind}"),
        }
    }
}

impl std::error::Error for StreamError {}

/// A connection and its unread input.
#[derive(Debug)]
pub struct WireStream {
    socket: Async<TcpStream>,
    /// Bytes read and not yet used.
    pub input: BytesMut,
}

impl WireStream {
    /// Wraps a connected socket.
    pub fn new(socket: Async<TcpStream>) -> Self {
        set_options(&socket);
        Self {
            socket,
            input: BytesMut::new(),
        }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    /// [`StreamError::NotConnected`].
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self> {
        let connected = timeout(limit, Async::<TcpStream>::connect(address)).await;
        let socket = connected.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        socket
            .map(Self::new)
            .map_err(|cause| StreamError::NotConnected(cause.kind()))
    }

    /// The two halves, so that one can be watched while the other is written.
    pub fn socket_and_input(&mut self) -> (&Async<TcpStream>, &mut BytesMut) {
        (&self.socket, &mut self.input)
    }

    /// The socket.
    pub fn socket(&self) -> &Async<TcpStream> {
        &self.socket
    }

    /// Reads what has arrived, waiting until something has.
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

    /// True while the peer has neither closed the connection nor sent anything.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        self.input.is_empty()
            && peeked.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads what has arrived into `input`, waiting until something has.
///
/// # Errors
/// [`StreamError::Closed`] or [`StreamError::Broken`].
pub async fn read_some(socket: &Async<TcpStream>, input: &mut BytesMut) -> Result<usize> {
    let read = |mut stream: &TcpStream| {
        let mut space = [0_u8; READ_BYTES];
        let count = stream.read(&mut space)?;
        input.extend_from_slice(&space[..count]);
        Ok(count)
    };
    match socket.read_with(read).await {
        Ok(0) => Err(StreamError::Closed),
        Ok(count) => Ok(count),
        Err(cause) => Err(StreamError::Broken(cause.kind())),
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

fn set_options(socket: &Async<TcpStream>) {
    let options = SockRef::from(socket.get_ref());
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let set = options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_keepalive(&keepalive))
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKED_LIMIT)));
    if let Err(cause) = set {
        log::debug!("socket options not set: {cause}");
    }
}
