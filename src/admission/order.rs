//! Order of waiting requests: strict priority classes, within a class start-time fair queueing between
//! teams by cost and weight, then arrival.

use std::collections::HashMap;
use std::hash::Hash;

/// Number of a request in its queue, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// Place of a request in its queue. Requests of a smaller place come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueOrder {
    /// Priority class, 0 is the most important.
    pub priority: u8,
    /// Virtual time at which the request may start.
    pub start_tag: u64,
    /// Number of the request.
    pub ticket: AdmissionTicket,
}

/// Units of a tag per token and unit of weight.
const TAG_SCALE: f64 = 1_000.0;
/// Number of teams with a finish tag from which on idle teams are removed.
const MAX_FINISH_TAGS: usize = 4_096;

/// Assigns places to requests of teams, which are told apart by `K`.
#[derive(Debug, Clone)]
pub struct FairOrder<K> {
    next_ticket: u64,
    /// Highest start tag of a request that has started.
    virtual_time: u64,
    /// Finish tag of each team's last request.
    finish_tags: HashMap<K, u64>,
}

impl<K> Default for FairOrder<K> {
    fn default() -> Self {
        Self {
            next_ticket: 0,
            virtual_time: 0,
            finish_tags: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> FairOrder<K> {
    /// Start tag that the next request of the team gets.
    pub fn start_tag(&self, team: &K) -> u64 {
        let finish = self.finish_tags.get(team).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    /// Gives a request its place and charges its cost in tokens to the team's finish tag.
    pub fn assign(&mut self, team: &K, priority: u8, cost: f64, weight: u32) -> QueueOrder {
        let start_tag = self.start_tag(team);
        self.remove_idle_teams();
        self.finish_tags
            .insert(team.clone(), start_tag + tag_length(cost, weight));
        let ticket = AdmissionTicket(self.next_ticket);
        self.next_ticket += 1;
        QueueOrder {
            priority,
            start_tag,
            ticket,
        }
    }

    /// Gives back what was charged for a request that has not started.
    pub fn refund(&mut self, team: &K, cost: f64, weight: u32) {
        if let Some(finish) = self.finish_tags.get_mut(team) {
            *finish = finish.saturating_sub(tag_length(cost, weight));
        }
    }

    /// Records that the request at this place has started.
    pub fn on_start(&mut self, order: QueueOrder) {
        self.virtual_time = self.virtual_time.max(order.start_tag);
    }

    fn remove_idle_teams(&mut self) {
        if self.finish_tags.len() >= MAX_FINISH_TAGS {
            let now = self.virtual_time;
            self.finish_tags.retain(|_team, finish| *finish > now);
        }
    }
}

fn tag_length(cost: f64, weight: u32) -> u64 {
    (cost * TAG_SCALE / f64::from(weight.max(1))) as u64
}
