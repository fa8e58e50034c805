//! Continuous batching: each step runs the waiting items together, up to the largest batch.

use arbutusmount::LayerRange;
use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::task;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Step times of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepCost {
    /// Time of one layer for a batch of one, in microseconds.
    pub(super) layer_micros: u64,
    /// Additional time of one layer for each further item, in microseconds.
    pub(super) item_micros: u64,
    /// Time of one layer for each token to prefill, in microseconds.
    pub(super) prefill_micros: u64,
    /// Largest number of items in one step.
    pub(super) max_batch: usize,
}

/// Layers to run for one request, and the channel that signals their end.
struct BatchItem {
    layers: LayerRange,
    prefill_tokens: u32,
    priority: u8,
    done: Sender<()>,
}

/// Queue of one engine and its batch loop.
#[derive(Debug, Clone)]
pub(super) struct StepBatcher {
    sender: Sender<BatchItem>,
    queued: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    slow_percent: Arc<AtomicU64>,
    cost: StepCost,
}

impl StepBatcher {
    /// Starts the batch loop.
    pub(super) fn start(cost: StepCost) -> Self {
        let (sender, receiver) = unbounded();
        let batcher = Self {
            sender,
            queued: Arc::default(),
            running: Arc::default(),
            slow_percent: Arc::new(AtomicU64::new(100)),
            cost,
        };
        task::spawn(batcher.clone().run(receiver));
        batcher
    }

    pub(super) fn cost(&self) -> StepCost {
        self.cost
    }

    /// Items waiting and items in the current batch.
    pub(super) fn load(&self) -> (u32, u32) {
        (
            self.queued.load(Ordering::Relaxed),
            self.running.load(Ordering::Relaxed),
        )
    }

    /// Sets the factor on step times, in per cent; 100 is normal.
    pub(super) fn set_slow_percent(&self, percent: u64) {
        self.slow_percent.store(percent, Ordering::Relaxed);
    }

    /// Queues these layers and waits until a step has run them. Lower priority numbers run first.
    pub(super) async fn run_step(&self, layers: LayerRange, prefill_tokens: u32, priority: u8) {
        let (done, finished) = bounded(1);
        self.queued.fetch_add(1, Ordering::Relaxed);
        let item = BatchItem {
            layers,
            prefill_tokens,
            priority,
            done,
        };
        self.sender
            .send(item)
            .await
            .expect("the batch loop never ends");
        // The loop signals every item; an error would mean that it has ended.
        finished.recv().await.expect("the batch loop never ends");
    }

    async fn run(self, receiver: Receiver<BatchItem>) {
        let mut waiting: Vec<BatchItem> = Vec::new();
        loop {
            if waiting.is_empty() {
                let Ok(item) = receiver.recv().await else {
                    return;
                };
                waiting.push(item);
            }
            while let Ok(item) = receiver.try_recv() {
                waiting.push(item);
            }
            waiting.sort_by_key(|item| item.priority);
            let count = waiting.len().min(self.cost.max_batch);
            let batch: Vec<BatchItem> = waiting.drain(..count).collect();
            self.run_batch(&batch).await;
        }
    }

    async fn run_batch(&self, batch: &[BatchItem]) {
        let count = batch.len() as u32;
        self.queued.fetch_sub(count, Ordering::Relaxed);
        self.running.store(count, Ordering::Relaxed);
        task::sleep(self.batch_time(batch)).await;
        self.running.store(0, Ordering::Relaxed);
        for item in batch {
            if item.done.try_send(()).is_err() {
                // The request was cancelled during the step.
            }
        }
    }

    fn batch_time(&self, batch: &[BatchItem]) -> Duration {
        let cost = self.cost;
        let layers = batch
            .iter()
            .map(|item| u64::from(item.layers.len()))
            .max()
            .unwrap_or(0);
        let further = batch.len() as u64 - 1;
        let step = layers * (cost.layer_micros + cost.item_micros * further);
        let prefill: u64 = batch
            .iter()
            .map(|item| {
                u64::from(item.prefill_tokens) * u64::from(item.layers.len()) * cost.prefill_micros
            })
            .sum();
        let slow = self.slow_percent.load(Ordering::Relaxed);
        Duration::from_micros((step + prefill) * slow / 100)
    }
}
