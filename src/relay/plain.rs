//! Requests to plain services, that is, services without a model: the response is buffered and
//! forwarded only when complete.

use crate::relay::attempt::{
    FailedAttempt, FailureKind, PendingResponse, keep_connection, open_response,
};
use crate::relay::choice::pick_target;
use crate::relay::distribution::uses_distribution;
use crate::relay::exchange::{ActiveRequest, ExchangeEnd, forward_head};
use crate::relay::lending::{StalledAttempt, secure_retry, secure_retry_beside};
use crate::relay::limits::{PermitOutcome, acquire_permit, any_held_back, return_permit};
use crate::relay::notices::held_back_detail;
use crate::relay::path::NO_PATH;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::suspicion::{AttemptSuspicion, check_for_crash, separate_suspects};
use crate::relay::via_peer::relay_plain_via_peer;
use crate::targets::TargetEntry;
use crate::units::MonoTime;
use crate::wire::{BodyEnd, ResponseBudget, ResponseHold, WireHead, is_bodiless, read_body};
use async_io::Timer;
use async_std::future::timeout;
use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Size limit of a response, which is buffered until it is complete. A longer one fails the
/// attempt.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;
/// Largest body that is copied to be sent together with its head.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Share of the remaining time after which another target is tried beside the one that has not
/// responded, when the request may be executed again.
const ATTEMPT_TIME_SHARE: f64 = 0.5;
/// Interval at which another target is looked for then.
const TARGET_POLL: Duration = Duration::from_millis(50);
/// Interval at which running attempts are looked at, in case this daemon has lost its path.
const PATH_POLL: Duration = Duration::from_millis(250);
/// Longest time for which targets with a rate limit are asked for one after the other.
const PERMIT_WAIT: Duration = Duration::from_millis(250);

/// A complete response of a target.
pub(super) struct BufferedResponse {
    /// Head.
    pub head: WireHead,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// How the body ended.
    pub end: BodyEnd,
    /// Memory that the body holds.
    pub _memory: ResponseHold,
}

/// Relays a request to a plain service, with retries where they are allowed.
pub(super) async fn relay_plain(request: &ActiveRequest<'_>) -> ExchangeEnd {
    if !request.is_accepted() {
        return request.refuse_while_draining().await;
    }
    PlainRelay::new(request).run().await
}

/// What the relay of a plain request waits for.
enum RelayEvent {
    /// An attempt at this target is over.
    Ended(Arc<TargetEntry>, AttemptResult),
    /// The newest attempt takes so long that another target is tried as well.
    Overdue,
}

/// Response of an attempt, or its failure.
type AttemptResult = std::result::Result<BufferedResponse, FailedAttempt>;
/// An attempt that is not over.
type RunningAttempt<'a> =
    Pin<Box<dyn Future<Output = (Arc<TargetEntry>, AttemptResult)> + Send + 'a>>;

/// The attempts of one plain request. One that takes long is kept while another target is tried: the first
/// complete response counts.
struct PlainRelay<'a> {
    request: &'a ActiveRequest<'a>,
    state: RetryState,
    rng: fastrand::Rng,
    /// Last response with status 500 or above, for when there is no other one.
    error_response: Option<BufferedResponse>,
    /// Detail of a local reply.
    detail: String,
    running: FuturesUnordered<RunningAttempt<'a>>,
    /// Target of the newest attempt.
    newest: Option<Arc<TargetEntry>>,
    /// Time from which another target is tried beside the running attempts.
    overdue_at: MonoTime,
}

impl<'a> PlainRelay<'a> {
    fn new(request: &'a ActiveRequest<'a>) -> Self {
        Self {
            request,
            state: request.new_retry_state(),
            rng: fastrand::Rng::new(),
            error_response: None,
            detail: String::from("no target is ready"),
            running: FuturesUnordered::new(),
            newest: None,
            overdue_at: request.deadline,
        }
    }

    async fn run(mut self) -> ExchangeEnd {
        loop {
            if self.running.is_empty() {
                if self.request.must_move(&self.state) {
                    return self.request.refuse_while_draining().await;
                }
                if self.request.is_for_peer()
                    && let Some(end) = relay_plain_via_peer(self.request, &mut self.state).await
                {
                    return end;
                }
                if let Err(step) = self.start_next().await {
                    return self.finish(step).await;
                }
            }
            let ended = match self.next_event().await {
                RelayEvent::Ended(target, result) => self.on_end(&target, result).await,
                RelayEvent::Overdue => {
                    self.start_beside().await;
                    None
                }
            };
            if let Some(response) = ended {
                return forward_response(self.request, &response, self.state.retries()).await;
            }
        }
    }

