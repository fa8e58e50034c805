//! What relaying needs to know of a request and an answer, and the functions that translate between
//! that and the platform's heads.

use crate::ids::{InstanceId, TeamId};
use crate::targets::LayerChain;
use crate::wire::{HeadBuilder, WireHead};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a caller's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of this try of the caller; targets echo it.
    pub attempt_id: Option<Arc<str>>,
    /// Time that the caller waits.
    pub time_left: Option<Duration>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the answer's tokens.
    pub expected_answer_tokens: Option<u32>,
    /// Event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
}

impl RequestMetadata {
    /// Tokens of context that the request comes to hold, by the estimate if there is one.
    pub fn expected_tokens(&self) -> u32 {
        let answer = self
            .expected_answer_tokens
            .unwrap_or(self.max_answer_tokens / 2)
            .min(self.max_answer_tokens);
        self.prompt_tokens.saturating_add(answer)
    }
}

/// What the daemon tells a target beside the caller's head.
#[derive(Debug, Clone)]
pub struct DispatchMetadata<'a> {
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// The only target that may run the request.
    pub target: &'a InstanceId,
    /// The caller's team.
    pub team: Option<&'a TeamId>,
    /// Rank, 0 is the highest.
    pub priority: u8,
    /// Chain, for requests to a model.
    pub chain: Option<&'a LayerChain>,
    /// Event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Length of the body, if there is one.
    pub body_length: Option<usize>,
}

/// What an answer's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplyMetadata {
    /// The try that this answers.
    pub attempt_id: Option<Arc<str>>,
    /// True when the target says that it did not run the request and never will.
    pub not_executed: bool,
    /// The target whose fault it was, where the answering one was not.
    pub faulty_address: Option<SocketAddr>,
}

/// Translations between heads on the wire and facts.
#[derive(Debug, Clone, Copy)]
pub struct RelayCodec {
    /// Reads a caller's head.
    pub read_request: fn(&WireHead) -> RequestMetadata,
    /// Writes the head for a target.
    pub write_request: fn(&WireHead, &DispatchMetadata<'_>) -> HeadBuilder,
    /// Reads a target's head.
    pub read_reply: fn(&WireHead) -> ReplyMetadata,
}
