//! Probes the engines of a chain: asks each for its progress with a request.

use crate::engine::{ChainStage, EngineError, EngineReport, StageProgress};
use crate::http::SendError;
use crate::ids::{InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::routing::{StageProbe, StepTiming};
use crate::telemetry::TraceContext;
use async_std::task;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::time::Duration;

/// Longest timeout of a probe, as a share of the connect timeout.
const CONNECT_SHARE: f64 = 0.9;
/// Pause before the retry of a probe whose connection was lost.
const PROBE_PAUSE: Duration = Duration::from_millis(5);
/// Result for an engine whose response was not waited for.
const NOT_AWAITED: StageProbe = StageProbe::Answered {
    progress: StageProgress::UNKNOWN,
    expected: Duration::ZERO,
};

/// Engines to probe about a request.
pub(super) struct ProbeQuery {
    /// Request identifier.
    pub(super) request: RequestId,
    /// Stages whose engines are probed.
    pub(super) stages: Vec<ChainStage>,
    /// Incarnations of the engines when they got the request; 0 if unknown.
    pub(super) incarnations: Vec<(InstanceId, u64)>,
    /// Timeout of each probe.
    pub(super) timeout: Duration,
    /// Parent of the probes' spans.
    pub(super) parent: TraceContext,
}

/// Probes all stages at once, each within the timeout. A refused connection ends the wait for the
/// other responses, as it explains the missing token.
pub(super) async fn probe_stages(context: &KernelContext, query: &ProbeQuery) -> Vec<StageProbe> {
    // Shorter than the connect timeout, which would be taken for a refused connection.
    let connect = context.settings.timing.connect_timeout();
    let timeout = query.timeout.min(connect.mul_f64(CONNECT_SHARE));
    let mut waiting: FuturesUnordered<_> = query
        .stages
        .iter()
        .enumerate()
        .map(|(index, stage)| async move {
            let probe = probe_stage(context, query, stage, timeout).await;
            (index, probe)
        })
        .collect();
    let mut probes = vec![NOT_AWAITED; query.stages.len()];
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
    timeout: Duration,
) -> StageProbe {
    let mut span = context.traces.start_span("probe", query.parent);
    span.set_attribute("instance", &stage.instance);
    let response =
        async_std::future::timeout(timeout, ask_progress(context, query, stage, timeout));
    let probe = match Box::pin(response).await {
        Ok(Some(progress)) => interpret_response(context, query, stage, progress),
        Ok(None) => StageProbe::Refused,
        Err(_elapsed) => StageProbe::Silent,
    };
    if matches!(probe, StageProbe::Refused | StageProbe::Silent) {
        span.set_error(format!("{probe:?}"));
    }
    probe
}

/// Asks until there is a response; `None` once the connection is refused. A lost connection is
/// retried, as an engine that is about to exit may accept a connection and then break it.
async fn ask_progress(
    context: &KernelContext,
    query: &ProbeQuery,
    stage: &ChainStage,
    timeout: Duration,
) -> Option<StageProgress> {
    loop {
        let asked = context
            .engines
            .progress(stage.address, query.request, timeout);
        match asked.await {
            Ok(progress) => return Some(progress),
            Err(EngineError::Send(SendError::NotSent(_))) => return None,
            Err(_broken) => task::sleep(PROBE_PAUSE).await,
        }
    }
}

fn interpret_response(
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
    let at_start = query
        .incarnations
        .iter()
        .find(|row| row.0 == stage.instance);
    let expected = at_start.map_or(reported, |row| row.1);
    if expected != 0 && progress.incarnation != expected {
        return StageProbe::Restarted;
    }
    StageProbe::Answered {
        expected: expected_step(report.as_deref(), &progress),
        progress,
    }
}

/// Expected time of a step that waits for the batch in progress and for the queued items.
fn expected_step(report: Option<&EngineReport>, progress: &StageProgress) -> Duration {
    let rate = StepTiming::from_report(report);
    let micros = rate.token_micros(progress.queued + progress.running + 1);
    Duration::from_micros(micros as u64)
}
