//! Chooses a daemon, sends it a request and reads the head of the response.

use crate::ids::InstanceId;
use crate::presence::{PresenceRow, RelayAccess};
use crate::relay::attempt::{FailedAttempt, IdentityCheck, PendingResponse, exchange_heads};
use crate::relay::exchange::{ActiveRequest, is_of_connection};
use crate::relay::local_reply::RefusalCause;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::via_peer::dispatch::{LOCAL_REPLY_FIELD, PEER_FIELD, PeerDispatch};
use crate::telemetry::EventLine;
use crate::wire::{HeadBuilder, WireStream};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for connecting to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Most daemons that one request is passed on to before it is served or refused here.
const MAX_PEERS: usize = 3;

/// A daemon that a request can be passed on to.
#[derive(Debug, Clone)]
pub(super) struct RelayPeer {
    /// Name of its instance.
    pub instance: InstanceId,
    /// Where it takes requests of other daemons.
    pub access: RelayAccess,
}

/// The daemons that one request was passed on to.
#[derive(Debug, Default)]
pub(super) struct PeerTries {
    tried: Vec<InstanceId>,
}

impl PeerTries {
    /// The daemon to try next: one that has a path to the targets and was not tried, of the own failure
    /// domain if there is one. The choice is random, so that the load of this daemon is spread. `None` when no
    /// further daemon may be tried.
    pub(super) fn next(
        &mut self,
        request: &ActiveRequest<'_>,
        state: &RetryState,
    ) -> Option<RelayPeer> {
        let context = request.context;
        let is_allowed = state.next_step(context.clock.now()) == RetryStep::TryNext;
        if self.tried.len() >= MAX_PEERS || !is_allowed {
            return None;
        }
        let mut rows = context.sound_peers();
        rows.retain(|row| row.relay.is_some() && !self.tried.contains(&row.instance));
        let is_near = |row: &PresenceRow| row.domain == context.settings.failure_domain;
        if rows.iter().any(is_near) {
            rows.retain(is_near);
        }
        let row = fastrand::choice(rows)?;
        self.tried.push(row.instance.clone());
        let peer = RelayPeer {
            access: row.relay?,
            instance: row.instance,
        };
        log_passed_on(request, &peer);
        Some(peer)
    }
}

/// Records that a daemon did not serve the request. Only an attempt of which a target may have executed the
/// request counts.
pub(super) fn record_failure(
    request: &ActiveRequest<'_>,
    state: &mut RetryState,
    peer: &RelayPeer,
    failed: &FailedAttempt,
) {
    log_failure(request, peer, failed);
    request.context.peer_pool.remove(&peer.instance);
    let may_have_run = [RelayFailure::OutcomeUnknown, RelayFailure::Failed];
    if may_have_run.contains(&failed.failure) {
        let now = request.context.clock.now();
        state.on_failure(&peer.instance, failed.failure, now);
    }
}

/// Sends the request to a daemon and reads the head of the response. A local reply of that daemon is
/// returned as a failed attempt.
pub(super) async fn open_peer_response(
    request: &ActiveRequest<'_>,
    peer: &RelayPeer,
    state: &RetryState,
    resume_after: Option<u64>,
) -> Result<PendingResponse, FailedAttempt> {
    let context = request.context;
    let time_left = state.time_left(context.clock.now());
    let dispatch = PeerDispatch {
        sender: context.settings.instance.clone(),
        token: Arc::clone(&context.relay_token),
        time_left,
        resume_after,
        executions: state.executions(),
    };
    // As at targets: nobody can tell whether a daemon that closes a reused connection has read the
    // request.
    let pooled = if request.route.retry_rule.allows_reexecution() {
        context.peer_pool.take(&peer.instance)
    } else {
        None
    };
    let stream = match pooled {
        Some(stream) => stream,
        None => connect(peer, time_left).await?,
    };
    let mut bytes = write_head(request, &dispatch).finish();
    bytes.extend_from_slice(request.body);
    let check = IdentityCheck::NoOther;
    let outgoing = request.outgoing();
    let response = exchange_heads(context, stream, &bytes, &outgoing, time_left, check).await?;
    match response.head.field(LOCAL_REPLY_FIELD) {
        Some(cause) => Err(local_reply(cause)),
        None => Ok(response),
    }
}

async fn connect(peer: &RelayPeer, time_left: Duration) -> Result<WireStream, FailedAttempt> {
    let limit = CONNECT_TIMEOUT.min(time_left);
    let connected = WireStream::connect(peer.access.address, limit).await;
    connected.map_err(|cause| FailedAttempt::new(RelayFailure::NotSent, cause))
}

/// The caller's head, with the dispatch and the framing of a body of known length.
fn write_head(request: &ActiveRequest<'_>, dispatch: &PeerDispatch) -> HeadBuilder {
    let head = request.head;
    let mut builder = HeadBuilder::request(head.method(), head.request_target());
    for (name, value) in head.fields() {
        // The body has arrived, so nothing is left to be expected.
        if !is_of_connection(name) && !name.eq_ignore_ascii_case("expect") {
            builder.push(name, value);
        }
    }
    if let Some(length) = request.body_length() {
        builder = builder.field("Content-Length", length);
    }
    builder.field(PEER_FIELD, dispatch)
}

/// The failure that a local reply of another daemon stands for.
fn local_reply(cause: &str) -> FailedAttempt {
    let executed = [RefusalCause::Failed, RefusalCause::TimedOut];
    let may_have_run = executed.iter().any(|known| known.name() == cause);
    let failure = if may_have_run {
        RelayFailure::OutcomeUnknown
    } else {
        RelayFailure::NotExecuted
    };
    FailedAttempt::new(failure, format_args!("local reply: {cause}"))
}

/// Logs and counts a request that is passed on.
fn log_passed_on(request: &ActiveRequest<'_>, peer: &RelayPeer) {
    let context = request.context;
    let line = request
        .log_line("passed_on")
        .with_display("peer", &peer.instance);
    context.events.emit(line);
    context
        .metrics
        .peer_requests
        .with_label_values(&["passed_on"])
        .inc();
}

/// Logs and counts a request that another daemon did not serve.
fn log_failure(request: &ActiveRequest<'_>, peer: &RelayPeer, failed: &FailedAttempt) {
    let context = request.context;
    let line: EventLine = request
        .log_line("peer_failed")
        .with_display("peer", &peer.instance)
        .with("cause", failed.cause.as_str());
    context.events.emit(line);
    context
        .metrics
        .peer_requests
        .with_label_values(&["failed"])
        .inc();
}
