//! One request from its head to its final response.

use crate::catalog::{
    AccessOutcome, PriorityClass, RouteEntry, RoutingCatalog, ServiceEntry, TeamEntry,
};
use crate::hash::stable_hash;
use crate::poison::PoisonFingerprint;
use crate::reach::PathLoss;
use crate::relay::attempt::{FailedAttempt, OutgoingRequest};
use crate::relay::caller_stream::CallerFraming;
use crate::relay::context::RelayContext;
use crate::relay::crashes::SuspectPart;
use crate::relay::local_reply::RefusalCause;
use crate::relay::metadata::{DispatchMetadata, RequestMetadata};
use crate::relay::retry::{RetryState, RetryStep};
use crate::relay::via_peer::{LOCAL_REPLY_FIELD, PEER_FIELD, PeerDispatch};
use crate::relay::{plain, streaming};
use crate::targets::{LayerChain, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{HeadBuilder, WireHead, write_all};
use async_io::Async;
use std::net::TcpStream;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Timeout of a request whose caller names none.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// One in this many successful requests is logged, selected by attempt id so that all daemons log
/// the same requests.
const SUCCESS_LOG_INTERVAL: u64 = 64;

/// Outcome of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// A target's response with this status was forwarded completely.
    Relayed(u16),
    /// The daemon sent a local reply.
    LocalReply(RefusalCause),
    /// The response was cut short; the connection must be closed so that it does not look complete.
    Truncated,
}

/// A request being relayed, with its route and deadline.
#[derive(Debug)]
pub(super) struct ActiveRequest<'a> {
    /// State shared by all requests.
    pub context: &'a Arc<RelayContext>,
    /// Connection to the caller.
    pub caller: &'a Async<TcpStream>,
    /// Request head.
    pub head: &'a WireHead,
    /// Complete request body.
    pub body: &'a [u8],
    /// Metadata parsed from the head.
    pub metadata: RequestMetadata,
    /// Matching route.
    pub route: Arc<RouteEntry>,
    /// Service chosen at random by the weights of the route.
    pub service: Arc<ServiceEntry>,
    /// Team of the API key, if the request has one.
    pub team: Option<Arc<TeamEntry>>,
    /// Set if capacity of the service is handed out by priority and team.
    pub class: Option<RequestClass>,
    /// Time at which the head arrived.
    pub arrived: MonoTime,
    /// Time by which the response must be complete.
    pub deadline: MonoTime,
    /// Set if another daemon has passed the request on.
    pub origin: Option<PeerDispatch>,
    /// True when the connection is closed after the response.
    pub close: bool,
    /// See [`Self::fingerprint`]; most requests need none.
    pub fingerprint_cell: OnceLock<PoisonFingerprint>,
}

