//! Compresses large messages. A configuration of hundreds of kilobytes goes to many daemons at once, over
//! a link that may carry a few megabytes a second.

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use prost::Message;
use prost::bytes::Bytes;
use std::fmt;
use std::io::{Read, Write};

/// Result of unpacking.
pub type Result<T> = std::result::Result<T, PackingError>;

/// Size from which messages are compressed, in bytes.
const MIN_PACKED_BYTES: usize = 4 * 1024;
/// Most bytes that are unpacked; more than the store's largest values.
const MAX_UNPACKED_BYTES: u64 = 8 << 20;

/// Why a compressed message cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PackingError {
    /// It is damaged or not compressed.
    Damaged(std::io::ErrorKind),
    /// It is too large.
    TooLarge,
    /// It is not a message of the expected type.
    Malformed(prost::DecodeError),
}

impl fmt::Display for PackingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Damaged(cause) => write!(f, "compressed message is damaged: {cause}"),
            Self::TooLarge => write!(f, "message of more than {MAX_UNPACKED_BYTES} bytes"),
            Self::Malformed(cause) => write!(f, "malformed message: {cause}"),
        }
    }
}

impl std::error::Error for PackingError {}

/// Compresses a message; `None` where it is small.
pub fn pack_message(message: &impl Message) -> Option<Bytes> {
    if message.encoded_len() < MIN_PACKED_BYTES {
        return None;
    }
    let bytes = message.encode_to_vec();
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(&bytes).and_then(|()| encoder.finish());
    match packed {
        Ok(packed) => Some(Bytes::from(packed)),
        Err(cause) => {
            log::warn!("cannot compress a message, sending it as it is: {cause}");
            None
        }
    }
}

/// Restores a message.
///
/// # Errors
/// When it is damaged, malformed or too large.
pub fn unpack_message<T: Message + Default>(packed: &[u8]) -> Result<T> {
    let mut bytes = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_UNPACKED_BYTES + 1);
    decoder
        .read_to_end(&mut bytes)
        .map_err(|cause| PackingError::Damaged(cause.kind()))?;
    if bytes.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(PackingError::TooLarge);
    }
    T::decode(bytes.as_slice()).map_err(PackingError::Malformed)
}
