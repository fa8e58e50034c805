//! HTTP interface of the key-value service, as the etcd v3 JSON gateway has it.

use crate::platform::server::PlatformStandIn;
use arbutusmount::{
    JsonInt64, LeaseGrantReply, LeaseGrantRequest, LeaseKeepAliveReply, LeaseRequest, RangeRequest,
    TxnRequest, WatchFrame, WatchReply, WatchRequest, WireEvent, decode_bytes,
};
use async_std::channel::Receiver;
use futures_lite::AsyncRead;
use http_types::Body;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tide::{Request, Response, StatusCode};

type ApiRequest = Request<PlatformStandIn>;

/// Adds the routes of the key-value service.
pub(super) fn add_routes(app: &mut tide::Server<PlatformStandIn>) {
    app.at("/v3/kv/range").post(handle_range);
    app.at("/v3/kv/txn").post(handle_txn);
    app.at("/v3/lease/grant").post(handle_grant);
    app.at("/v3/lease/keepalive").post(handle_keep_alive);
    app.at("/v3/lease/revoke").post(handle_revoke);
    app.at("/v3/watch").post(handle_watch);
}

async fn handle_range(mut request: ApiRequest) -> tide::Result {
    let range: RangeRequest = request.body_json().await?;
    let platform = request.state();
    let refusal = platform.admit("range", false).await;
    if let Some(response) = refusal {
        return Ok(response);
    }
    let knobs = platform.knobs();
    let reply = match knobs.stale_as_of {
        0 => platform.keys().range(&range, knobs.stale_reads),
        as_of => platform.keys().range_as_of(&range, as_of),
    };
    platform.reply(&reply).await
}

async fn handle_txn(mut request: ApiRequest) -> tide::Result {
    let txn: TxnRequest = request.body_json().await?;
    let platform = request.state();
    if let Some(response) = platform.admit("txn", true).await {
        return Ok(response);
    }
    let reply = platform.keys().txn(&txn);
    match reply {
        Some(reply) => platform.reply_for_key(&first_key(&txn), &reply).await,
        None => Ok(Response::new(StatusCode::BadRequest)),
    }
}

/// Key of the first comparison of a transaction, as text.
fn first_key(txn: &TxnRequest) -> String {
    let key = txn
        .compare
        .first()
        .and_then(|clause| decode_bytes(&clause.key));
    String::from_utf8_lossy(&key.unwrap_or_default()).into_owned()
}

async fn handle_grant(mut request: ApiRequest) -> tide::Result {
    let grant: LeaseGrantRequest = request.body_json().await?;
    let platform = request.state();
    if let Some(response) = platform.admit("grant", true).await {
        return Ok(response);
    }
    let ttl = Duration::from_secs(grant.ttl.0.unsigned_abs());
    let id = JsonInt64(platform.keys().grant(ttl));
    platform
        .reply(&LeaseGrantReply { id, ttl: grant.ttl })
        .await
}

async fn handle_keep_alive(mut request: ApiRequest) -> tide::Result {
    let renew: LeaseRequest = request.body_json().await?;
    let platform = request.state();
    if let Some(response) = platform.admit("keepalive", true).await {
        return Ok(response);
    }
    let ttl = platform.keys().keep_alive(renew.id.0);
    let ttl = JsonInt64(ttl.as_secs().cast_signed());
    let result = LeaseGrantReply { id: renew.id, ttl };
    platform.reply(&LeaseKeepAliveReply { result }).await
}

async fn handle_revoke(mut request: ApiRequest) -> tide::Result {
    let revoke: LeaseRequest = request.body_json().await?;
    let platform = request.state();
    if let Some(response) = platform.admit("revoke", true).await {
        return Ok(response);
    }
    platform.keys().revoke(revoke.id.0);
    platform.reply(&serde_json::json!({})).await
}

async fn handle_watch(mut request: ApiRequest) -> tide::Result {
    let watch: WatchRequest = request.body_json().await?;
    let platform = request.state();
    if let Some(response) = platform.admit("watch", false).await {
        return Ok(response);
    }
    let create = watch.create_request;
    let Some(key) = decode_bytes(&create.key) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    let (events, header) = {
        let mut keys = platform.keys();
        (keys.watch(key, create.start_revision.0), keys.header())
    };
    let created = WatchReply {
        header,
        created: true,
        events: Vec::new(),
    };
    let body = WatchBody {
        events,
        pending: encode_frame(created),
        platform: platform.clone(),
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(
        futures_lite::io::BufReader::new(body),
        None,
    ));
    Ok(response)
}

fn encode_frame(result: WatchReply) -> Vec<u8> {
    let mut line = serde_json::to_vec(&WatchFrame { result }).expect("frames serialize");
    line.push(b'\n');
    line
}

/// Body of a watch: one JSON line for each change. It fails during an outage of the store.
struct WatchBody {
    events: Receiver<WireEvent>,
    pending: Vec<u8>,
    platform: PlatformStandIn,
}

impl AsyncRead for WatchBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.pending.is_empty() {
            let event = match futures_lite::Stream::poll_next(Pin::new(&mut self.events), cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(event)) => event,
            };
            if self.platform.knobs().outage {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            let header = self.platform.keys().header();
            self.pending = encode_frame(WatchReply {
                header,
                created: false,
                events: vec![event],
            });
        }
        let count = buf.len().min(self.pending.len());
        buf[..count].copy_from_slice(&self.pending[..count]);
        self.pending.drain(..count);
        Poll::Ready(Ok(count))
    }
}
