//! Queue of member updates to be gossiped, each in a bounded number of messages.

use crate::ids::InstanceId;
use std::collections::BTreeMap;

/// Members whose latest update is still to be gossiped, with the number of messages left for each.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    remaining: BTreeMap<InstanceId, u32>,
}

impl GossipQueue {
    /// Queues the update about a member for the next `messages_left` messages, replacing an earlier
    /// count.
    pub(super) fn push(&mut self, instance: InstanceId, messages_left: u32) {
        self.remaining.insert(instance, messages_left);
    }

    /// Returns up to `limit` members to include in the next message, those with the most messages
    /// left first, and decrements their counts.
    pub(super) fn take(&mut self, limit: usize) -> Vec<InstanceId> {
        let mut order: Vec<(u32, InstanceId)> = self
            .remaining
            .iter()
            .map(|(instance, messages_left)| (*messages_left, instance.clone()))
            .collect();
        order.sort_by_key(|(messages_left, _)| std::cmp::Reverse(*messages_left));
        order.truncate(limit);
        for (messages_left, instance) in &order {
            if *messages_left <= 1 {
                self.remaining.remove(instance);
            } else {
                self.remaining.insert(instance.clone(), messages_left - 1);
            }
        }
        order.into_iter().map(|(_, instance)| instance).collect()
    }
}
