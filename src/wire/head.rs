//! Heads of HTTP requests and responses: parsed strictly and kept byte for byte.

use std::fmt;
use std::ops::{Range, RangeInclusive};

/// Result of parsing a head.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Status codes of responses (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Most header fields accepted in one head.
const MAX_HEADER_FIELDS: usize = 100;

/// Why a head is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// Not strictly HTTP/1.x.
    Malformed,
    /// Longer than [`HeadLimits::max_bytes`].
    TooLong,
    /// The length of the body is declared more than once, by both `Content-Length` and
    /// `Transfer-Encoding`, in a malformed way, or by a transfer coding other than `chunked`.
    AmbiguousLength,
    /// The `Host` field is missing, or there is more than one.
    BadHost,
    /// The status code is not one of HTTP.
    BadStatus(u16),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed HTTP head"),
            Self::TooLong => f.write_str("HTTP head is too long"),
            Self::AmbiguousLength => f.write_str("ambiguous declaration of the body length"),
            Self::BadHost => f.write_str("exactly one Host field is required"),
            Self::BadStatus(code) => write!(f, "invalid HTTP status code {code:03}"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Limits on a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Longest head in bytes, with the empty line that ends it.
    pub max_bytes: usize,
}

/// Result of parsing the start of a buffer as a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadStep {
    /// The head is incomplete: more bytes are needed.
    Incomplete,
    /// A complete head and its length in bytes.
    Complete(WireHead, usize),
}

/// A parsed head, with the bytes it was parsed from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireHead {
    raw: Vec<u8>,
    method: Range<usize>,
    target: Range<usize>,
    status: u16,
    minor_version: u8,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl WireHead {
    /// Request method; empty for a response.
    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    /// Request target (path and query) as sent; empty for a response.
    pub fn request_target(&self) -> &str {
        self.text(&self.target)
    }

    /// Request target without its query.
    pub fn path(&self) -> &str {
        let target = self.request_target();
        target.split_once('?').map_or(target, |(path, _query)| path)
    }

    /// Value of a query parameter of the request target, without percent-decoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let (_path, query) = self.request_target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Status code of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// True for HTTP/1.1, false for HTTP/1.0.
    pub fn is_http_1_1(&self) -> bool {
        self.minor_version == 1
    }

    /// Names and values of all header fields, in the order sent.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let fields = self.fields.iter();
        fields.map(|(name, value)| (self.text(name), &self.raw[value.clone()]))
    }

    /// The head without the header fields of this name.
    #[must_use]
    pub fn without(mut self, name: &str) -> Self {
        let mut fields = std::mem::take(&mut self.fields);
        fields.retain(|(found, _)| !self.text(found).eq_ignore_ascii_case(name));
        self.fields = fields;
        self
    }

    /// Trimmed value of the first header field with this name, if it is valid UTF-8.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields();
        let (_, value) = fields.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// True when the comma-separated header field `name` contains `token`; neither is
    /// case-sensitive.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let matching = self
            .fields()
            .filter(|(found, _)| found.eq_ignore_ascii_case(name));
        let values = matching.filter_map(|(_, value)| std::str::from_utf8(value).ok());
        values
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// True when the sender announces that it closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        let persists = self.is_http_1_1() || self.has_token("connection", "keep-alive");
        !persists || self.has_token("connection", "close")
    }

    /// Host name without its port, in lower case.
    pub fn host(&self) -> String {
        let host = self.field("host").unwrap_or_default();
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        name.to_ascii_lowercase()
    }

    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.raw[range.clone()]).unwrap_or_default()
    }

    /// Number of header fields with this name.
    fn count(&self, name: &str) -> usize {
        self.fields()
            .filter(|(found, _)| found.eq_ignore_ascii_case(name))
            .count()
    }

    /// Checks that the length of the body is declared at most once and in a known form.
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

    /// Value of `Content-Length`, if it consists of decimal digits only.
    pub fn content_length(&self) -> Option<u64> {
        let text = self.field("content-length")?;
        let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        is_decimal.then(|| text.parse().ok()).flatten()
    }
}

/// Parses a request head at the start of `buffer`.
///
/// # Errors
/// [`HeadError`] as soon as the head cannot be accepted, whatever bytes follow.
pub fn parse_request(buffer: &[u8], limits: HeadLimits) -> Result<HeadStep> {
    let Some(length) = head_length(buffer, limits)? else {
        return Ok(HeadStep::Incomplete);
    };
    let raw = buffer[..length].to_vec();
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut storage);
    match request.parse(&raw) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        _ => return Err(HeadError::Malformed),
    }
    let method = range_of(&raw, request.method.unwrap_or_default().as_bytes());
    let target = range_of(&raw, request.path.unwrap_or_default().as_bytes());
    let minor_version = request.version.unwrap_or_default();
    let fields = field_ranges(&raw, request.headers);
    let head = WireHead {
        method,
        target,
        status: 0,
        minor_version,
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

/// Parses a response head at the start of `buffer`.
///
/// # Errors
/// As for [`parse_request`].
pub fn parse_response(buffer: &[u8], limits: HeadLimits) -> Result<HeadStep> {
    let Some(length) = head_length(buffer, limits)? else {
        return Ok(HeadStep::Incomplete);
    };
    let raw = buffer[..length].to_vec();
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut storage);
    match response.parse(&raw) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        _ => return Err(HeadError::Malformed),
    }
    let status = response.code.unwrap_or_default();
    if !STATUS_CODES.contains(&status) {
        return Err(HeadError::BadStatus(status));
    }
    let minor_version = response.version.unwrap_or_default();
    let fields = field_ranges(&raw, response.headers);
    let head = WireHead {
        method: 0..0,
        target: 0..0,
        status,
        minor_version,
        fields,
        raw,
    };
    head.check_length()?;
    Ok(HeadStep::Complete(head, length))
}

/// Length of the head at the start of `buffer`; `None` while its empty line has not arrived. Lines
/// must end in CRLF and must not be folded: where two parsers disagree about lines, one of them can
/// be made to see another message (request smuggling).
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

/// True when a line, without its CRLF, is a header field.
pub(super) fn is_field_line(line: &[u8]) -> bool {
    let section = [line, b"\r\n\r\n"].concat();
    let mut storage = [httparse::EMPTY_HEADER];
    httparse::parse_headers(&section, &mut storage).is_ok_and(|status| status.is_complete())
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

/// Range of `part`, a subslice of `raw`.
fn range_of(raw: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(raw.as_ptr() as usize);
    if part.is_empty() || start > raw.len() {
        return 0..0;
    }
    start..start + part.len()
}

/// Builds a head field by field.
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

    /// Starts a response head.
    pub fn response(status: u16) -> Self {
        let mut bytes = Vec::with_capacity(256);
        let line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        bytes.extend_from_slice(line.as_bytes());
        Self { bytes }
    }

    /// Adds a header field.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.push(name, value.to_string().as_bytes());
        self
    }

    /// Adds a header field whose value need not be text.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Ends the head and returns its bytes.
    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }
}

/// Standard reason phrase of a status; `Status` for those that are not listed.
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
