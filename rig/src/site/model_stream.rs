//! Event streams of the stand-in model server, whole or broken off.

use crate::site::http::AfterReply;
use crate::site::model::ModelKnobs;
use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Time for which a stream that hangs keeps its connection open.
const HANG_TIME: Duration = Duration::from_secs(5);
/// Time before a reset, so that the bytes sent before reach the daemon: a reset discards those that
/// are still on their way.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// How the end of a stream is shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamFraming {
    /// By the last chunk.
    #[default]
    Chunked,
    /// By the end of the connection: the stream has neither a length nor chunks.
    UntilClose,
}

/// How a server ends a stream that it breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutEnd {
    /// It closes the connection in an orderly way.
    Close,
    /// It resets the connection.
    Reset,
    /// It sends the last chunk, as after a complete stream.
    LastChunk,
}

/// Streams that a cut applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// All streams.
    All,
    /// Streams from the first event on.
    Started,
    /// Streams that go on after another server's.
    Resumed,
}

/// Where and how a server breaks off a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamCut {
    /// Streams that it applies to.
    pub scope: CutScope,
    /// Number of the event that is cut.
    pub event: u64,
    /// Number of bytes of this event that are sent.
    pub bytes: usize,
    /// How the stream ends then.
    pub end: CutEnd,
}

impl StreamCut {
    /// Resets every stream in the middle of an event.
    pub fn reset_at(event: u64) -> Self {
        Self {
            scope: CutScope::All,
            event,
            bytes: event_text(event).len() / 2,
            end: CutEnd::Reset,
        }
    }

    fn applies_to(&self, event: u64, first_event: u64) -> bool {
        let in_scope = match self.scope {
            CutScope::All => true,
            CutScope::Started => first_event == 0,
            CutScope::Resumed => first_event > 0,
        };
        in_scope && self.event == event
    }
}

/// One event as model servers send it.
pub fn event_text(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// Writes a response with the events from `first_event` on. `fields` are the lines of its head
/// after the status line, without those about framing.
pub(super) fn send_stream(
    stream: &mut TcpStream,
    fields: &str,
    first_event: u64,
    knobs: &ModelKnobs,
) -> AfterReply {
    // The daemon closes the connection when it gives up the stream.
    write_stream(stream, fields, first_event, knobs).unwrap_or(AfterReply::Close)
}

fn write_stream(
    stream: &mut TcpStream,
    fields: &str,
    first_event: u64,
    knobs: &ModelKnobs,
) -> io::Result<AfterReply> {
    let framing_line = match knobs.framing {
        StreamFraming::Chunked => "Transfer-Encoding: chunked\r\n",
        StreamFraming::UntilClose => "",
    };
    let head = format!("HTTP/1.1 200 OK\r\n{fields}{framing_line}\r\n");
    stream.write_all(head.as_bytes())?;
    for number in first_event..knobs.events {
        thread::sleep(knobs.event_gap);
        if let Some((event, time)) = knobs.pause_at_event
            && event == number
        {
            thread::sleep(time);
        }
        if knobs.hang_at_event == Some(number) {
            thread::sleep(HANG_TIME);
            return Ok(AfterReply::Close);
        }
        let event = event_text(number);
        let mut cuts = knobs.cuts.iter();
        if let Some(cut) = cuts.find(|cut| cut.applies_to(number, first_event)) {
            write_part(stream, &event[..cut.bytes], knobs.framing)?;
            return break_off(stream, cut.end);
        }
        write_part(stream, &event, knobs.framing)?;
    }
    match knobs.framing {
        StreamFraming::Chunked => {
            stream.write_all(b"0\r\n\r\n")?;
            Ok(AfterReply::Keep)
        }
        StreamFraming::UntilClose => Ok(AfterReply::Close),
    }
}

fn write_part(stream: &mut TcpStream, text: &str, framing: StreamFraming) -> io::Result<()> {
    match framing {
        // An empty chunk would end the stream.
        _ if text.is_empty() => Ok(()),
        StreamFraming::Chunked => {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes())
        }
        StreamFraming::UntilClose => stream.write_all(text.as_bytes()),
    }
}

fn break_off(stream: &mut TcpStream, end: CutEnd) -> io::Result<AfterReply> {
    match end {
        CutEnd::Close => Ok(AfterReply::Close),
        CutEnd::Reset => {
            thread::sleep(RESET_DELAY);
            Ok(AfterReply::Reset)
        }
        CutEnd::LastChunk => {
            stream.write_all(b"0\r\n\r\n")?;
            Ok(AfterReply::Keep)
        }
    }
}
