//! Memory that the responses in progress hold together.

use crate::wire::upload::grown_capacity;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limit if the settings name no memory.
const DEFAULT_BYTES: usize = 1 << 30;
/// Part of the memory of the process for responses. The rest is for the program, for requests, and for what
/// the allocator keeps between buffers of different sizes.
const MEMORY_SHARE: f64 = 0.25;
/// Part of each response that is not counted, so that ordinary ones are read whatever others hold.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Counts what responses hold beyond the size of ordinary ones; cheap to clone.
#[derive(Debug, Clone)]
pub struct ResponseBudget {
    held: Arc<AtomicUsize>,
    limit: usize,
}

impl Default for ResponseBudget {
    /// A budget of 1 GiB.
    fn default() -> Self {
        Self::of_process(None)
    }
}

impl ResponseBudget {
    /// Budget of a process with this memory in MiB.
    pub fn of_process(memory_mb: Option<u64>) -> Self {
        let share = |mb: u64| ((mb << 20) as f64 * MEMORY_SHARE) as usize;
        Self::with_limit(memory_mb.map_or(DEFAULT_BYTES, share))
    }

    /// Budget of `limit` bytes.
    pub fn with_limit(limit: usize) -> Self {
        Self {
            held: Arc::default(),
            limit,
        }
    }

    /// Bytes that are counted.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Begins a response, which holds nothing yet.
    pub fn open(&self) -> ResponseHold {
        ResponseHold {
            budget: self.clone(),
            counted: 0,
        }
    }
}

/// What one response holds; released when this is dropped.
#[derive(Debug)]
pub struct ResponseHold {
    budget: ResponseBudget,
    counted: usize,
}

impl ResponseHold {
    /// Makes room for `count` more bytes in the buffer of the response. False if there is no memory for that: the
    /// response is to be given up.
    #[must_use]
    pub fn reserve(&mut self, buffer: &mut Vec<u8>, count: usize) -> bool {
        let needed = buffer.len() + count;
        if needed <= buffer.capacity() {
            return self.resize(buffer.capacity());
        }
        let capacity = grown_capacity(buffer.capacity(), needed);
        let is_granted = self.resize(capacity);
        if is_granted {
            buffer.reserve_exact(capacity - buffer.len());
        }
        is_granted
    }

    /// Changes what the response holds to `bytes`. False if there is no memory for that: nothing has changed
    /// then, and the response is to be given up.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        if counted == self.counted {
            return true;
        }
        let ResponseBudget { held, limit } = &self.budget;
        let changed = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            let others = held - self.counted;
            (counted <= self.counted || others + counted <= *limit).then_some(others + counted)
        });
        if changed.is_ok() {
            self.counted = counted;
        }
        changed.is_ok()
    }
}

impl Drop for ResponseHold {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
