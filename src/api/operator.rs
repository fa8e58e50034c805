//! Plug-in for operators: plan, confirm and status.

use crate::api::auth::authenticate_operator;
use crate::config::{
    CONFIG_KEY, ChangeEntry, CommitOutcome, ConfigBundle, ConfigDocument, FleetDeclaration,
    FleetPlan, ModelSpec, PlanInputs, PlanOutcome, StagePlacement, check_plan, commit_document,
    diff_documents, fetch_bundle, make_plan, offer_bundle, plan_outcome, read_head,
};
use crate::http::{ProblemKind, ProblemResponse, read_body};
use crate::ids::{ConfigRevision, InstanceId, ModelId, VersionId};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use crate::store::StoreError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tide::{Body, Request, Response, StatusCode};

/// Largest body accepted from an operator: a plan that puts a whole fleet in place, with room.
const MAX_BODY_BYTES: usize = 8 << 20;
/// When to come back while the store is out of reach.
const STORE_DELAY: Duration = Duration::from_secs(2);

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
pub struct ConfirmResponse {
    /// Revision at which the plan took effect.
    pub revision: ConfigRevision,
    /// Revision in force now, when a later change has superseded the plan.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub superseded_by: Option<ConfigRevision>,
}

/// Reply to the status question.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatusResponse {
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
    /// The declared version, while another one serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextVersion>,
}

/// How far the declared version of a model is loaded while its predecessor serves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NextVersion {
    /// Declared version.
    pub version: VersionId,
    /// Stages placed so far.
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

fn answer<T: Serialize>(outcome: Result<T, ProblemResponse>) -> Response {
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
) -> Result<T, ProblemResponse> {
    let body = read_body(request, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&body).map_err(|cause| {
        ProblemResponse::not_executed(ProblemKind::BadRequest, format!("malformed body: {cause}"))
    })
}

fn store_problem(cause: &StoreError) -> ProblemResponse {
    let problem = match cause {
        StoreError::NotExecuted(_) => {
            ProblemResponse::not_executed(ProblemKind::NotReady, cause.to_string())
        }
        StoreError::OutcomeUnknown(_) => {
            ProblemResponse::outcome_unknown(ProblemKind::TimedOut, cause.to_string())
        }
    };
    problem.retry_after(STORE_DELAY)
}

/// The newest configuration known: the store's, or the one in force when the store is behind.
async fn read_current(
    context: &Arc<KernelContext>,
) -> Result<Option<Arc<ConfigBundle>>, ProblemResponse> {
    let not_run = |detail: String| {
        ProblemResponse::not_executed(ProblemKind::NotReady, detail).retry_after(STORE_DELAY)
    };
    // A failed read has changed nothing, whatever became of it.
    let record = context.store.get(CONFIG_KEY).await;
    let record = record.map_err(|cause| not_run(cause.to_string()))?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    if let Some(record) = record
        && ConfigRevision(revision) > context.config.revision()
    {
        let malformed = |cause| {
            let detail = format!("the stored configuration is malformed: {cause}");
            ProblemResponse::not_executed(ProblemKind::Conflict, detail)
        };
        let head = read_head(&record.value).map_err(malformed)?;
        let bundle = fetch_bundle(context, ConfigRevision(revision), head).await;
        let bundle = bundle.ok_or_else(|| not_run("the configuration is changing".to_owned()))?;
        offer_bundle(context, bundle);
    }
    Ok(context.config.bundle())
}

async fn plan(mut request: Request<Arc<KernelContext>>) -> Result<FleetPlan, ProblemResponse> {
    authenticate_operator(&request)?;
    let wanted: PlanRequest = read_json(&mut request).await?;
    let context = request.state();
    let bundle = read_current(context).await?;
    let conflict = |detail: String| ProblemResponse::not_executed(ProblemKind::Conflict, detail);
    let current = bundle.as_ref().map(|bundle| bundle.assemble()).transpose();
    let current = current.map_err(|cause| conflict(cause.to_string()))?;
    let engines = context.instances.load().engine_capacities();
    let name = format!("plan-{:016x}", fastrand::u64(..));
    let inputs = PlanInputs {
        base: bundle.map_or(ConfigRevision(0), |bundle| bundle.revision),
        current: current.as_ref(),
        engines: &engines,
        load: &read_load(context),
        plan: name.parse().expect("generated plan names are valid"),
        author: wanted.author,
    };
    make_plan(inputs, wanted.declaration).map_err(|cause| conflict(cause.to_string()))
}

/// Requests in progress on each engine, by its newest report.
fn read_load(context: &KernelContext) -> BTreeMap<InstanceId, u32> {
    let targets = context.targets.all();
    let load = targets.iter().filter_map(|target| {
        let report = target.report()?;
        Some((target.instance.clone(), report.running + report.queued))
    });
    load.collect()
}

async fn confirm(
    mut request: Request<Arc<KernelContext>>,
) -> Result<ConfirmResponse, ProblemResponse> {
    authenticate_operator(&request)?;
    let plan: FleetPlan = read_json(&mut request).await?;
    let context = request.state();
    let outcome = match check_plan(&plan.document) {
        Ok(()) => write_plan(context, &plan).await,
        Err(detail) => Err(ProblemResponse::not_executed(
            ProblemKind::BadRequest,
            detail,
        )),
    };
    count_confirm(context, &outcome);
    outcome
}

