//! Mutual authentication of a connection: each side proves by an HMAC over both nonces that it
//! holds the shared key.

use crate::peer::frame::FrameStream;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use hmac::{Hmac, Mac};
use prost::bytes::Bytes;
use sha2::Sha256;
use std::fmt;
use subtle::ConstantTimeEq;

/// Result of a handshake.
pub type Result<T> = std::result::Result<T, HandshakeError>;

/// Length of the random nonce of each side.
const NONCE_BYTES: usize = 32;
/// Label in the proof of the client, so that the server cannot send the proof back as its own.
const CLIENT_LABEL: &[u8] = b"arbutusmount peer client";
/// Label in the proof of the server.
const SERVER_LABEL: &[u8] = b"arbutusmount peer server";

/// Why a connection was not authenticated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandshakeError {
    /// The connection failed or was closed before the handshake was complete.
    Closed(String),
    /// The proof of the other side is not valid: it does not hold the key.
    WrongKey,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(cause) => write!(f, "connection lost in the peer handshake: {cause}"),
            Self::WrongKey => f.write_str("peer key of the other side does not match"),
        }
    }
}

impl std::error::Error for HandshakeError {}

/// Authenticates an outgoing connection, to a server.
pub(super) async fn authenticate_to_server(frames: &mut FrameStream, key: &str) -> Result<()> {
    let server_nonce = receive(frames).await?;
    let client_nonce = random_nonce();
    let proof = compute_proof(key, CLIENT_LABEL, &server_nonce, &client_nonce);
    send(frames, [client_nonce.as_slice(), &proof].concat()).await?;
    let server_proof = receive(frames).await?;
    let expected = compute_proof(key, SERVER_LABEL, &server_nonce, &client_nonce);
    check_proof(&expected, &server_proof)
}

/// Authenticates an incoming connection, from a client.
pub(super) async fn authenticate_client(frames: &mut FrameStream, key: &str) -> Result<()> {
    let server_nonce = random_nonce();
    send(frames, server_nonce.to_vec()).await?;
    let client_message = receive(frames).await?;
    if client_message.len() <= NONCE_BYTES {
        return Err(HandshakeError::WrongKey);
    }
    let (client_nonce, client_proof) = client_message.split_at(NONCE_BYTES);
    check_proof(
        &compute_proof(key, CLIENT_LABEL, &server_nonce, client_nonce),
        client_proof,
    )?;
    send(
        frames,
        compute_proof(key, SERVER_LABEL, &server_nonce, client_nonce),
    )
    .await
}

fn random_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).expect("the operating system provides random bytes");
    nonce
}

fn compute_proof(key: &str, label: &[u8], server_nonce: &[u8], client_nonce: &[u8]) -> Vec<u8> {
    let mut mac: Hmac<Sha256> =
        Hmac::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(label);
    mac.update(server_nonce);
    mac.update(client_nonce);
    mac.finalize().into_bytes().to_vec()
}

/// Compares two proofs in constant time.
fn check_proof(expected: &[u8], given: &[u8]) -> Result<()> {
    if expected.ct_eq(given).into() {
        Ok(())
    } else {
        Err(HandshakeError::WrongKey)
    }
}

async fn send(frames: &mut FrameStream, bytes: Vec<u8>) -> Result<()> {
    let sent = frames.send(Bytes::from(bytes)).await;
    sent.map_err(|cause| HandshakeError::Closed(cause.to_string()))
}

async fn receive(frames: &mut FrameStream) -> Result<Vec<u8>> {
    match frames.next().await {
        Some(Ok(bytes)) => Ok(bytes.to_vec()),
        Some(Err(cause)) => Err(HandshakeError::Closed(cause.to_string())),
        None => Err(HandshakeError::Closed("end of stream".to_owned())),
    }
}
