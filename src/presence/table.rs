//! Table of the daemons that are known to be alive.

use crate::ids::{DomainId, InstanceId};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use subtle::ConstantTimeEq;

/// Minimum number of daemons in a caller's own failure domain for a response that names only these.
const MIN_DOMAIN_DAEMONS: usize = 2;

/// Presence entry of one daemon, as stored under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PresenceRow {
    /// Name of the daemon's instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address on which the daemon serves callers.
    pub callers: SocketAddr,
    /// Address on which the daemon receives messages from other daemons.
    pub peers: SocketAddr,
    /// Where it takes requests that other daemons pass on, if it does.
    #[serde(default)]
    pub relay: Option<RelayAccess>,
}

/// Where a daemon takes requests of other daemons, and how it proves who it is when it sends some.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayAccess {
    /// Listening address.
    pub address: SocketAddr,
    /// Secret of this run of the daemon. Only daemons can read it, as callers do not reach the store.
    pub token: Arc<str>,
}

/// Snapshot of the daemons that are known to be alive.
#[derive(Debug, Default)]
pub struct PresenceTable {
    rows: ArcSwap<BTreeMap<Arc<str>, PresenceRow>>,
    peak_count: AtomicUsize,
}

impl PresenceTable {
    /// All known daemons by their key in the store.
    pub fn rows(&self) -> Arc<BTreeMap<Arc<str>, PresenceRow>> {
        self.rows.load_full()
    }

    /// True if a daemon with this name is listed, and `token` is the secret of its run.
    pub fn knows_run(&self, instance: &str, token: &str) -> bool {
        let rows = self.rows.load();
        let listed = rows.values().find(|row| row.instance.as_str() == instance);
        let access = listed.and_then(|row| row.relay.as_ref());
        access.is_some_and(|access| access.token.as_bytes().ct_eq(token.as_bytes()).into())
    }

    /// Replaces the snapshot.
    pub fn publish(&self, rows: BTreeMap<Arc<str>, PresenceRow>) {
        // A daemon whose own entry is not in the list yet still counts itself.
        self.peak_count
            .fetch_max(rows.len().max(1), Ordering::Relaxed);
        self.rows.store(Arc::new(rows));
    }

    /// Largest number of daemons that were known at the same time; 0 before the list was read.
    pub fn peak_count(&self) -> usize {
        self.peak_count.load(Ordering::Relaxed)
    }

    /// Up to `limit` addresses for a caller in `domain`, of the daemons that are `usable`, or of all
    /// if none is. Names only daemons of the caller's own failure domain if there are enough of them,
    /// since traffic between domains is expensive; else all daemons.
    pub fn addresses_for(
        &self,
        domain: Option<&str>,
        limit: usize,
        usable: impl Fn(&PresenceRow) -> bool,
    ) -> Vec<SocketAddr> {
        let known = self.rows.load();
        let mut rows: Vec<&PresenceRow> = known.values().filter(|row| usable(row)).collect();
        if rows.is_empty() {
            rows = known.values().collect();
        }
        let is_in_domain = |row: &&&PresenceRow| domain == Some(row.domain.as_str());
        let in_domain: Vec<SocketAddr> = rows
            .iter()
            .filter(is_in_domain)
            .map(|row| row.callers)
            .collect();
        if in_domain.len() >= MIN_DOMAIN_DAEMONS {
            return in_domain.into_iter().take(limit).collect();
        }
        rows.iter().map(|row| row.callers).take(limit).collect()
    }
}
