//! Messages between daemons: protocol buffers in length-delimited frames over TCP.

mod frame;
mod handlers;
mod handshake;
mod link;
mod listener;
mod questions;
mod transport;

pub use frame::{FrameKind, PeerFrame, PeerTopic};
pub(crate) use frame::{FrameStream, frame_stream};
pub use handlers::PeerHandlers;
pub use handshake::HandshakeError;
pub use listener::serve_peers;
pub use questions::QuestionClient;
pub use transport::{PeerError, PeerTransport};
