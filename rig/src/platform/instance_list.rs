//! The instance list, read with a lag.

use arbutusmount::{InstanceId, InstanceList, InstanceRow};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Versions of the list kept; the oldest are dropped first.
const MAX_VERSIONS: usize = 1_000;

/// The last [`MAX_VERSIONS`] versions of the instance list, with the time of each.
#[derive(Debug, Default)]
pub(super) struct LaggedList {
    versions: VecDeque<(Instant, InstanceList)>,
}

impl LaggedList {
    /// Adds or replaces an instance.
    pub(super) fn put(&mut self, row: InstanceRow) {
        self.change(|list| {
            list.instances
                .retain(|other| other.instance != row.instance);
            list.instances.push(row);
        });
    }

    /// Removes an instance.
    pub(super) fn remove(&mut self, instance: &InstanceId) {
        self.change(|list| list.instances.retain(|row| row.instance != *instance));
    }

    /// The list as it was `lag` ago; empty if there was none.
    pub(super) fn read(&self, lag: Duration) -> InstanceList {
        let old_enough = |(time, _): &&(Instant, InstanceList)| time.elapsed() >= lag;
        let found = self.versions.iter().rev().find(old_enough);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn change(&mut self, change: impl FnOnce(&mut InstanceList)) {
        let mut list = self
            .versions
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut list);
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back((Instant::now(), list));
    }
}
