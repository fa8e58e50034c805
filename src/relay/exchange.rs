//! One request from its head to its final answer.

use crate::catalog::{AccessOutcome, RouteEntry, RoutingCatalog, ServiceEntry, TeamEntry};
use crate::hash::stable_hash;
use crate::relay::attempt::{FailedAttempt, OutgoingRequest};
use crate::relay::context::RelayContext;
use crate::relay::local_reply::{LocalReply, RefusalCause};
use crate::relay::ports::{DispatchMetadata, RequestMetadata};
use crate::relay::retry::{RetryState, RetryStep};
use crate::relay::{plain, streaming};
use crate::targets::{LayerChain, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{HeadBuilder, WireHead, write_all};
use async_io::Async;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Time that a caller waits when it does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which refused callers may come back, at the least: by then a part that was lost has been
/// loaded elsewhere in most cases.
const RETRY_AFTER: Duration = Duration::from_millis(1_800);
/// The same where another daemon can serve the request at once.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Part of the time left after which a caller may be asked to come back, at the most. The time named
/// is up to twice as long.
const RETRY_AFTER_SHARE: f64 = 0.15;
/// One in so many successful requests is logged, chosen by its identity so that all daemons log the
/// same ones.
const SUCCESS_LOG_INTERVAL: u64 = 64;

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// A target's answer was passed on whole.
    Relayed(u16),
    /// The daemon answered itself.
    Answered(RefusalCause),
    /// The answer broke off; the connection must be closed so that it does not look complete.
    BrokenOff,
}

/// A request with what was decided about it.
#[derive(Debug)]
pub(super) struct ActiveRequest<'a> {
    /// Shared state.
    pub context: &'a Arc<RelayContext>,
    /// The caller's connection.
    pub caller: &'a Async<TcpStream>,
    /// The caller's head.
    pub head: &'a WireHead,
    /// The whole body.
    pub body: &'a [u8],
    /// What the head says.
    pub metadata: RequestMetadata,
    /// Route.
    pub route: Arc<RouteEntry>,
    /// Service that was drawn for it.
    pub service: Arc<ServiceEntry>,
    /// Team, if the request has a key.
    pub team: Option<Arc<TeamEntry>>,
    /// When the head arrived.
    pub arrived: MonoTime,
    /// When the final answer is due.
    pub deadline: MonoTime,
    /// True when the connection is closed after the answer.
    pub close: bool,
}

impl ActiveRequest<'_> {
    /// Rank, 0 is the highest; a team's goes before the route's.
    pub(super) fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// What to do next, given whether something is left to try and the budget for repeats.
    pub(super) fn next_step(&self, state: &RetryState, has_target: bool) -> RetryStep {
        let now = self.context.clock.now();
        let step = state.next_step(now);
        if step != RetryStep::TryNext {
            return step;
        }
        let daemons = self.context.presence.peak_count();
        let budget = &self.context.budget;
        let granted = || !state.is_retry() || budget.try_spend(&self.service.name, daemons, now);
        // The budget is spent only on a repeat that is made.
        if has_target && granted() {
            RetryStep::TryNext
        } else {
            state.final_step()
        }
    }

    /// Identity of the request in logs.
    pub(super) fn name(&self) -> &str {
        self.metadata.attempt_id.as_deref().unwrap_or("unnamed")
    }

    /// A log line about this request.
    pub(super) fn line(&self, event: &str) -> EventLine {
        let now = self.context.clock.now();
        EventLine::new(event)
            .with("request", self.name())
            .with("route", self.route.name.as_ref())
            .with_display("service", &self.service.name)
            .with("age_ms", now.since(self.arrived).as_millis() as u64)
    }

    /// Sends bytes to the caller; false when it has gone.
    pub(super) async fn send(&self, bytes: &[u8]) -> bool {
        write_all(self.caller, bytes).await.is_ok()
    }

    /// Answers the request without a target.
    pub(super) async fn refuse(&self, cause: RefusalCause, detail: &str) -> ExchangeEnd {
        let mut reply = LocalReply::new(cause);
        if cause.status() == 503 {
            let left = self.metadata.time_left.unwrap_or(DEFAULT_TIMEOUT);
            let base = match cause {
                RefusalCause::Draining => DRAINING_RETRY_AFTER,
                _ => RETRY_AFTER,
            };
            let delay = base.min(left.mul_f64(RETRY_AFTER_SHARE));
            reply = reply.with_retry_after(delay, &mut fastrand::Rng::new());
        }
        let retry_ms = reply.retry_after.map(|delay| delay.as_millis() as u64);
        let line = self
            .line("answered")
            .with("cause", cause.name())
            .with("detail", detail);
        self.context
            .events
            .emit(line.with("retry_after_ms", retry_ms));
        if self.send(&reply.encode(self.close)).await {
            ExchangeEnd::Answered(cause)
        } else {
            ExchangeEnd::BrokenOff
        }
    }

    /// What is told to a target beside the caller's head.
    pub(super) fn dispatch<'a>(
        &'a self,
        time_left: Duration,
        target: &'a TargetEntry,
        chain: Option<&'a LayerChain>,
        resume_after: Option<u64>,
    ) -> DispatchMetadata<'a> {
        DispatchMetadata {
            time_left,
            target: &target.id,
            team: self.team.as_ref().map(|team| &team.name),
            priority: self.priority(),
            chain,
            resume_after,
            body_length: self.body_length(),
        }
    }

    /// The request as it is sent, whatever the target.
    pub(super) fn outgoing(&self) -> OutgoingRequest<'_> {
        OutgoingRequest {
            head: self.head,
            body: self.body,
            metadata: &self.metadata,
        }
    }

    /// Length of the body that goes to a target; a body is declared when the caller declared one.
    fn body_length(&self) -> Option<usize> {
        let head = self.head;
        let declared =
            head.field("content-length").is_some() || head.field("transfer-encoding").is_some();
        declared.then_some(self.body.len())
    }

    /// Logs and counts a failed attempt; `line` names the target.
    pub(super) fn record_failed_attempt(&self, failed: &FailedAttempt, line: EventLine) {
        let context = self.context;
        context
            .events
            .emit(line.with("cause", failed.cause.as_str()));
        context
            .metrics
            .attempts
            .with_label_values(&["failed"])
            .inc();
    }

    /// Logs a request that was served, if it is one of the sampled.
    pub(super) fn log_success(&self, status: u16, retries: usize) {
        let sampled = stable_hash(&[self.name().as_bytes()]).is_multiple_of(SUCCESS_LOG_INTERVAL);
        if sampled || retries > 0 {
            let line = self
                .line("served")
                .with("status", status)
                .with("repeats", retries);
            self.context.events.emit(line);
        }
    }
}

