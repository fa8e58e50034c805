//! HTTP/1.1 for stand-ins: blocking, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a message and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                decoded.push(byte);
                at += 3;
                continue;
            }
        }
        decoded.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .fields
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .field("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes the head of a response.
pub fn write_head(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, String)],
    length: usize,
) -> io::Result<()> {
    stream.write_all(encode_head(status, fields, length).as_bytes())
}

fn encode_head(status: u16, fields: &[(&str, String)], length: usize) -> String {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Writes a response with a body of known length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = encode_head(status, fields, body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How a call of a client ended.
#[derive(Debug, Clone)]
pub enum CallEnd {
    /// A complete answer.
    Answer(Message),
    /// No connection was made.
    NotSent(String),
    /// The connection ended, with or without a part of the answer.
    Closed(String, Message),
    /// No complete answer within the time of the client.
    Silent(Message),
}

impl CallEnd {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            _ => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Answer(message) => format!(
                "answer {}, stamp {}",
                message.status(),
                message.field("X-Server-Stamp").unwrap_or("none")
            ),
            Self::NotSent(cause) => format!("not sent: {cause}"),
            Self::Closed(cause, part) => format!(
                "connection ended without a complete answer ({cause}, {} bytes of a body)",
                part.body.len()
            ),
            Self::Silent(_) => "no complete answer in time".to_owned(),
        }
    }
}

fn is_timeout(cause: &io::Error) -> bool {
    matches!(
        cause.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Connects as a client does, within a second.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange(stream: &TcpStream, request: &[u8], limit: Duration) -> CallEnd {
    let mut answer = Message::default();
    match try_exchange(stream, request, limit, &mut answer) {
        Ok(()) => CallEnd::Answer(answer),
        Err(cause) if is_timeout(&cause) => CallEnd::Silent(answer),
        Err(cause) => CallEnd::Closed(cause.to_string(), answer),
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> CallEnd {
    match connect(address, limit) {
        Ok(stream) => exchange(&stream, request, limit),
        Err(cause) => CallEnd::NotSent(cause.to_string()),
    }
}

fn try_exchange(
    mut stream: &TcpStream,
    request: &[u8],
    limit: Duration,
    answer: &mut Message,
) -> io::Result<()> {
    let end = std::time::Instant::now() + limit;
    stream.set_read_timeout(Some(limit.max(Duration::from_millis(1))))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    *answer = head;
    let left = || {
        let left = end.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let is_chunked = answer.field("transfer-encoding").is_some();
    if !is_chunked {
        let length: usize = answer
            .field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        stream.set_read_timeout(Some(left()?))?;
        reader.read_exact(&mut body)?;
        answer.body = body;
        return Ok(());
    }
    loop {
        stream.set_read_timeout(Some(left()?))?;
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
}
