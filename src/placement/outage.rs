//! Detects servers that were cut off together, as opposed to servers that crashed.

use crate::ids::InstanceId;
use crate::placement::plan::ServerPlacement;
use crate::units::MonoTime;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Servers with layers that leave the list within [`OUTAGE_WINDOW`] count as cut off together when
/// they are at least this many, and at least the share below: crashes take them one by one, and two
/// releases with servers that are taken away at the same time no more than four of 36.
const MIN_OUTAGE_SERVERS: usize = 3;
/// The share: one in this many of the servers with layers.
const OUTAGE_DIVISOR: usize = 6;
/// Leases of servers that are cut off together lapse within a heartbeat or two of each other.
const OUTAGE_WINDOW: Duration = Duration::from_millis(1_500);
/// Time that the leader waits for servers that may have been cut off. A lease lapses two to three
/// seconds after its server was cut off, and partitions of single machines mostly last four to six.
const RETURN_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Detects outages from the servers with layers at the last update and the times at which such
/// servers left the list.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    holders: BTreeSet<InstanceId>,
    lost: VecDeque<MonoTime>,
    outage_at: Option<MonoTime>,
}

impl OutageDetector {
    /// Compares the present servers with those of the last update.
    pub(super) fn update(&mut self, servers: &[ServerPlacement], now: MonoTime) {
        let is_present = |id: &InstanceId| servers.iter().any(|server| &server.id == id);
        let lost = self.holders.iter().filter(|id| !is_present(id)).count();
        self.lost.extend(std::iter::repeat_n(now, lost));
        while self
            .lost
            .front()
            .is_some_and(|at| now.since(*at) > OUTAGE_WINDOW)
        {
            self.lost.pop_front();
        }
        let before = self.holders.len() + self.lost.len() - lost;
        if lost > 0 && self.lost.len() >= MIN_OUTAGE_SERVERS.max(before / OUTAGE_DIVISOR) {
            self.outage_at = Some(now);
        }
        let holders = servers.iter().filter(|server| server.held.is_some());
        self.holders = holders.map(|server| server.id.clone()).collect();
    }

    /// True while servers that were lost together may come back with their layers.
    pub(super) fn may_return(&self, now: MonoTime) -> bool {
        self.outage_at
            .is_some_and(|at| now.since(at) < RETURN_GRACE_PERIOD)
    }
}
