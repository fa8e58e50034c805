//! JSON bodies of the chat completions interface.

use serde::{Deserialize, Deserializer, Serialize};
use std::sync::Arc;

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model name.
    pub model: String,
    /// Conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Largest number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u32>,
    /// True to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Sampling seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Number of answers wanted; only 1 is served.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u32>,
    /// Options of a streamed answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a streamed answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StreamOptions {
    /// True to end the stream with an event that holds the token counts.
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: Arc<str>,
    /// What is said; a list of text parts is joined.
    #[serde(deserialize_with = "read_content")]
    pub content: Arc<str>,
}

/// Body of a complete answer, or of one event of a stream.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatResponse {
    /// Request identifier.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: Arc<str>,
    /// Time of creation, in seconds since the Unix epoch.
    pub created: u64,
    /// Model name.
    pub model: Arc<str>,
    /// The single choice.
    pub choices: Vec<ChatChoice>,
    /// Token counts, on complete answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
}

/// One choice of an answer.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatChoice {
    /// Index, always 0.
    pub index: u32,
    /// Whole message, on complete answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Additional text, on events of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<MessageDelta>,
    /// Why the answer ended: `stop`, `length`, or `error` for an incomplete one.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// Part of a message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MessageDelta {
    /// Who speaks, on the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Arc<str>>,
    /// Additional text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Arc<str>>,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens in the prompt, as estimated by the router.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

/// One part of a message's content.
#[derive(Deserialize)]
struct ContentPart {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: String,
}

/// Content as text or as a list of parts.
#[derive(Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

fn read_content<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    match MessageContent::deserialize(deserializer)? {
        MessageContent::Text(text) => Ok(Arc::from(text)),
        MessageContent::Parts(parts) => {
            if let Some(other) = parts.iter().find(|part| part.kind != "text") {
                let cause = format!("content part of type {:?} is not served", other.kind);
                return Err(serde::de::Error::custom(cause));
            }
            let texts: Vec<String> = parts.into_iter().map(|part| part.text).collect();
            Ok(Arc::from(texts.concat()))
        }
    }
}
