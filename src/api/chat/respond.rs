//! Runs an admitted chat request and sends the response, streamed or complete.

use crate::api::chat::call::ChatCall;
use crate::api::chat::metrics::ChatMetrics;
use crate::api::chat::outcome::{caller_gone, to_problem};
use crate::api::chat::render::finish_reason;
use crate::http::{encode_event, sse_response};
use crate::routing::{AnswerEvent, AnswerStream, FinalAnswer, start_generation};
use std::io;
use std::sync::Arc;
use tide::Response;

/// Waits for the next event, or `None` once the caller has closed its connection.
async fn next_event(call: &ChatCall, stream: &mut AnswerStream) -> Option<AnswerEvent> {
    let disconnected = async {
        match &call.watch {
            Some(watch) => watch.closed().await,
            None => std::future::pending().await,
        }
        None
    };
    let event = async { Some(stream.next().await) };
    futures_lite::future::or(event, disconnected).await
}

fn start_answer(call: &ChatCall) -> AnswerStream {
    let capacity = call.context.settings.bounds.stream_events;
    start_generation(Arc::clone(&call.context), call.generation.clone(), capacity)
}

/// Runs a request and responds with the complete text.
pub(super) async fn complete_response(mut call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start_answer(&call);
    let mut text = String::new();
    loop {
        match next_event(&call, &mut stream).await {
            Some(AnswerEvent::Token(token)) => {
                metrics.count_token(&mut call, text.is_empty());
                text.push_str(&token);
            }
            Some(AnswerEvent::End(answer)) => {
                return finish_response(&mut call, &metrics, &text, &answer);
            }
            None => {
                metrics.count("caller_gone");
                return caller_gone().to_response().into();
            }
        }
    }
}

fn finish_response(
    call: &mut ChatCall,
    metrics: &ChatMetrics,
    text: &str,
    answer: &FinalAnswer,
) -> Response {
    if let FinalAnswer::Complete { cause, tokens } = answer {
        metrics.count("completed");
        call.span.set_attribute("tokens", *tokens);
        let mut response = Response::new(tide::StatusCode::Ok);
        response.set_body(call.complete_body(text, *cause, *tokens));
        response.insert_header("content-type", "application/json");
        return response;
    }
    let problem = to_problem(answer).unwrap_or_else(caller_gone);
    call.span.set_error(&problem);
    metrics.count(&problem.outcome.to_string());
    problem.to_response().into()
}

/// Runs a request and streams the response. The head is sent only with the first event, so that a
/// request that fails before it gets an error status.
pub(super) async fn stream_response(mut call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start_answer(&call);
    let first = next_event(&call, &mut stream).await;
    match &first {
        Some(AnswerEvent::End(answer)) if to_problem(answer).is_some() => {
            return finish_response(&mut call, &metrics, "", answer);
        }
        None => {
            metrics.count("caller_gone");
            return caller_gone().to_response().into();
        }
        Some(_) => {}
    }
    let mut body = StreamBody {
        pending: vec![call.first_chunk()],
        call,
        metrics,
        stream,
        tokens: 0,
        phase: BodyPhase::Streaming,
    };
    body.apply_event(first);
    sse_response(futures_util::stream::unfold(body, next_chunk)).into()
}

/// Data of the event that ends a complete stream.
fn end_marker() -> String {
    "[DONE]".to_owned()
}

/// Progress of a streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPhase {
    /// More events of the answer follow.
    Streaming,
    /// The answer is complete; only pending events are left.
    Completed,
    /// The answer is incomplete; after the pending events the body ends with an error.
    Incomplete,
    /// The error has ended the body.
    Closed,
}

/// State of a streamed body.
struct StreamBody {
    call: ChatCall,
    metrics: ChatMetrics,
    stream: AnswerStream,
    pending: Vec<String>,
    tokens: u32,
    phase: BodyPhase,
}

/// Yields the next bytes of a streamed body: the pending events, or else the next event.
async fn next_chunk(mut body: StreamBody) -> Option<(io::Result<Vec<u8>>, StreamBody)> {
    if body.pending.is_empty() && body.phase == BodyPhase::Streaming {
        let event = next_event(&body.call, &mut body.stream).await;
        body.apply_event(event);
    }
    if !body.pending.is_empty() {
        let bytes = body
            .pending
            .drain(..)
            .flat_map(|data| encode_event(&data))
            .collect();
        return Some((Ok(bytes), body));
    }
    match body.phase {
        BodyPhase::Streaming | BodyPhase::Completed | BodyPhase::Closed => None,
        BodyPhase::Incomplete => {
            body.phase = BodyPhase::Closed;
            Some((Err(io::ErrorKind::ConnectionAborted.into()), body))
        }
    }
}

impl StreamBody {
    fn apply_event(&mut self, event: Option<AnswerEvent>) {
        match event {
            Some(AnswerEvent::Token(token)) => {
                self.metrics.count_token(&mut self.call, self.tokens == 0);
                self.tokens += 1;
                self.pending.push(self.call.text_chunk(&token));
            }
            Some(AnswerEvent::End(FinalAnswer::Complete { cause, .. })) => {
                self.metrics.count("completed");
                self.pending
                    .push(self.call.last_chunk(finish_reason(cause)));
                if self.call.include_usage {
                    self.pending.push(self.call.usage_chunk(self.tokens));
                }
                self.pending.push(end_marker());
                self.call.span.set_attribute("tokens", self.tokens);
                self.phase = BodyPhase::Completed;
            }
            Some(AnswerEvent::End(answer)) => self.fail(&answer),
            None => {
                self.metrics.count("caller_gone");
                self.phase = BodyPhase::Incomplete;
            }
        }
    }

    /// Queues the events that report an incomplete answer. The body then ends with an error and
    /// without its final chunk.
    fn fail(&mut self, answer: &FinalAnswer) {
        let problem = to_problem(answer).unwrap_or_else(caller_gone);
        self.call.span.set_error(&problem);
        self.metrics.count(&problem.outcome.to_string());
        self.pending.push(self.call.last_chunk("error"));
        self.pending
            .push(serde_json::json!({ "error": problem.to_json() }).to_string());
        self.phase = BodyPhase::Incomplete;
    }
}
