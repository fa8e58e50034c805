//! Reads complete heads and bodies from a connection.

use crate::wire::body::{BodyDecoder, BodyError, BodyStep};
use crate::wire::head::{HeadError, HeadLimits, HeadStep, WireHead, parse_response};
use crate::wire::response_budget::ResponseHold;
use crate::wire::stream::{StreamError, WireStream, pause_after_read, read_some};
use async_io::Async;
use bytes::BytesMut;
use std::fmt;
use std::net::TcpStream;

/// Result of reading a head or body.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Most interim responses (1xx) that may precede a response.
pub const MAX_INTERIM_RESPONSES: usize = 16;

/// Why a head or body could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The head is not accepted.
    Head(HeadError),
    /// The body violates its declared framing.
    Body(BodyError),
    /// The body exceeds the limit.
    BodyTooLong,
    /// Other responses hold the memory.
    NoMemory,
    /// More than [`MAX_INTERIM_RESPONSES`] interim responses came, and no other.
    NoFinalResponse,
    /// The connection ended before the head or body was complete.
    Stream(StreamError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(cause) => cause.fmt(f),
            Self::Body(cause) => cause.fmt(f),
            Self::BodyTooLong => f.write_str("body exceeds the size limit"),
            Self::NoMemory => f.write_str("no memory for the response"),
            Self::NoFinalResponse => f.write_str("too many interim responses"),
            Self::Stream(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {}

/// How the end of a complete body was determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk; the connection remains usable.
    Framed,
    /// By the end of the connection, as declared by its framing.
    Closed,
}

/// Outcome of waiting for more bytes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyInput {
    /// So many bytes have arrived.
    Bytes(usize),
    /// The peer has closed the connection, which completes the body.
    End,
}

/// Reads the head of the next response, which may be an interim one (1xx).
///
/// # Errors
/// [`ReadError::Head`] or [`ReadError::Stream`].
async fn read_response_head(
    socket: &Async<TcpStream>,
    input: &mut BytesMut,
    limits: HeadLimits,
) -> Result<WireHead> {
    let mut count = 0;
    loop {
        match parse_response(input, limits).map_err(ReadError::Head)? {
            HeadStep::Complete(head, length) => {
                let _used = input.split_to(length);
                return Ok(head);
            }
            HeadStep::Incomplete => {
                pause_after_read(count).await;
                let read = read_some(socket, input).await;
                count = read.map_err(ReadError::Stream)?;
            }
        }
    }
}

/// Reads the head of the next response that is no interim one (1xx).
///
/// # Errors
/// [`ReadError::Head`], [`ReadError::NoFinalResponse`] or [`ReadError::Stream`].
pub async fn read_final_head(
    socket: &Async<TcpStream>,
    input: &mut BytesMut,
    limits: HeadLimits,
) -> Result<WireHead> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = read_response_head(socket, input, limits).await?;
        if head.status() >= 200 {
            return Ok(head);
        }
    }
    Err(ReadError::NoFinalResponse)
}

/// Reads a body to its end. Fails once the body is longer than `limit` bytes and still incomplete, or there is
/// no memory for it; `memory` holds it for as long as it is kept.
///
/// # Errors
/// Any [`ReadError`] but [`ReadError::Head`].
pub async fn read_body(
    stream: &mut WireStream,
    decoder: &mut BodyDecoder,
    limit: usize,
    memory: &mut ResponseHold,
) -> Result<(Vec<u8>, BodyEnd)> {
    let mut body = Vec::new();
    let mut count = 0;
    loop {
        if !memory.reserve(&mut body, stream.input.len()) {
            return Err(ReadError::NoMemory);
        }
        match decoder
            .advance(&mut stream.input, &mut body)
            .map_err(ReadError::Body)?
        {
            BodyStep::Done => return Ok((body, BodyEnd::Framed)),
            BodyStep::Incomplete if body.len() > limit => return Err(ReadError::BodyTooLong),
            BodyStep::Incomplete => pause_after_read(count).await,
        }
        match fill_body(stream, decoder)
            .await
            .map_err(ReadError::Stream)?
        {
            BodyInput::Bytes(read) => count = read,
            BodyInput::End => return Ok((body, BodyEnd::Closed)),
        }
    }
}

/// Waits for more bytes of a response body. A body that ends with its connection is complete only if the
/// server has received the whole request: one that answers earlier shows the end of its body by a length or
/// by chunks, since a connection that is closed on unread bytes is reset. Nothing is lost when the future is
/// dropped.
///
/// # Errors
/// [`StreamError::Closed`], [`StreamError::ClosedEarly`] or [`StreamError::Broken`], when the body is not
/// complete.
pub async fn fill_body(
    stream: &mut WireStream,
    decoder: &BodyDecoder,
) -> std::result::Result<BodyInput, StreamError> {
    match stream.fill().await {
        Ok(count) => Ok(BodyInput::Bytes(count)),
        Err(StreamError::Closed) if decoder.complete_at_close() => {
            if stream.has_peer_received() {
                Ok(BodyInput::End)
            } else {
                Err(StreamError::ClosedEarly)
            }
        }
        Err(cause) => Err(cause),
    }
}
