//! Fetches snapshots from peers.

use crate::mirror::{StoreItem, StoreVersion};
use crate::peer::frame_stream;
use crate::snapshots::message::{SnapshotReply, SnapshotRequest};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use prost::Message;
use prost::bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one peer's reply, which may be a few hundred kilobytes over a slow link.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks all `peers` at once for their snapshot of `prefix` and returns the newest; `None` when none
/// of them has one.
pub async fn fetch_snapshot(peers: &[SocketAddr], prefix: &Arc<str>) -> Option<Vec<StoreItem>> {
    let calls = peers.iter().map(|peer| {
        let (peer, prefix) = (*peer, Arc::clone(prefix));
        task::spawn(async move {
            (
                peer,
                timeout(REPLY_TIMEOUT, request_snapshot(peer, &prefix)).await,
            )
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut newest: Option<Vec<StoreItem>> = None;
    for call in calls {
        match call.await {
            // A peer without any keys listed the prefix before the keys were written.
            (_, Ok(Ok(reply))) if reply.complete && !reply.items.is_empty() => {
                let items: Vec<StoreItem> = reply.items.into_iter().map(Into::into).collect();
                if newest
                    .as_ref()
                    .is_none_or(|known| last_version(known) < last_version(&items))
                {
                    newest = Some(items);
                }
            }
            (_, Ok(Ok(_))) => {}
            (peer, Ok(Err(cause))) => log::debug!("no snapshot from {peer}: {cause}"),
            (peer, Err(_elapsed)) => log::debug!("no snapshot from {peer} in {REPLY_TIMEOUT:?}"),
        }
    }
    newest
}

fn last_version(items: &[StoreItem]) -> StoreVersion {
    let versions = items.iter().map(|item| item.version);
    versions.max().unwrap_or_default()
}

async fn request_snapshot(peer: SocketAddr, prefix: &str) -> io::Result<SnapshotReply> {
    let mut frames = frame_stream(TcpStream::connect(peer).await?);
    let request = SnapshotRequest {
        prefix: prefix.to_owned(),
        feed: None,
        reads_packed: true,
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let frame = frames.next().await.ok_or_else(closed)??;
    let reply = SnapshotReply::decode(frame.as_ref()).map_err(io::Error::other)?;
    reply.into_unpacked().map_err(io::Error::other)
}
