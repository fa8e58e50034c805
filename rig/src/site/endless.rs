//! Bytes without end that a faulty server sends in place of a response, until the peer closes.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Size of one write.
const BLOCK_BYTES: usize = 16 * 1024;
/// Time after which a server gives up, so that a test ends although its peer never closes.
const SEND_LIMIT: Duration = Duration::from_secs(20);

/// Part of a response that has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// A single line in place of the status line.
    StatusLine,
    /// One field of the head.
    HeadField,
    /// Fields of the head.
    HeadFields,
    /// Interim responses.
    InterimResponses,
    /// A body that ends with its connection.
    Body,
    /// Chunks of a body.
    Chunks,
    /// The size line of a chunk.
    ChunkLine,
    /// Fields after the last chunk.
    Trailers,
    /// An event of a stream.
    Event,
    /// Comments of a stream, which are no part of an event.
    Comments,
}

impl EndlessPart {
    /// All parts that may have no end.
    pub const ALL: [Self; 10] = [
        Self::StatusLine,
        Self::HeadField,
        Self::HeadFields,
        Self::InterimResponses,
        Self::Body,
        Self::Chunks,
        Self::ChunkLine,
        Self::Trailers,
        Self::Event,
        Self::Comments,
    ];

    /// What comes before the part; `fields` are header lines.
    fn start(self, fields: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::StatusLine | Self::InterimResponses => String::new(),
            Self::HeadField => format!("{head}X-Filler: "),
            Self::HeadFields => head,
            Self::Body => format!("{head}\r\n"),
            Self::Chunks => format!("{head}{chunked}"),
            Self::ChunkLine => format!("{head}{chunked}5;"),
            Self::Trailers => format!("{head}{chunked}0\r\n"),
            Self::Event | Self::Comments => {
                let event = "C\r\nid: 0\ndata: \r\n";
                format!("{head}Content-Type: text/event-stream\r\n{chunked}{event}")
            }
        }
    }

    /// What is repeated without end.
    fn unit(self) -> &'static str {
        match self {
            Self::StatusLine | Self::HeadField | Self::Body | Self::ChunkLine => "x",
            Self::Event => "4\r\nxxxx\r\n",
            Self::HeadFields | Self::Trailers => "X-Filler: x\r\n",
            Self::InterimResponses => "HTTP/1.1 103 Early Hints\r\n\r\n",
            Self::Chunks => "5\r\nxxxxx\r\n",
            Self::Comments => "5\r\n\n: x\n\r\n",
        }
    }
}

/// Sends the part until the peer closes the connection; returns the number of bytes that it took.
pub fn send_endless(stream: &mut TcpStream, part: EndlessPart, fields: &str) -> usize {
    let unit = part.unit();
    let block = unit.repeat(BLOCK_BYTES / unit.len());
    let started = Instant::now();
    let mut sent = 0;
    if stream.write_all(part.start(fields).as_bytes()).is_err() {
        return sent;
    }
    while started.elapsed() < SEND_LIMIT && stream.write_all(block.as_bytes()).is_ok() {
        sent += block.len();
    }
    sent
}
