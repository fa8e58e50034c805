//! Reads request bodies within the memory that all connections share.

use crate::wire::body::{BodyDecoder, BodyFraming, BodyStep};
use crate::wire::connection_budget::{ConnectionHold, HoldError};
use crate::wire::head::WireHead;
use crate::wire::reading::ReadError;
use crate::wire::stream::{WireStream, pause_after_read};
use futures_lite::future::or;

/// Memory counted for the input buffer of a connection: two reads of 16 KiB.
const INPUT_BYTES: usize = 32 * 1024;
/// Smallest and largest step by which the buffer of a body grows. Doubling would take up to twice the size
/// of the body; smaller steps would copy large bodies more often.
const MIN_STEP_BYTES: usize = 4 * 1024;
const MAX_STEP_BYTES: usize = 256 * 1024;

/// What becomes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyUse {
    /// It is stored.
    Store,
    /// It is read and discarded, so that the connection stays usable.
    Discard,
}

/// Size limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct UploadBounds {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
}

impl UploadBounds {
    /// Memory counted for a head that is being read.
    pub fn head_memory(self) -> usize {
        INPUT_BYTES + self.head_bytes
    }

    /// Memory counted for the largest request.
    pub fn one_request(self) -> usize {
        self.head_memory() + INPUT_BYTES + self.body_bytes + MAX_STEP_BYTES
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UploadError {
    /// It is malformed or too long, or the connection ended.
    Read(ReadError),
    /// There is no memory for it.
    Memory(HoldError),
}

/// True when the head announces a body longer than `limit`.
pub fn is_announced_too_long(head: &WireHead, limit: usize) -> bool {
    let framing = BodyFraming::for_request(head);
    matches!(framing, BodyFraming::Sized(length) if length > limit as u64)
}

/// Reads the body of the request with this head; empty if it is discarded. A declared length above the limit
/// is rejected before anything is read. Ends early when the connection is to be ended for another one.
///
/// # Errors
/// [`UploadError`].
pub async fn read_upload(
    stream: &mut WireStream,
    head: &WireHead,
    bounds: UploadBounds,
    held: &ConnectionHold,
    body_use: BodyUse,
) -> Result<Vec<u8>, UploadError> {
    if is_announced_too_long(head, bounds.body_bytes) {
        return Err(UploadError::Read(ReadError::BodyTooLong));
    }
    let framing = BodyFraming::for_request(head);
    let mut decoder = BodyDecoder::new(framing);
    let longest = match framing {
        BodyFraming::Sized(length) => length as usize,
        _ => usize::MAX,
    };
    let mut body = Vec::new();
    let mut discarded = 0;
    let mut count = 0;
    loop {
        let grown = grow_body(&mut body, stream.input.len(), longest, bounds, held);
        grown.await.map_err(UploadError::Memory)?;
        let step = decoder.advance(&mut stream.input, &mut body);
        let step = step.map_err(|cause| UploadError::Read(ReadError::Body(cause)))?;
        let is_long = discarded + body.len() > bounds.body_bytes;
        if body_use == BodyUse::Discard {
            discarded += body.len();
            body.clear();
        }
        match step {
            BodyStep::Done => return Ok(body),
            BodyStep::Incomplete if is_long => {
                return Err(UploadError::Read(ReadError::BodyTooLong));
            }
            BodyStep::Incomplete => pause_after_read(count).await,
        }
        let ended = async {
            held.ended().await;
            Err(UploadError::Memory(HoldError::Ended))
        };
        let filled = async {
            let read = stream.fill().await;
            read.map_err(|cause| UploadError::Read(ReadError::Stream(cause)))
        };
        count = or(ended, filled).await?;
        held.on_progress();
    }
}

/// Capacity of a buffer that has to grow from `capacity` to hold `needed` bytes.
pub(super) fn grown_capacity(capacity: usize, needed: usize) -> usize {
    let step = capacity.clamp(MIN_STEP_BYTES, MAX_STEP_BYTES);
    needed.max(capacity + step)
}

/// Makes room for `input` more bytes, of at most `longest` in total, once the memory for them is granted.
///
/// # Errors
/// [`HoldError`] when the memory is not granted.
pub async fn grow_body(
    body: &mut Vec<u8>,
    input: usize,
    longest: usize,
    bounds: UploadBounds,
    held: &ConnectionHold,
) -> Result<(), HoldError> {
    let needed = (body.len() + input).min(longest);
    if needed <= body.capacity() {
        return Ok(());
    }
    let capacity = grown_capacity(body.capacity(), needed).min(longest);
    let held = held.hold(INPUT_BYTES + capacity, bounds.one_request());
    held.await?;
    body.reserve_exact(capacity - body.len());
    Ok(())
}
