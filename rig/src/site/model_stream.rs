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
    /// It goes on with the next event, so that the rest of this one is missing.
    NextEvent,
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

/// One event of a server that names its run in each event.
fn event_of_run(number: u64, run: &str) -> String {
    format!("id: {number}\ndata: token {number}\ndata: run {run}\n\n")
}

/// Writes a response with the events from `first_event` on. `fields` are the lines of its head
/// after the status line, without those about framing.
pub(super) fn send_stream(
    stream: &mut TcpStream,
    fields: &str,
    first_event: u64,
    knobs: &ModelKnobs,
    run: &str,
) -> AfterReply {
    // The daemon closes the connection when it gives up the stream.
    write_stream(stream, fields, first_event, knobs, run).unwrap_or(AfterReply::Close)
}

/// Writes the head of a response and its first events, and no end.
pub(super) fn send_beginning(
    stream: &mut TcpStream,
    fields: &str,
    first_event: u64,
    knobs: &ModelKnobs,
    events: u64,
) {
    let mut output = begin_response(fields, knobs.framing);
    for number in first_event..first_event + events {
        push_part(&mut output, &event_text(number), knobs.framing);
    }
    // The daemon may have closed the connection.
    let _sent = stream.write_all(output.as_bytes());
}

/// Status line and fields of a response.
fn begin_response(fields: &str, framing: StreamFraming) -> String {
    let framing_line = match framing {
        StreamFraming::Chunked => "Transfer-Encoding: chunked\r\n",
        StreamFraming::UntilClose => "",
    };
    format!("HTTP/1.1 200 OK\r\n{fields}{framing_line}\r\n")
}

fn write_stream(
    stream: &mut TcpStream,
    fields: &str,
    first_event: u64,
    knobs: &ModelKnobs,
    run: &str,
) -> io::Result<AfterReply> {
    let mut output = begin_response(fields, knobs.framing);
    for number in first_event..knobs.events {
        if !knobs.event_gap.is_zero() {
            send_output(stream, &mut output)?;
            thread::sleep(knobs.event_gap);
        }
        if let Some((event, time)) = knobs.pause_at_event
            && event == number
        {
            thread::sleep(time);
        }
        if knobs.hang_at_event == Some(number) {
            send_output(stream, &mut output)?;
            thread::sleep(HANG_TIME);
            return Ok(AfterReply::Close);
        }
        let event = if knobs.names_runs {
            event_of_run(number, run)
        } else {
            event_text(number)
        };
        let mut cuts = knobs.cuts.iter();
        let Some(cut) = cuts.find(|cut| cut.applies_to(number, first_event)) else {
            push_part(&mut output, &event, knobs.framing);
            continue;
        };
        push_part(&mut output, &event[..cut.bytes], knobs.framing);
        match cut.end {
            CutEnd::NextEvent => {}
            CutEnd::Close => return end_stream(stream, &mut output, AfterReply::Close),
            CutEnd::LastChunk => return complete_stream(stream, output, StreamFraming::Chunked),
            CutEnd::Reset => {
                send_output(stream, &mut output)?;
                thread::sleep(RESET_DELAY);
                return Ok(AfterReply::Reset);
            }
        }
    }
    complete_stream(stream, output, knobs.framing)
}

fn complete_stream(
    stream: &mut TcpStream,
    mut output: String,
    framing: StreamFraming,
) -> io::Result<AfterReply> {
    match framing {
        StreamFraming::Chunked => {
            output.push_str("0\r\n\r\n");
            end_stream(stream, &mut output, AfterReply::Keep)
        }
        StreamFraming::UntilClose => end_stream(stream, &mut output, AfterReply::Close),
    }
}

fn end_stream(
    stream: &mut TcpStream,
    output: &mut String,
    after: AfterReply,
) -> io::Result<AfterReply> {
    send_output(stream, output)?;
    Ok(after)
}

fn send_output(stream: &mut TcpStream, output: &mut String) -> io::Result<()> {
    stream.write_all(output.as_bytes())?;
    output.clear();
    Ok(())
}

fn push_part(output: &mut String, text: &str, framing: StreamFraming) {
    match framing {
        // An empty chunk would end the stream.
        _ if text.is_empty() => {}
        StreamFraming::Chunked => {
            let size = format!("{:x}", text.len());
            output.extend([size.as_str(), "\r\n", text, "\r\n"]);
        }
        StreamFraming::UntilClose => output.push_str(text),
    }
}
