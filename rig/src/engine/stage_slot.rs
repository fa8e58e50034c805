//! The stage that an engine holds or loads, and the orders that change it.

use arbutusmount::{
    ConnectionPool, EngineOrder, FenceNumber, HeldStage, HttpCall, LayerRange, OrderReply,
    PipelineWork,
};
use async_std::task;
use http_types::Method;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout of one weight transfer.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(600);
/// Time before a failed weight transfer is retried.
const WEIGHT_RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct SlotState {
    stage: Option<HeldStage>,
    highest_fence: FenceNumber,
    /// Increased by each order that changes the stage; a load of an earlier generation is outdated.
    generation: u64,
}

/// The one stage that an engine holds or loads; cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct StageSlot {
    state: Arc<Mutex<SlotState>>,
    weights: Option<SocketAddr>,
    pool: Arc<ConnectionPool>,
}

impl StageSlot {
    /// Creates an empty slot that loads weights from the store at `weights`; without a store,
    /// stages are ready at once.
    pub(super) fn new(weights: Option<SocketAddr>, pool: Arc<ConnectionPool>) -> Self {
        Self {
            state: Arc::default(),
            weights,
            pool,
        }
    }

    /// The stage that is held or loading, if any.
    pub(super) fn stages(&self) -> Vec<HeldStage> {
        let state = self.state.lock().expect("slot lock is never poisoned");
        state.stage.iter().cloned().collect()
    }

    /// True when the held stage is ready and contains these layers of the work's model.
    pub(super) fn can_run(&self, work: &PipelineWork, layers: LayerRange) -> bool {
        let state = self.state.lock().expect("slot lock is never poisoned");
        state.stage.as_ref().is_some_and(|held| {
            held.ready
                && held.model == work.model
                && held.version == work.version
                && held.layers.from <= layers.from
                && layers.to <= held.layers.to
        })
    }

    /// Applies an order. An order for the stage that is already held or loading changes nothing.
    pub(super) fn apply_order(&self, order: &EngineOrder, honours_fencing: bool) -> OrderReply {
        let mut state = self.state.lock().expect("slot lock is never poisoned");
        if honours_fencing && order.fence < state.highest_fence {
            return OrderReply::Fenced;
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        let is_same = |held: &HeldStage, wanted: &HeldStage| {
            held.model == wanted.model
                && held.version == wanted.version
                && held.layers == wanted.layers
        };
        let unchanged = match (&state.stage, &order.stage) {
            (Some(held), Some(wanted)) => is_same(held, wanted),
            (None, None) => true,
            _ => false,
        };
        if !unchanged {
            state.generation += 1;
            state.stage = order.stage.clone().map(|stage| HeldStage {
                ready: false,
                ..stage
            });
            if let Some(stage) = state.stage.clone() {
                let bytes = order.layer_bytes * u64::from(stage.layers.len());
                task::spawn(self.clone().load(stage, bytes, state.generation));
            }
        }
        OrderReply::Accepted
    }

    /// Fetches the weights of a stage, then marks it ready unless a later order has replaced it.
    async fn load(self, stage: HeldStage, bytes: u64, generation: u64) {
        while let Some(weights) = self.weights {
            let path = format!(
                "/v1/weights/{}/{}?bytes={bytes}",
                stage.model, stage.version
            );
            let call = HttpCall::new(weights, Method::Get, path).timeout(WEIGHT_TIMEOUT);
            let fetched: Result<(u16, serde_json::Value), _> = self.pool.fetch(&call).await;
            if matches!(fetched, Ok((200, _))) {
                break;
            }
            task::sleep(WEIGHT_RETRY_DELAY).await;
        }
        let mut state = self.state.lock().expect("slot lock is never poisoned");
        if state.generation == generation
            && let Some(held) = &mut state.stage
        {
            held.ready = true;
        }
    }
}
