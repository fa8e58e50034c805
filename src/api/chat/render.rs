//! JSON bodies and events of answers.

use crate::api::chat::call::ChatCall;
use crate::api::wire::{ChatChoice, ChatMessage, ChatResponse, ChatUsage, MessageDelta};
use crate::engine::FinishCause;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

impl ChatCall {
    fn id(&self) -> String {
        format!("chatcmpl-{}", self.generation.request)
    }

    fn response(&self, object: &str, choice: ChatChoice, usage: Option<ChatUsage>) -> ChatResponse {
        ChatResponse {
            id: self.id(),
            object: Arc::from(object),
            created: unix_seconds(),
            model: Arc::clone(&self.model),
            choices: vec![choice],
            usage,
        }
    }

    /// First event of a stream, which names the role.
    pub(super) fn first_chunk(&self) -> String {
        self.render_delta(MessageDelta {
            role: Some(Arc::from("assistant")),
            content: None,
        })
    }

    /// Event with additional text.
    pub(super) fn chunk(&self, text: &str) -> String {
        self.render_delta(MessageDelta {
            role: None,
            content: Some(Arc::from(text)),
        })
    }

    fn render_delta(&self, delta: MessageDelta) -> String {
        let choice = ChatChoice {
            delta: Some(delta),
            ..ChatChoice::default()
        };
        to_json(&self.response("chat.completion.chunk", choice, None))
    }

    /// Last event of a stream, with the finish reason.
    pub(super) fn last_chunk(&self, finish_reason: &str) -> String {
        let choice = ChatChoice {
            delta: Some(MessageDelta::default()),
            finish_reason: Some(Arc::from(finish_reason)),
            ..ChatChoice::default()
        };
        to_json(&self.response("chat.completion.chunk", choice, None))
    }

    /// Body of a whole answer.
    pub(super) fn whole(&self, text: &str, cause: FinishCause, tokens: u32) -> String {
        let message = ChatMessage {
            role: Arc::from("assistant"),
            content: Arc::from(text),
        };
        let choice = ChatChoice {
            message: Some(message),
            finish_reason: Some(Arc::from(finish_reason(cause))),
            ..ChatChoice::default()
        };
        to_json(&self.response("chat.completion", choice, Some(self.usage(tokens))))
    }

    /// Event with the token counts, which has no choice.
    pub(super) fn usage_chunk(&self, tokens: u32) -> String {
        let choice = ChatChoice::default();
        let response = self.response("chat.completion.chunk", choice, Some(self.usage(tokens)));
        to_json(&ChatResponse {
            choices: Vec::new(),
            ..response
        })
    }

    fn usage(&self, tokens: u32) -> ChatUsage {
        ChatUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        }
    }
}

fn to_json<T: serde::Serialize>(body: &T) -> String {
    serde_json::to_string(body).expect("response bodies serialize")
}

/// Name of a finish cause in the chat completions interface.
pub(super) fn finish_reason(cause: FinishCause) -> &'static str {
    match cause {
        FinishCause::Stop => "stop",
        FinishCause::Length => "length",
    }
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_secs())
}
