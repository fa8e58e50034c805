//! Decides which daemons watch the store, and when another daemon reads it because no recent read
//! has been reported.

use crate::config::sections::hash_text;
use crate::ids::{DomainId, InstanceId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of daemons that watch the store.
pub const STORE_WATCHERS: usize = 3;
/// Age of the last reported store read from which the first daemon after the watchers reads the
/// store itself.
const FIRST_READ_AGE: Duration = Duration::from_secs(2);
/// Additional age per rank, so that the daemons do not all read the store at the same time.
const READ_AGE_STEP: Duration = Duration::from_millis(250);

/// How a daemon accesses the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreDuty {
    /// Watch the configuration key.
    Watch,
    /// Read the key once, as the watchers appear to have lost the store.
    Read,
    /// Do not access the store; rely on gossip from peers.
    Idle,
}

/// Daemon to be ranked for a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterCandidate {
    /// Name of the daemon.
    pub instance: InstanceId,
    /// Failure domain in which it runs.
    pub domain: DomainId,
}

/// Ranks daemons for a role by rendezvous hashing. Each round takes one daemon per failure domain,
/// so that the highest-ranked daemons run in different domains where possible.
pub fn rank_routers(role: &str, routers: &[RouterCandidate]) -> Vec<InstanceId> {
    let mut unranked: Vec<&RouterCandidate> = routers.iter().collect();
    unranked.sort_by_key(|router| hash_text(&format!("{role} {}", router.instance)));
    let mut ranked = Vec::with_capacity(unranked.len());
    while !unranked.is_empty() {
        let mut domains = BTreeSet::new();
        unranked.retain(|router| {
            let first = domains.insert(router.domain.clone());
            if first {
                ranked.push(router.instance.clone());
            }
            !first
        });
    }
    ranked
}

/// Returns how the daemon at `rank` accesses the store when the last store read reported by any
/// daemon is `age` old.
pub fn store_duty(rank: usize, age: Duration) -> StoreDuty {
    if rank < STORE_WATCHERS {
        return StoreDuty::Watch;
    }
    let readers_ahead = u32::try_from(rank - STORE_WATCHERS).unwrap_or(u32::MAX);
    if age > FIRST_READ_AGE.saturating_add(READ_AGE_STEP.saturating_mul(readers_ahead)) {
        StoreDuty::Read
    } else {
        StoreDuty::Idle
    }
}
