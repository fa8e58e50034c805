//! Plug-in for chat completions: checks a request, runs the generation and answers, streamed or
//! whole.

use crate::api::auth::authenticate_team;
use crate::api::wire::{
    ChatChoice, ChatMessage, ChatRequest, ChatResponse, ChatUsage, IncompleteMessage,
};
use crate::config::{AcceptedConfig, ModelEntry, TeamSpec};
use crate::engine::FinishCause;
use crate::http::{
    CallerWatch, ProblemAnswer, ProblemKind, RunOutcome, encode_event, read_body, sse_response,
};
use crate::ids::{ModelId, RequestId};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use crate::routing::{AnswerEvent, AnswerStream, FinalAnswer, GenerationRequest, start_generation};
use crate::telemetry::TraceContext;
use prometheus::{HistogramVec, IntCounterVec};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tide::{Request, Response};

/// Tokens generated when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 8_192;
/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;
/// When to come back after a refusal for want of a chain.
const NO_CHAIN_DELAY: Duration = Duration::from_secs(1);

inventory::submit! {
    PluginEntry { name: "api.chat", install }
}

/// Metrics of chat requests.
#[derive(Debug, Clone)]
struct ChatMetrics {
    requests: IntCounterVec,
    tokens: IntCounterVec,
    first_token: HistogramVec,
}

impl ChatMetrics {
    fn count(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    fn count_token(&self, call: &ChatCall, is_first: bool) {
        if is_first {
            let seconds = call.start.elapsed().as_secs_f64();
            self.first_token
                .with_label_values(&[&*call.model])
                .observe(seconds);
        }
        self.tokens.with_label_values(&[&*call.model]).inc();
    }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let set = &host.context.metrics;
    let metrics = ChatMetrics {
        requests: set.counter(
            "chat_requests_total",
            "Chat requests by outcome.",
            &["outcome"],
        )?,
        tokens: set.counter("chat_tokens_total", "Tokens delivered.", &["model"])?,
        first_token: set.latency(
            "chat_first_token_seconds",
            "Time to first token.",
            &["model"],
        )?,
    };
    host.app.at("/v1/chat/completions").post(move |request| {
        let metrics = metrics.clone();
        async move { Ok(answer_chat(request, metrics).await) }
    });
    Ok(())
}

async fn answer_chat(mut request: Request<Arc<KernelContext>>, metrics: ChatMetrics) -> Response {
    match prepare(&mut request).await {
        Err(problem) => {
            metrics.count(&problem.outcome.to_string());
            problem.to_response().into()
        }
        Ok(call) if call.stream => stream_answer(call, metrics).await,
        Ok(call) => whole_answer(call, metrics).await,
    }
}

/// A checked request, ready to run.
#[derive(Debug)]
struct ChatCall {
    context: Arc<KernelContext>,
    generation: GenerationRequest,
    model: Arc<str>,
    prompt_tokens: u32,
    stream: bool,
    watch: Option<CallerWatch>,
    start: Instant,
}

async fn prepare(request: &mut Request<Arc<KernelContext>>) -> Result<ChatCall, ProblemAnswer> {
    let start = Instant::now();
    let (config, team) = authenticate_team(request)?;
    let context = Arc::clone(request.state());
    let body = read_body(request, context.settings.bounds.body_bytes).await?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|cause| bad_request(format!("body is not a chat request: {cause}")))?;
    let entry = find_model(&config, &team, &chat.model)?;
    let max_tokens = check_max_tokens(&chat)?;
    let prompt = flatten_prompt(&chat)?;
    let header = request
        .header("traceparent")
        .map(|values| values.last().as_str());
    let trace = header
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(TraceContext::root);
    let limit = Duration::from_millis(context.settings.timing.request_ms);
    let generation = GenerationRequest {
        request: RequestId::random(&mut fastrand::Rng::new()),
        entry,
        seed: chat.seed.unwrap_or_else(|| fastrand::u64(..)),
        max_tokens,
        priority: team.priority,
        deadline: context.clock.now().after(limit),
        trace,
        prompt: Arc::clone(&prompt),
    };
    Ok(ChatCall {
        generation,
        model: Arc::from(chat.model),
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        stream: chat.stream,
        watch: request.ext::<CallerWatch>().cloned(),
        start,
        context,
    })
}

