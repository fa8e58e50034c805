//! Settings of admission.

use crate::admission::{LimitSettings, QueueSettings};
use crate::check::{FieldKind, FieldRule};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of admission.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct AdmissionSettings {
    /// Longest wait of a request for admission, in milliseconds.
    pub queue_ms: u64,
    /// Most requests that may wait for admission to one model.
    pub queue_entries: usize,
    /// Gap between tokens above which the concurrency limit of a model shrinks, in milliseconds.
    pub token_gap_ms: u64,
    /// Concurrency limit of a model before any gap was observed.
    pub initial_limit: u32,
    /// Lowest concurrency limit of a model.
    pub min_limit: u32,
    /// Size of a team's token bucket, in seconds of its rate.
    pub burst_seconds: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_ms: 300,
            queue_entries: 512,
            token_gap_ms: 58,
            initial_limit: 64,
            min_limit: 4,
            burst_seconds: 2.0,
        }
    }
}

impl AdmissionSettings {
    /// Settings of a model's queue.
    pub fn queue(&self) -> QueueSettings {
        QueueSettings {
            max_wait: Duration::from_millis(self.queue_ms),
            max_entries: self.queue_entries,
        }
    }

    /// Settings of a model's concurrency limit, with all values capped at `ceiling`.
    pub fn limit(&self, ceiling: usize) -> LimitSettings {
        LimitSettings {
            target_gap: Duration::from_millis(self.token_gap_ms),
            initial: f64::from(self.initial_limit).min(ceiling as f64),
            floor: f64::from(self.min_limit).min(ceiling as f64),
            ceiling: ceiling as f64,
        }
    }
}

/// Field table of [`AdmissionSettings`].
pub const ADMISSION_TABLE: &[FieldRule] = &[
    FieldRule::optional("queue_ms", FieldKind::Integer(0, 60_000)),
    FieldRule::optional("queue_entries", FieldKind::Integer(0, 1 << 16)),
    FieldRule::optional("token_gap_ms", FieldKind::Integer(1, 60_000)),
    FieldRule::optional("initial_limit", FieldKind::Integer(1, 1 << 16)),
    FieldRule::optional("min_limit", FieldKind::Integer(1, 1 << 16)),
    FieldRule::optional("burst_seconds", FieldKind::NonNegative),
];
