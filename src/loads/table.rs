//! What other daemons have reserved, by target.

use crate::loads::digest::ReservationDigest;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a daemon's figures no longer count: it is gone or cut off.
const DIGEST_AGE: Duration = Duration::from_secs(2);
/// Most senders that are remembered.
const MAX_SENDERS: usize = 1_024;

/// Sum of what others have reserved at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Tokens of context.
    pub tokens: u64,
    /// Requests in progress.
    pub requests: u32,
    /// Daemons that do not reach it.
    pub unreachable: u32,
}

/// The newest digest of each daemon.
#[derive(Debug, Default)]
pub struct LoadTable {
    digests: HashMap<u64, (ReservationDigest, MonoTime)>,
}

impl LoadTable {
    /// Takes in a digest; an older one than the sender's newest changes nothing.
    pub fn record(&mut self, digest: ReservationDigest, now: MonoTime) {
        self.digests
            .retain(|_, (_, at)| now.since(*at) <= DIGEST_AGE);
        let known = self.digests.get(&digest.sender);
        let newer = known.is_none_or(|(known, _)| known.sequence < digest.sequence);
        if newer && (known.is_some() || self.digests.len() < MAX_SENDERS) {
            self.digests.insert(digest.sender, (digest, now));
        }
    }

    /// Sums over all daemons whose figures are fresh.
    pub fn totals(&self, now: MonoTime) -> HashMap<u64, PeerLoad> {
        let fresh = self
            .digests
            .values()
            .filter(|(_, at)| now.since(*at) <= DIGEST_AGE);
        let mut totals: HashMap<u64, PeerLoad> = HashMap::new();
        for row in fresh.flat_map(|(digest, _)| &digest.rows) {
            let total = totals.entry(row.target).or_default();
            total.tokens += u64::from(row.tokens);
            total.requests += row.requests;
            total.unreachable += u32::from(row.unreachable);
        }
        totals
    }
}
