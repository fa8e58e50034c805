//! Plug-in for operators: plan, confirm and status.

use crate::api::auth::authenticate_operator;
use crate::config::{
    CONFIG_KEY, ConfigDocument, FleetDeclaration, FleetPlan, adopt_record, make_plan,
};
use crate::http::{ProblemAnswer, ProblemKind, read_body};
use crate::ids::{ConfigRevision, InstanceId, ModelId, PlanId, VersionId};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tide::{Body, Request, Response, StatusCode};

/// When to come back while the store is out of reach.
const STORE_DELAY: Duration = Duration::from_secs(2);
/// Rate assumed for the weight store, in bytes a second.
const WEIGHT_RATE: u64 = 100 << 20;

/// Body of `POST /operator/plan`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRequest {
    /// Operator's name, recorded with the change.
    pub author: Arc<str>,
    /// Declaration to plan for.
    pub declaration: FleetDeclaration,
}

/// Reply to a confirmed plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfirmReply {
    /// Revision at which the plan took effect.
    pub revision: ConfigRevision,
}

/// Reply to the status question.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReply {
    /// Daemon that answers.
    pub instance: InstanceId,
    /// Its phase.
    pub phase: String,
    /// Revision in force on it.
    pub revision: ConfigRevision,
    /// Models and how far they are loaded.
    pub models: Vec<ModelStatus>,
}

/// How far a model is loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelStatus {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: VersionId,
    /// Stages placed.
    pub stages: usize,
    /// Stages that their engines report as loaded.
    pub ready: usize,
}

