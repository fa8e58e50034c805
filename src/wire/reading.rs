//! Reads whole heads and bodies from a connection.

use crate::wire::body::{BodyDecoder, BodyError, BodyStep};
use crate::wire::head::{HeadError, HeadLimits, HeadStep, WireHead, parse_response};
use crate::wire::stream::{StreamError, WireStream, read_some};
use async_io::Async;
use bytes::BytesMut;
use std::fmt;
use std::net::TcpStream;

/// Result of reading.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Why a message could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The head is not acceptable.
    Head(HeadError),
    /// The body is not in the declared framing.
    Body(BodyError),
    /// The body is longer than the limit.
    BodyTooLong,
    /// The connection ended first.
    Stream(StreamError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(cause) => cause.fmt(f),
            Self::Body(cause) => cause.fmt(f),
            Self::BodyTooLong => f.write_str("body is too long"),
            Self::Stream(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {}

/// How a whole body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its framing; the connection goes on.
    Framed,
    /// With the connection, as its framing says.
    Closed,
}

/// Reads the head of an answer, an interim one included.
///
/// # Errors
/// [`ReadError::Head`] or [`ReadError::Stream`].
pub async fn read_response_head(
    socket: &Async<TcpStream>,
    input: &mut BytesMut,
    limits: HeadLimits,
) -> Result<WireHead> {
    loop {
        match parse_response(input, limits).map_err(ReadError::Head)? {
            HeadStep::Complete(head, length) => {
                let _used = input.split_to(length);
                return Ok(head);
            }
            HeadStep::Incomplete => read_some(socket, input).await.map_err(ReadError::Stream)?,
        };
    }
}

/// Reads a body to its end. More than `limit` bytes of an unfinished body are refused.
///
/// # Errors
/// All but [`ReadError::Head`].
pub async fn read_body(
    stream: &mut WireStream,
    decoder: &mut BodyDecoder,
    limit: usize,
) -> Result<(Vec<u8>, BodyEnd)> {
    let mut body = Vec::new();
    loop {
        match decoder
            .advance(&mut stream.input, &mut body)
            .map_err(ReadError::Body)?
        {
            BodyStep::Done => return Ok((body, BodyEnd::Framed)),
            BodyStep::Incomplete if body.len() > limit => return Err(ReadError::BodyTooLong),
            BodyStep::Incomplete => match stream.fill().await {
                Ok(_) => {}
                Err(StreamError::Closed) if decoder.complete_at_close() => {
                    return Ok((body, BodyEnd::Closed));
                }
                Err(cause) => return Err(ReadError::Stream(cause)),
            },
        }
    }
}