fn bad_request(detail: impl Into<String>) -> ProblemAnswer {
    ProblemAnswer::not_run(ProblemKind::BadRequest, detail)
}

fn find_model(
    config: &AcceptedConfig,
    team: &TeamSpec,
    name: &str,
) -> Result<Arc<ModelEntry>, ProblemAnswer> {
    let unknown = || ProblemAnswer::not_run(ProblemKind::NotFound, "unknown model");
    let model: ModelId = name.parse().map_err(|_cause| unknown())?;
    if !team.may_use_model(&model) {
        let detail = "the team may not use this model";
        return Err(ProblemAnswer::not_run(ProblemKind::Forbidden, detail));
    }
    config.model(&model).cloned().ok_or_else(unknown)
}

fn check_max_tokens(chat: &ChatRequest) -> Result<u32, ProblemAnswer> {
    let wanted = chat
        .max_completion_tokens
        .or(chat.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if wanted == 0 || wanted > MAX_TOKENS {
        return Err(bad_request(format!(
            "max_tokens must be from 1 to {MAX_TOKENS}"
        )));
    }
    Ok(wanted)
}

/// Joins the conversation into one prompt text.
fn flatten_prompt(chat: &ChatRequest) -> Result<Arc<str>, ProblemAnswer> {
    if chat.messages.is_empty() {
        return Err(bad_request("messages must not be empty"));
    }
    let lines = chat
        .messages
        .iter()
        .map(|message| format!("{}: {}", message.role, message.content));
    Ok(Arc::from(lines.collect::<Vec<_>>().join("\n")))
}

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

    fn first_chunk(&self) -> String {
        self.render_delta(IncompleteMessage {
            role: Some(Arc::from("assistant")),
            content: None,
        })
    }

    fn chunk(&self, text: &str) -> String {
        self.render_delta(IncompleteMessage {
            role: None,
            content: Some(Arc::from(text)),
        })
    }

    fn render_delta(&self, delta: IncompleteMessage) -> String {
        let choice = ChatChoice {
            delta: Some(delta),
            ..ChatChoice::default()
        };
        to_json(&self.response("chat.completion.chunk", choice, None))
    }

    fn last_chunk(&self, finish_reason: &str) -> String {
        let choice = ChatChoice {
            delta: Some(IncompleteMessage::default()),
            finish_reason: Some(Arc::from(finish_reason)),
            ..ChatChoice::default()
        };
        to_json(&self.response("chat.completion.chunk", choice, None))
    }

    fn whole(&self, text: &str, cause: FinishCause, tokens: u32) -> String {
        let message = ChatMessage {
            role: Arc::from("assistant"),
            content: Arc::from(text),
        };
        let choice = ChatChoice {
            message: Some(message),
            finish_reason: Some(Arc::from(finish_reason(cause))),
            ..ChatChoice::default()
        };
        let usage = ChatUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        };
        to_json(&self.response("chat.completion", choice, Some(usage)))
    }
}

fn to_json<T: serde::Serialize>(body: &T) -> String {
    serde_json::to_string(body).expect("response bodies serialize")
}

fn finish_reason(cause: FinishCause) -> &'static str {
    match cause {
        FinishCause::Stop => "stop",
        FinishCause::Length => "length",
    }
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_secs())
}

