//! The generation loop of the first stage, and the step that every stage runs.

use crate::engine::server::{EngineStandIn, LedgerEntry};
use crate::engine::stream_fault::FaultyRecords;
use crate::oracle::{OracleState, read_token, run_layers};
use arbutusmount::{
    ActivationReply, ActivationRequest, FinishCause, GenerateRequest, HttpCall, InstanceId,
    PipelineWork, StagePhase, StreamRecord, TokenPosition,
};
use async_std::channel::Sender;
use async_std::task;
use http_types::Method;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time that a stage allows for each stage after it.
const STAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Exit code of an engine that a marked prompt crashes.
const CRASH_CODE: i32 = 70;
/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Body of `/v1/activation`: the activation, and whether its prompt crashes engines.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct ActivationMessage {
    #[serde(flatten)]
    pub(super) activation: ActivationRequest,
    /// True when the prompt contains the crash marker.
    pub(super) marked: bool,
}

/// Body of the response to an activation that failed: which stage failed and why.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct ActivationFailure {
    /// Engine of the failed stage.
    pub(super) instance: InstanceId,
    /// Why it failed.
    pub(super) cause: Arc<str>,
}

/// Generates tokens and sends them to `events` until the answer ends, the attempt is cancelled or
/// the receiver is dropped.
pub(super) async fn generate(
    engine: EngineStandIn,
    request: GenerateRequest,
    events: Sender<StreamRecord>,
) {
    let work = &request.work;
    let marked = engine.is_marked(&request.prompt);
    let mut state = OracleState::new(&work.model, &work.version, request.seed, &request.prompt);
    request.prefix.iter().for_each(|token| state.push(token));
    let prompt_tokens = request.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
    let mut position = request.prefix.len() as u32;
    let end = loop {
        if engine.is_cancelled(work.request, work.attempt) {
            return;
        }
        if position >= request.max_tokens {
            break make_finish(work, FinishCause::Length, position);
        }
        let activation = ActivationRequest {
            work: work.clone(),
            stage: 0,
            position: TokenPosition(position),
            context_tokens: prompt_tokens + position,
            activation: state.activation(),
        };
        let message = ActivationMessage { activation, marked };
        match run_stage(&engine, message).await {
            Err(failure) => break make_broken(work, failure),
            Ok(reply) => match read_token(reply.activation) {
                None => break make_finish(work, FinishCause::Stop, position),
                Some(token) => {
                    state.push(&token);
                    let record = make_token(work, position, token);
                    let FaultyRecords {
                        records,
                        ends_stream,
                    } = engine.stream_fault().apply(record);
                    for record in records {
                        if events.send(record).await.is_err() {
                            return;
                        }
                    }
                    if ends_stream {
                        return;
                    }
                    position += 1;
                }
            },
        }
    };
    engine.sessions().remove(work.request);
    if events.send(end).await.is_err() {
        // The router has closed the stream; it resumes at another chain if it still needs the
        // answer.
    }
}

fn make_token(work: &PipelineWork, position: u32, text: Arc<str>) -> StreamRecord {
    let (request, attempt) = (work.request, work.attempt);
    StreamRecord::Token {
        request,
        attempt,
        position: TokenPosition(position),
        text,
    }
}

fn make_finish(work: &PipelineWork, cause: FinishCause, tokens: u32) -> StreamRecord {
    StreamRecord::Finish {
        request: work.request,
        attempt: work.attempt,
        cause,
        tokens,
    }
}

fn make_broken(work: &PipelineWork, failure: ActivationFailure) -> StreamRecord {
    let (request, attempt) = (work.request, work.attempt);
    StreamRecord::Broken {
        request,
        attempt,
        instance: failure.instance,
        cause: failure.cause,
    }
}

/// Runs this engine's stage and forwards the activation to the next one; returns the activation
/// that leaves the last stage.
pub(super) async fn run_stage(
    engine: &EngineStandIn,
    message: ActivationMessage,
) -> Result<ActivationReply, ActivationFailure> {
    let ActivationMessage {
        activation: request,
        marked,
    } = message;
    if marked && request.stage == engine.crash_stage() {
        std::process::exit(CRASH_CODE);
    }
    let work = &request.work;
    let stage = work
        .chain
        .get(request.stage)
        .ok_or_else(|| engine.failure("the chain has no stage with this index"))?;
    if stage.instance != *engine.instance() || !engine.slot().can_run(work, stage.layers) {
        return Err(engine.failure("the engine does not hold the layers of this stage"));
    }
    if engine.is_cancelled(work.request, work.attempt) {
        return Err(engine.failure("the attempt was cancelled"));
    }
    let step = (work.attempt, request.position);
    engine
        .sessions()
        .enter(work.request, step, StagePhase::Held);
    let prefill = engine.extend_cache(work.request, request.context_tokens);
    engine
        .batcher()
        .run_step(stage.layers, prefill, work.priority)
        .await;
    engine.record(LedgerEntry {
        request: work.request,
        attempt: work.attempt,
        position: request.position,
        layers: stage.layers,
    });
    let activation = run_layers(stage.layers, request.activation);
    let next = request.stage + 1;
    if next == work.chain.len() {
        engine
            .sessions()
            .enter(work.request, step, StagePhase::Done);
        return Ok(ActivationReply { activation });
    }
    engine
        .sessions()
        .enter(work.request, step, StagePhase::HandedOn);
    let request_id = work.request;
    let activation = ActivationRequest {
        stage: next,
        activation,
        ..request
    };
    let message = ActivationMessage { activation, marked };
    let reply = forward_activation(engine, message, prefill.max(1)).await;
    engine.sessions().enter(request_id, step, StagePhase::Done);
    reply
}

/// Sends the activation to the next stage and waits for the reply. `activations` is the number of
/// tokens whose activations the link carries.
async fn forward_activation(
    engine: &EngineStandIn,
    message: ActivationMessage,
    activations: u32,
) -> Result<ActivationReply, ActivationFailure> {
    let request = &message.activation;
    let next = &request.work.chain[request.stage];
    task::sleep(engine.link_delay(&next.instance, activations)).await;
    // Later stages time out first, so that the failure names the stage that caused it.
    let remaining = (request.work.chain.len() - request.stage) as u32;
    let call = HttpCall::new(next.address, Method::Post, "/v1/activation")
        .json(&message)
        .timeout(STAGE_TIMEOUT * remaining);
    let failure = |cause: String| ActivationFailure {
        instance: next.instance.clone(),
        cause: Arc::from(cause),
    };
    let response = engine
        .pool()
        .send(&call)
        .await
        .map_err(|cause| failure(cause.to_string()))?;
    let status = response.status();
    let body = response
        .bytes()
        .await
        .map_err(|cause| failure(cause.to_string()))?;
    if status == 200 {
        return serde_json::from_slice(&body).map_err(|cause| failure(cause.to_string()));
    }
    Err(serde_json::from_slice(&body).unwrap_or_else(|_cause| failure(format!("status {status}"))))
}