inventory::submit! {
    PluginEntry { name: "api.operator", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    host.app
        .at("/operator/plan")
        .post(|request| async move { Ok(answer(plan(request).await)) });
    host.app
        .at("/operator/confirm")
        .post(|request| async move { Ok(answer(confirm(request).await)) });
    host.app
        .at("/operator/status")
        .get(|request| async move { Ok(answer(status(&request))) });
    Ok(())
}

fn answer<T: Serialize>(outcome: Result<T, ProblemAnswer>) -> Response {
    match outcome {
        Err(problem) => problem.to_response().into(),
        Ok(value) => {
            let mut response = Response::new(StatusCode::Ok);
            let body = Body::from_json(&value).expect("reply bodies serialize");
            response.set_body(body);
            response
        }
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut Request<Arc<KernelContext>>,
) -> Result<T, ProblemAnswer> {
    let limit = request.state().settings.bounds.body_bytes;
    let body = read_body(request, limit).await?;
    serde_json::from_slice(&body).map_err(|cause| {
        ProblemAnswer::not_run(ProblemKind::BadRequest, format!("malformed body: {cause}"))
    })
}

fn store_problem(cause: &StoreError) -> ProblemAnswer {
    let problem = match cause {
        StoreError::NoEffect(_) => ProblemAnswer::not_run(ProblemKind::NotReady, cause.to_string()),
        StoreError::UnknownEffect(_) => {
            ProblemAnswer::unknown(ProblemKind::TimedOut, cause.to_string())
        }
    };
    problem.retry_after(STORE_DELAY)
}

/// The document in the store and its revision.
async fn read_current(
    context: &KernelContext,
) -> Result<(ConfigRevision, Option<ConfigDocument>), ProblemAnswer> {
    let read = context.store.get(CONFIG_KEY).await;
    // A failed read has changed nothing, whatever became of it.
    let record = read.map_err(|cause| {
        ProblemAnswer::not_run(ProblemKind::NotReady, cause.to_string()).retry_after(STORE_DELAY)
    })?;
    let Some(record) = record else {
        return Ok((ConfigRevision(0), None));
    };
    let document = serde_json::from_slice(&record.value).map_err(|cause| {
        let detail = format!("the stored configuration is malformed: {cause}");
        ProblemAnswer::not_run(ProblemKind::Conflict, detail)
    })?;
    Ok((ConfigRevision(record.revision), Some(document)))
}

async fn plan(mut request: Request<Arc<KernelContext>>) -> Result<FleetPlan, ProblemAnswer> {
    authenticate_operator(&request)?;
    let wanted: PlanRequest = read_json(&mut request).await?;
    let context = request.state();
    let (base, current) = read_current(context).await?;
    let engines = context.instances.load().engine_offers();
    let name = format!("plan-{:016x}", fastrand::u64(..));
    let plan: PlanId = name.parse().expect("generated plan names are valid");
    let identity = (plan, wanted.author);
    make_plan(
        base,
        current.as_ref(),
        wanted.declaration,
        &engines,
        identity,
        WEIGHT_RATE,
    )
    .map_err(|cause| ProblemAnswer::not_run(ProblemKind::Conflict, cause.to_string()))
}

async fn confirm(mut request: Request<Arc<KernelContext>>) -> Result<ConfirmReply, ProblemAnswer> {
    authenticate_operator(&request)?;
    let plan: FleetPlan = read_json(&mut request).await?;
    let context = request.state();
    let value = serde_json::to_vec(&plan.document).expect("documents serialize");
    let expected = match plan.base {
        ConfigRevision(0) => ExpectedRevision::Absent,
        ConfigRevision(revision) => ExpectedRevision::Exactly(revision),
    };
    let swapped = context.store.swap(CONFIG_KEY, expected, &value, None).await;
    match swapped.map_err(|cause| store_problem(&cause))? {
        SwapOutcome::Swapped(revision) => {
            let key = CONFIG_KEY.to_owned();
            adopt_record(
                context,
                &StoreRecord {
                    key,
                    value,
                    revision,
                    lease: None,
                },
            );
            Ok(ConfirmReply {
                revision: ConfigRevision(revision),
            })
        }
        SwapOutcome::Conflict(present) => settle_conflict(&plan, present),
    }
}

/// Tells apart a plan that has taken effect before and one that lost to another change.
fn settle_conflict(
    plan: &FleetPlan,
    present: Option<StoreRecord>,
) -> Result<ConfirmReply, ProblemAnswer> {
    let lost = |detail: String| ProblemAnswer::not_run(ProblemKind::Conflict, detail);
    let record = present.ok_or_else(|| lost("the configuration was deleted".to_owned()))?;
    let document: ConfigDocument = serde_json::from_slice(&record.value)
        .map_err(|cause| lost(format!("the stored configuration is malformed: {cause}")))?;
    if document.plan == plan.document.plan {
        return Ok(ConfirmReply {
            revision: ConfigRevision(record.revision),
        });
    }
    let detail = format!(
        "{} confirmed {} at revision {}; make a new plan",
        document.author, document.plan, record.revision
    );
    Err(lost(detail))
}

fn status(request: &Request<Arc<KernelContext>>) -> Result<StatusReply, ProblemAnswer> {
    authenticate_operator(request)?;
    let context = request.state();
    let config = context.config.load();
    let models = config.iter().flat_map(|config| config.models());
    Ok(StatusReply {
        instance: context.settings.instance.clone(),
        phase: context.lifecycle.phase().to_string(),
        revision: context.config.revision(),
        models: models.map(|entry| model_status(context, entry)).collect(),
    })
}

fn model_status(context: &KernelContext, entry: &crate::config::ModelEntry) -> ModelStatus {
    let is_ready = |row: &&crate::config::StagePlacement| {
        let report = context
            .targets
            .get(&row.instance)
            .and_then(|target| target.report());
        report.is_some_and(|report| {
            report
                .stages
                .iter()
                .any(|held| held.ready && held.matches(row))
        })
    };
    ModelStatus {
        model: entry.spec.model.clone(),
        version: entry.spec.version.clone(),
        stages: entry.placements.len(),
        ready: entry.placements.iter().filter(is_ready).count(),
    }
}
