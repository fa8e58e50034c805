//! The weight store: transfers share one rate limit.

use async_std::task;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Longest pause between checks of a transfer's progress.
const TRANSFER_SLICE: Duration = Duration::from_millis(50);

/// Hands out transfer time at a limited rate, first come first served.
#[derive(Debug, Default)]
pub(super) struct TransferLine {
    free_at: Mutex<Option<Instant>>,
}

impl TransferLine {
    /// Waits until `bytes` have been transferred at `rate` bytes a second.
    pub(super) async fn transfer(&self, bytes: u64, rate: u64) {
        let span = Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        let end = {
            let mut free_at = self
                .free_at
                .lock()
                .expect("transfer lock is never poisoned");
            let now = Instant::now();
            let start = free_at.map_or(now, |free| free.max(now));
            *free_at = Some(start + span);
            start + span
        };
        while let Some(left) = end.checked_duration_since(Instant::now()) {
            task::sleep(left.min(TRANSFER_SLICE)).await;
        }
    }
}
