//! The daemons that are known to live.

use crate::ids::{DomainId, InstanceId};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Fewest daemons of a caller's own failure domain for an answer that names only these.
const ENOUGH_NEAR: usize = 2;

/// One daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PresenceRow {
    /// Name of its instance.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it takes messages from other daemons.
    pub peers: SocketAddr,
}

/// Snapshot of the daemons that are known to live.
#[derive(Debug, Default)]
pub struct PresenceTable {
    rows: ArcSwap<BTreeMap<Arc<str>, PresenceRow>>,
    peak_count: AtomicUsize,
}

impl PresenceTable {
    /// All daemons.
    pub fn rows(&self) -> Arc<BTreeMap<Arc<str>, PresenceRow>> {
        self.rows.load_full()
    }

    /// Publishes the daemons.
    pub fn publish(&self, rows: BTreeMap<Arc<str>, PresenceRow>) {
        self.peak_count.fetch_max(rows.len(), Ordering::Relaxed);
        self.rows.store(Arc::new(rows));
    }

    /// Most daemons that were known at once.
    pub fn peak_count(&self) -> usize {
        self.peak_count.load(Ordering::Relaxed)
    }

    /// Addresses for a caller in `domain`, its own failure domain first: those alone where they are
    /// enough, since bytes between domains are dear. At most `limit`.
    pub fn addresses_for(&self, domain: Option<&str>, limit: usize) -> Vec<SocketAddr> {
        let rows = self.rows.load();
        let is_near = |row: &&PresenceRow| domain == Some(row.domain.as_str());
        let near: Vec<SocketAddr> = rows
            .values()
            .filter(is_near)
            .map(|row| row.callers)
            .collect();
        if near.len() >= ENOUGH_NEAR {
            return near.into_iter().take(limit).collect();
        }
        rows.values().map(|row| row.callers).take(limit).collect()
    }
}