/// The final answer as a problem; `None` when it is complete.
fn find_problem(answer: &FinalAnswer) -> Option<ProblemAnswer> {
    let describe = |kind, detail: String, outcome: RunOutcome| {
        let problem = ProblemAnswer::not_run(kind, detail);
        ProblemAnswer { outcome, ..problem }.retry_after(NO_CHAIN_DELAY)
    };
    match answer {
        FinalAnswer::Complete { .. } => None,
        FinalAnswer::NoChain { outcome } => {
            let detail = "no open engines hold all layers of the model".to_owned();
            Some(describe(ProblemKind::NoTarget, detail, *outcome))
        }
        FinalAnswer::Exhausted { outcome, failure } => {
            let detail = format!("all attempts failed, the last one by {failure:?}");
            Some(describe(ProblemKind::TargetFailed, detail, *outcome))
        }
        FinalAnswer::TimedOut { outcome } => {
            let detail = "the time allowed for the request has run out".to_owned();
            Some(describe(ProblemKind::TimedOut, detail, *outcome))
        }
        FinalAnswer::Poisoned { outcome } => {
            let detail = "targets crash when they run this request";
            let problem = ProblemAnswer::not_run(ProblemKind::Poison, detail);
            Some(ProblemAnswer {
                outcome: *outcome,
                ..problem
            })
        }
        FinalAnswer::CallerGone => {
            let detail = "the caller closed its connection".to_owned();
            Some(describe(
                ProblemKind::TargetFailed,
                detail,
                RunOutcome::Partial,
            ))
        }
    }
}

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

fn caller_gone() -> ProblemAnswer {
    ProblemAnswer::partial(
        ProblemKind::TargetFailed,
        "the caller closed its connection",
    )
}

async fn whole_answer(call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start(&call);
    let mut text = String::new();
    loop {
        match next_event(&call, &mut stream).await {
            Some(AnswerEvent::Token(token)) => {
                metrics.count_token(&call, text.is_empty());
                text.push_str(&token);
            }
            Some(AnswerEvent::End(answer)) => return end_whole(&call, &metrics, &text, &answer),
            None => {
                metrics.count("caller_gone");
                return caller_gone().to_response().into();
            }
        }
    }
}

fn end_whole(call: &ChatCall, metrics: &ChatMetrics, text: &str, answer: &FinalAnswer) -> Response {
    if let FinalAnswer::Complete { cause, tokens } = answer {
        metrics.count("completed");
        let mut response = Response::new(tide::StatusCode::Ok);
        response.set_body(call.whole(text, *cause, *tokens));
        response.insert_header("content-type", "application/json");
        return response;
    }
    let problem = find_problem(answer).unwrap_or_else(caller_gone);
    metrics.count(&problem.outcome.to_string());
    problem.to_response().into()
}

/// Streams the answer. The head is sent with the first token, so that a request that never gets
/// one is refused with a proper status.
async fn stream_answer(call: ChatCall, metrics: ChatMetrics) -> Response {
    let mut stream = start(&call);
    match next_event(&call, &mut stream).await {
        Some(AnswerEvent::Token(token)) => {
            metrics.count_token(&call, true);
            let first = vec![call.first_chunk(), call.chunk(&token)];
            let body = StreamBody {
                call,
                metrics,
                stream,
                pending: first,
                phase: BodyPhase::Open,
            };
            sse_response(futures_util::stream::unfold(body, next_chunk)).into()
        }
        Some(AnswerEvent::End(FinalAnswer::Complete { cause, .. })) => {
            metrics.count("completed");
            let last = vec![
                call.first_chunk(),
                call.last_chunk(finish_reason(cause)),
                done(),
            ];
            let body = StreamBody {
                call,
                metrics,
                stream,
                pending: last,
                phase: BodyPhase::Ended,
            };
            sse_response(futures_util::stream::unfold(body, next_chunk)).into()
        }
        Some(AnswerEvent::End(answer)) => end_whole(&call, &metrics, "", &answer),
        None => {
            metrics.count("caller_gone");
            caller_gone().to_response().into()
        }
    }
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
                self.metrics.count_token(&self.call, false);
                self.pending.push(self.call.chunk(&token));
            }
            Some(AnswerEvent::End(FinalAnswer::Complete { cause, .. })) => {
                self.metrics.count("completed");
                self.pending
                    .push(self.call.last_chunk(finish_reason(cause)));
                self.pending.push(done());
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
        self.metrics.count(&problem.outcome.to_string());
        self.pending.push(self.call.last_chunk("error"));
        self.pending
            .push(serde_json::json!({ "error": problem.to_json() }).to_string());
        self.phase = BodyPhase::Incomplete;
    }
}
