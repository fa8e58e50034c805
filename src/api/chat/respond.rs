//! Answers a chat request, streamed or whole.

use crate::api::chat::call::ChatCall;
use crate::api::chat::metrics::ChatMetrics;
use crate::api::chat::outcome::{caller_gone, find_problem};
use crate::api::chat::render::finish_reason;
use crate::http::{encode_event, sse_response};
use crate::routing::{AnswerEvent, AnswerStream, FinalAnswer, start_generation};
use std::io;
use std::sync::Arc;
use tide::Response;

/// Waits for the next event, or `None` once the caller has closed its connection.
async fn next_event(call: &ChatCall, stream: &mut AnswerStream) -> Option<AnswerEvent> {
    let gone = async {
        match &call.watch {
            Some(watch) => watch.closed().await,
            None => std::future::pending().await,
        }
        None
    };
    let event = async { Some(stream.next().await) };
    futures_lite::future::or(event, gone).await
}

fn start(call: &ChatCall) -> AnswerStream {
    let events = call.context.settings.bounds.stream_events;
    start_generation(Arc::clone(&call.context), call.generation.clone(), events)
}

/// Runs a request and answers with its whole text.
pub(super) async fn whole_answer(mut call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start(&call);
    let mut text = String::new();
    loop {
        match next_event(&call, &mut stream).await {
            Some(AnswerEvent::Token(token)) => {
                metrics.count_token(&mut call, text.is_empty());
                text.push_str(&token);
            }
            Some(AnswerEvent::End(answer)) => {
                return end_whole(&mut call, &metrics, &text, &answer);
            }
            None => {
                metrics.count("caller_gone");
                return caller_gone().to_response().into();
            }
        }
    }
}

fn end_whole(
    call: &mut ChatCall,
    metrics: &ChatMetrics,
    text: &str,
    answer: &FinalAnswer,
) -> Response {
    if let FinalAnswer::Complete { cause, tokens } = answer {
        metrics.count("completed");
        call.span.set_attribute("tokens", *tokens);
        let mut response = Response::new(tide::StatusCode::Ok);
        response.set_body(call.whole(text, *cause, *tokens));
        response.insert_header("content-type", "application/json");
        return response;
    }
    let problem = find_problem(answer).unwrap_or_else(caller_gone);
    call.span.set_error(&problem);
    metrics.count(&problem.outcome.to_string());
    problem.to_response().into()
}

/// Streams the answer. The head is sent with the first token, so that a request that never gets
/// one is refused with a proper status.
pub(super) async fn stream_answer(mut call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start(&call);
    let first = next_event(&call, &mut stream).await;
    match &first {
        Some(AnswerEvent::End(answer)) if find_problem(answer).is_some() => {
            return end_whole(&mut call, &metrics, "", answer);
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
        phase: BodyPhase::Open,
    };
    body.take_event(first);
    sse_response(futures_util::stream::unfold(body, next_chunk)).into()
}

/// Marks the end of a complete event stream.
fn done() -> String {
    "[DONE]".to_owned()
}

/// How far a streamed body has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPhase {
    Open,
    Ended,
    Incomplete,
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

/// Yields the next bytes of a streamed body: what is pending, else the next event.
async fn next_chunk(mut body: StreamBody) -> Option<(io::Result<Vec<u8>>, StreamBody)> {
    if body.pending.is_empty() && body.phase == BodyPhase::Open {
        let event = next_event(&body.call, &mut body.stream).await;
        body.take_event(event);
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
        BodyPhase::Open | BodyPhase::Ended | BodyPhase::Closed => None,
        BodyPhase::Incomplete => {
            body.phase = BodyPhase::Closed;
            Some((Err(io::ErrorKind::ConnectionAborted.into()), body))
        }
    }
}

impl StreamBody {
    fn take_event(&mut self, event: Option<AnswerEvent>) {
        match event {
            Some(AnswerEvent::Token(token)) => {
                self.metrics.count_token(&mut self.call, self.tokens == 0);
                self.tokens += 1;
                self.pending.push(self.call.chunk(&token));
            }
            Some(AnswerEvent::End(FinalAnswer::Complete { cause, .. })) => {
                self.metrics.count("completed");
                self.pending
                    .push(self.call.last_chunk(finish_reason(cause)));
                if self.call.include_usage {
                    self.pending.push(self.call.usage_chunk(self.tokens));
                }
                self.pending.push(done());
                self.call.span.set_attribute("tokens", self.tokens);
                self.phase = BodyPhase::Ended;
            }
            Some(AnswerEvent::End(answer)) => self.fail(&answer),
            None => {
                self.metrics.count("caller_gone");
                self.phase = BodyPhase::Incomplete;
            }
        }
    }

    /// Tells the caller that the answer is incomplete; the body then ends abruptly.
    fn fail(&mut self, answer: &FinalAnswer) {
        let problem = find_problem(answer).unwrap_or_else(caller_gone);
        self.call.span.set_error(&problem);
        self.metrics.count(&problem.outcome.to_string());
        self.pending.push(self.call.last_chunk("error"));
        self.pending
            .push(serde_json::json!({ "error": problem.to_json() }).to_string());
        self.phase = BodyPhase::Incomplete;
    }
}
