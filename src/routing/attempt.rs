//! Runs a generation: attempts on chains until the answer is complete or cannot be completed.

use crate::config::ModelEntry;
use crate::engine::{
    CancelRequest, ChainStage, EngineError, EngineEvent, EngineStream, GenerateRequest,
    PipelineWork,
};
use crate::ids::{AttemptNumber, InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::routing::{
    AnswerEvent, AttemptFailure, ChainChoice, ChainQuery, DeliveryState, DeliveryStep, FinalAnswer,
    FlightGuard, choose_chain,
};
use crate::telemetry::TraceContext;
use crate::units::MonoTime;
use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::task;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Attempts allowed for one request.
const MAX_ATTEMPTS: u32 = 8;
/// Longest wait for the next token before the attempt counts as stalled.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for the first token of an attempt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);

/// One generation to run.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Request identifier.
    pub request: RequestId,
    /// Model and its placements, fixed for the whole request.
    pub entry: Arc<ModelEntry>,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Sampling seed.
    pub seed: u64,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Priority class.
    pub priority: u8,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
    /// Parent of the attempts' spans.
    pub trace: TraceContext,
    /// Takes the time waited for each token.
    pub meter: TokenMeter,
}

/// Takes the time that an answer waited for each token but its first.
#[derive(Clone)]
pub struct TokenMeter(pub Arc<dyn Fn(Duration) + Send + Sync>);

impl fmt::Debug for TokenMeter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("TokenMeter").finish()
    }
}

/// How one attempt ended.
enum AttemptEnd {
    Final(FinalAnswer),
    Failed(AttemptFailure),
}

/// What a generation carries from attempt to attempt.
struct GenerationState {
    delivery: DeliveryState,
    excluded: Vec<InstanceId>,
    warm: Vec<InstanceId>,
}

/// Runs a generation to its final outcome, delivering tokens to `sink` as they come.
pub async fn run_generation(
    context: &KernelContext,
    generation: &GenerationRequest,
    sink: &Sender<AnswerEvent>,
) -> FinalAnswer {
    let mut state = GenerationState {
        delivery: DeliveryState::new(generation.request),
        excluded: Vec::new(),
        warm: Vec::new(),
    };
    let mut last_failure = None;
    for _ in 0..MAX_ATTEMPTS {
        let Some(chain) = find_chain(context, generation, &state) else {
            let partial = !state.delivery.delivered().is_empty();
            return FinalAnswer::NoChain { partial };
        };
        match run_attempt(context, generation, &mut state, &chain, sink).await {
            AttemptEnd::Final(answer) => return answer,
            AttemptEnd::Failed(failure) => {
                note_failure(context, &mut state, &chain, &failure);
                last_failure = Some(failure);
            }
        }
    }
    let partial = !state.delivery.delivered().is_empty();
    let failure = last_failure.unwrap_or(AttemptFailure::Stalled);
    FinalAnswer::Exhausted { partial, failure }
}

fn find_chain(
    context: &KernelContext,
    generation: &GenerationRequest,
    state: &GenerationState,
) -> Option<Vec<ChainStage>> {
    let graph = context
        .routing
        .graphs
        .graph(&generation.entry, &context.targets);
    let query = ChainQuery {
        excluded: &state.excluded,
        warm: &state.warm,
        desperate: false,
        now: context.clock.now(),
    };
    let policy = context.settings.routing.policy;
    match choose_chain(&graph, &query, policy, &mut fastrand::Rng::new()) {
        ChainChoice::Chain(chain) => {
            let edges = graph.edges();
            let stages = chain.iter().map(|index| edges[*index].stage.clone());
            Some(stages.collect())
        }
        ChainChoice::NoChain { .. } | ChainChoice::Reserved => None,
    }
}

/// Excludes the engine at fault and keeps the others of the chain as preferred.
fn note_failure(
    context: &KernelContext,
    state: &mut GenerationState,
    chain: &[ChainStage],
    failure: &AttemptFailure,
) {
    let head = chain.first().map(|stage| stage.instance.clone());
    let culprit = match failure {
        AttemptFailure::StageFailed { instance, .. } => Some(instance.clone()),
        AttemptFailure::HeadLost(_) | AttemptFailure::Refused(_) => head,
        AttemptFailure::Stalled | AttemptFailure::OutOfOrder => None,
    };
    state.warm = chain.iter().map(|stage| stage.instance.clone()).collect();
    match culprit {
        Some(instance) => {
            if let Some(target) = context.targets.get(&instance) {
                target.health.fail(context.clock.now(), false);
            }
            state.warm.retain(|other| *other != instance);
            state.excluded.push(instance);
        }
        // Which stage stalled is not known, so none of them is used again.
        None => state.excluded.append(&mut state.warm),
    }
}

