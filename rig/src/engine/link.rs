//! Links from one engine to the next: a delay and a rate for each destination.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Delay and rate of one link.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LinkKnobs {
    /// Delay of each transfer, in microseconds.
    pub delay_micros: u64,
    /// Activations carried per second, one for each token; 0 for no limit.
    pub per_second: f64,
}

/// Queues of the links: the time at which each link is free again.
#[derive(Debug, Default)]
pub(super) struct LinkQueues {
    free_at: Mutex<HashMap<Arc<str>, Instant>>,
}

impl LinkQueues {
    /// Queues `activations` on the link to `destination` and returns the time until they have
    /// arrived.
    pub(super) fn enqueue(&self, destination: &str, link: LinkKnobs, activations: u32) -> Duration {
        let delay = Duration::from_micros(link.delay_micros);
        if link.per_second <= 0.0 {
            return delay;
        }
        let transfer = Duration::from_secs_f64(f64::from(activations) / link.per_second);
        let now = Instant::now();
        let mut links = self.free_at.lock().expect("link lock is never poisoned");
        let free_at = links.entry(Arc::from(destination)).or_insert(now);
        *free_at = (*free_at).max(now) + transfer;
        free_at.duration_since(now) + delay
    }
}
