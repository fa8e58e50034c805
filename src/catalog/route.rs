//! One route and the model behind it.

use crate::ids::ServiceId;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// It may.
    Idempotent,
    /// It runs at most once for each request of a caller.
    AtMostOnce,
    /// It is answered by a stream of events.
    Stream {
        /// The stream may go on at another target after the last event that was passed on.
        resumable: bool,
    },
}

impl RetryRule {
    /// True when another target may run the request although one may have run it already.
    pub fn allows_reexecution(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True for streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// Service.
    pub service: ServiceId,
    /// Weight among the route's services.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name.
    pub name: Arc<str>,
    /// Host, lower case.
    pub host: Arc<str>,
    /// Start of the paths it takes, beginning and ending with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub retry_rule: RetryRule,
    /// Longest time that a request may wait for its final answer.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub latency_goal: Duration,
    /// Rank, 0 is the highest.
    pub priority: u8,
    /// Services.
    pub shares: Vec<RouteShare>,
    /// Most targets that one request may be sent to.
    pub max_targets: u32,
    /// True when no key is needed.
    pub public: bool,
    /// Longest pause between two events of a stream that is on time.
    pub gap_goal: Option<Duration>,
}

impl RouteEntry {
    /// Draws a service by weight; `None` when there is none.
    pub fn draw_service(&self, rng: &mut fastrand::Rng) -> Option<&ServiceId> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = rng.u32(0..total.max(1));
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.first().map(|share| &share.service)
    }
}

/// A kind of accelerator and how it differs from the reference one.
#[derive(Debug, Clone, PartialEq)]
pub struct CardKind {
    /// Name.
    pub name: Arc<str>,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time of reading a prompt.
    pub prefill_factor: f64,
}

/// A model whose layers are spread over servers, and the times of its engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelShape {
    /// Layers of the model.
    pub layers: u32,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes that a token takes in memory, over all layers.
    pub kv_bytes_per_token: f64,
    /// Time of a step of one token through all layers, in milliseconds.
    pub step_ms: f64,
    /// Addition to a step for each request in the batch, in milliseconds.
    pub step_ms_per_request: f64,
    /// Addition to a step for each thousand tokens of context, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Requests in one batch.
    pub max_batch: u32,
    /// Kinds of accelerators.
    pub cards: Vec<CardKind>,
}

impl ModelShape {
    /// The kind with this name.
    pub fn card(&self, name: &str) -> Option<&CardKind> {
        self.cards.iter().find(|card| card.name.as_ref() == name)
    }

    /// Tokens of context that a usual request holds in memory.
    pub fn mean_context_tokens(&self) -> f64 {
        (self.mean_prompt_tokens + self.mean_answer_tokens).max(1.0)
    }

    /// Tokens whose cache fits beside `held` layers on a card.
    pub fn token_capacity(&self, card: &CardKind, held: u32) -> f64 {
        let held = f64::from(held);
        let free = card.memory_bytes - held * self.layer_bytes;
        let per_token = self.kv_bytes_per_token / f64::from(self.layers) * held;
        (free / per_token.max(1.0)).max(0.0)
    }

    /// Most layers that a card can hold with room for `tokens` tokens.
    pub fn max_layers(&self, card: &CardKind, tokens: f64) -> u32 {
        let per_layer =
            self.layer_bytes + tokens * self.kv_bytes_per_token / f64::from(self.layers);
        (card.memory_bytes / per_layer).floor().max(0.0) as u32
    }
}
