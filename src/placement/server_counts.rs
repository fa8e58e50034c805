//! How many servers of each kind a failure domain usually has.

use crate::ids::DomainId;
use crate::placement::plan::ServerPlacement;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which another number of servers counts as the usual one: longer than a server that is
/// replaced stays beside its successor (3 s), or takes to restart (5 s).
const BASELINE_TIME: Duration = Duration::from_secs(15);

/// Servers of one kind in one domain.
type CountKey = (DomainId, Arc<str>);

/// The usual number of servers and the present one.
#[derive(Debug, Clone, Copy)]
struct CountRow {
    baseline: usize,
    present: usize,
    differs_since: MonoTime,
}

/// Usual and present numbers of servers.
#[derive(Debug, Default)]
pub(super) struct ServerCounts {
    rows: HashMap<CountKey, CountRow>,
}

impl ServerCounts {
    /// Takes the servers of now. Those of the first time are the usual ones.
    pub(super) fn update(&mut self, servers: &[ServerPlacement], now: MonoTime) {
        let is_first = self.rows.is_empty();
        let mut counts: HashMap<CountKey, usize> = HashMap::new();
        for server in servers {
            *counts.entry(key_of(server)).or_default() += 1;
        }
        for key in counts.keys() {
            self.rows.entry(key.clone()).or_insert_with(|| CountRow {
                baseline: if is_first { counts[key] } else { 0 },
                present: 0,
                differs_since: now,
            });
        }
        for (key, row) in &mut self.rows {
            row.count(counts.get(key).copied().unwrap_or(0), now);
        }
    }

    /// True when the server's domain has more servers of its kind than usual.
    pub(super) fn has_surplus(&self, server: &ServerPlacement) -> bool {
        let row = self.rows.get(&key_of(server));
        row.is_some_and(|row| row.present > row.baseline)
    }
}

impl CountRow {
    fn count(&mut self, present: usize, now: MonoTime) {
        self.present = present;
        if present == self.baseline {
            self.differs_since = now;
        } else if now.since(self.differs_since) >= BASELINE_TIME {
            self.baseline = present;
        }
    }
}

fn key_of(server: &ServerPlacement) -> CountKey {
    (server.domain.clone(), Arc::clone(&server.card))
}
