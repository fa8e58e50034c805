//! HTTP/1.1 for relaying: heads and bodies are kept byte for byte, and an answer that ends early never
//! looks complete.

mod body;
mod client;
mod events;
mod head;
mod pool;
mod reading;
mod server;
mod stream;

pub use body::{BodyDecoder, BodyError, BodyFrame, BodyStep, LAST_CHUNK, encode_chunk};
pub use client::{CallError, WireCall, WireClient, WireReply};
pub use events::{EventSplitter, WholeEvent};
pub use head::{
    HeadBuilder, HeadError, HeadLimits, HeadStep, WireHead, parse_reply, parse_request,
};
pub use pool::StreamPool;
pub use reading::{BodyEnd, ReadError, read_body, read_reply_head};
pub use server::{ServeOutcome, WireServer, read_request, read_request_body};
pub use stream::{StreamError, WireStream, read_some, write_all};
