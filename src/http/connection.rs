//! The reply to a call, and the return of its connection to the pool.

use crate::http::pool::{ConnectionPool, SendError};
use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::Response;
use std::net::SocketAddr;
use std::sync::Arc;

/// How a call may use kept connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// A kept connection may be used, and the call is repeated on a new one if that one fails.
    WithRetry,
    /// A kept connection may be used, and the call is never repeated.
    WithoutRetry,
    /// A new connection is opened for the call.
    NewConnection,
}

/// Largest reply body read into memory, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Reply to a call. The connection returns to the pool once the body has been read to its end.
#[derive(Debug)]
pub struct HttpResponse {
    response: Response,
    stream: TcpStream,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
}

impl HttpResponse {
    pub(super) fn new(
        response: Response,
        stream: TcpStream,
        address: SocketAddr,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        Self {
            response,
            stream,
            address,
            pool,
        }
    }

    /// Status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// The response itself, for reading its body as a stream.
    pub fn response_mut(&mut self) -> &mut Response {
        &mut self.response
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    /// [`SendError::Broken`] when the body ends early, [`SendError::BadResponse`] when it is too long.
    pub async fn bytes(mut self) -> Result<Vec<u8>, SendError> {
        let mut body = Vec::new();
        let mut limited = self
            .response
            .take_body()
            .into_reader()
            .take(MAX_REPLY_BYTES + 1);
        let read = limited.read_to_end(&mut body).await;
        read.map_err(|cause| SendError::Broken(cause.to_string()))?;
        if body.len() as u64 > MAX_REPLY_BYTES {
            return Err(SendError::BadResponse("body too long".to_owned()));
        }
        if let Some(expected) = self.declared_length()
            && body.len() as u64 != expected
        {
            return Err(SendError::Broken("body ended early".to_owned()));
        }
        self.release();
        Ok(body)
    }

    /// Returns the connection to the pool; the caller has read the body to its end.
    pub fn release(self) {
        let closes = self
            .header("connection")
            .is_some_and(|value| value == "close");
        if !closes {
            self.pool.put_idle(self.address, self.stream);
        }
    }

    fn declared_length(&self) -> Option<u64> {
        self.header("content-length")?.parse().ok()
    }
}
