//! Asks the keeper of a target for permits, by datagram.

use crate::limits::message::PermitReply;
use async_io::Async;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Time for which a reply is awaited. The keeper is a round trip away, and other targets can serve
/// the request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Questions to keepers that have no reply yet.
#[derive(Debug, Default)]
pub struct PermitClient {
    socket: OnceLock<Arc<Async<UdpSocket>>>,
    waiting: Mutex<HashMap<u64, Sender<PermitReply>>>,
}

impl PermitClient {
    /// Sets the socket on which the daemon exchanges datagrams with others.
    pub fn set_socket(&self, socket: Arc<Async<UdpSocket>>) {
        // Only the first socket counts: a daemon has one.
        let _ = self.socket.set(socket);
    }

    /// Sends a question and awaits the reply with its number; `None` when there is none in time.
    pub async fn ask(
        &self,
        keeper: SocketAddr,
        number: u64,
        datagram: &[u8],
    ) -> Option<PermitReply> {
        let socket = self.socket.get()?;
        let waiting = WaitingReply::start(self, number);
        if let Err(cause) = socket.send_to(datagram, keeper).await {
            log::debug!("cannot ask {keeper} for a permit: {cause}");
            return None;
        }
        timeout(REPLY_TIMEOUT, waiting.replies.recv())
            .await
            .ok()?
            .ok()
    }

    /// Hands a reply to the request that waits for it; false if there is none, as after a timeout.
    pub fn on_reply(&self, reply: PermitReply) -> bool {
        let sender = self.lock().remove(&reply.number);
        sender.is_some_and(|sender| sender.try_send(reply).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<PermitReply>>> {
        self.waiting.lock().expect("questions are never poisoned")
    }
}

/// A question that waits for its reply; forgotten when dropped.
struct WaitingReply<'a> {
    client: &'a PermitClient,
    number: u64,
    replies: Receiver<PermitReply>,
}

impl<'a> WaitingReply<'a> {
    fn start(client: &'a PermitClient, number: u64) -> Self {
        let (sender, replies) = bounded(1);
        client.lock().insert(number, sender);
        Self {
            client,
            number,
            replies,
        }
    }
}

impl Drop for WaitingReply<'_> {
    fn drop(&mut self) {
        self.client.lock().remove(&self.number);
    }
}
