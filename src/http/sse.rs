//! Server-sent events: reads them from a response and writes them to a caller.

use crate::http::connection::HttpResponse;
use futures_lite::Stream;
use futures_util::stream::TryStreamExt;
use http_types::{Body, Response, StatusCode};
use std::io;

/// Longest event, with the lines before it that belong to none.
const MAX_EVENT_BYTES: usize = 512 * 1024;

/// Reads server-sent events from the body of a response.
#[derive(Debug)]
pub struct SseReader {
    source: HttpResponse,
}

impl SseReader {
    /// Starts reading the body of `source`.
    pub fn new(source: HttpResponse) -> Self {
        Self { source }
    }

    /// Reads the data of the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// The error of the connection, `UnexpectedEof` if the body ends within an event, or `InvalidData`
    /// if the event has no end.
    pub async fn next(&mut self) -> io::Result<Option<String>> {
        let mut data = String::new();
        let mut read_bytes = 0;
        loop {
            let Some(line) = self.source.read_line().await? else {
                return end_of_body(&data);
            };
            read_bytes += line.len() + 1;
            if read_bytes > MAX_EVENT_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if line.is_empty() && !data.is_empty() {
                return Ok(Some(data));
            }
            if let Some(rest) = line.strip_prefix("data:") {
                data.push_str(rest.trim_start());
            }
        }
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn release(self) {
        self.source.release();
    }
}

fn end_of_body(data: &str) -> io::Result<Option<String>> {
    if data.is_empty() {
        Ok(None)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// Encodes one event with this data, which must be a single line.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// Builds a response whose body is a stream of encoded events. An error in the stream ends the body
/// without its final chunk, so that the caller does not take it for complete.
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
