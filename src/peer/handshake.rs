//! Mutual authentication of a connection by the shared key, with fresh nonces from both sides.

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

const NONCE_BYTES: usize = 32;
const CLIENT_LABEL: &[u8] = b"arbutusmount peer client";
const SERVER_LABEL: &[u8] = b"arbutusmount peer server";

/// Why a connection was not authenticated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandshakeError {
    /// The connection ended or failed.
    Closed(String),
    /// The other side does not hold the key.
    WrongKey,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(cause) => write!(f, "connection closed in handshake: {cause}"),
            Self::WrongKey => f.write_str("the other side does not hold the peer key"),
        }
    }
}

impl std::error::Error for HandshakeError {}

/// Authenticates an outgoing connection.
pub(super) async fn greet_server(frames: &mut FrameStream, key: &str) -> Result<()> {
    let server_nonce = receive(frames).await?;
    let client_nonce = draw_nonce();
    let proof = prove(key, CLIENT_LABEL, &server_nonce, &client_nonce);
    send(frames, [client_nonce.as_slice(), &proof].concat()).await?;
    let answer = receive(frames).await?;
    let expected = prove(key, SERVER_LABEL, &server_nonce, &client_nonce);
    check_proof(&expected, &answer)
}

/// Authenticates an incoming connection.
pub(super) async fn greet_client(frames: &mut FrameStream, key: &str) -> Result<()> {
    let server_nonce = draw_nonce();
    send(frames, server_nonce.to_vec()).await?;
    let hello = receive(frames).await?;
    if hello.len() <= NONCE_BYTES {
        return Err(HandshakeError::WrongKey);
    }
    let (client_nonce, proof) = hello.split_at(NONCE_BYTES);
    check_proof(
        &prove(key, CLIENT_LABEL, &server_nonce, client_nonce),
        proof,
    )?;
    send(
        frames,
        prove(key, SERVER_LABEL, &server_nonce, client_nonce),
    )
    .await
}

fn draw_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).expect("the operating system provides random bytes");
    nonce
}

fn prove(key: &str, label: &[u8], server_nonce: &[u8], client_nonce: &[u8]) -> Vec<u8> {
    let mut mac: Hmac<Sha256> =
        Hmac::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(label);
    mac.update(server_nonce);
    mac.update(client_nonce);
    mac.finalize().into_bytes().to_vec()
}

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
