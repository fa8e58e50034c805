//! Load that other daemons have reserved, by target.

use crate::loads::digest::ReservationDigest;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a daemon's digest no longer counts: the daemon is gone or cut off.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(2);
/// Maximum number of senders that are remembered.
const MAX_SENDERS: usize = 1_024;

/// Sum of what other daemons have reserved at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Reserved tokens of context.
    pub tokens: u64,
    /// Requests in flight.
    pub requests: u32,
    /// Number of daemons that cannot reach the target.
    pub unreachable_from: u32,
}

/// Latest digest of each daemon.
#[derive(Debug, Default)]
pub struct LoadTable {
    digests: HashMap<u64, (ReservationDigest, MonoTime)>,
}

impl LoadTable {
    /// Stores a digest unless a newer one of the same sender is known. Also drops expired digests.
    pub fn record(&mut self, digest: ReservationDigest, now: MonoTime) {
        self.digests
            .retain(|_, (_, at)| now.since(*at) <= MAX_DIGEST_AGE);
        let known = self.digests.get(&digest.sender);
        let newer = known.is_none_or(|(known, _)| known.sequence < digest.sequence);
        if newer && (known.is_some() || self.digests.len() < MAX_SENDERS) {
            self.digests.insert(digest.sender, (digest, now));
        }
    }

    /// Sums the unexpired digests of all daemons, by the hash of the target.
    pub fn totals(&self, now: MonoTime) -> HashMap<u64, PeerLoad> {
        let fresh = self
            .digests
            .values()
            .filter(|(_, at)| now.since(*at) <= MAX_DIGEST_AGE);
        let mut totals: HashMap<u64, PeerLoad> = HashMap::new();
        let rows = fresh.flat_map(|(digest, _)| {
            let is_cut_off = digest.is_cut_off();
            digest.rows.iter().map(move |row| (row, is_cut_off))
        });
        for (row, is_cut_off) in rows {
            let total = totals.entry(row.target).or_default();
            total.tokens += u64::from(row.tokens);
            total.requests += row.requests;
            total.unreachable_from += u32::from(row.unreachable && !is_cut_off);
        }
        totals
    }
}