async fn write_plan(
    context: &Arc<KernelContext>,
    plan: &FleetPlan,
) -> Result<ConfirmResponse, ProblemResponse> {
    if context.config.revision() < plan.base {
        read_current(context).await?;
    }
    let base = context.config.bundle();
    if let Some(bundle) = &base {
        let name = &plan.document.plan;
        let verdict = plan_outcome(name, plan.base, bundle.revision, &bundle.head);
        if verdict != PlanOutcome::Pending {
            return answer_verdict(plan, refresh_verdict(context, plan, verdict).await);
        }
    }
    let known = base
        .as_ref()
        .map_or(ConfigRevision(0), |bundle| bundle.revision);
    if known != plan.base {
        let detail = format!("revision {} has not reached this daemon yet", plan.base);
        let problem = ProblemResponse::not_executed(ProblemKind::NotReady, detail);
        return Err(problem.retry_after(STORE_DELAY));
    }
    let current = base.as_ref().and_then(|bundle| bundle.assemble().ok());
    let changes = diff_documents(current.as_ref(), &plan.document);
    let lines: Vec<String> = changes.iter().rev().map(ToString::to_string).collect();
    let entry = ChangeEntry::new(&plan.document.plan, &plan.document.author, &lines);
    match commit_document(context, base.as_deref(), &plan.document, entry).await {
        CommitOutcome::Resolved(verdict) => answer_verdict(plan, verdict),
        CommitOutcome::NotWritten(cause) | CommitOutcome::Unknown(cause) => {
            Err(store_problem(&cause))
        }
    }
}

/// Looks whether a plan that has taken effect was superseded by a change that has not reached this
/// daemon yet. While the store is out of reach the verdict stands as it is.
async fn refresh_verdict(
    context: &Arc<KernelContext>,
    plan: &FleetPlan,
    verdict: PlanOutcome,
) -> PlanOutcome {
    match read_current(context).await {
        Ok(Some(bundle)) => {
            let name = &plan.document.plan;
            plan_outcome(name, plan.base, bundle.revision, &bundle.head)
        }
        Ok(None) | Err(_) => verdict,
    }
}

fn answer_verdict(
    plan: &FleetPlan,
    verdict: PlanOutcome,
) -> Result<ConfirmResponse, ProblemResponse> {
    match verdict {
        PlanOutcome::Applied {
            revision,
            superseded_by,
        } => Ok(ConfirmResponse {
            revision,
            superseded_by,
        }),
        PlanOutcome::Conflict { changes } => {
            let detail = describe_changes(plan, &changes);
            Err(ProblemResponse::not_executed(ProblemKind::Conflict, detail))
        }
        PlanOutcome::Pending => {
            let detail = "the store has not moved past the plan's base".to_owned();
            Err(
                ProblemResponse::outcome_unknown(ProblemKind::TimedOut, detail)
                    .retry_after(STORE_DELAY),
            )
        }
    }
}

/// Says who changed what since the plan's base.
fn describe_changes(plan: &FleetPlan, changes: &[ChangeEntry]) -> String {
    let describe = |entry: &ChangeEntry| {
        let (author, revision) = (&entry.author, entry.revision);
        let lines = entry.changes.join(", ");
        format!(
            "{author} confirmed {} at revision {revision} ({lines})",
            entry.plan
        )
    };
    let lines: Vec<String> = changes.iter().map(describe).collect();
    let since = plan.base;
    format!(
        "the configuration has changed since revision {since}: {}; make a new plan",
        lines.join("; ")
    )
}

fn count_confirm(context: &KernelContext, outcome: &Result<ConfirmResponse, ProblemResponse>) {
    let label = if outcome.is_ok() {
        "effective"
    } else {
        "refused"
    };
    context.config.count_confirm(label);
}

fn status(request: &Request<Arc<KernelContext>>) -> Result<StatusResponse, ProblemResponse> {
    authenticate_operator(request)?;
    let context = request.state();
    let config = context.config.load();
    let models = config.iter().flat_map(|config| {
        let document = config.document();
        let models = document.declaration.models.iter();
        models.map(|spec| model_status(context, document, spec))
    });
    Ok(StatusResponse {
        instance: context.settings.instance.clone(),
        phase: context.lifecycle.phase().to_string(),
        revision: context.config.revision(),
        models: models.collect(),
    })
}

fn model_status(
    context: &KernelContext,
    document: &ConfigDocument,
    spec: &ModelSpec,
) -> ModelStatus {
    let serving = document.serving_spec(spec).version;
    let (stages, ready) = count_stages(context, document, &spec.model, &serving);
    let next = (serving != spec.version).then(|| {
        let (stages, ready) = count_stages(context, document, &spec.model, &spec.version);
        NextVersion {
            version: spec.version.clone(),
            stages,
            ready,
        }
    });
    ModelStatus {
        model: spec.model.clone(),
        version: serving,
        stages,
        ready,
        next,
    }
}

/// Placed stages of a version, and how many of them their engines report as loaded.
fn count_stages(
    context: &KernelContext,
    document: &ConfigDocument,
    model: &ModelId,
    version: &VersionId,
) -> (usize, usize) {
    let is_loaded = |row: &&StagePlacement| {
        let target = context.targets.get(&row.instance);
        let report = target.and_then(|target| target.report());
        report.is_some_and(|report| {
            let mut stages = report.stages.iter();
            stages.any(|held| held.ready && held.matches(row))
        })
    };
    let rows = document.placements.iter();
    let rows = rows.filter(|row| row.model == *model && row.version == *version);
    (rows.clone().count(), rows.filter(is_loaded).count())
}
