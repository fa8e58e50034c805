//! A caller that sees an answer's bytes as they come.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// A request.
#[derive(Debug, Clone)]
pub struct SiteRequest {
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Identity of the try.
    pub attempt_id: String,
    /// Key; none when empty.
    pub key: &'static str,
    /// Further fields.
    pub fields: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl SiteRequest {
    /// A call with a key and no body.
    pub fn new(method: &'static str, target: &str, attempt_id: &str) -> Self {
        Self {
            method,
            target: target.to_owned(),
            attempt_id: attempt_id.to_owned(),
            key: "key-1",
            fields: Vec::new(),
            body: Vec::new(),
        }
    }

    /// The call's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 3000\r\n",
            self.method, self.target, self.attempt_id
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

/// What came back.
#[derive(Debug, Clone)]
pub struct SiteResponse {
    /// Status; 0 when there was no whole head.
    pub status: u16,
    /// Head as text.
    pub head: String,
    /// Body with its chunk framing removed.
    pub body: Vec<u8>,
    /// True when the body ended as its framing says.
    pub complete: bool,
    /// Time until all of it was there.
    pub elapsed: Duration,
    /// Longest pause between two reads of the body.
    pub longest_pause: Duration,
}

impl SiteResponse {
    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Ids of the events, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Makes a call on a connection of its own.
pub fn send_site_request(address: SocketAddr, call: &SiteRequest) -> SiteResponse {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(&call.encode()).expect("the daemon reads");
    read_site_response(&mut stream)
}

/// Reads one answer.
pub fn read_site_response(stream: &mut TcpStream) -> SiteResponse {
    let started = Instant::now();
    stream
        .set_read_timeout(Some(ANSWER_LIMIT))
        .expect("a limit can be set");
    let mut bytes = Vec::new();
    let mut space = [0; 16 * 1024];
    let mut last = started;
    let mut longest_pause = Duration::ZERO;
    loop {
        if let Some(mut answer) = whole(&bytes) {
            answer.elapsed = started.elapsed();
            answer.longest_pause = longest_pause;
            return answer;
        }
        let count = stream.read(&mut space).unwrap_or(0);
        if count == 0 {
            return cut_off(&bytes, started.elapsed());
        }
        if !bytes.is_empty() {
            longest_pause = longest_pause.max(last.elapsed());
        }
        last = Instant::now();
        bytes.extend_from_slice(&space[..count]);
    }
}

/// The answer, once its framing says that it is whole.
fn whole(bytes: &[u8]) -> Option<SiteResponse> {
    let (mut answer, rest) = split_head(bytes)?;
    let length: Option<usize> = answer
        .field("content-length")
        .and_then(|text| text.parse().ok());
    match length {
        Some(length) if rest.len() >= length => answer.body = rest[..length].to_vec(),
        Some(_) => return None,
        None => answer.body = whole_chunks(rest)?,
    }
    answer.complete = true;
    Some(answer)
}

fn cut_off(bytes: &[u8], elapsed: Duration) -> SiteResponse {
    let empty = || SiteResponse {
        status: 0,
        head: String::new(),
        body: Vec::new(),
        complete: false,
        elapsed,
        longest_pause: Duration::ZERO,
    };
    match split_head(bytes) {
        Some((answer, rest)) => SiteResponse {
            body: rest.to_vec(),
            elapsed,
            ..answer
        },
        None => empty(),
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
    let answer = SiteResponse {
        status,
        head,
        body: Vec::new(),
        complete: false,
        elapsed: Duration::ZERO,
        longest_pause: Duration::ZERO,
    };
    Some((answer, &bytes[end..]))
}

/// The body of chunks, once the last chunk is there.
fn whole_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|window| window == b"\r\n")?;
        let text = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(text, 16).ok()?;
        let data = rest.get(line + 2..line + 2 + size)?;
        rest = rest.get(line + 2 + size + 2..)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(data);
    }
}
