//! Heads of requests and answers, parsed strictly and kept as they came.

use std::fmt;
use std::ops::Range;

/// Result of parsing a head.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Most header fields in one head; more are refused.
const MAX_FIELDS: usize = 100;

/// Why bytes are not an acceptable head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP/1.x, or not strictly so.
    Malformed,
    /// Longer than the limit.
    TooLong,
    /// The body's length is given twice, in two ways or in an unknown transfer coding.
    AmbiguousLength,
    /// No host, or more than one.
    BadHost,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed head",
            Self::TooLong => "head is too long",
            Self::AmbiguousLength => "ambiguous body length",
            Self::BadHost => "exactly one host is required",
        })
    }
}

impl std::error::Error for HeadError {}

/// Bounds on a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Longest head in bytes, its empty last line included.
    pub max_bytes: usize,
}

/// Outcome of looking for a head at the start of a buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadStep {
    /// More bytes are needed.
    Incomplete,
    /// A head of this many bytes.
    Complete(WireHead, usize),
}

/// A parsed head that keeps the bytes it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireHead {
    raw: Vec<u8>,
    method: Range<usize>,
    target: Range<usize>,
    status: u16,
    minor: u8,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl WireHead {
    /// Request method; empty for an answer.
    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    /// Request target as sent; empty for an answer.
    pub fn request_target(&self) -> &str {
        self.text(&self.target)
    }

    /// Request target up to its query.
    pub fn path(&self) -> &str {
        let target = self.request_target();
        target.split_once('?').map_or(target, |(path, _query)| path)
    }

    /// Value of a parameter of the request target's query, percent-decoding left to the caller.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let (_path, query) = self.request_target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Status of an answer; 0 for a request.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// True for HTTP/1.1.
    pub fn is_http_1_1(&self) -> bool {
        self.minor == 1
    }

    /// All fields in order, with their values as sent.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let fields = self.fields.iter();
        fields.map(|(name, value)| (self.text(name), &self.raw[value.clone()]))
    }

    /// Value of the first field with this name, when it is text.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields();
        let (_, value) = fields.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// True when a comma-separated field holds this token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matching = self
            .fields()
            .filter(|(found, _)| found.eq_ignore_ascii_case(name));
        let values = matching.filter_map(|(_, value)| std::str::from_utf8(value).ok());
        values
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// True when the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        let keeps = self.is_http_1_1() || self.has_token("connection", "keep-alive");
        !keeps || self.has_token("connection", "close")
    }

    /// Host without its port, lower case.
    pub fn host(&self) -> String {
        let host = self.field("host").unwrap_or_default();
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        name.to_ascii_lowercase()
    }

    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.raw[range.clone()]).unwrap_or_default()
    }

    fn count(&self, name: &str) -> usize {
        self.fields()
            .filter(|(found, _)| found.eq_ignore_ascii_case(name))
            .count()
    }

    fn check_length(&self) -> Result<()> {
        let lengths = self.count("content-length");
        let codings = self.count("transfer-encoding");
        let chunked = self
            .field("transfer-encoding")
            .is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
        match (lengths, codings) {
            (0, 0) => Ok(()),
            (1, 0) if self.content_length().is_some() => Ok(()),
            (0, 1) if chunked => Ok(()),
            _ => Err(HeadError::AmbiguousLength),
        }
    }

    /// Declared body length, when it is a plain decimal number.
    pub fn content_length(&self) -> Option<u64> {
        let text = self.field("content-length")?;
        let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        plain.then(|| text.parse().ok()).flatten()
    }
}

