//! Framing of an event stream on the connection of its caller, so that a stream that is cut short
//! does not look complete, also when the process ends.

use crate::wire::{HeadBuilder, LAST_CHUNK, WireHead, encode_chunk, is_bodiless, reset_on_close};
use async_io::Async;
use std::net::TcpStream;

/// How a caller sees the end of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerFraming {
    /// By the last chunk.
    Chunked,
    /// At the end of the head: the response has no body, because of the method or the status.
    Bodiless,
    /// By an orderly close, as HTTP/1.0 has no chunks. The connection is set up to be reset by any
    /// other end.
    UntilClose,
}

impl CallerFraming {
    /// Framing of the response with this status to a request with this head.
    pub(super) fn for_response(head: &WireHead, status: u16) -> Self {
        if is_bodiless(head.method(), status) {
            Self::Bodiless
        } else if head.is_http_1_1() {
            Self::Chunked
        } else {
            Self::UntilClose
        }
    }

    /// Begins the body: adds the framing field to the head.
    pub(super) fn begin(self, head: HeadBuilder, caller: &Async<TcpStream>) -> HeadBuilder {
        match self {
            Self::Chunked => head.field("Transfer-Encoding", "chunked"),
            Self::Bodiless => head,
            Self::UntilClose => {
                reset_on_close(caller, true);
                head
            }
        }
    }

    /// Adds a part of the body to the output.
    pub(super) fn encode(self, data: &[u8], output: &mut Vec<u8>) {
        match self {
            Self::Chunked => encode_chunk(data, output),
            Self::Bodiless => {}
            Self::UntilClose => output.extend_from_slice(data),
        }
    }

    /// Adds what ends a complete body to the output.
    pub(super) fn encode_end(self, output: &mut Vec<u8>) {
        if self == Self::Chunked {
            output.extend_from_slice(LAST_CHUNK);
        }
    }

    /// To be called when the whole body was sent.
    pub(super) fn complete(self, caller: &Async<TcpStream>) {
        if self == Self::UntilClose {
            reset_on_close(caller, false);
        }
    }
}
