//! HTTP/1.1 for relaying. Heads and bodies are kept byte for byte, and a truncated response is
//! never reported as complete.

mod body;
mod client;
mod connection_budget;
mod events;
mod head;
mod pool;
mod reading;
mod response_budget;
mod server;
mod stream;
mod upload;
mod upload_table;

pub use body::{
    BodyDecoder, BodyError, BodyFraming, BodyStep, LAST_CHUNK, encode_chunk, is_bodiless,
};
pub use client::{CallError, WireCall, WireClient, WireResponse};
pub use connection_budget::{ConnectionBudget, ConnectionHold, HoldError};
pub use events::{CompleteEvent, EventSplitter};
pub use head::{
    HeadBuilder, HeadError, HeadLimits, HeadStep, WireHead, parse_request, parse_response,
};
pub use pool::StreamPool;
pub use reading::{BodyEnd, BodyInput, ReadError, fill_body, read_body, read_final_head};
pub use response_budget::{ResponseBudget, ResponseHold};
pub use server::{HeadOutcome, WireServer, read_head_within, read_request_head, wait_for_request};
pub use stream::{
    StreamError, WireStream, close_after_reading, pause_after_read, read_some, reset_on_close,
    write_all,
};
pub use upload::{
    BodyUse, UploadBounds, UploadError, grow_body, is_announced_too_long, read_upload,
};
pub use upload_table::{ConnectionPhase, HoldStep, UploadLimits, UploadTable};
