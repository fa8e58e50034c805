//! Plug-in for plain services: forwards calls of any method, and runs each call that may not be
//! repeated at most once.

use crate::api::auth::authenticate_team;
use crate::claims::{ClaimOutcome, ClaimRequest, claim_key, settle_claim};
use crate::config::{AcceptedConfig, ServiceSpec, TeamSpec};
use crate::http::{HttpCall, HttpReply, ProblemAnswer, ProblemKind, SendError, read_body};
use crate::ids::ServiceId;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost};
use prometheus::IntCounterVec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response};

/// Time allowed for a service to answer.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back after a refusal for want of a target.
const NO_TARGET_DELAY: Duration = Duration::from_secs(1);
/// Targets tried for one call.
const MAX_TRIES: usize = 3;
/// Longest idempotency key accepted, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Headers passed on to the service.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "traceparent"];

inventory::submit! {
    PluginEntry { name: "api.services", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let help = "Calls of plain services by outcome.";
    let calls = host
        .context
        .metrics
        .counter("service_calls_total", help, &["outcome"])?;
    host.app.at("/services/:service/*path").all(move |request| {
        let calls = calls.clone();
        async move { Ok(answer_call(request, calls).await) }
    });
    Ok(())
}

async fn answer_call(mut request: Request<Arc<KernelContext>>, calls: IntCounterVec) -> Response {
    match run_call(&mut request).await {
        Ok(response) => {
            calls.with_label_values(&["completed"]).inc();
            response
        }
        Err(problem) => {
            calls
                .with_label_values(&[&*problem.outcome.to_string()])
                .inc();
            problem.to_response().into()
        }
    }
}

/// A checked service call.
struct ServiceCall {
    context: Arc<KernelContext>,
    team: Arc<TeamSpec>,
    service: Arc<ServiceSpec>,
    template: HttpCall,
    key: Option<String>,
}

async fn run_call(request: &mut Request<Arc<KernelContext>>) -> Result<Response, ProblemAnswer> {
    let call = prepare(request).await?;
    let _progress = call.context.lifecycle.enter();
    let is_repeatable = call
        .service
        .repeatable
        .iter()
        .any(|method| **method == *call.template.method.as_ref());
    if is_repeatable {
        run_repeatable(&call).await
    } else {
        run_once(&call).await
    }
}

async fn prepare(request: &mut Request<Arc<KernelContext>>) -> Result<ServiceCall, ProblemAnswer> {
    let (config, team) = authenticate_team(request)?;
    let service = find_service(&config, &team, request.param("service").unwrap_or_default())?;
    let context = Arc::clone(request.state());
    let body = read_body(request, context.settings.bounds.body_bytes).await?;
    let path = request.param("path").unwrap_or_default();
    let query = request
        .url()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    let path = format!("/{path}{query}");
    let mut template = HttpCall::new(unset, request.method(), path).timeout(SERVICE_TIMEOUT);
    template.body = body;
    for name in PASSED_HEADERS {
        if let Some(values) = request.header(name) {
            template = template.header(name, values.last().as_str());
        }
    }
    let key = request
        .header("idempotency-key")
        .map(|values| values.last().as_str().to_owned());
    Ok(ServiceCall {
        context,
        team,
        service,
        template,
        key,
    })
}

fn find_service(
    config: &AcceptedConfig,
    team: &TeamSpec,
    name: &str,
) -> Result<Arc<ServiceSpec>, ProblemAnswer> {
    let unknown = || ProblemAnswer::not_run(ProblemKind::NotFound, "unknown service");
    let service: ServiceId = name.parse().map_err(|_cause| unknown())?;
    if !team.may_use_service(&service) {
        let detail = "the team may not use this service";
        return Err(ProblemAnswer::not_run(ProblemKind::Forbidden, detail));
    }
    config.service(&service).cloned().ok_or_else(unknown)
}

impl ServiceCall {
    /// Addresses to try, in random order.
    fn targets(&self) -> Vec<SocketAddr> {
        let list = self.context.instances.load();
        let rows = list.service_targets(&self.service.service);
        let mut addresses: Vec<SocketAddr> = rows.map(|row| row.address).collect();
        fastrand::shuffle(&mut addresses);
        addresses.truncate(MAX_TRIES);
        addresses
    }

    async fn send(&self, address: SocketAddr) -> Result<HttpReply, SendError> {
        let call = HttpCall {
            address,
            ..self.template.clone()
        };
        self.context.pool.send(&call).await
    }

    async fn send_fresh(&self, address: SocketAddr) -> Result<HttpReply, SendError> {
        let call = HttpCall {
            address,
            ..self.template.clone()
        }
        .fresh();
        self.context.pool.send(&call).await
    }
}

fn no_target() -> ProblemAnswer {
    ProblemAnswer::not_run(
        ProblemKind::NoTarget,
        "no instance of the service can be reached",
    )
    .retry_after(NO_TARGET_DELAY)
}

async fn run_repeatable(call: &ServiceCall) -> Result<Response, ProblemAnswer> {
    let mut last = no_target();
    for address in call.targets() {
        match call.send(address).await {
            Ok(reply) => match copy_reply(reply).await {
                Ok(response) => return Ok(response),
                Err(cause) => last = unknown_outcome(&cause),
            },
            Err(SendError::NotSent(_)) => {}
            Err(cause) => last = unknown_outcome(&cause),
        }
    }
    Err(last)
}

fn unknown_outcome(cause: &SendError) -> ProblemAnswer {
    ProblemAnswer::unknown(ProblemKind::TargetFailed, cause.to_string())
}

/// Claims the call's key, then dispatches it to one target; never a second time once bytes may
/// have reached one.
async fn run_once(call: &ServiceCall) -> Result<Response, ProblemAnswer> {
    let key = check_key(call)?;
    let claim = ClaimRequest {
        team: call.team.team.clone(),
        service: call.service.service.clone(),
        key,
        fingerprint: fingerprint_call(call),
    };
    let ticket = match claim_key(&call.context, &claim).await {
        ClaimOutcome::Claimed(ticket) => ticket,
        ClaimOutcome::Refused(problem) => return Err(problem),
    };
    for address in call.targets() {
        match call.send_fresh(address).await {
            Err(SendError::NotSent(_)) => {}
            Err(cause) => return Err(unknown_outcome(&cause)),
            Ok(reply) => {
                return copy_reply(reply)
                    .await
                    .map_err(|cause| unknown_outcome(&cause));
            }
        }
    }
    settle_claim(&call.context, ticket).await;
    Err(no_target())
}

fn check_key(call: &ServiceCall) -> Result<Arc<str>, ProblemAnswer> {
    let bad = |detail: String| ProblemAnswer::not_run(ProblemKind::BadRequest, detail);
    let key = call.key.as_deref().ok_or_else(|| {
        bad("calls of this method may not be repeated and need an Idempotency-Key".to_owned())
    })?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(|b| b.is_ascii_graphic()) {
        let limit = MAX_KEY_BYTES;
        return Err(bad(format!(
            "Idempotency-Key must be 1 to {limit} visible characters"
        )));
    }
    Ok(Arc::from(key))
}

/// Digest of what the call asks for, so that a key cannot stand for two different calls.
fn fingerprint_call(call: &ServiceCall) -> String {
    use sha2::{Digest, Sha256};
    let mut hash = Sha256::new();
    hash.update(call.template.method.as_ref());
    hash.update([0]);
    hash.update(&call.template.path);
    hash.update([0]);
    hash.update(&call.template.body);
    hash.finalize()
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

async fn copy_reply(reply: HttpReply) -> Result<Response, SendError> {
    let status = tide::StatusCode::try_from(reply.status());
    let mut response =
        Response::new(status.map_err(|cause| SendError::BadReply(cause.to_string()))?);
    let form = reply.header("content-type").map(ToOwned::to_owned);
    response.set_body(reply.bytes().await?);
    if let Some(form) = form {
        response.insert_header("content-type", form);
    }
    Ok(response)
}
