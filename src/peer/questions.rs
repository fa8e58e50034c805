//! Questions to other daemons by datagram, and the replies that requests wait for.

use async_io::Async;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// Time for which a reply is awaited. The other daemon is a round trip away, and the request can be served
/// in another way.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Questions that have no reply yet.
#[derive(Debug)]
pub struct QuestionClient<R> {
    socket: OnceLock<Arc<Async<UdpSocket>>>,
    waiting: Mutex<HashMap<u64, Sender<R>>>,
}

impl<R> Default for QuestionClient<R> {
    fn default() -> Self {
        Self {
            socket: OnceLock::new(),
            waiting: Mutex::default(),
        }
    }
}

impl<R> QuestionClient<R> {
    /// Sets the socket on which the daemon exchanges datagrams with others.
    pub fn set_socket(&self, socket: Arc<Async<UdpSocket>>) {
        // Only the first socket counts: a daemon has one.
        let _ = self.socket.set(socket);
    }

    /// Sends a question and awaits the reply with its number; `None` when there is none in time. A reply
    /// that this process reads too late, as after it was suspended, does not count: what it grants
    /// may have run out.
    pub async fn ask(&self, peer: SocketAddr, number: u64, datagram: &[u8]) -> Option<R> {
        let socket = self.socket.get()?;
        let waiting = WaitingReply::start(self, number);
        let asked = Instant::now();
        if let Err(cause) = socket.send_to(datagram, peer).await {
            log::debug!("cannot ask {peer}: {cause}");
            return None;
        }
        let reply = timeout(REPLY_TIMEOUT, waiting.replies.recv()).await;
        let reply = reply.ok()?.ok()?;
        (asked.elapsed() <= REPLY_TIMEOUT).then_some(reply)
    }

    /// Hands a reply to the request that waits for it; false if there is none, as after a timeout.
    pub fn on_reply(&self, number: u64, reply: R) -> bool {
        let sender = self.lock().remove(&number);
        sender.is_some_and(|sender| sender.try_send(reply).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<R>>> {
        self.waiting.lock().expect("questions are never poisoned")
    }
}

/// A question that waits for its reply; forgotten when dropped.
struct WaitingReply<'a, R> {
    client: &'a QuestionClient<R>,
    number: u64,
    replies: Receiver<R>,
}

impl<'a, R> WaitingReply<'a, R> {
    fn start(client: &'a QuestionClient<R>, number: u64) -> Self {
        let (sender, replies) = bounded(1);
        client.lock().insert(number, sender);
        Self {
            client,
            number,
            replies,
        }
    }
}

impl<R> Drop for WaitingReply<'_, R> {
    fn drop(&mut self) {
        self.client.lock().remove(&self.number);
    }
}
