//! Relays requests through another daemon while this one has no path to the targets.
//!
//! The other daemon serves the request as it serves its own callers, and never passes it on again. It
//! speaks HTTP/1.1 on an address that is open to the daemons of the presence list only: each request
//! carries the name and the token of the daemon that sends it, as its presence entry has them.

mod dispatch;
mod exchange;
mod plain;
mod stream;

pub use dispatch::PeerDispatch;
pub(super) use dispatch::{LOCAL_REPLY_FIELD, PEER_FIELD};
pub(super) use plain::relay_plain_via_peer;
pub(super) use stream::relay_stream_via_peer;