    /// Starts the next attempt, or returns the step that ends the request without one.
    async fn start_next(&mut self) -> std::result::Result<(), RetryStep> {
        let request = self.request;
        if request.has_silent_path() {
            self.detail = String::from(NO_PATH);
            return Err(self.state.final_step());
        }
        separate_suspects(request).await;
        let allowed = self.state.next_step(request.context.clock.now());
        let target = if allowed == RetryStep::TryNext && !request.is_poison() {
            find_target(request, &self.state, &mut self.rng).await
        } else {
            None
        };
        if target.is_none() && is_held_back(request) {
            self.detail = String::from(held_back_detail(request));
        }
        if target.is_some() {
            secure_retry(request, &self.state).await;
        }
        self.start_if_allowed(target)
    }

    /// Starts an attempt beside the running ones if that is allowed and a target is left; else looks
    /// again a little later.
    async fn start_beside(&mut self) {
        let request = self.request;
        let now = request.context.clock.now();
        if request.is_for_peer() && request.has_silent_path() {
            return self.give_up_attempts();
        }
        if now < self.overdue_at {
            return;
        }
        self.overdue_at = now.after(TARGET_POLL);
        if self.state.next_step(now) != RetryStep::TryNext
            || !secure_retry_beside(request.context, &request.service.name, StalledAttempt::Slow)
                .await
        {
            return;
        }
        let TargetTry::Found(target) = try_target(request, &self.state, &mut self.rng).await else {
            return;
        };
        let overdue = self.newest.clone();
        if let (Ok(()), Some(overdue)) = (self.start_if_allowed(Some(target)), overdue) {
            if !request.context.is_cut_off() {
                overdue.stats.record_failure(now);
            }
            let line = request
                .log_line("attempt_stalled")
                .with_display("target", &overdue.id);
            request.context.events.emit(line);
        }
    }

    /// Ends the running attempts, whose connections are silent, if the request may be executed again.
    fn give_up_attempts(&mut self) {
        if !self.request.route.retry_rule.allows_reexecution() {
            return;
        }
        self.running.clear();
        self.state.end_running();
    }

    /// Starts an attempt at the target if the limits allow it, else gives its permit back.
    fn start_if_allowed(
        &mut self,
        target: Option<Arc<TargetEntry>>,
    ) -> std::result::Result<(), RetryStep> {
        let step = self.request.next_step(&self.state, target.is_some());
        match (target, step) {
            (Some(target), RetryStep::TryNext) => {
                self.start_attempt(target);
                Ok(())
            }
            (target, step) => {
                if let Some(target) = &target {
                    return_permit(self.request.context, target);
                }
                Err(step)
            }
        }
    }

    fn start_attempt(&mut self, target: Arc<TargetEntry>) {
        let request = self.request;
        let now = request.context.clock.now();
        let time_left = self.state.time_left(now);
        let may_reexecute = request.route.retry_rule.allows_reexecution();
        self.overdue_at = if may_reexecute {
            now.after(time_left.mul_f64(ATTEMPT_TIME_SHARE))
        } else {
            request.deadline
        };
        target.stats.shedding().on_send(now);
        self.state.on_start(&target.id);
        self.newest = Some(Arc::clone(&target));
        self.running
            .push(Box::pin(run_attempt(request, target, time_left)));
    }

    async fn next_event(&mut self) -> RelayEvent {
        let now = self.request.context.clock.now();
        let pause = self.overdue_at.since(now).min(PATH_POLL);
        let ended = async {
            match self.running.next().await {
                Some((target, result)) => RelayEvent::Ended(target, result),
                None => RelayEvent::Overdue,
            }
        };
        let overdue = async {
            Timer::after(pause).await;
            RelayEvent::Overdue
        };
        or(ended, overdue).await
    }

