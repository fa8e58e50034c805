//! Which daemons watch the store, and which of the others read it when nobody has done so.

use crate::config::sections::hash_text;
use crate::ids::{DomainId, InstanceId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Daemons that watch the store.
pub const STORE_WATCHERS: usize = 3;
/// Age of the newest read of the store, by anyone, from which the next daemon in line reads it.
const STALE_AGE: Duration = Duration::from_secs(2);
/// Additional age for each daemon further down the line.
const RANK_AGE: Duration = Duration::from_millis(250);

/// What a daemon does about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreDuty {
    /// Keep a watch on the configuration key.
    Watch,
    /// Read the key once: no watcher seems to reach the store.
    Read,
    /// Leave the store alone and learn from peers.
    Idle,
}

/// A daemon as the ranking sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterCandidate {
    /// Name.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
}

/// Orders daemons by rendezvous hashing for a role, so that the first ones lie in different
/// failure domains where there are several.
pub fn rank_routers(role: &str, routers: &[RouterCandidate]) -> Vec<InstanceId> {
    let mut waiting: Vec<&RouterCandidate> = routers.iter().collect();
    waiting.sort_by_key(|router| hash_text(&format!("{role} {}", router.instance)));
    let mut ranked = Vec::with_capacity(waiting.len());
    while !waiting.is_empty() {
        let mut domains = BTreeSet::new();
        waiting.retain(|router| {
            let first = domains.insert(router.domain.clone());
            if first {
                ranked.push(router.instance.clone());
            }
            !first
        });
    }
    ranked
}

/// What the daemon at `rank` does when the newest read of the store by anyone is `age` old.
pub fn store_duty(rank: usize, age: Duration) -> StoreDuty {
    if rank < STORE_WATCHERS {
        return StoreDuty::Watch;
    }
    let places = u32::try_from(rank - STORE_WATCHERS).unwrap_or(u32::MAX);
    if age > STALE_AGE.saturating_add(RANK_AGE.saturating_mul(places)) {
        StoreDuty::Read
    } else {
        StoreDuty::Idle
    }
}
