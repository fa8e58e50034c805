//! Response to a client call, which returns its connection to the pool.

use crate::http::bounded::BoundedStream;
use crate::http::library_panic::catch_panic;
use crate::http::pool::{ConnectionPool, SendError};
use crate::wire::ResponseHold;
use futures_lite::{AsyncBufReadExt, AsyncRead, AsyncReadExt};
use http_types::Response;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether a call may use a pooled connection, and whether it may be retried on a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// A pooled connection may be used. If it fails, the call is retried on a new one.
    WithRetry,
    /// A pooled connection may be used. The call is never retried.
    WithoutRetry,
    /// A new connection is opened for the call, which is never retried.
    NewConnection,
}

/// Maximum size of a response body or of one of its lines, which are read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Size of one read of a body.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that may be read for one, with the framing of its chunks.
const MAX_FRAMED_BYTES: usize = 20 << 20;

/// Response to a call. [`bytes`](Self::bytes) and [`release`](Self::release) return its connection
/// to the pool; the body must have been read to its end.
#[derive(Debug)]
pub struct HttpResponse {
    response: Response,
    stream: BoundedStream,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    /// Bytes of the body that were read as lines.
    body_bytes: u64,
}

impl HttpResponse {
    pub(super) fn new(
        response: Response,
        stream: BoundedStream,
        address: SocketAddr,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        Self {
            response,
            stream,
            address,
            pool,
            body_bytes: 0,
        }
    }

    /// Status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the next line of the body, without its line end; `None` at the end of the body.
    ///
    /// # Errors
    /// The error of the connection, `UnexpectedEof` if the body ends within a line or before its
    /// declared length, `InvalidData` if the line is not UTF-8 or has no end.
    pub async fn read_line(&mut self) -> io::Result<Option<String>> {
        self.stream.allow(MAX_FRAMED_BYTES);
        let mut line = Vec::new();
        let read = catch_panic(self.response.read_until(b'\n', &mut line)).await??;
        self.body_bytes += read as u64;
        if read == 0 && !self.is_cut_off() {
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line)
            .map(Some)
            .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))
    }

    /// True when fewer bytes of the body were read than declared.
    fn is_cut_off(&self) -> bool {
        self.content_length()
            .is_some_and(|length| self.body_bytes < length)
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    /// [`SendError::Broken`] if the body ends early, [`SendError::BadResponse`] if it is longer
    /// than 16 MiB or other responses hold the memory.
    pub async fn bytes(mut self) -> Result<Vec<u8>, SendError> {
        self.stream.allow(MAX_FRAMED_BYTES);
        let reader = self.response.take_body().into_reader();
        let read = catch_panic(read_bounded(reader, self.pool.open_response())).await;
        let body = read.map_err(|cause| SendError::Broken(cause.to_string()))??;
        if let Some(expected) = self.content_length()
            && body.len() as u64 != expected
        {
            return Err(SendError::Broken(
                "body length differs from Content-Length".to_owned(),
            ));
        }
        self.release();
        Ok(body)
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn release(self) {
        let must_close = self
            .header("connection")
            .is_some_and(|value| value == "close");
        if !must_close {
            self.pool.put_idle(self.address, self.stream.into_inner());
        }
    }

    fn content_length(&self) -> Option<u64> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads a body to its end, within the memory for it.
async fn read_bounded(
    mut reader: impl AsyncRead + Unpin,
    mut memory: ResponseHold,
) -> Result<Vec<u8>, SendError> {
    let mut input = vec![0; READ_BYTES];
    let mut body = Vec::new();
    loop {
        let read = reader.read(&mut input).await;
        let count = read.map_err(|cause| SendError::Broken(cause.to_string()))?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > MAX_RESPONSE_BYTES {
            let cause = "body exceeds the limit of 16 MiB";
            return Err(SendError::BadResponse(cause.to_owned()));
        }
        if !memory.reserve(&mut body, count) {
            let cause = "no memory for the response";
            return Err(SendError::BadResponse(cause.to_owned()));
        }
        body.extend_from_slice(&input[..count]);
    }
}
