//! Peers that sent a message recently. A daemon that starts without the store asks them for
//! snapshots.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Maximum number of peers that are remembered: enough that one of them answers.
const MAX_PEERS: usize = 4;

/// Addresses of the peers that sent the latest messages, the most recent first.
#[derive(Debug, Default)]
pub struct RecentPeers {
    addresses: Mutex<VecDeque<SocketAddr>>,
}

impl RecentPeers {
    /// Records a message from a peer.
    pub fn record(&self, from: SocketAddr) {
        let mut addresses = self.addresses.lock().expect("peer lock is never poisoned");
        addresses.retain(|known| *known != from);
        addresses.push_front(from);
        addresses.truncate(MAX_PEERS);
    }

    /// Addresses of the remembered peers, the most recent first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.lock().expect("peer lock is never poisoned");
        addresses.iter().copied().collect()
    }
}