/// What the configuration says of a request.
pub(super) struct RelayPlan {
    /// What the head says.
    pub metadata: RequestMetadata,
    /// Route.
    pub route: Arc<RouteEntry>,
    /// Service that was drawn for it.
    pub service: Arc<ServiceEntry>,
    /// Team, if the request has a key.
    pub team: Option<Arc<TeamEntry>>,
}

/// What a whole request leads to.
pub(super) enum RequestPlan {
    /// Relay it.
    Relay(Box<RelayPlan>),
    /// Answer it.
    Answer(RefusalCause),
}

/// Decides what to do with a request by the configuration in force.
pub(super) fn plan_request(
    catalog: Option<&RoutingCatalog>,
    head: &WireHead,
    metadata: RequestMetadata,
) -> RequestPlan {
    let Some(catalog) = catalog else {
        return RequestPlan::Answer(RefusalCause::NoConfiguration);
    };
    let Some(route) = catalog.find_route(&head.host(), head.path()) else {
        return RequestPlan::Answer(RefusalCause::NoRoute);
    };
    let team = match catalog.check_access(route, metadata.key.as_deref()) {
        AccessOutcome::Granted(team) => team,
        AccessOutcome::UnknownKey => return RequestPlan::Answer(RefusalCause::UnknownKey),
    };
    let drawn = route.draw_service(&mut fastrand::Rng::new());
    let Some(service) = drawn.and_then(|name| catalog.service(name)) else {
        return RequestPlan::Answer(RefusalCause::NoTarget);
    };
    RequestPlan::Relay(Box::new(RelayPlan {
        metadata,
        route: Arc::clone(route),
        service: Arc::clone(service),
        team,
    }))
}

/// When the final answer is due: the caller's time or the route's, whichever ends first.
pub(super) fn compute_deadline(
    arrived: MonoTime,
    metadata: &RequestMetadata,
    route: &RouteEntry,
) -> MonoTime {
    let wait = metadata
        .time_left
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    arrived.after(wait)
}

/// Relays a request.
pub(super) async fn relay_request(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    context
        .budget
        .count_request(&request.service.name, context.clock.now());
    if request.route.retry_rule.is_stream() || request.service.model.is_some() {
        streaming::relay_stream(request).await
    } else {
        plain::relay_plain(request).await
    }
}

/// Fields of an answer that concern one connection only.
const HOP_BY_HOP_FIELDS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Head of a target's answer for the caller, without its framing.
pub(super) fn forward_head(head: &WireHead, close: bool) -> HeadBuilder {
    let mut builder = HeadBuilder::response(head.status());
    for (name, value) in head.fields() {
        let framing = name.eq_ignore_ascii_case("content-length");
        let hop = HOP_BY_HOP_FIELDS
            .iter()
            .any(|field| name.eq_ignore_ascii_case(field));
        if !framing && !hop {
            builder.push(name, value);
        }
    }
    if close {
        builder = builder.field("Connection", "close");
    }
    builder
}