/// Reads a request head from the start of `buffer`.
///
/// # Errors
/// [`HeadError`] when no bytes that may follow can make it acceptable.
pub fn parse_request(buffer: &[u8], limits: HeadLimits) -> Result<HeadStep> {
    let Some(length) = head_length(buffer, limits)? else {
        return Ok(HeadStep::Incomplete);
    };
    let raw = buffer[..length].to_vec();
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut storage);
    match request.parse(&raw) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        _ => return Err(HeadError::Malformed),
    }
    let method = range_of(&raw, request.method.unwrap_or_default().as_bytes());
    let target = range_of(&raw, request.path.unwrap_or_default().as_bytes());
    let minor = request.version.unwrap_or_default();
    let fields = field_ranges(&raw, request.headers);
    let head = WireHead {
        method,
        target,
        status: 0,
        minor,
        fields,
        raw,
    };
    if !head.request_target().starts_with('/') {
        return Err(HeadError::Malformed);
    }
    head.check_length()?;
    match head.count("host") {
        1 => Ok(HeadStep::Complete(head, length)),
        _ => Err(HeadError::BadHost),
    }
}

/// Reads an answer's head from the start of `buffer`.
///
/// # Errors
/// As for [`parse_request`].
pub fn parse_response(buffer: &[u8], limits: HeadLimits) -> Result<HeadStep> {
    let Some(length) = head_length(buffer, limits)? else {
        return Ok(HeadStep::Incomplete);
    };
    let raw = buffer[..length].to_vec();
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut storage);
    match response.parse(&raw) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        _ => return Err(HeadError::Malformed),
    }
    let status = response.code.unwrap_or_default();
    let minor = response.version.unwrap_or_default();
    let fields = field_ranges(&raw, response.headers);
    let head = WireHead {
        method: 0..0,
        target: 0..0,
        status,
        minor,
        fields,
        raw,
    };
    head.check_length()?;
    Ok(HeadStep::Complete(head, length))
}

/// Length of the head at the start of `buffer`, once its empty line is there. Lines must end in CRLF
/// and may not be folded: a reader that accepts more could see another message than this one.
fn head_length(buffer: &[u8], limits: HeadLimits) -> Result<Option<usize>> {
    let window = &buffer[..buffer.len().min(limits.max_bytes)];
    let mut line_start = 0;
    while let Some(offset) = window[line_start..].iter().position(|byte| *byte == b'\n') {
        let end = line_start + offset;
        if end == line_start || window[end - 1] != b'\r' {
            return Err(HeadError::Malformed);
        }
        let line = &window[line_start..end - 1];
        let folded = line
            .first()
            .is_some_and(|byte| *byte == b' ' || *byte == b'\t');
        if folded || line.contains(&b'\r') || line.contains(&0) {
            return Err(HeadError::Malformed);
        }
        if line.is_empty() {
            return match line_start {
                0 => Err(HeadError::Malformed),
                _ => Ok(Some(end + 1)),
            };
        }
        line_start = end + 1;
    }
    if buffer.len() >= limits.max_bytes {
        return Err(HeadError::TooLong);
    }
    Ok(None)
}

fn field_ranges(raw: &[u8], fields: &[httparse::Header<'_>]) -> Vec<(Range<usize>, Range<usize>)> {
    let ranges = fields.iter();
    ranges
        .map(|field| {
            (
                range_of(raw, field.name.as_bytes()),
                range_of(raw, field.value),
            )
        })
        .collect()
}

/// Position of `part`, a subslice of `raw`.
fn range_of(raw: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(raw.as_ptr() as usize);
    if part.is_empty() || start > raw.len() {
        return 0..0;
    }
    start..start + part.len()
}

/// Writes a head field by field.
#[derive(Debug, Clone)]
pub struct HeadBuilder {
    bytes: Vec<u8>,
}

impl HeadBuilder {
    /// Starts a request head.
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Vec::with_capacity(512);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        Self { bytes }
    }

    /// Starts an answer head.
    pub fn response(status: u16) -> Self {
        let mut bytes = Vec::with_capacity(256);
        let line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        bytes.extend_from_slice(line.as_bytes());
        Self { bytes }
    }

    /// Adds a field.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.push(name, value.to_string().as_bytes());
        self
    }

    /// Adds a field whose value is bytes.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Ends the head.
    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }
}

/// Standard reason phrases of the statuses that are sent or passed on.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
