//! Reads HTTP/1.1 messages from the bytes of a connection. It shares no code with the daemons, so
//! that a fault of their parser is not hidden by the same fault here.

use std::ops::Range;

/// A message, as far as its bytes have arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpMessage {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields in order.
    pub fields: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// True when the whole body that the framing announces has arrived.
    pub complete: bool,
    /// Bytes that the message takes, with its framing.
    pub length: usize,
}

/// How a message without a length or chunks ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnframedBody {
    /// There is none, as in a request.
    Empty,
    /// It goes on until the connection is closed, which has not happened.
    Open,
    /// It ended when the connection was closed in an orderly way.
    Closed,
}

impl HttpMessage {
    /// Parses the first message in `bytes`; `None` without a complete head.
    pub fn parse(bytes: &[u8], unframed: UnframedBody) -> Option<Self> {
        let head = find(bytes, b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        let mut message = Self {
            first_line,
            fields: fields.collect(),
            ..Self::default()
        };
        message.read_body(bytes, head + 4, unframed);
        Some(message)
    }

    fn read_body(&mut self, bytes: &[u8], start: usize, unframed: UnframedBody) {
        let rest = &bytes[start..];
        let length: Option<usize> = self.field("content-length").and_then(|v| v.parse().ok());
        if self.field("transfer-encoding").is_some() {
            let (body, taken, complete) = join_chunks(rest);
            (self.body, self.length, self.complete) = (body, start + taken, complete);
        } else if let Some(length) = length {
            let taken = length.min(rest.len());
            self.body = rest[..taken].to_vec();
            (self.length, self.complete) = (start + taken, taken == length);
        } else if unframed == UnframedBody::Empty {
            (self.length, self.complete) = (start, true);
        } else {
            self.body = rest.to_vec();
            (self.length, self.complete) = (bytes.len(), unframed == UnframedBody::Closed);
        }
    }

    /// Value of a header field; the name is matched without regard to case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let (_, value) = fields.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        Some(value)
    }

    /// Status code of a response; 0 when the first line is no status line.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        let version = words.next().unwrap_or_default();
        let status = words.next().and_then(|word| word.parse().ok());
        if version.starts_with("HTTP/1.") {
            status.unwrap_or(0)
        } else {
            0
        }
    }

    /// Method and request target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        let method = words.next().unwrap_or_default();
        (method, words.next().unwrap_or_default())
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// The data of the chunks, the bytes taken, and whether the last chunk has arrived.
fn join_chunks(rest: &[u8]) -> (Vec<u8>, usize, bool) {
    let (mut body, mut taken) = (Vec::new(), 0);
    while let Some((data, end)) = next_chunk(rest, taken) {
        taken = end;
        if data.is_empty() {
            return (body, taken, true);
        }
        body.extend_from_slice(&rest[data]);
    }
    (body, taken, false)
}

/// Position of the data of the chunk at `start` and the position after the chunk.
fn next_chunk(rest: &[u8], start: usize) -> Option<(Range<usize>, usize)> {
    let line = start + find(&rest[start..], b"\r\n")?;
    let text = std::str::from_utf8(&rest[start..line]).ok()?;
    let size = usize::from_str_radix(text, 16).ok()?;
    let data = line + 2..line + 2 + size;
    (rest.len() >= data.end + 2).then(|| (data.clone(), data.end + 2))
}
