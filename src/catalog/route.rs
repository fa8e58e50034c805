//! Routes, and models with the timing of their engines.

use crate::ids::ServiceId;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once for each request of a caller.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another target may continue the stream after the last event passed on to the
        /// caller.
        resumable: bool,
    },
}

impl RetryRule {
    /// True when the request may be sent to another target even if one may have executed it
    /// already.
    pub fn allows_reexecution(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True when the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Route for the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case.
    pub host: Arc<str>,
    /// Prefix of the paths, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be executed more than once.
    pub retry_rule: RetryRule,
    /// Longest time that a request may wait for its final response.
    pub timeout: Duration,
    /// Time within which a response, or a stream's first event, is on time.
    pub latency_goal: Duration,
    /// Priority of requests; 0 is the highest.
    pub priority: u8,
    /// Services among which requests are divided.
    pub shares: Vec<RouteShare>,
    /// Maximum number of targets that one request may be sent to.
    pub max_targets: u32,
    /// True when requests need no API key.
    pub public: bool,
    /// Longest gap between two events of a stream that is on time.
    pub gap_goal: Option<Duration>,
}

impl RouteEntry {
    /// Draws a service at random by weight; `None` when the route has none.
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

/// Accelerator kind. Its factors are relative to the reference kind, which the times of a model are
/// for.
#[derive(Debug, Clone, PartialEq)]
pub struct CardKind {
    /// Name of the kind.
    pub name: Arc<str>,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time for reading a prompt.
    pub prefill_factor: f64,
}

/// Model whose layers are spread over servers, and the timing of its engine on the reference kind
/// of accelerator.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelShape {
    /// Number of layers.
    pub layers: u32,
    /// Size of one layer's weights in bytes.
    pub layer_bytes: f64,
    /// Memory that a token's cache takes over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Time of one token step through all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional step time for each request in the batch, in milliseconds.
    pub step_ms_per_request: f64,
    /// Additional step time for each thousand tokens of context, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Mean number of tokens in a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean number of tokens in an answer.
    pub mean_answer_tokens: f64,
    /// Number of requests in one batch.
    pub max_batch: u32,
    /// Accelerator kinds that can hold layers.
    pub cards: Vec<CardKind>,
}

impl ModelShape {
    /// Returns the accelerator kind with this name.
    pub fn card(&self, name: &str) -> Option<&CardKind> {
        self.cards.iter().find(|card| card.name.as_ref() == name)
    }

    /// Mean number of context tokens that a request holds in memory.
    pub fn mean_context_tokens(&self) -> f64 {
        (self.mean_prompt_tokens + self.mean_answer_tokens).max(1.0)
    }

    /// Number of tokens whose cache fits on an accelerator beside the weights of `held` layers.
    pub fn token_capacity(&self, card: &CardKind, held: u32) -> f64 {
        let held = f64::from(held);
        let free = card.memory_bytes - held * self.layer_bytes;
        let per_token = self.kv_bytes_per_token / f64::from(self.layers) * held;
        (free / per_token.max(1.0)).max(0.0)
    }

    /// Largest number of layers that an accelerator can hold with room for the cache of `tokens`
    /// tokens.
    pub fn max_layers(&self, card: &CardKind, tokens: f64) -> u32 {
        let per_layer =
            self.layer_bytes + tokens * self.kv_bytes_per_token / f64::from(self.layers);
        (card.memory_bytes / per_layer).floor().max(0.0) as u32
    }
}
