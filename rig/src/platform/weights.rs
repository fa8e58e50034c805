//! Transfers of the weight store, which share one rate limit.

use async_std::task;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Longest sleep before a transfer checks whether it has ended.
const TRANSFER_POLL: Duration = Duration::from_millis(50);

/// Queue of transfers, served one after another in order of arrival.
#[derive(Debug, Default)]
pub(super) struct TransferQueue {
    /// End of the last transfer in the queue.
    free_at: Mutex<Option<Instant>>,
}

impl TransferQueue {
    /// Waits until `bytes` have been transferred at `rate` bytes per second.
    pub(super) async fn transfer(&self, bytes: u64, rate: u64) {
        let duration = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let end = {
            let mut free_at = self
                .free_at
                .lock()
                .expect("transfer lock is never poisoned");
            let now = Instant::now();
            let start = free_at.map_or(now, |free| free.max(now));
            *free_at = Some(start + duration);
            start + duration
        };
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            task::sleep(left.min(TRANSFER_POLL)).await;
        }
    }
}
