//! Server-sent events: reading them from a reply and writing them to a caller.

use crate::http::connection::HttpResponse;
use futures_lite::{AsyncBufReadExt, Stream};
use futures_util::stream::TryStreamExt;
use http_types::{Body, Response, StatusCode};
use std::io;

/// Reads server-sent events from the body of a reply.
#[derive(Debug)]
pub struct SseReader {
    reply: HttpResponse,
    line: String,
}

impl SseReader {
    /// Starts reading the body of `reply`.
    pub fn new(reply: HttpResponse) -> Self {
        Self {
            reply,
            line: String::new(),
        }
    }

    /// Reads the data of the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// The connection's error, or `UnexpectedEof` when the body ends within an event.
    pub async fn next(&mut self) -> io::Result<Option<String>> {
        let mut data = String::new();
        loop {
            self.line.clear();
            let read = self.reply.response_mut().read_line(&mut self.line).await?;
            if read == 0 {
                return end_of_body(&data);
            }
            let line = self.line.trim_end_matches(['\r', '\n']);
            if line.is_empty() && !data.is_empty() {
                return Ok(Some(data));
            }
            if let Some(rest) = line.strip_prefix("data:") {
                data.push_str(rest.trim_start());
            }
        }
    }

    /// Returns the connection to the pool; the body was read to its end.
    pub fn release(self) {
        self.reply.release();
    }
}

fn end_of_body(data: &str) -> io::Result<Option<String>> {
    if data.is_empty() {
        Ok(None)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// One event as it travels.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// A response whose body is a stream of encoded events. An error in the stream ends the body
/// without its final chunk, so that the caller cannot take it for complete.
pub fn sse_response(
    events: impl Stream<Item = io::Result<Vec<u8>>> + Send + Sync + 'static,
) -> Response {
    let reader = Box::pin(events).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