    /// Handles the end of an attempt; returns the response that is to be forwarded.
    async fn on_end(
        &mut self,
        target: &Arc<TargetEntry>,
        result: AttemptResult,
    ) -> Option<BufferedResponse> {
        let request = self.request;
        let failure = match result {
            Ok(response) if is_failure(&response) => {
                log_failure(request, target, &response);
                if !request.route.retry_rule.allows_reexecution() {
                    target.stats.record_success();
                    return Some(response);
                }
                // Any such status counts as executed. No statistics of the target are updated.
                self.detail = format!("status {} at {}", response.head.status(), target.id);
                self.error_response = Some(response);
                RelayFailure::Failed
            }
            Ok(response) => {
                target.stats.record_success();
                return Some(response);
            }
            Err(failed) => {
                record_failure(request, target, &failed);
                check_for_crash(request, target, &failed).await;
                self.detail = format!("{} at {}", failed.cause, target.id);
                failed.failure
            }
        };
        let now = request.context.clock.now();
        self.state.on_failure(&target.id, failure, now);
        None
    }

    /// Ends the request without a further attempt. If targets sent error responses (status 500 or
    /// above), the last of them is forwarded, else a local reply is sent.
    async fn finish(self, step: RetryStep) -> ExchangeEnd {
        if let Some(response) = &self.error_response {
            return forward_response(self.request, response, self.state.retries()).await;
        }
        let cause = self.request.final_cause(&self.state, step);
        self.request.reply_locally(cause, &self.detail).await
    }
}

/// True when a target gets no request because of its rate limit.
fn is_held_back(request: &ActiveRequest<'_>) -> bool {
    let context = request.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let targets = view.service_targets(&request.service.name);
    any_held_back(targets.iter(), now)
}

/// Selects a target that takes one more request under its rate limit.
async fn find_target(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    rng: &mut fastrand::Rng,
) -> Option<Arc<TargetEntry>> {
    let started = request.context.clock.now();
    loop {
        if request.context.clock.now().since(started) >= PERMIT_WAIT {
            return None;
        }
        match try_target(request, state, rng).await {
            TargetTry::Found(target) => return Some(target),
            TargetTry::HeldBack => {}
            TargetTry::NoneLeft => return None,
        }
    }
}

/// Outcome of asking for one target.
enum TargetTry {
    /// It takes one more request.
    Found(Arc<TargetEntry>),
    /// The one that was selected takes none now.
    HeldBack,
    /// No target is left.
    NoneLeft,
}

/// Selects a target and asks for a permit.
async fn try_target(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    rng: &mut fastrand::Rng,
) -> TargetTry {
    let context = request.context;
    let local_domain = &context.settings.failure_domain;
    let view = context.targets.load();
    let targets = view.service_targets(&request.service.name);
    let now = context.clock.now();
    let tried = state.tried();
    let chosen = if uses_distribution(request) {
        let name = &request.service.name;
        let flows = &context.flows;
        let chosen = flows.pick_target(name, targets, tried, local_domain, now, rng);
        let distributed = &context.metrics.load.distributed;
        distributed
            .with_label_values(&["plain"])
            .inc_by(u64::from(chosen.is_some()));
        chosen
    } else {
        pick_target(targets, tried, local_domain, now, rng)
    };
    let Some(target) = chosen else {
        return TargetTry::NoneLeft;
    };
    match acquire_permit(context, target).await {
        PermitOutcome::Granted => TargetTry::Found(Arc::clone(target)),
        PermitOutcome::HeldBack => TargetTry::HeldBack,
    }
}

fn is_failure(response: &BufferedResponse) -> bool {
    response.head.status() >= 500
}

/// Logs that a target responded with a failure.
fn log_failure(request: &ActiveRequest<'_>, target: &TargetEntry, response: &BufferedResponse) {
    let line = request
        .log_line("target_failed_request")
        .with_display("target", &target.id)
        .with("status", response.head.status())
        .with_display("fingerprint", request.fingerprint());
    request.context.events.emit(line);
}

