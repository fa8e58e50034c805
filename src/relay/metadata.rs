//! Metadata of requests and responses that relaying needs, and the codec between it and the heads
//! of the platform's protocol.

use crate::ids::{InstanceId, TeamId};
use crate::limits::LimitStatement;
use crate::poison::PartId;
use crate::targets::LayerChain;
use crate::wire::{HeadBuilder, WireHead};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Metadata of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller gave this request, the same in all attempts of the relay; targets repeat
    /// it in their responses.
    pub attempt_id: Option<Arc<str>>,
    /// Caller's timeout, counted from the arrival of the request head.
    pub time_left: Option<Duration>,
    /// API key.
    pub key: Option<Arc<str>>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the response.
    pub max_answer_tokens: u32,
    /// Caller's estimate of the tokens of the response.
    pub expected_answer_tokens: Option<u32>,
    /// Id of the event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
    /// Parts of the prompt that other requests may hold as well, without repetitions. Empty when
    /// the caller names none or the list is malformed.
    pub shared_parts: Arc<[PartId]>,
}

impl RequestMetadata {
    /// Context tokens that the request is expected to occupy. Half the limit is assumed for the
    /// response when the caller gives no estimate.
    pub fn expected_tokens(&self) -> u32 {
        let response = self
            .expected_answer_tokens
            .unwrap_or(self.max_answer_tokens / 2)
            .min(self.max_answer_tokens);
        self.prompt_tokens.saturating_add(response)
    }
}

/// Metadata sent to a target in addition to the caller's head.
#[derive(Debug, Clone)]
pub struct DispatchMetadata<'a> {
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// The only target that may execute the request.
    pub target: &'a InstanceId,
    /// Team of the caller.
    pub team: Option<&'a TeamId>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Chain of targets that together hold all layers of the model, for requests to a model.
    pub chain: Option<&'a LayerChain>,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Body length, if there is a body.
    pub body_length: Option<usize>,
}

/// Metadata of a target's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Id of the request, as the target repeats it.
    pub attempt_id: Option<Arc<str>>,
    /// True when the target reports that it did not execute the request and never will.
    pub not_executed: bool,
    /// Address of the target that caused the failure, when it is another one of the chain than the
    /// responding one.
    pub faulty_address: Option<SocketAddr>,
    /// Rate limit of the target.
    pub limit: LimitStatement,
    /// What else the target says about itself.
    pub notices: TargetNotices,
}

/// What a target says about itself in any response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotices {
    /// Time for which it wants nothing more from this daemon, after it has turned a request away.
    pub rest: Option<Duration>,
    /// True when it leaves: it finishes its requests and then exits.
    pub is_leaving: bool,
}

/// Codec between heads of the platform's protocol and metadata.
#[derive(Debug, Clone, Copy)]
pub struct RelayCodec {
    /// Parses a caller's request head.
    pub read_request: fn(&WireHead) -> RequestMetadata,
    /// Writes the request head for a target.
    pub write_request: fn(&WireHead, &DispatchMetadata<'_>) -> HeadBuilder,
    /// Parses a target's response head.
    pub read_reply: fn(&WireHead) -> ReplyMetadata,
}
