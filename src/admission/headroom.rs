//! Capacity that requests of lower priorities leave to those of higher ones.
//!
//! Load: a burst of the lowest priority fills a service just before a burst of the highest one. Daemons
//! learn of each other's reservations with a delay, in which requests of higher priorities keep
//! arriving. So a lower priority leaves free what they need in that time.

use crate::admission::capacity::PriorityDemand;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest headroom, as a share of the capacity, so that no priority is starved by the arrivals of
/// higher ones alone.
const MAX_HEADROOM: f64 = 0.5;

/// Share of `capacity`, in tokens, that requests of this priority leave free. `demand` is that of all
/// daemons that share the capacity, and `age` the age of what is known of them.
pub fn priority_headroom(
    demand: &BTreeMap<u8, PriorityDemand>,
    priority: u8,
    age: Duration,
    capacity: f64,
) -> f64 {
    let higher = demand.range(..priority);
    let tokens: f64 = higher
        .map(|(_, demand)| demand.tokens_per_second * age.as_secs_f64() + demand.waiting_tokens)
        .sum();
    (tokens / capacity.max(1.0)).clamp(0.0, MAX_HEADROOM)
}
