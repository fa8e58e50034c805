//! Daemons that have sent a message lately: whom a daemon that knows nothing yet can ask.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Daemons that are remembered: enough that one of them answers.
const MOST_HEARD: usize = 4;

/// The daemons heard last, the newest first.
#[derive(Debug, Default)]
pub struct RecentPeers {
    addresses: Mutex<VecDeque<SocketAddr>>,
}

impl RecentPeers {
    /// Notes a message.
    pub fn record(&self, from: SocketAddr) {
        let mut addresses = self.addresses.lock().expect("peers are never poisoned");
        addresses.retain(|known| *known != from);
        addresses.push_front(from);
        addresses.truncate(MOST_HEARD);
    }

    /// The daemons heard last.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.lock().expect("peers are never poisoned");
        addresses.iter().copied().collect()
    }
}