impl ActiveRequest<'_> {
    /// State of its attempts at the beginning.
    pub(super) fn new_retry_state(&self) -> RetryState {
        let route = &self.route;
        let executions = self.origin.as_ref().map_or(0, |origin| origin.executions);
        RetryState::new(route.retry_rule, route.max_targets, self.deadline)
            .with_executions(executions)
    }

    /// True unless the process may exit before the response is complete.
    pub(super) fn is_accepted(&self) -> bool {
        let time_left = self.deadline.since(self.context.clock.now());
        self.context
            .accepts_request(self.route.retry_rule, time_left)
    }

    /// True when the request may run once only, has not run, and the process may exit before its response
    /// is complete, so that another daemon is to serve it.
    pub(super) fn must_move(&self, state: &RetryState) -> bool {
        let is_repeatable = self.route.retry_rule.allows_reexecution();
        !is_repeatable && !state.may_have_executed() && !self.is_accepted()
    }

    /// Refuses the request because the process may exit before its response is complete.
    pub(super) async fn refuse_while_draining(&self) -> ExchangeEnd {
        let detail = "draining: process may exit before the response is complete";
        self.reply_locally(RefusalCause::Draining, detail).await
    }

    /// True when another daemon is better placed to serve the request: this one reaches no target. A
    /// request is passed on once only.
    pub(super) fn is_for_peer(&self) -> bool {
        self.origin.is_none() && self.context.is_cut_off()
    }

    /// True when new connections to targets hang, so that an attempt would only take time.
    pub(super) fn has_silent_path(&self) -> bool {
        self.context.reach.loss() == Some(PathLoss::Silent)
    }

    /// True when capacity of the service is handed out by priority and team.
    pub(super) fn is_by_priority(&self) -> bool {
        self.class.is_some()
    }

    /// Priority that targets are told, 0 is the highest. A team's priority overrides the route's.
    pub(super) fn priority(&self) -> u8 {
        if let Some(class) = &self.class {
            return class.rank;
        }
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// The step to take, given whether a target is left to try and whether the retry budget allows
    /// a retry.
    pub(super) fn next_step(&self, state: &RetryState, has_target: bool) -> RetryStep {
        let step = state.next_step(self.context.clock.now());
        // Spends budget, so it is called only when there is a target to retry.
        if step != RetryStep::TryNext || (has_target && self.spend_retry(state)) {
            return step;
        }
        state.final_step()
    }

    /// Spends a retry if the next attempt is one; false when the budget has none left or targets are to
    /// be kept from the request.
    pub(super) fn spend_retry(&self, state: &RetryState) -> bool {
        if self.is_poison() {
            return false;
        }
        let now = self.context.clock.now();
        let daemons = self.context.presence.peak_count();
        let budget = &self.context.budget;
        !state.is_retry() || budget.try_spend(&self.service.name, daemons, now)
    }

    /// Cause of the local reply when no further attempt is made; `step` as in
    /// [`RefusalCause::from_retry_step`].
    pub(super) fn final_cause(&self, state: &RetryState, step: RetryStep) -> RefusalCause {
        let expired = state.time_left(self.context.clock.now()).is_zero();
        let cause = RefusalCause::from_retry_step(step, expired, state.is_retry());
        match cause {
            RefusalCause::NoTarget | RefusalCause::NotExecuted if self.is_poison() => {
                RefusalCause::Poison
            }
            _ => cause,
        }
    }

    /// True when such a request crashes the targets that run it and is kept from them.
    pub(super) fn is_poison(&self) -> bool {
        self.refusal_time().is_some()
    }

    /// Time for which such a request is still kept from targets, if it is.
    pub(super) fn refusal_time(&self) -> Option<Duration> {
        let poison = &self.context.poison;
        if poison.is_empty() {
            return None;
        }
        poison.refusal_time(&self.fingerprints(), self.context.clock.now())
    }

    /// All fingerprints under which crashes are recorded for this request.
    pub(super) fn fingerprints(&self) -> Vec<PoisonFingerprint> {
        let parts = self.suspect_parts().into_iter();
        let parts = parts.map(|part| part.fingerprint);
        std::iter::once(self.fingerprint()).chain(parts).collect()
    }

    /// Parts of the prompt that the request shares with others. A part is recognized by its id and
    /// the service, since another model may well survive it. No path begins like these fingerprints.
    pub(super) fn suspect_parts(&self) -> Vec<SuspectPart> {
        let service = self.service.name.as_str().as_bytes();
        let parts = self.metadata.shared_parts.iter().map(|id| {
            let text = id.to_string();
            let fingerprint = PoisonFingerprint::new(&[b"part", service, text.as_bytes()]);
            SuspectPart {
                id: *id,
                fingerprint,
            }
        });
        parts.collect()
    }

    /// Fingerprint of path, team and body, by which the request is recognized when it comes again,
    /// at any daemon. Nothing else is sure to be the same then.
    pub(super) fn fingerprint(&self) -> PoisonFingerprint {
        *self.fingerprint_cell.get_or_init(|| {
            let team = self.team.as_ref().map_or("", |team| team.name.as_str());
            PoisonFingerprint::new(&[self.head.path().as_bytes(), team.as_bytes(), self.body])
        })
    }

    /// Id of the request in logs: the one that the caller gave it.
    pub(super) fn log_id(&self) -> &str {
        self.metadata.attempt_id.as_deref().unwrap_or("unnamed")
    }

    /// Starts a log line with the id, route, service and age of this request.
    pub(super) fn log_line(&self, event: &str) -> EventLine {
        let now = self.context.clock.now();
        EventLine::new(event)
            .with("request", self.log_id())
            .with("route", self.route.name.as_ref())
            .with_display("service", &self.service.name)
            .with(
                "from",
                self.origin.as_ref().map(|origin| origin.sender.as_str()),
            )
            .with("age_ms", now.since(self.arrived).as_millis() as u64)
    }

    /// Framing of an event stream on the caller's connection, given the status of the response.
    pub(super) fn framing(&self, status: u16) -> CallerFraming {
        CallerFraming::for_response(self.head, status)
    }

    /// Sends bytes to the caller; false when the connection is gone.
    pub(super) async fn send(&self, bytes: &[u8]) -> bool {
        write_all(self.caller, bytes).await.is_ok()
    }

    /// Metadata sent to a target in addition to the caller's head.
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

    /// The part of the request that is the same for every target.
    pub(super) fn outgoing(&self) -> OutgoingRequest<'_> {
        OutgoingRequest {
            head: self.head,
            body: self.body,
            metadata: &self.metadata,
        }
    }

    /// Length of the body sent to a target; `None` when the caller declared no body.
    pub(super) fn body_length(&self) -> Option<usize> {
        let head = self.head;
        let declared =
            head.field("content-length").is_some() || head.field("transfer-encoding").is_some();
        declared.then_some(self.body.len())
    }

    /// Logs and counts a failed attempt; `line` names the target.
    pub(super) fn record_failed_attempt(&self, failed: &FailedAttempt, line: EventLine) {
        let context = self.context;
        let line = line
            .with("cause", failed.cause.as_str())
            .with_display("fingerprint", self.fingerprint());
        context.events.emit(line);
        context
            .metrics
            .attempts
            .with_label_values(&["failed"])
            .inc();
    }

    /// Logs a successful request if it is sampled or was retried.
    pub(super) fn log_success(&self, status: u16, retries: usize) {
        let sampled = stable_hash(&[self.log_id().as_bytes()]).is_multiple_of(SUCCESS_LOG_INTERVAL);
        if sampled || retries > 0 {
            let line = self
                .log_line("served")
                .with("status", status)
                .with("repeats", retries);
            self.context.events.emit(line);
        }
    }
}

