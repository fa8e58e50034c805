//! A chat request: checked, admitted and ready to run.

use crate::admission::{AdmissionPermit, AdmissionRequest};
use crate::api::auth::authenticate_team;
use crate::api::wire::ChatRequest;
use crate::config::{AcceptedConfig, ModelEntry, TeamSpec};
use crate::http::{CallerWatch, ProblemKind, ProblemResponse, read_body};
use crate::ids::{ModelId, RequestId};
use crate::kernel::KernelContext;
use crate::routing::{GenerationRequest, TokenMeter};
use crate::telemetry::{SpanGuard, TraceContext};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::Request;

/// Tokens generated when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 8_192;
/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A checked and admitted request, ready to run.
#[derive(Debug)]
pub(super) struct ChatCall {
    /// Shared context.
    pub(super) context: Arc<KernelContext>,
    /// What to generate.
    pub(super) generation: GenerationRequest,
    /// Model name.
    pub(super) model: Arc<str>,
    /// Tokens of the prompt, estimated.
    pub(super) prompt_tokens: u32,
    /// True to stream the answer.
    pub(super) stream: bool,
    /// True to end a streamed answer with its token counts.
    pub(super) include_usage: bool,
    /// The caller's connection.
    pub(super) watch: Option<CallerWatch>,
    /// When the request arrived.
    pub(super) start: Instant,
    /// Place among the requests in progress.
    pub(super) permit: AdmissionPermit,
    /// Span of the whole request.
    pub(super) span: SpanGuard,
}

impl ChatCall {
    /// Reads and checks a request, then waits for its admission.
    pub(super) async fn prepare(
        request: &mut Request<Arc<KernelContext>>,
    ) -> Result<Self, ProblemResponse> {
        let start = Instant::now();
        let (config, team) = authenticate_team(request)?;
        let context = Arc::clone(request.state());
        let body = read_body(request, context.settings.bounds.body_bytes).await?;
        let chat: ChatRequest = serde_json::from_slice(&body)
            .map_err(|cause| bad_request(format!("body is not a chat request: {cause}")))?;
        let entry = find_model(&config, &team, &chat.model)?;
        let max_tokens = check_max_tokens(&chat)?;
        let prompt = flatten_prompt(&chat)?;
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        let mut span = context.traces.start_span("request", read_trace(request));
        span.set_attribute("team", &team.team);
        span.set_attribute("model", &chat.model);
        let watch = request.ext::<CallerWatch>().cloned();
        let wanted = AdmissionRequest {
            team: Arc::clone(&team),
            model: entry.spec.model.clone(),
            prompt_tokens,
            max_tokens,
        };
        let permit = admit(&context, &wanted, watch.as_ref(), &mut span).await?;
        let generation = GenerationRequest {
            request: RequestId::random(&mut fastrand::Rng::new()),
            meter: make_meter(&context, &entry),
            entry,
            seed: chat.seed.unwrap_or_else(|| fastrand::u64(..)),
            max_tokens,
            priority: team.priority,
            deadline: context.clock.now().after(request_limit(&context)),
            trace: span.context(),
            prompt,
        };
        Ok(Self {
            generation,
            model: Arc::from(chat.model),
            prompt_tokens,
            stream: chat.stream,
            include_usage: chat
                .stream_options
                .is_some_and(|options| options.include_usage),
            watch,
            start,
            permit,
            span,
            context,
        })
    }
}

fn request_limit(context: &KernelContext) -> Duration {
    Duration::from_millis(context.settings.timing.request_ms)
}

fn read_trace(request: &Request<Arc<KernelContext>>) -> TraceContext {
    let header = request.header("traceparent");
    let given = header.and_then(|values| values.last().as_str().parse().ok());
    given.unwrap_or_else(TraceContext::root)
}

/// Waits for admission; a caller that closes its connection meanwhile gives up its place.
async fn admit(
    context: &KernelContext,
    wanted: &AdmissionRequest,
    watch: Option<&CallerWatch>,
    parent: &mut SpanGuard,
) -> Result<AdmissionPermit, ProblemResponse> {
    let mut span = context.traces.start_span("admission", parent.context());
    let gone = async {
        match watch {
            Some(watch) => watch.closed().await,
            None => std::future::pending().await,
        }
        let detail = "the caller closed its connection";
        Err(ProblemResponse::not_executed(
            ProblemKind::Overloaded,
            detail,
        ))
    };
    let outcome = futures_lite::future::or(context.admission.admit(wanted), gone).await;
    if let Err(problem) = &outcome {
        span.set_error(problem);
        parent.set_error(problem);
    }
    outcome
}

fn make_meter(context: &Arc<KernelContext>, entry: &ModelEntry) -> TokenMeter {
    let context = Arc::clone(context);
    let model = entry.spec.model.clone();
    TokenMeter(Arc::new(move |gap| {
        context.admission.observe_gap(&model, gap);
    }))
}

fn bad_request(detail: impl Into<String>) -> ProblemResponse {
    ProblemResponse::not_executed(ProblemKind::BadRequest, detail)
}

fn find_model(
    config: &AcceptedConfig,
    team: &TeamSpec,
    name: &str,
) -> Result<Arc<ModelEntry>, ProblemResponse> {
    let unknown = || ProblemResponse::not_executed(ProblemKind::NotFound, "unknown model");
    let model: ModelId = name.parse().map_err(|_cause| unknown())?;
    if !team.may_use_model(&model) {
        let detail = "the team may not use this model";
        return Err(ProblemResponse::not_executed(
            ProblemKind::Forbidden,
            detail,
        ));
    }
    config.model(&model).cloned().ok_or_else(unknown)
}

fn check_max_tokens(chat: &ChatRequest) -> Result<u32, ProblemResponse> {
    let wanted = chat.max_completion_tokens.or(chat.max_tokens);
    let wanted = wanted.unwrap_or(DEFAULT_MAX_TOKENS);
    if wanted == 0 || wanted > MAX_TOKENS {
        return Err(bad_request(format!(
            "max_tokens must be from 1 to {MAX_TOKENS}"
        )));
    }
    if chat.n.is_some_and(|n| n != 1) {
        return Err(bad_request("n must be 1"));
    }
    Ok(wanted)
}

/// Joins the conversation into one prompt text.
fn flatten_prompt(chat: &ChatRequest) -> Result<Arc<str>, ProblemResponse> {
    if chat.messages.is_empty() {
        return Err(bad_request("messages must not be empty"));
    }
    let line = |message: &crate::api::ChatMessage| format!("{}: {}", message.role, message.content);
    let lines: Vec<String> = chat.messages.iter().map(line).collect();
    Ok(Arc::from(lines.join("\n")))
}
