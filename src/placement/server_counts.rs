//! Baseline of the number of servers of each kind in a failure domain.

use crate::ids::DomainId;
use crate::placement::plan::ServerPlacement;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a changed number of servers becomes the baseline. A server that is replaced
/// overlaps with its successor for 3 s, and a restart takes 5 s.
const BASELINE_TIME: Duration = Duration::from_secs(15);

/// Failure domain and accelerator kind.
type CountKey = (DomainId, Arc<str>);

/// Baseline and present number of servers of one key.
#[derive(Debug, Clone, Copy)]
struct CountRow {
    baseline: usize,
    present: usize,
    differs_since: MonoTime,
}

/// Baseline and present numbers of servers.
#[derive(Debug, Default)]
pub(super) struct ServerCounts {
    rows: HashMap<CountKey, CountRow>,
}

impl ServerCounts {
    /// Counts the present servers. The first call sets the baseline.
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

    /// True when the server's domain has more servers of its kind than the baseline.
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
