//! Plug-in for plain services: forwards calls of any method. A call whose method is not declared
//! repeatable for the service is executed at most once.

use crate::api::auth::authenticate_team;
use crate::claims::{CachedResponse, ClaimGuard, ClaimOutcome, ClaimRequest};
use crate::config::{AcceptedConfig, ServiceSpec, TeamSpec};
use crate::http::{HttpCall, HttpResponse, ProblemKind, ProblemResponse, SendError, read_body};
use crate::ids::ServiceId;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, ProgressGuard};
use crate::telemetry::TraceContext;
use async_std::future::timeout;
use async_std::task;
use prometheus::IntCounterVec;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response};

/// Retry-After while no target is available or the daemon is starting.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of targets tried for one call.
const MAX_TARGETS: usize = 3;
/// Longest idempotency key accepted, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Header that marks a response replayed from an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "traceparent"];

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
        async move { Ok(handle_call(request, calls).await) }
    });
    Ok(())
}

async fn handle_call(mut request: Request<Arc<KernelContext>>, calls: IntCounterVec) -> Response {
    let outcome = match prepare(&mut request).await {
        Err(problem) => Err(problem),
        // Runs in a task of its own, so that the call completes even if the caller disconnects.
        Ok(call) => task::spawn(run_call(call)).await,
    };
    match outcome {
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

/// A validated service call.
struct ServiceCall {
    context: Arc<KernelContext>,
    team: Arc<TeamSpec>,
    service: Arc<ServiceSpec>,
    /// The call without the address of a target.
    template: HttpCall,
    /// Idempotency key.
    key: Option<String>,
    trace: TraceContext,
    /// Counts the call as in flight.
    _progress: ProgressGuard,
}

async fn run_call(call: ServiceCall) -> Result<Response, ProblemResponse> {
    let is_repeatable = call
        .service
        .repeatable
        .iter()
        .any(|method| **method == *call.template.method.as_ref());
    if is_repeatable {
        run_repeatable(&call).await
    } else {
        run_at_most_once(&call).await
    }
}

async fn prepare(
    request: &mut Request<Arc<KernelContext>>,
) -> Result<ServiceCall, ProblemResponse> {
    let (config, team) = authenticate_team(request)?;
    let service = find_service(&config, &team, request.param("service").unwrap_or_default())?;
    let context = Arc::clone(request.state());
    let progress = context.lifecycle.start_request();
    let body = read_body(request, context.settings.bounds.body_bytes).await?;
    let path = request.param("path").unwrap_or_default();
    let query = request
        .url()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
    let path = format!("/{path}{query}");
    let mut template = HttpCall::new(placeholder, request.method(), path)
        .timeout(context.settings.claims.service_timeout());
    template.body = body;
    for name in FORWARDED_HEADERS {
        if let Some(values) = request.header(name) {
            template = template.header(name, values.last().as_str());
        }
    }
    let key = request
        .header("idempotency-key")
        .map(|values| values.last().as_str().to_owned());
    let trace = template
        .headers
        .iter()
        .find(|(name, _value)| name == "traceparent")
        .and_then(|(_name, value)| value.parse().ok())
        .unwrap_or_else(TraceContext::root);
    Ok(ServiceCall {
        trace,
        _progress: progress,
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
) -> Result<Arc<ServiceSpec>, ProblemResponse> {
    let unknown = || ProblemResponse::not_executed(ProblemKind::NotFound, "unknown service");
    let service: ServiceId = name.parse().map_err(|_cause| unknown())?;
    if !team.may_use_service(&service) {
        let detail = "the team may not use this service";
        return Err(ProblemResponse::not_executed(
            ProblemKind::Forbidden,
            detail,
        ));
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
        addresses.truncate(MAX_TARGETS);
        addresses
    }

    async fn send(&self, address: SocketAddr) -> Result<HttpResponse, SendError> {
        let call = HttpCall {
            address,
            ..self.template.clone()
        };
        self.context.pool.send(&call).await
    }

    /// Sends the call on a new connection: if it cannot be opened while the claim allows the
    /// dispatch, the call was not executed.
    async fn send_claimed(
        &self,
        address: SocketAddr,
        guard: &ClaimGuard,
    ) -> Result<HttpResponse, SendError> {
        let call = HttpCall {
            address,
            ..self.template.clone()
        };
        let may_send = || guard.may_dispatch();
        self.context.pool.send_if(&call, may_send).await
    }
}

fn no_target() -> ProblemResponse {
    ProblemResponse::not_executed(
        ProblemKind::NoTarget,
        "no instance of the service can be reached",
    )
    .retry_after(NO_TARGET_RETRY_DELAY)
}

/// Sends a call that may be retried, with failover to other targets.
async fn run_repeatable(call: &ServiceCall) -> Result<Response, ProblemResponse> {
    let mut last = no_target();
    for address in call.targets() {
        match call.send(address).await {
            Ok(target_response) => match read_response(call, target_response).await {
                Ok(received) => return make_response(&received),
                Err(cause) => last = unknown_outcome(&cause),
            },
            Err(SendError::NotSent(_)) => {}
            Err(cause) => last = unknown_outcome(&cause),
        }
    }
    Err(last)
}

fn unknown_outcome(cause: &SendError) -> ProblemResponse {
    ProblemResponse::outcome_unknown(ProblemKind::TargetFailed, cause.to_string())
}

/// Claims the call's idempotency key, then dispatches the call. Once bytes of it may have reached a
/// target, it is not sent again.
async fn run_at_most_once(call: &ServiceCall) -> Result<Response, ProblemResponse> {
    let key = check_key(call)?;
    let (team, service) = (&call.team.team, &call.service.service);
    let claim = ClaimRequest::new(team, service, key, fingerprint_call(call));
    match claim_key(call, claim).await? {
        ClaimOutcome::Claimed(guard) => dispatch_once(call, guard).await,
        ClaimOutcome::Replayed(cached) => {
            let mut response = make_response(&cached)?;
            response.insert_header(REPLAYED_HEADER, "true");
            Ok(response)
        }
        ClaimOutcome::Refused(refusal) => Err(refusal.to_problem()),
    }
}

async fn claim_key(
    call: &ServiceCall,
    claim: ClaimRequest,
) -> Result<ClaimOutcome, ProblemResponse> {
    let claims = call.context.claims.get().ok_or_else(|| {
        ProblemResponse::not_executed(ProblemKind::NotReady, "the daemon is starting")
            .retry_after(NO_TARGET_RETRY_DELAY)
    })?;
    let mut span = call.context.traces.start_span("claim", call.trace);
    let outcome = claims.claim(claim).await;
    match &outcome {
        ClaimOutcome::Claimed(guard) => span.set_attribute("attempt", guard.attempt()),
        ClaimOutcome::Replayed(_) => span.set_attribute("repeated", true),
        ClaimOutcome::Refused(refusal) => span.set_error(refusal.name()),
    }
    Ok(outcome)
}

/// Sends a claimed call to the first target that accepts a connection.
async fn dispatch_once(call: &ServiceCall, guard: ClaimGuard) -> Result<Response, ProblemResponse> {
    for address in call.targets() {
        if !guard.may_dispatch() {
            break;
        }
        match call.send_claimed(address, &guard).await {
            Err(SendError::NotSent(_)) => {}
            Err(cause) => return Err(unknown_outcome(&cause)),
            Ok(target_response) => return complete(call, target_response, guard).await,
        }
    }
    guard.finish_not_executed();
    Err(no_target())
}

async fn complete(
    call: &ServiceCall,
    target_response: HttpResponse,
    guard: ClaimGuard,
) -> Result<Response, ProblemResponse> {
    let received = read_response(call, target_response)
        .await
        .map_err(|cause| unknown_outcome(&cause))?;
    let response = make_response(&received);
    guard.finish_completed(received);
    response
}

fn check_key(call: &ServiceCall) -> Result<&str, ProblemResponse> {
    let bad = |detail: String| ProblemResponse::not_executed(ProblemKind::BadRequest, detail);
    let key = call.key.as_deref().ok_or_else(|| {
        bad("calls with this method are not retried and need an Idempotency-Key".to_owned())
    })?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(|b| b.is_ascii_graphic()) {
        let limit = MAX_KEY_BYTES;
        return Err(bad(format!(
            "Idempotency-Key must be 1 to {limit} visible characters"
        )));
    }
    Ok(key)
}

/// Digest of method, path and body, by which a key that is used for two different calls is refused.
fn fingerprint_call(call: &ServiceCall) -> u64 {
    let template = &call.template;
    let mut hash = Sha256::new();
    for part in [
        template.method.as_ref().as_bytes(),
        template.path.as_bytes(),
        &template.body,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(prefix)
}

async fn read_response(
    call: &ServiceCall,
    target_response: HttpResponse,
) -> Result<CachedResponse, SendError> {
    let status = target_response.status();
    let media_type = target_response
        .header("content-type")
        .map(ToOwned::to_owned);
    let body = timeout(call.template.timeout, target_response.bytes()).await;
    let body = body.map_err(|_elapsed| SendError::TimedOut)??;
    Ok(CachedResponse {
        status,
        content_type: media_type,
        body,
    })
}

/// Converts a target's response, just received or cached, to the one for the caller.
fn make_response(target_response: &CachedResponse) -> Result<Response, ProblemResponse> {
    let status = tide::StatusCode::try_from(target_response.status).map_err(|cause| {
        ProblemResponse::outcome_unknown(
            ProblemKind::TargetFailed,
            format!("malformed response: {cause}"),
        )
    })?;
    let mut response = Response::new(status);
    response.set_body(target_response.body.clone());
    if let Some(media_type) = &target_response.content_type {
        response.insert_header("content-type", media_type.as_str());
    }
    Ok(response)
}
