//! A blocking HTTP caller that records how the bytes of a response arrive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to a daemon of a site.
#[derive(Debug, Clone)]
pub struct SiteRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Protocol version, such as `HTTP/1.1`.
    pub version: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Value of `X-Attempt-Id`.
    pub attempt_id: String,
    /// Value of `X-Deadline-Ms`.
    pub deadline_ms: u64,
    /// API key; no `Authorization` field when empty.
    pub key: &'static str,
    /// Further header fields.
    pub fields: Vec<(&'static str, String)>,
    /// Body; no `Content-Length` field when empty.
    pub body: Vec<u8>,
}

impl SiteRequest {
    /// Creates a request with an API key, a timeout of three seconds and no body.
    pub fn new(method: &'static str, target: &str, attempt_id: &str) -> Self {
        Self {
            method,
            version: "HTTP/1.1",
            target: target.to_owned(),
            attempt_id: attempt_id.to_owned(),
            deadline_ms: 3_000,
            key: "key-1",
            fields: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} {}\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            self.method, self.target, self.version, self.attempt_id, self.deadline_ms
        );
        if !self.key.is_empty() {
            write_text(
                &mut text,
                format_args!("Authorization: Token {}\r\n", self.key),
            );
        }
        for (name, value) in &self.fields {
            write_text(&mut text, format_args!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            write_text(
                &mut text,
                format_args!("Content-Length: {}\r\n", self.body.len()),
            );
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn write_text(text: &mut String, part: std::fmt::Arguments<'_>) {
    use std::fmt::Write;
    text.write_fmt(part)
        .expect("writing to a string does not fail");
}

/// A response of a daemon of a site.
#[derive(Debug, Clone)]
pub struct SiteResponse {
    /// Status code; 0 without a complete head.
    pub status: u16,
    /// Head as text.
    pub head: String,
    /// Body without its chunk framing, as far as it has arrived.
    pub body: Vec<u8>,
    /// True when the whole body that the framing announces has arrived. A body with neither a
    /// length nor chunks is whole when the connection was closed and not reset.
    pub complete: bool,
    /// Time until the whole response, or the end of the connection, was read.
    pub elapsed: Duration,
    /// Longest pause between two reads of the body.
    pub longest_pause: Duration,
}

impl SiteResponse {
    /// Value of a header field; the name is matched without regard to case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Identifiers of the events of a stream, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Runs that the events of a stream are of, in order, each named once for consecutive events.
    pub fn runs(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        let mut runs: Vec<String> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: run "))
            .map(str::to_owned)
            .collect();
        runs.dedup();
        runs
    }
}

/// Sends a request on a new connection and closes it after `patience`, without reading.
///
/// # Panics
/// When the daemon does not accept the connection or the request.
pub fn leave_site_request(address: SocketAddr, request: &SiteRequest, patience: Duration) {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream
        .write_all(&request.encode())
        .expect("the daemon reads the request");
    std::thread::sleep(patience);
}

/// Sends a request on a new connection and reads the response.
///
/// # Panics
/// When the daemon does not accept the connection or the request.
pub fn send_site_request(address: SocketAddr, request: &SiteRequest) -> SiteResponse {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream
        .write_all(&request.encode())
        .expect("the daemon reads the request");
    read_site_response(&mut stream)
}

/// Reads one response.
pub fn read_site_response(stream: &mut TcpStream) -> SiteResponse {
    let started = Instant::now();
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a read timeout can be set");
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut last_read = started;
    let mut longest_pause = Duration::ZERO;
    loop {
        if let Some(mut response) = complete_response(&bytes) {
            response.elapsed = started.elapsed();
            response.longest_pause = longest_pause;
            return response;
        }
        let count = match stream.read(&mut buffer) {
            Ok(count @ 1..) => count,
            end => return ended_response(&bytes, end.is_ok(), started.elapsed()),
        };
        if !bytes.is_empty() {
            longest_pause = longest_pause.max(last_read.elapsed());
        }
        last_read = Instant::now();
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// The response, once all bytes that its framing announces have arrived.
fn complete_response(bytes: &[u8]) -> Option<SiteResponse> {
    let (mut response, rest) = split_head(bytes)?;
    let length: Option<usize> = response
        .field("content-length")
        .and_then(|text| text.parse().ok());
    match length {
        Some(length) if rest.len() >= length => response.body = rest[..length].to_vec(),
        None if response.field("transfer-encoding").is_some() => {
            response.body = join_chunks(rest)?;
        }
        _ => return None,
    }
    response.complete = true;
    Some(response)
}

/// The response as far as it had arrived when the connection ended; `closed` tells whether it was
/// closed and neither reset nor silent for too long.
fn ended_response(bytes: &[u8], closed: bool, elapsed: Duration) -> SiteResponse {
    let Some((response, rest)) = split_head(bytes) else {
        return SiteResponse {
            status: 0,
            head: String::new(),
            body: Vec::new(),
            complete: false,
            elapsed,
            longest_pause: Duration::ZERO,
        };
    };
    let is_chunked = response.field("transfer-encoding").is_some();
    let is_framed = is_chunked || response.field("content-length").is_some();
    let body = if is_chunked {
        split_chunks(rest).0
    } else {
        rest.to_vec()
    };
    SiteResponse {
        body,
        complete: closed && !is_framed,
        elapsed,
        ..response
    }
}

fn split_head(bytes: &[u8]) -> Option<(SiteResponse, &[u8])> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let response = SiteResponse {
        status,
        head,
        body: Vec::new(),
        complete: false,
        elapsed: Duration::ZERO,
        longest_pause: Duration::ZERO,
    };
    Some((response, &bytes[end..]))
}

/// The body made of its chunks, once the last chunk has arrived.
fn join_chunks(rest: &[u8]) -> Option<Vec<u8>> {
    match split_chunks(rest) {
        (body, true) => Some(body),
        (_, false) => None,
    }
}

/// The data of the complete chunks, and whether the last chunk has arrived.
fn split_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some((data, after)) = next_chunk(rest) {
        if data.is_empty() {
            return (body, true);
        }
        body.extend_from_slice(data);
        rest = after;
    }
    (body, false)
}

/// The data of the first chunk and the bytes after it.
fn next_chunk(rest: &[u8]) -> Option<(&[u8], &[u8])> {
    let line = rest.windows(2).position(|window| window == b"\r\n")?;
    let text = std::str::from_utf8(&rest[..line]).ok()?;
    let size = usize::from_str_radix(text, 16).ok()?;
    let data = rest.get(line + 2..line + 2 + size)?;
    let after = rest.get(line + 2 + size + 2..)?;
    Some((data, after))
}
