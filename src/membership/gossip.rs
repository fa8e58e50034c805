//! Statements that still have to be spread, each a bounded number of times.

use crate::ids::InstanceId;
use std::collections::BTreeMap;

/// Members whose newest statement is still to be spread.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    remaining: BTreeMap<InstanceId, u32>,
}

impl GossipQueue {
    /// Spreads the statement about a member `times` times from now on.
    pub(super) fn push(&mut self, instance: InstanceId, times: u32) {
        self.remaining.insert(instance, times);
    }

    /// The members to mention in the next message, those spread least first.
    pub(super) fn take(&mut self, limit: usize) -> Vec<InstanceId> {
        let mut order: Vec<(u32, InstanceId)> = self
            .remaining
            .iter()
            .map(|(instance, times)| (*times, instance.clone()))
            .collect();
        order.sort_by_key(|(times, _)| std::cmp::Reverse(*times));
        order.truncate(limit);
        for (times, instance) in &order {
            if *times <= 1 {
                self.remaining.remove(instance);
            } else {
                self.remaining.insert(instance.clone(), times - 1);
            }
        }
        order.into_iter().map(|(_, instance)| instance).collect()
    }
}
