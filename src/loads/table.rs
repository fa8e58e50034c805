//! Load that other daemons have reserved, by target.
//!
//! The daemons of the same failure domain are all heard within a second. Of the others, only some are
//! heard in that time, in turn, and what these have reserved is taken as a sample of them all.

use crate::loads::demand::DemandTotals;
use crate::loads::digest::ReservationDigest;
use crate::loads::fanout::PeerOrigin;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a daemon's digest no longer counts: it is out of date, or the daemon is gone or cut
/// off.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(2);
/// Daemons of other failure domains that are due to be heard within [`MAX_DIGEST_AGE`]: four with each
/// digest, five times a second.
const SAMPLE_SIZE: usize = 40;
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
    /// Number of daemons whose last requests at the target have failed.
    pub failing_at: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct OriginLoad {
    tokens: u64,
    requests: u64,
}

/// Latest digest of each daemon.
#[derive(Debug, Default)]
pub struct LoadTable {
    digests: HashMap<u64, (ReservationDigest, PeerOrigin, MonoTime)>,
}

impl LoadTable {
    /// Stores a digest unless a newer one of the same sender is known, or the sender is not listed. Also
    /// drops expired digests.
    pub fn record(&mut self, digest: ReservationDigest, origin: PeerOrigin, now: MonoTime) {
        self.digests
            .retain(|_, (_, _, at)| now.since(*at) <= MAX_DIGEST_AGE);
        let known = self.digests.get(&digest.sender);
        let newer = known.is_none_or(|(known, _, _)| known.sequence < digest.sequence);
        let has_room = known.is_some() || self.digests.len() < MAX_SENDERS;
        if newer && has_room && origin != PeerOrigin::Unlisted {
            self.digests.insert(digest.sender, (digest, origin, now));
        }
    }

    /// Sums the demand of the other daemons of this failure domain, which share its targets.
    pub fn demand(&self, now: MonoTime) -> DemandTotals {
        let is_counted = |origin: PeerOrigin, at: MonoTime| {
            origin == PeerOrigin::Local && now.since(at) <= MAX_DIGEST_AGE
        };
        let mut totals = DemandTotals::default();
        let digests = self.digests.values();
        for (digest, _, _) in digests.filter(|(_, origin, at)| is_counted(*origin, *at)) {
            digest.demand.iter().for_each(|row| totals.add(row));
        }
        totals
    }

    /// Sums the unexpired digests, by the hash of the target. Those of other failure domains count for
    /// all `remote_daemons` that are listed there.
    pub fn totals(&self, remote_daemons: usize, now: MonoTime) -> HashMap<u64, PeerLoad> {
        let is_fresh = |at: MonoTime| now.since(at) <= MAX_DIGEST_AGE;
        let fresh = self.digests.values().filter(|(_, _, at)| is_fresh(*at));
        let mut heard_remote = 0;
        let mut remote: HashMap<u64, OriginLoad> = HashMap::new();
        let mut totals: HashMap<u64, PeerLoad> = HashMap::new();
        for (digest, origin, _) in fresh {
            let is_remote = *origin == PeerOrigin::Remote;
            heard_remote += usize::from(is_remote);
            for row in &digest.rows {
                let total = totals.entry(row.target).or_default();
                total.failing_at += u32::from(row.failing && !digest.is_cut_off());
                total.unreachable_from += u32::from(row.unreachable && !digest.is_cut_off());
                if is_remote {
                    let load = remote.entry(row.target).or_default();
                    load.tokens += u64::from(row.tokens);
                    load.requests += u64::from(row.requests);
                } else {
                    total.tokens += u64::from(row.tokens);
                    total.requests = total.requests.saturating_add(row.requests);
                }
            }
        }
        let scale = sample_scale(remote_daemons, heard_remote);
        for (target, load) in remote {
            let total = totals.entry(target).or_default();
            total.tokens += (load.tokens as f64 * scale) as u64;
            let requests = (load.requests as f64 * scale).round() as u32;
            total.requests = total.requests.saturating_add(requests);
        }
        totals
    }
}

/// Number of daemons that each heard one represents. Where fewer are heard than are due, the others are
/// gone or cut off and are not made up for.
fn sample_scale(listed: usize, heard: usize) -> f64 {
    (listed as f64 / heard.max(SAMPLE_SIZE) as f64).max(1.0)
}
