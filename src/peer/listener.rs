//! Accepts connections from other daemons and handles their requests.

use crate::peer::frame::{FrameKind, PeerFrame, PeerTopic, frame_stream};
use crate::peer::handlers::PeerHandlers;
use crate::peer::handshake::authenticate_client;
use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use prost::Message;
use prost::bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an incoming connection that has not authenticated is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Replies queued on a connection before the tasks that handle its requests wait.
const REPLY_QUEUE_CAPACITY: usize = 256;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves other daemons until the task is cancelled.
pub async fn serve_peers(listener: TcpListener, key: Arc<str>, handlers: Arc<PeerHandlers>) {
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        match accepted {
            Ok(stream) => {
                task::spawn(serve_peer(stream, Arc::clone(&key), Arc::clone(&handlers)));
            }
            Err(_cause) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_peer(stream: TcpStream, key: Arc<str>, handlers: Arc<PeerHandlers>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut frames = frame_stream(stream);
    let authenticated = timeout(HANDSHAKE_TIMEOUT, authenticate_client(&mut frames, &key)).await;
    if !matches!(authenticated, Ok(Ok(()))) {
        return;
    }
    let (replies, queue) = bounded::<PeerFrame>(REPLY_QUEUE_CAPACITY);
    let (mut sink, mut stream) = futures_util::StreamExt::split(frames);
    let write = async {
        while let Ok(frame) = queue.recv().await {
            if sink.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                break;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = stream.next().await {
            let Ok(frame) = PeerFrame::decode(bytes.as_ref()) else {
                break;
            };
            task::spawn(handle_request(
                frame,
                replies.clone(),
                Arc::clone(&handlers),
            ));
        }
    };
    futures_lite::future::or(write, read).await;
}

/// Sends the reply of the handler; requests of a topic without a handler get none.
async fn handle_request(frame: PeerFrame, replies: Sender<PeerFrame>, handlers: Arc<PeerHandlers>) {
    let Ok(topic) = PeerTopic::try_from(frame.topic) else {
        return;
    };
    let Some(payload) = handlers.handle(topic, frame.payload).await else {
        return;
    };
    let reply = PeerFrame {
        kind: FrameKind::Reply.into(),
        payload,
        ..frame
    };
    if replies.send(reply).await.is_err() {
        // The connection has closed: the call fails at the caller, which may retry it.
    }
}
