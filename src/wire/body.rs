//! Decoding of HTTP message bodies, without I/O.

use crate::wire::head::{WireHead, is_field_line};
use bytes::{Buf, BytesMut};
use std::fmt;

/// Result of decoding a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Longest chunk-size or trailer line accepted, with its line end.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Most bytes of trailers, the fields after the last chunk.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// The last chunk of a chunked body, without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Violation of the declared framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// A chunk-size line, or the end of a chunk or trailer line, is malformed.
    MalformedChunk,
    /// A line of the trailers is no field.
    MalformedTrailer,
    /// The trailers after the last chunk are too long.
    TrailersTooLong,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MalformedChunk => "malformed chunk in the body",
            Self::MalformedTrailer => "malformed trailer of the body",
            Self::TrailersTooLong => "trailers of the body are too long",
        })
    }
}

impl std::error::Error for BodyError {}

/// How the end of a body is determined (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Sized(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// True when a response with `status` to a request with `method` ends with its head, whatever that says.
pub fn is_bodiless(method: &str, status: u16) -> bool {
    method == "HEAD" || matches!(status, 100..=199 | 204 | 304)
}

impl BodyFraming {
    /// Framing of the body of a request.
    pub fn for_request(head: &WireHead) -> Self {
        if head.field("transfer-encoding").is_some() {
            return Self::Chunked;
        }
        match head.content_length() {
            None | Some(0) => Self::Empty,
            Some(length) => Self::Sized(length),
        }
    }

    /// Framing of the body of a response to a request with `method`.
    pub fn for_response(head: &WireHead, method: &str) -> Self {
        if is_bodiless(method, head.status()) {
            return Self::Empty;
        }
        if head.field("transfer-encoding").is_some() {
            return Self::Chunked;
        }
        match head.content_length() {
            None => Self::UntilClose,
            Some(0) => Self::Empty,
            Some(length) => Self::Sized(length),
        }
    }
}

/// Result of decoding the input read so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStep {
    /// More bytes are needed.
    Incomplete,
    /// The body is complete; the remaining input is not part of it.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Done,
    Sized(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Incremental decoder of one body.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Sized(0) => DecoderState::Done,
            BodyFraming::Sized(length) => DecoderState::Sized(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self {
            state,
            trailer_bytes: 0,
        }
    }

    /// True when a clean close by the sender at this point completes the body.
    pub fn complete_at_close(&self) -> bool {
        matches!(self.state, DecoderState::Done | DecoderState::UntilClose)
    }

    /// Decodes `input` as far as possible: removes the decoded bytes from it and appends the body
    /// bytes to `output`.
    ///
    /// # Errors
    /// [`BodyError`] when the framing is violated.
    pub fn advance(&mut self, input: &mut BytesMut, output: &mut Vec<u8>) -> Result<BodyStep> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(BodyStep::Done),
                _ if input.is_empty() => return Ok(BodyStep::Incomplete),
                DecoderState::UntilClose => {
                    output.extend_from_slice(input);
                    input.clear();
                }
                DecoderState::Sized(left) => {
                    let left = move_bytes(input, output, left);
                    self.state = match left {
                        0 => DecoderState::Done,
                        _ => DecoderState::Sized(left),
                    };
                }
                DecoderState::ChunkData(left) => {
                    let left = move_bytes(input, output, left);
                    self.state = match left {
                        0 => DecoderState::ChunkEnd,
                        _ => DecoderState::ChunkData(left),
                    };
                }
                DecoderState::ChunkSize | DecoderState::ChunkEnd | DecoderState::Trailer => {
                    let Some(line) = take_line(input)? else {
                        return Ok(BodyStep::Incomplete);
                    };
                    if self.state == DecoderState::Trailer {
                        self.count_trailer(line.len())?;
                    }
                    self.state = self.state_after_line(&line)?;
                }
            }
        }
    }

    fn count_trailer(&mut self, bytes: usize) -> Result<()> {
        self.trailer_bytes += bytes;
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(BodyError::TrailersTooLong);
        }
        Ok(())
    }

    /// State after a complete line, which depends on the state before it.
    fn state_after_line(&self, line: &[u8]) -> Result<DecoderState> {
        match (self.state, line.is_empty()) {
            (DecoderState::ChunkEnd, true) => Ok(DecoderState::ChunkSize),
            (DecoderState::Trailer, true) => Ok(DecoderState::Done),
            (DecoderState::Trailer, false) if is_field_line(line) => Ok(DecoderState::Trailer),
            (DecoderState::Trailer, false) => Err(BodyError::MalformedTrailer),
            (DecoderState::ChunkSize, false) => match parse_chunk_size(line)? {
                0 => Ok(DecoderState::Trailer),
                size => Ok(DecoderState::ChunkData(size)),
            },
            _ => Err(BodyError::MalformedChunk),
        }
    }
}

/// Moves up to `left` bytes from `input` to `output`; returns how many of them are still missing.
fn move_bytes(input: &mut BytesMut, output: &mut Vec<u8>, left: u64) -> u64 {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    output.extend_from_slice(&input[..count]);
    input.advance(count);
    left - count as u64
}

/// Takes a line from the input, without its CRLF; `None` while the line is incomplete.
fn take_line(input: &mut BytesMut) -> Result<Option<Vec<u8>>> {
    let window = &input[..input.len().min(MAX_CHUNK_LINE_BYTES)];
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        return match input.len() {
            0..MAX_CHUNK_LINE_BYTES => Ok(None),
            _ => Err(BodyError::MalformedChunk),
        };
    };
    if end == 0 || input[end - 1] != b'\r' {
        return Err(BodyError::MalformedChunk);
    }
    let line = input[..end - 1].to_vec();
    input.advance(end + 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_cause| BodyError::MalformedChunk)?;
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex {
        return Err(BodyError::MalformedChunk);
    }
    u64::from_str_radix(text, 16).map_err(|_cause| BodyError::MalformedChunk)
}

/// Appends `data` to `output` as one chunk. Empty data appends nothing, since an empty chunk would
/// end the body.
pub fn encode_chunk(data: &[u8], output: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}
