//! Serves snapshots of this daemon's mirrors to peers.

use crate::mirror::MirrorSet;
use crate::peer::frame_stream;
use crate::snapshots::message::{SnapshotItem, SnapshotReply, SnapshotRequest};
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

/// Time limit for one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections served at once; further ones wait. Limits the memory for replies,
/// also when a whole fleet starts at once.
const MAX_CONNECTIONS: usize = 4;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves snapshots until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_snapshots(listen: SocketAddr, mirrors: MirrorSet) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let permits = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (permit, mirrors) = (Arc::clone(&permits), mirrors.clone());
                let served = task::spawn(async move {
                    let served =
                        timeout(CONNECTION_TIMEOUT, serve_connection(stream, &mirrors)).await;
                    if !matches!(served, Ok(Ok(()))) {
                        log::debug!("no snapshot for {from}: {served:?}");
                    }
                    drop(permit);
                });
                if Arc::strong_count(&permits) > MAX_CONNECTIONS {
                    served.await;
                }
            }
            Err(cause) => {
                log::warn!("cannot accept a peer: {cause}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, mirrors: &MirrorSet) -> io::Result<()> {
    let mut frames = frame_stream(stream);
    let Some(frame) = frames.next().await else {
        return Ok(());
    };
    let request = SnapshotRequest::decode(frame?.as_ref()).map_err(io::Error::other)?;
    let items = mirrors.items(&request.prefix);
    let reply = SnapshotReply {
        complete: items.is_some(),
        items: items.iter().flatten().map(SnapshotItem::from).collect(),
    };
    frames.send(Bytes::from(reply.encode_to_vec())).await
}
