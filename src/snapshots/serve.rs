//! Answers daemons that ask for this one's copy.

use crate::mirror::MirrorSet;
use crate::peer::frame_stream;
use crate::snapshots::message::{CopiedItem, CopyAnswer, CopyRequest};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use prost::Message;
use prost::bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for one connection.
const SERVE_LIMIT: Duration = Duration::from_secs(2);
/// Connections answered at once; further ones wait, so that a fleet that starts together costs a
/// daemon no more memory than a few answers.
const MOST_AT_ONCE: usize = 4;
/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves copies for ever.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_snapshots(listen: SocketAddr, shelf: MirrorSet) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let running = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (turn, shelf) = (Arc::clone(&running), shelf.clone());
                let served = task::spawn(async move {
                    let served = timeout(SERVE_LIMIT, answer(stream, &shelf)).await;
                    if !matches!(served, Ok(Ok(()))) {
                        log::debug!("no copy for {from}: {served:?}");
                    }
                    drop(turn);
                });
                if Arc::strong_count(&running) > MOST_AT_ONCE {
                    served.await;
                }
            }
            Err(cause) => {
                log::warn!("copies: {cause}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, shelf: &MirrorSet) -> io::Result<()> {
    let mut frames = frame_stream(stream);
    let Some(frame) = frames.next().await else {
        return Ok(());
    };
    let request = CopyRequest::decode(frame?.as_ref()).map_err(io::Error::other)?;
    let items = shelf.items(&request.prefix);
    let answer = CopyAnswer {
        known: items.is_some(),
        items: items.iter().flatten().map(CopiedItem::from).collect(),
    };
    frames.send(Bytes::from(answer.encode_to_vec())).await
}
