//! Serves snapshots of this daemon's mirrors, and feeds of their changes, to peers.

use crate::feed::serve::{FeedSource, serve_feed};
use crate::mirror::MirrorSet;
use crate::peer::{FrameStream, frame_stream};
use crate::snapshots::{SnapshotItem, SnapshotReply, SnapshotRequest};
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

/// Time limit for a snapshot, from the connection to its last byte.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of snapshots served at once; further connections wait. Limits the memory for
/// replies, also when a whole fleet starts at once.
const MAX_SNAPSHOTS: usize = 4;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves snapshots and feeds until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn serve_copies(listen: SocketAddr, source: FeedSource) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let permits = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (permit, source) = (Arc::clone(&permits), source.clone());
                let served = task::spawn(async move {
                    let asked = timeout(SNAPSHOT_TIMEOUT, answer(stream, &source.mirrors)).await;
                    drop(permit);
                    match asked {
                        Ok(Ok(NextStep::Close)) => {}
                        Ok(Ok(NextStep::Feed(frames, request))) => {
                            task::spawn(feed_peer(frames, request, source, from));
                        }
                        failed => log::debug!("no snapshot for {from}: {failed:?}"),
                    }
                });
                if Arc::strong_count(&permits) > MAX_SNAPSHOTS {
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

/// What to do next with a connection.
#[derive(Debug)]
enum NextStep {
    Close,
    Feed(Box<FrameStream>, SnapshotRequest),
}

/// Reads the request of a connection, and answers it if it asks for a snapshot.
async fn answer(stream: TcpStream, mirrors: &MirrorSet) -> io::Result<NextStep> {
    stream.set_nodelay(true)?;
    let mut frames = frame_stream(stream);
    let Some(frame) = frames.next().await else {
        return Ok(NextStep::Close);
    };
    let request = SnapshotRequest::decode(frame?.as_ref()).map_err(io::Error::other)?;
    if request.feed.is_some() {
        return Ok(NextStep::Feed(Box::new(frames), request));
    }
    let items = mirrors.items(&request.prefix);
    let reply = SnapshotReply {
        complete: items.is_some(),
        items: items.iter().flatten().map(SnapshotItem::from).collect(),
        packed: None,
    };
    let reply = if request.reads_packed {
        reply.into_packed()
    } else {
        reply
    };
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(NextStep::Close)
}

async fn feed_peer(
    mut frames: Box<FrameStream>,
    request: SnapshotRequest,
    source: FeedSource,
    from: SocketAddr,
) {
    if let Err(cause) = serve_feed(&mut frames, request, &source).await {
        log::debug!("feed of {from} ended: {cause}");
    }
}
