//! Asks other daemons for their copy.

use crate::mirror::StoreItem;
use crate::peer::frame_stream;
use crate::snapshots::message::{CopyAnswer, CopyRequest};
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

/// Longest time for one daemon's answer: a few hundred kilobytes over a slow link.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// The newest copy of a prefix that these daemons hold; `None` when none of them answers with one.
pub async fn fetch_snapshot(peers: &[SocketAddr], prefix: &Arc<str>) -> Option<Vec<StoreItem>> {
    let asked = peers.iter().map(|peer| {
        let (peer, prefix) = (*peer, Arc::clone(prefix));
        task::spawn(async move { (peer, timeout(ANSWER_LIMIT, ask(peer, &prefix)).await) })
    });
    let asked: Vec<_> = asked.collect();
    let mut newest: Option<Vec<StoreItem>> = None;
    for call in asked {
        match call.await {
            // A daemon that found nothing has started before the keys were written.
            (_, Ok(Ok(answer))) if answer.known && !answer.items.is_empty() => {
                let items: Vec<StoreItem> = answer.items.into_iter().map(Into::into).collect();
                if newest
                    .as_ref()
                    .is_none_or(|known| revision_of(known) < revision_of(&items))
                {
                    newest = Some(items);
                }
            }
            (_, Ok(Ok(_))) => {}
            (peer, Ok(Err(cause))) => log::debug!("no copy from {peer}: {cause}"),
            (peer, Err(_elapsed)) => log::debug!("no copy from {peer} in time"),
        }
    }
    newest
}

fn revision_of(items: &[StoreItem]) -> u64 {
    items.iter().map(|item| item.revision).max().unwrap_or(0)
}

async fn ask(peer: SocketAddr, prefix: &str) -> io::Result<CopyAnswer> {
    let mut frames = frame_stream(TcpStream::connect(peer).await?);
    let request = CopyRequest {
        prefix: prefix.to_owned(),
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let frame = frames.next().await.ok_or_else(closed)??;
    CopyAnswer::decode(frame.as_ref()).map_err(io::Error::other)
}
