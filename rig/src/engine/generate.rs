//! The generation loop of the first stage, and the work of the stages behind it.

use crate::engine::server::{EngineStandIn, LedgerEntry};
use crate::engine::stream_fault::Distorted;
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

/// Time that a stage waits for each stage behind it.
const STAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Exit code of an engine that a prompt has crashed.
const CRASH_CODE: i32 = 70;
/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// An activation as the stand-ins exchange it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct StageHandOff {
    #[serde(flatten)]
    pub(super) activation: ActivationRequest,
    /// True when the prompt is one that makes engines exit.
    pub(super) marked: bool,
}

/// Body of a failed activation reply: which stage failed and why.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct StageFault {
    /// Engine of the failed stage.
    pub(super) instance: InstanceId,
    /// What happened.
    pub(super) cause: Arc<str>,
}

/// Generates tokens and sends them to `events` until the answer ends or nobody listens.
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
            break finish(work, FinishCause::Length, position);
        }
        let activation = ActivationRequest {
            work: work.clone(),
            stage: 0,
            position: TokenPosition(position),
            context_tokens: prompt_tokens + position,
            activation: state.activation(),
        };
        let handed = StageHandOff { activation, marked };
        match run_stage(&engine, handed).await {
            Err(fault) => break broken(work, fault),
            Ok(reply) => match read_token(reply.activation) {
                None => break finish(work, FinishCause::Stop, position),
                Some(token) => {
                    state.push(&token);
                    let record = make_token(work, position, token);
                    let Distorted { records, ends } = engine.stream_fault().distort(record);
                    for record in records {
                        if events.send(record).await.is_err() {
                            return;
                        }
                    }
                    if ends {
                        return;
                    }
                    position += 1;
                }
            },
        }
    };
    engine.sessions().end(work.request);
    if events.send(end).await.is_err() {
        // The router has gone; it resumes elsewhere if it still wants the answer.
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

fn finish(work: &PipelineWork, cause: FinishCause, tokens: u32) -> StreamRecord {
    StreamRecord::Finish {
        request: work.request,
        attempt: work.attempt,
        cause,
        tokens,
    }
}

fn broken(work: &PipelineWork, fault: StageFault) -> StreamRecord {
    let (request, attempt) = (work.request, work.attempt);
    StreamRecord::Broken {
        request,
        attempt,
        instance: fault.instance,
        cause: fault.cause,
    }
}

/// Runs this engine's stage, then hands the activation on; returns what leaves the last stage.
pub(super) async fn run_stage(
    engine: &EngineStandIn,
    handed: StageHandOff,
) -> Result<ActivationReply, StageFault> {
    let StageHandOff {
        activation: request,
        marked,
    } = handed;
    if marked && request.stage == engine.crash_stage() {
        std::process::exit(CRASH_CODE);
    }
    let work = &request.work;
    let stage = work
        .chain
        .get(request.stage)
        .ok_or_else(|| engine.fault("no such stage"))?;
    if stage.instance != *engine.instance() || !engine.holding().can_run(work, stage.layers) {
        return Err(engine.fault("stage is not held here"));
    }
    if engine.is_cancelled(work.request, work.attempt) {
        return Err(engine.fault("attempt was cancelled"));
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
    let identity = work.request;
    let handed = ActivationRequest {
        stage: next,
        activation,
        ..request
    };
    let handed = StageHandOff {
        activation: handed,
        marked,
    };
    let reply = hand_on(engine, handed, prefill.max(1)).await;
    engine.sessions().enter(identity, step, StagePhase::Done);
    reply
}

async fn hand_on(
    engine: &EngineStandIn,
    handed: StageHandOff,
    activations: u32,
) -> Result<ActivationReply, StageFault> {
    let request = &handed.activation;
    let next = &request.work.chain[request.stage];
    task::sleep(engine.link_delay(&next.instance, activations)).await;
    // Stages further back give up earlier, so that the fault names the stage that caused it.
    let remaining = (request.work.chain.len() - request.stage) as u32;
    let call = HttpCall::new(next.address, Method::Post, "/v1/activation")
        .json(&handed)
        .timeout(STAGE_TIMEOUT * remaining);
    let fault = |cause: String| StageFault {
        instance: next.instance.clone(),
        cause: Arc::from(cause),
    };
    let reply = engine
        .pool()
        .send(&call)
        .await
        .map_err(|cause| fault(cause.to_string()))?;
    let status = reply.status();
    let body = reply
        .bytes()
        .await
        .map_err(|cause| fault(cause.to_string()))?;
    if status == 200 {
        return serde_json::from_slice(&body).map_err(|cause| fault(cause.to_string()));
    }
    Err(serde_json::from_slice(&body).unwrap_or_else(|_cause| fault(format!("status {status}"))))
}
