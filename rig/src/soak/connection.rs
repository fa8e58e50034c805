//! A caller's connection to a daemon.

use crate::soak::message::{HttpMessage, UnframedBody};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for bytes at once, so that a caller that leaves does so in time.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// What came of reading a response.
#[derive(Debug)]
pub enum ReadEnd {
    /// A complete response.
    Complete(HttpMessage),
    /// The connection ended; contains what had arrived.
    Ended(Option<HttpMessage>),
    /// The time was over; contains what had arrived.
    TimedOut(Option<HttpMessage>),
}

/// An open connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// Number of the daemon.
    pub daemon: usize,
    /// Responses read from it.
    pub served: usize,
    stream: TcpStream,
    input: Vec<u8>,
}

impl CallerConnection {
    /// Connects to a daemon; `None` when it does not accept the connection in time.
    pub fn open(daemon: usize, address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(Self {
            daemon,
            served: 0,
            stream,
            input: Vec::new(),
        })
    }

    /// Sends bytes; false when the connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Shuts down the sending side.
    pub fn half_close(&self) {
        // The daemon may have closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Bytes that have come although no request waits, and whether the connection is still open.
    pub fn take_stray(&mut self) -> (Vec<u8>, bool) {
        let mut buffer = [0; 4_096];
        let switched = self.stream.set_nonblocking(true);
        let read = self.stream.read(&mut buffer);
        let switched = switched.and_then(|()| self.stream.set_nonblocking(false));
        let is_open = match read {
            Ok(0) => false,
            Ok(count) => {
                self.input.extend_from_slice(&buffer[..count]);
                true
            }
            Err(cause) => cause.kind() == ErrorKind::WouldBlock,
        };
        (std::mem::take(&mut self.input), is_open && switched.is_ok())
    }

    /// Reads one response until `deadline`.
    pub fn read_response(&mut self, deadline: Instant) -> ReadEnd {
        let mut buffer = [0; 16 * 1024];
        loop {
            let parsed = HttpMessage::parse(&self.input, UnframedBody::Open);
            if let Some(message) = parsed.filter(|message| message.complete) {
                self.input.drain(..message.length);
                self.served += 1;
                return ReadEnd::Complete(message);
            }
            if Instant::now() >= deadline {
                return ReadEnd::TimedOut(self.partial(UnframedBody::Open));
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return self.end_input(UnframedBody::Closed),
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(cause)
                    if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return self.end_input(UnframedBody::Open),
            }
        }
    }

    fn end_input(&mut self, unframed: UnframedBody) -> ReadEnd {
        match self.partial(unframed) {
            Some(message) if message.complete => ReadEnd::Complete(message),
            partial => ReadEnd::Ended(partial),
        }
    }

    /// What has arrived of a response. Bytes that are no response make one with status 0.
    fn partial(&self, unframed: UnframedBody) -> Option<HttpMessage> {
        let parsed = HttpMessage::parse(&self.input, unframed);
        let is_other = !self.input.is_empty() && !b"HTTP/1.".starts_with(head_of(&self.input));
        parsed.or_else(|| is_other.then(HttpMessage::default))
    }
}

/// The first bytes, as many as the start of a status line has.
fn head_of(input: &[u8]) -> &[u8] {
    &input[..input.len().min(7)]
}
