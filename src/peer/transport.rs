//! Calls to other daemons over links that are opened on demand and reused.

use crate::peer::PeerTopic;
use crate::peer::link::PeerLink;
use async_std::future::timeout;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Result of a call to another daemon.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a call to another daemon failed, by whether the daemon may have handled it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// No link could be opened: the request was not sent.
    Unreachable(String),
    /// The link failed after the request was queued: it may have been handled.
    Lost(String),
    /// No reply arrived within the timeout: the request may have been handled.
    TimedOut,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "cannot open a link to the peer: {cause}"),
            Self::Lost(cause) => write!(f, "link to the peer was lost: {cause}"),
            Self::TimedOut => f.write_str("timeout waiting for the reply of the peer"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends requests to other daemons, over one link for each address.
#[derive(Debug)]
pub struct PeerTransport {
    key: Arc<str>,
    connect_timeout: Duration,
    links: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
}

impl PeerTransport {
    /// Creates a transport that authenticates with `key`. `connect_timeout` applies to connecting
    /// and the handshake.
    pub fn new(key: &Arc<str>, connect_timeout: Duration) -> Self {
        Self {
            key: Arc::clone(key),
            connect_timeout,
            links: Mutex::default(),
        }
    }

    /// Sends a request and waits up to `reply_timeout` for the reply, not counting the time to open
    /// a link.
    ///
    /// # Errors
    /// [`PeerError`], by whether the peer may have handled the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        topic: PeerTopic,
        payload: Vec<u8>,
        reply_timeout: Duration,
    ) -> Result<Vec<u8>> {
        let link = self.link(address).await?;
        let called = timeout(reply_timeout, link.call(topic, payload)).await;
        called.unwrap_or_else(|_elapsed| {
            self.remove_link(address, &link);
            Err(PeerError::TimedOut)
        })
    }

    /// Removes a link after a timeout, so that the next call opens a new one: a lost connection may
    /// show no other sign.
    fn remove_link(&self, address: SocketAddr, link: &Arc<PeerLink>) {
        let mut links = self.links.lock().expect("link lock is never poisoned");
        if links
            .get(&address)
            .is_some_and(|current| Arc::ptr_eq(current, link))
        {
            links.remove(&address);
        }
    }

    /// The open link to `address`, or a new one.
    async fn link(&self, address: SocketAddr) -> Result<Arc<PeerLink>> {
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let opened = timeout(self.connect_timeout, PeerLink::open(address, &self.key)).await;
        let link = opened.map_err(|_elapsed| {
            PeerError::Unreachable("timeout connecting to the peer".to_owned())
        })??;
        let mut links = self.links.lock().expect("link lock is never poisoned");
        links.retain(|_address, link| !link.is_closed());
        links.insert(address, Arc::clone(&link));
        Ok(link)
    }

    fn open_link(&self, address: SocketAddr) -> Option<Arc<PeerLink>> {
        let links = self.links.lock().expect("link lock is never poisoned");
        links
            .get(&address)
            .filter(|link| !link.is_closed())
            .cloned()
    }
}
