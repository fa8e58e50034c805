//! Frames that carry the messages between daemons.

use async_std::net::TcpStream;
use prost::Message;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Largest frame accepted: the largest value of the store, with some margin for the rest of the
/// frame.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// A TCP connection that carries frames.
pub(crate) type FrameStream = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// Wraps a connection in the frame codec.
pub(crate) fn frame_stream(stream: TcpStream) -> FrameStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// A request, to be answered by a reply with the same sequence number.
    Request = 0,
    /// The reply to a request.
    Reply = 1,
}

/// Topic of a message; selects the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum PeerTopic {
    /// Membership heartbeats and probes.
    Membership = 0,
    /// Configuration adoption.
    Config = 1,
    /// Claims on idempotency keys.
    Claim = 2,
    /// Demand of teams, for dividing their limits among the daemons.
    Limit = 3,
    /// Requests that crash targets.
    Poison = 4,
    /// Load reports of model engines.
    Load = 5,
}

/// A request or reply between two daemons.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PeerFrame {
    /// Number of the request on its connection; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Value of [`FrameKind`].
    #[prost(enumeration = "FrameKind", tag = "2")]
    pub kind: i32,
    /// Value of [`PeerTopic`].
    #[prost(enumeration = "PeerTopic", tag = "3")]
    pub topic: i32,
    /// Encoded message; the topic determines its type.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
}