async fn run_attempt(
    context: &KernelContext,
    generation: &GenerationRequest,
    state: &mut GenerationState,
    chain: &[ChainStage],
    sink: &Sender<AnswerEvent>,
) -> AttemptEnd {
    let attempt = state.delivery.start_attempt();
    let mut span = context.traces.start("attempt", generation.trace);
    span.set("attempt", attempt);
    span.set("chain", describe_chain(chain));
    let guards: Vec<FlightGuard> = chain
        .iter()
        .filter_map(|stage| context.targets.get(&stage.instance))
        .map(|target| target.enter())
        .collect();
    let request = make_request(generation, &state.delivery, attempt, chain);
    let end = match context.engines.generate(&request).await {
        Ok(stream) => {
            let canceller = Canceller {
                context,
                request: &request,
                armed: true,
            };
            read_stream(context, generation, state, stream, sink, canceller).await
        }
        Err(EngineError::Refused(status)) => AttemptEnd::Failed(AttemptFailure::Refused(status)),
        Err(EngineError::Send(cause)) => {
            AttemptEnd::Failed(AttemptFailure::HeadLost(cause.to_string()))
        }
    };
    if let AttemptEnd::Failed(failure) = &end {
        span.fail(format!("{failure:?}"));
    }
    drop(guards);
    end
}

fn describe_chain(chain: &[ChainStage]) -> String {
    let stages = chain
        .iter()
        .map(|stage| format!("{}:{}", stage.instance, stage.layers));
    stages.collect::<Vec<_>>().join(" ")
}

fn make_request(
    generation: &GenerationRequest,
    delivery: &DeliveryState,
    attempt: AttemptNumber,
    chain: &[ChainStage],
) -> GenerateRequest {
    let spec = &generation.entry.spec;
    GenerateRequest {
        work: PipelineWork {
            request: generation.request,
            attempt,
            model: spec.model.clone(),
            version: spec.version.clone(),
            chain: chain.to_vec(),
            priority: generation.priority,
        },
        prompt: Arc::clone(&generation.prompt),
        prefix: delivery.delivered().to_vec(),
        seed: generation.seed,
        max_tokens: generation.max_tokens,
    }
}

/// Cancels an attempt on its engines when it is dropped before it has completed.
struct Canceller<'a> {
    context: &'a KernelContext,
    request: &'a GenerateRequest,
    armed: bool,
}

impl Drop for Canceller<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let work = &self.request.work;
        let cancel = CancelRequest {
            request: work.request,
            attempt: work.attempt,
        };
        for stage in &work.chain {
            let engines = self.context.engines.clone();
            let address = stage.address;
            task::spawn(async move {
                if engines.cancel(address, &cancel).await.is_err() {
                    // An engine that cannot be reached drops the attempt with its connection.
                }
            });
        }
    }
}

async fn read_stream(
    context: &KernelContext,
    generation: &GenerationRequest,
    state: &mut GenerationState,
    mut stream: EngineStream,
    sink: &Sender<AnswerEvent>,
    mut canceller: Canceller<'_>,
) -> AttemptEnd {
    let mut limit = FIRST_TOKEN_TIMEOUT;
    loop {
        let left = generation.deadline.since(context.clock.now());
        if left.is_zero() {
            let partial = !state.delivery.delivered().is_empty();
            return AttemptEnd::Final(FinalAnswer::TimedOut { partial });
        }
        let wait_start = context.clock.now();
        let record = match timeout(limit.min(left), stream.next()).await {
            Err(_elapsed) if limit < left => return AttemptEnd::Failed(AttemptFailure::Stalled),
            Err(_elapsed) => continue,
            Ok(EngineEvent::Lost(cause)) => {
                return AttemptEnd::Failed(AttemptFailure::HeadLost(cause));
            }
            Ok(EngineEvent::Record(record)) => record,
        };
        match state.delivery.accept(record) {
            DeliveryStep::Ignore => {}
            DeliveryStep::Deliver(text) => {
                if limit == TOKEN_TIMEOUT {
                    (generation.meter.0)(context.clock.now().since(wait_start));
                }
                limit = TOKEN_TIMEOUT;
                if sink.send(AnswerEvent::Token(text)).await.is_err() {
                    return AttemptEnd::Final(FinalAnswer::CallerGone);
                }
            }
            DeliveryStep::Failed(failure) => return AttemptEnd::Failed(failure),
            DeliveryStep::Complete(cause) => {
                canceller.armed = false;
                let tokens = state.delivery.delivered().len() as u32;
                stream.finish().await;
                return AttemptEnd::Final(FinalAnswer::Complete { cause, tokens });
            }
        }
    }
}