/// Logs a failed attempt and updates the statistics of its target.
fn record_failure(request: &ActiveRequest<'_>, target: &Arc<TargetEntry>, failed: &FailedAttempt) {
    let context = request.context;
    let now = context.clock.now();
    match failed.failure {
        _ if failed.is_own() || context.is_cut_off() => {}
        RelayFailure::NotExecuted if failed.kind == FailureKind::Misdirected => {
            target.stats.mark_replaced();
        }
        // A target that has named a rest gets nothing anyway.
        RelayFailure::NotExecuted if target.stats.limit().resting_until(now).is_some() => {}
        RelayFailure::NotExecuted => target.stats.shedding().on_refusal(now),
        RelayFailure::NotSent => target.stats.record_failure(now),
        _ if failed.kind == FailureKind::TimedOut => target.stats.record_failure(now),
        _ => target.stats.record_bad_reply(now),
    }
    context.pool.remove(&target.id);
    let line = request
        .log_line("attempt_failed")
        .with_display("target", &target.id);
    request.record_failed_attempt(failed, line);
}

/// Makes one attempt and holds its failure against the request where that is due.
async fn run_attempt(
    request: &ActiveRequest<'_>,
    target: Arc<TargetEntry>,
    time_left: Duration,
) -> (Arc<TargetEntry>, AttemptResult) {
    let mut suspicion = AttemptSuspicion::start(request, vec![Arc::clone(&target)]);
    let attempt = attempt_plain(request, &target, time_left);
    let result = or(attempt, suspicion.watch_departure()).await;
    match &result {
        Ok(response) => suspicion.on_response(response.head.status(), response.end),
        Err(failed) => suspicion.on_failure(failed),
    }
    (target, result)
}

async fn attempt_plain(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    limit: Duration,
) -> AttemptResult {
    let context = request.context;
    // Counts the request as in flight; plain requests reserve no tokens.
    let _reserved = target.stats.reserve(0);
    let now = context.clock.now();
    let may_reexecute = request.route.retry_rule.allows_reexecution();
    let dispatch = request.dispatch(limit, target, None, None);
    // A request that may be executed only once gets a new connection: if a target closes a reused
    // one, there is no way to know whether it has read the request.
    let response = open_response(
        context,
        &request.outgoing(),
        &dispatch,
        target,
        may_reexecute,
        limit,
    )
    .await?;
    let left = limit.saturating_sub(context.clock.now().since(now));
    read_response_body(request, target, response, left).await
}

async fn read_response_body(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    mut response: PendingResponse,
    limit: Duration,
) -> AttemptResult {
    let buffered = read_whole(&request.context.response_budget, &mut response, limit).await?;
    if buffered.end == BodyEnd::Framed {
        keep_connection(&request.context.pool, &target.id, response);
    }
    Ok(buffered)
}

/// Reads the whole body of a response within `limit`.
pub(super) async fn read_whole(
    budget: &ResponseBudget,
    response: &mut PendingResponse,
    limit: Duration,
) -> AttemptResult {
    let mut memory = budget.open();
    let read = read_body(
        &mut response.stream,
        &mut response.decoder,
        MAX_RESPONSE_BYTES,
        &mut memory,
    );
    let read = timeout(limit, read).await;
    let read = read
        .map_err(|_elapsed| FailedAttempt::timed_out("timeout while reading the response body"))?;
    let (body, end) = read.map_err(|cause| FailedAttempt::unreadable(&cause))?;
    Ok(BufferedResponse {
        head: response.head.clone(),
        body,
        end,
        _memory: memory,
    })
}

/// Sends a head and a body, together unless the body is large.
async fn send_response(request: &ActiveRequest<'_>, mut head: Vec<u8>, body: &[u8]) -> bool {
    if body.len() > MAX_COPIED_BYTES {
        return request.send(&head).await && request.send(body).await;
    }
    head.extend_from_slice(body);
    request.send(&head).await
}

/// Sends a response to the caller.
pub(super) async fn forward_response(
    request: &ActiveRequest<'_>,
    response: &BufferedResponse,
    retries: usize,
) -> ExchangeEnd {
    let status = response.head.status();
    let declared = response.head.content_length();
    let length = match (is_bodiless(request.head.method(), status), declared) {
        (true, declared) => declared,
        (false, _) => Some(response.body.len() as u64),
    };
    let mut head = forward_head(&response.head, request.close);
    if let Some(length) = length {
        head = head.field("Content-Length", length);
    }
    request.log_success(status, retries);
    if send_response(request, head.finish(), &response.body).await {
        ExchangeEnd::Relayed(status)
    } else {
        ExchangeEnd::Truncated
    }
}