/// Priority class of a request, where it decides who gets capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestClass {
    /// The class.
    pub class: PriorityClass,
    /// Priority that targets are told: the number of the class among those of the service, 0 for the most
    /// important one.
    pub rank: u8,
}

/// Class of a request to a model service, if its capacity is handed out by priority: where the routes of
/// the service differ in priority, or where teams are to get fair shares of it.
pub(super) fn classify(
    catalog: &RoutingCatalog,
    matched: &MatchedRoute,
    fair_teams: bool,
) -> Option<RequestClass> {
    let service = &matched.service;
    let is_ranked = catalog.has_priorities(&service.name);
    if service.model.is_none() || !(is_ranked || fair_teams) {
        return None;
    }
    let team = matched.team.as_ref().and_then(|team| team.priority);
    let class = PriorityClass::new(matched.route.priority, team);
    let rank = if is_ranked {
        catalog.class_rank(&service.name, class)
    } else {
        team.unwrap_or(matched.route.priority)
    };
    Some(RequestClass { class, rank })
}

/// Route and service that the configuration in force gives a request.
pub(super) struct MatchedRoute {
    /// Metadata parsed from the head.
    pub metadata: RequestMetadata,
    /// Matching route.
    pub route: Arc<RouteEntry>,
    /// Service chosen at random by the weights of the route.
    pub service: Arc<ServiceEntry>,
    /// Team of the API key, if the request has one.
    pub team: Option<Arc<TeamEntry>>,
}

/// What to do with a request according to the configuration in force.
pub(super) enum RoutingDecision {
    /// Relay it to a target.
    Relay(Box<MatchedRoute>),
    /// Send a local reply with this cause.
    Refuse(RefusalCause),
}

/// Finds the route of a request, checks its API key and chooses a service. A route without services
/// or one that names an unknown service is reported as [`RefusalCause::NoTarget`].
pub(super) fn route_request(
    catalog: Option<&RoutingCatalog>,
    head: &WireHead,
    metadata: RequestMetadata,
) -> RoutingDecision {
    let Some(catalog) = catalog else {
        return RoutingDecision::Refuse(RefusalCause::NoConfiguration);
    };
    let Some(route) = catalog.find_route(&head.host(), head.path()) else {
        return RoutingDecision::Refuse(RefusalCause::NoRoute);
    };
    let team = match catalog.check_access(route, metadata.key.as_deref()) {
        AccessOutcome::Granted(team) => team,
        AccessOutcome::UnknownKey => return RoutingDecision::Refuse(RefusalCause::UnknownKey),
    };
    let chosen = route.draw_service(&mut fastrand::Rng::new());
    let Some(service) = chosen.and_then(|name| catalog.service(name)) else {
        return RoutingDecision::Refuse(RefusalCause::NoTarget);
    };
    RoutingDecision::Relay(Box::new(MatchedRoute {
        metadata,
        route: Arc::clone(route),
        service: Arc::clone(service),
        team,
    }))
}

/// Time by which the response, including the whole of a stream, must be complete: the caller's
/// timeout or the route's, whichever is shorter, after the arrival of the head.
pub(super) fn compute_deadline(
    arrived: MonoTime,
    metadata: &RequestMetadata,
    route: &RouteEntry,
) -> MonoTime {
    let timeout = metadata
        .time_left
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    arrived.after(timeout)
}

/// Relays a request to a target and forwards the response.
pub(super) async fn relay_request(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let context = request.context;
    // The daemon that took a request from its caller counts it.
    if request.origin.is_none() {
        context
            .budget
            .count_request(&request.service.name, context.clock.now());
        context
            .pressure
            .on_request(&request.service.name, context.clock.now());
    }
    if request.route.retry_rule.is_stream() || request.service.model.is_some() {
        let end = streaming::relay_stream(request).await;
        if request.is_by_priority() {
            context.capacity.notify();
        }
        end
    } else {
        plain::relay_plain(request).await
    }
}

/// Hop-by-hop fields and those between daemons, which are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    LOCAL_REPLY_FIELD,
    PEER_FIELD,
];

/// True for a header field that concerns one connection only, or the length of the body, which is framed
/// anew.
pub(super) fn is_of_connection(name: &str) -> bool {
    let mut fields = HOP_BY_HOP_FIELDS.iter();
    name.eq_ignore_ascii_case("content-length")
        || fields.any(|field| name.eq_ignore_ascii_case(field))
}

/// Head of a target's response as sent to the caller, without its framing fields.
pub(super) fn forward_head(head: &WireHead, close: bool) -> HeadBuilder {
    let mut builder = HeadBuilder::response(head.status());
    for (name, value) in head.fields() {
        if !is_of_connection(name) {
            builder.push(name, value);
        }
    }
    if close {
        builder = builder.field("Connection", "close");
    }
    builder
}
