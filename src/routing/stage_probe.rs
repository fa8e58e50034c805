//! Asks the engines of a chain how far they have come with a request.

use crate::engine::{ChainStage, EngineError, EngineReport, StageProgress};
use crate::http::SendError;
use crate::ids::{InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::routing::{StageProbe, StepTiming};
use crate::telemetry::TraceContext;
use async_std::task;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::time::Duration;

/// Share of the time allowed for connecting that a probe may take.
const CONNECT_SHARE: f64 = 0.9;
/// Pause before a probe whose connection broke is sent again.
const PROBE_PAUSE: Duration = Duration::from_millis(5);
/// Stands for an engine whose answer was not waited for.
const UNHEARD: StageProbe = StageProbe::Answered {
    progress: StageProgress::UNKNOWN,
    expected: Duration::ZERO,
};

/// Whom to ask about a request.
pub(super) struct ProbeQuery {
    /// Request.
    pub(super) request: RequestId,
    /// Stages whose engines are asked.
    pub(super) stages: Vec<ChainStage>,
    /// Incarnations of the engines when they were given the request.
    pub(super) known: Vec<(InstanceId, u64)>,
    /// Time allowed for each answer.
    pub(super) limit: Duration,
    /// Parent of the probes' spans.
    pub(super) parent: TraceContext,
}

/// Asks all stages at once, each within `limit`. An engine that is gone ends the wait for the
/// others, as it explains the missing token.
pub(super) async fn probe_stages(context: &KernelContext, query: &ProbeQuery) -> Vec<StageProbe> {
    // Below the time allowed for connecting, whose end would look like a refused connection.
    let connect = context.settings.timing.connect();
    let limit = query.limit.min(connect.mul_f64(CONNECT_SHARE));
    let mut waiting: FuturesUnordered<_> = query
        .stages
        .iter()
        .enumerate()
        .map(|(index, stage)| async move {
            let probe = probe_stage(context, query, stage, limit).await;
            (index, probe)
        })
        .collect();
    let mut probes = vec![UNHEARD; query.stages.len()];
    while let Some((index, probe)) = waiting.next().await {
        probes[index] = probe;
        if probe == StageProbe::Refused {
            break;
        }
    }
    probes
}

async fn probe_stage(
    context: &KernelContext,
    query: &ProbeQuery,
    stage: &ChainStage,
    limit: Duration,
) -> StageProbe {
    let mut span = context.traces.start("probe", query.parent);
    span.set("instance", &stage.instance);
    let answer = async_std::future::timeout(limit, ask_progress(context, query, stage, limit));
    let probe = match Box::pin(answer).await {
        Ok(Some(progress)) => judge_answer(context, query, stage, progress),
        Ok(None) => StageProbe::Refused,
        Err(_elapsed) => StageProbe::Silent,
    };
    if matches!(probe, StageProbe::Refused | StageProbe::Silent) {
        span.fail(format!("{probe:?}"));
    }
    probe
}

/// Asks until there is an answer, or `None` once the connection is refused. An engine that is about
/// to exit may still take the connection and then break it.
async fn ask_progress(
    context: &KernelContext,
    query: &ProbeQuery,
    stage: &ChainStage,
    limit: Duration,
) -> Option<StageProgress> {
    loop {
        let asked = context
            .engines
            .progress(stage.address, query.request, limit);
        match asked.await {
            Ok(progress) => return Some(progress),
            Err(EngineError::Send(SendError::NotSent(_))) => return None,
            Err(_broken) => task::sleep(PROBE_PAUSE).await,
        }
    }
}

fn judge_answer(
    context: &KernelContext,
    query: &ProbeQuery,
    stage: &ChainStage,
    progress: StageProgress,
) -> StageProbe {
    let target = context.targets.get(&stage.instance);
    let report = target.as_ref().and_then(|target| target.report());
    let reported = report.as_ref().map_or(0, |report| report.incarnation);
    if let Some(target) = target
        && reported != 0
        && reported != progress.incarnation
    {
        target.mark_restarted(progress.incarnation);
    }
    let at_start = query.known.iter().find(|row| row.0 == stage.instance);
    let known = at_start.map_or(reported, |row| row.1);
    if known != 0 && progress.incarnation != known {
        return StageProbe::Restarted;
    }
    StageProbe::Answered {
        expected: expected_step(report.as_deref(), &progress),
        progress,
    }
}

/// Time of a step that waits for the batch in progress and those queued before it.
fn expected_step(report: Option<&EngineReport>, progress: &StageProgress) -> Duration {
    let rate = StepTiming::from_report(report);
    let micros = rate.token_micros(progress.queued + progress.running + 1);
    Duration::from_micros(micros as u64)
}
