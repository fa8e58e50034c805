//! Accepts callers' connections and serves the requests on them.

use crate::catalog::RoutingCatalog;
use crate::relay::context::RelayContext;
use crate::relay::exchange::{
    ActiveRequest, ExchangeEnd, RoutingDecision, classify, compute_deadline, relay_request,
};
use crate::relay::local_reply::{LocalReply, RefusalCause};
use crate::relay::request_refusal::RETRY_AFTER_SHARE;
use crate::relay::uploads::{
    EndCause, after_change, body_use, decide, publish_usage, read_held_head, read_metadata,
    receive_body, record_ending, upload_bounds,
};
use crate::relay::via_peer::{PEER_FIELD, PeerDispatch};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{
    BodyUse, ConnectionHold, ConnectionPhase, HeadError, HeadOutcome, HoldError, ReadError,
    UploadError, WireHead, WireServer, WireStream, close_after_reading, is_announced_too_long,
    pause_after_read, read_some, wait_for_request,
};
use async_io::Async;
use async_std::task;
use bytes::BytesMut;
use futures_lite::future::or;
use std::net::TcpStream;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Maximum number of bytes buffered while a response is pending. Further bytes stay in the socket
/// buffer, and reading no longer detects that the caller closes the connection.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Longest time that a request waits for the first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(250);
/// Period of checking for it.
const CONFIGURATION_POLL: Duration = Duration::from_millis(25);
/// Base of `Retry-After` without a configuration; the value sent is between it and twice as much.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Base of `Retry-After` for lack of memory; the value sent is between it and twice as much.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Longest wait for a caller to close its side of a connection that is closed for lack of memory.
const CLOSE_LINGER: Duration = Duration::from_millis(500);

/// Whether a connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStep {
    Continue,
    Close,
}

/// Who sends the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestSource {
    /// Callers.
    Callers,
    /// Other daemons, which pass requests of their callers on.
    Peers,
}

/// Who gets a local reply.
#[derive(Debug, Clone, Copy)]
struct ReplyAsker {
    source: RequestSource,
    /// True when the request's method is HEAD.
    is_head: bool,
}

impl ReplyAsker {
    /// The sender of a request whose head cannot be read.
    fn unknown(source: RequestSource) -> Self {
        Self {
            source,
            is_head: false,
        }
    }
}

/// Accepts callers' connections; never returns.
pub async fn serve_callers(context: Arc<RelayContext>, server: WireServer) {
    accept_all(context, server, RequestSource::Callers).await;
}

/// Accepts the connections of other daemons that pass requests on; never returns.
pub async fn serve_peer_requests(context: Arc<RelayContext>, server: WireServer) {
    accept_all(context, server, RequestSource::Peers).await;
}

async fn accept_all(context: Arc<RelayContext>, server: WireServer, source: RequestSource) {
    loop {
        let stream = server
            .accept(|| context.connection_budget.end_longest_idle())
            .await;
        let held = context
            .connection_budget
            .open(source == RequestSource::Callers);
        publish_usage(&context);
        task::spawn(serve_connection(Arc::clone(&context), stream, source, held));
    }
}

async fn serve_connection(
    context: Arc<RelayContext>,
    mut stream: WireStream,
    source: RequestSource,
    held: ConnectionHold,
) {
    loop {
        let limits = context.request_limits();
        held.release_to(0);
        if !held.enter(ConnectionPhase::Idle) {
            return record_ending(&context, EndCause::Idle);
        }
        let ended = async {
            held.ended().await;
            None
        };
        let started = async { Some(wait_for_request(&mut stream, limits.idle_timeout).await) };
        match or(ended, started).await {
            None => return record_ending(&context, EndCause::Idle),
            Some(false) => return,
            Some(true) => {}
        }
        let outcome = read_held_head(&mut stream, &held, &limits).await;
        let arrived = context.clock.now();
        let asker = ReplyAsker::unknown(source);
        let step = match outcome {
            Err(cause) => {
                let end = match cause {
                    HoldError::Ended => EndCause::Head,
                    HoldError::NoMemory => EndCause::NoMemory,
                };
                refuse_for_memory(&context, &mut stream, &held, end, None, asker).await
            }
            Ok(HeadOutcome::Request(head)) => {
                serve_request(&context, &mut stream, head, arrived, source, &held).await
            }
            Ok(HeadOutcome::Invalid(cause)) => {
                let cause = match cause {
                    HeadError::TooLong => RefusalCause::HeadTooLong,
                    _ => RefusalCause::Malformed,
                };
                refuse(&context, &stream, cause, asker).await
            }
            Ok(HeadOutcome::TimedOut) => {
                refuse(&context, &stream, RefusalCause::HeadTimeout, asker).await
            }
            Ok(HeadOutcome::Idle | HeadOutcome::ConnectionLost) => return,
        };
        if step == ConnectionStep::Close {
            return;
        }
    }
}

/// Waits for a configuration for a short time: a daemon that has just started reads it at once.
async fn wait_configuration(context: &RelayContext) -> Option<Arc<RoutingCatalog>> {
    let started = context.clock.now();
    loop {
        let catalog = context.catalog.load();
        if catalog.is_some() || context.clock.now().since(started) >= CONFIGURATION_WAIT {
            return catalog;
        }
        task::sleep(CONFIGURATION_POLL).await;
    }
}

/// Sends a local reply to a request that is invalid or that the configuration gives no service.
async fn refuse(
    context: &RelayContext,
    stream: &WireStream,
    cause: RefusalCause,
    asker: ReplyAsker,
) -> ConnectionStep {
    refuse_with(context, stream, LocalReply::new(cause), asker).await
}

/// Refuses a request since there is no configuration yet. Its caller is asked to return once a fleet that
/// starts as a whole has read it, if that is in time.
async fn refuse_unconfigured(
    context: &RelayContext,
    stream: &WireStream,
    time_left: Option<Duration>,
    asker: ReplyAsker,
) -> ConnectionStep {
    let delay = time_left.map_or(CONFIGURATION_RETRY_AFTER, |time_left| {
        CONFIGURATION_RETRY_AFTER.min(time_left.mul_f64(RETRY_AFTER_SHARE))
    });
    let reply = LocalReply::new(RefusalCause::NoConfiguration)
        .with_retry_after(delay, &mut fastrand::Rng::new());
    refuse_with(context, stream, reply, asker).await
}

/// Refuses a request for lack of memory and closes its connection. It was not executed. Its caller is asked
/// to return once other uploads have ended, if that is in time.
async fn refuse_for_memory(
    context: &RelayContext,
    stream: &mut WireStream,
    held: &ConnectionHold,
    end: EndCause,
    time_left: Option<Duration>,
    asker: ReplyAsker,
) -> ConnectionStep {
    stream.input = BytesMut::new();
    held.release_to(0);
    record_ending(context, end);
    publish_usage(context);
    let delay = time_left.map_or(MEMORY_RETRY_AFTER, |time_left| {
        MEMORY_RETRY_AFTER.min(time_left.mul_f64(RETRY_AFTER_SHARE))
    });
    let reply =
        LocalReply::new(RefusalCause::NoMemory).with_retry_after(delay, &mut fastrand::Rng::new());
    refuse_with(context, stream, reply, asker).await;
    close_after_reading(stream.socket(), CLOSE_LINGER).await;
    ConnectionStep::Close
}

async fn refuse_with(
    context: &RelayContext,
    stream: &WireStream,
    mut reply: LocalReply,
    asker: ReplyAsker,
) -> ConnectionStep {
    let cause = reply.cause;
    reply.is_for_peer = asker.source == RequestSource::Peers;
    reply.is_for_head = asker.is_head;
    let close = context.lifecycle.phase() == crate::kernel::DaemonPhase::Draining;
    context
        .metrics
        .requests
        .with_label_values(&[cause.name()])
        .inc();
    context
        .events
        .emit(EventLine::new("answered").with("cause", cause.name()));
    let sent = stream.send(&reply.encode(close)).await.is_ok();
    if sent && !close && !cause.closes_connection() {
        ConnectionStep::Continue
    } else {
        ConnectionStep::Close
    }
}

async fn serve_request(
    context: &Arc<RelayContext>,
    stream: &mut WireStream,
    head: WireHead,
    arrived: MonoTime,
    source: RequestSource,
    held: &ConnectionHold,
) -> ConnectionStep {
    let _in_flight = context.lifecycle.start_request();
    let asker = ReplyAsker {
        source,
        is_head: head.method() == "HEAD",
    };
    let origin = match read_origin(context, &head, source) {
        Ok(origin) => origin,
        Err(cause) => {
            // The body was not read.
            refuse(context, stream, cause, asker).await;
            return ConnectionStep::Close;
        }
    };
    let limits = context.request_limits();
    let is_awaiting = head.has_token("expect", "100-continue");
    if is_announced_too_long(&head, limits.max_body_bytes) {
        return refuse(context, stream, RefusalCause::BodyTooLong, asker).await;
    }
    let head = if origin.is_some() {
        head.without(PEER_FIELD)
    } else {
        head
    };
    let catalog = wait_configuration(context).await;
    let mut decision = decide(context, catalog.as_deref(), &head, origin.as_ref());
    let body_use = body_use(&decision);
    if is_awaiting && body_use == BodyUse::Discard {
        // The caller may send its body or not after the final response.
        refuse_decided(context, stream, decision, asker).await;
        return ConnectionStep::Close;
    }
    if is_awaiting && stream.send(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return ConnectionStep::Close;
    }
    let time_left = read_metadata(context, &head, origin.as_ref()).time_left;
    let bounds = upload_bounds(&limits);
    let body = match receive_body(stream, &head, bounds, held, body_use).await {
        Ok(body) => body,
        Err(UploadError::Memory(cause)) => {
            let end = match cause {
                HoldError::Ended => EndCause::UploadForOthers,
                HoldError::NoMemory => EndCause::NoMemory,
            };
            return refuse_for_memory(context, stream, held, end, time_left, asker).await;
        }
        Err(UploadError::Read(ReadError::BodyTooLong)) => {
            return refuse(context, stream, RefusalCause::BodyTooLong, asker).await;
        }
        Err(UploadError::Read(ReadError::Body(_))) => {
            return refuse(context, stream, RefusalCause::Malformed, asker).await;
        }
        Err(UploadError::Read(_)) => return ConnectionStep::Close,
    };
    // The configuration may have arrived or changed while the body was read.
    let current = wait_configuration(context).await;
    if current.as_ref().map(|c| c.version) != catalog.as_ref().map(|c| c.version) {
        let renewed = decide(context, current.as_deref(), &head, origin.as_ref());
        decision = after_change(renewed, body_use);
    }
    let matched = match decision {
        RoutingDecision::Relay(matched) => *matched,
        RoutingDecision::Refuse(RefusalCause::NoConfiguration) => {
            return refuse_unconfigured(context, stream, time_left, asker).await;
        }
        RoutingDecision::Refuse(cause) => return refuse(context, stream, cause, asker).await,
    };
    let fair_teams = context.settings.admission.fair_teams;
    let class = current
        .as_deref()
        .and_then(|catalog| classify(catalog, &matched, fair_teams));
    let draining = context.lifecycle.phase() == crate::kernel::DaemonPhase::Draining;
    let (socket, input) = stream.socket_and_input();
    let request = ActiveRequest {
        context,
        caller: socket,
        head: &head,
        body: &body,
        deadline: compute_deadline(arrived, &matched.metadata, &matched.route),
        class,
        metadata: matched.metadata,
        route: matched.route,
        service: matched.service,
        team: matched.team,
        arrived,
        origin,
        // The end of a stream to a caller of HTTP/1.0 is the end of its connection.
        close: !head.is_http_1_1() || head.closes_connection() || draining,
        fingerprint_cell: OnceLock::new(),
    };
    let watch = async {
        wait_for_close(socket, input, held, request.body.len()).await;
        None
    };
    let end = or(async { Some(relay_request(&request).await) }, watch).await;
    record_outcome(&request, end);
    match end {
        Some(ExchangeEnd::Relayed(_)) if !request.close => ConnectionStep::Continue,
        Some(ExchangeEnd::LocalReply(cause)) if !request.close && !cause.closes_connection() => {
            ConnectionStep::Continue
        }
        _ => ConnectionStep::Close,
    }
}

/// Refuses a request whose body is not awaited.
async fn refuse_decided(
    context: &RelayContext,
    stream: &WireStream,
    decision: RoutingDecision,
    asker: ReplyAsker,
) {
    if let RoutingDecision::Refuse(cause) = decision {
        refuse(context, stream, cause, asker).await;
    }
}

/// What the daemon that passes a request on says about it; `None` for a request of a caller. One of an
/// unknown daemon is refused.
fn read_origin(
    context: &RelayContext,
    head: &WireHead,
    source: RequestSource,
) -> Result<Option<PeerDispatch>, RefusalCause> {
    if source == RequestSource::Callers {
        return Ok(None);
    }
    let dispatch = head.field(PEER_FIELD).and_then(|text| text.parse().ok());
    let dispatch: PeerDispatch = dispatch.ok_or(RefusalCause::UnknownPeer)?;
    let sender = dispatch.sender.as_str();
    if !context.presence.knows_run(sender, &dispatch.token) {
        return Err(RefusalCause::UnknownPeer);
    }
    let taken = context.metrics.peer_requests.with_label_values(&["taken"]);
    taken.inc();
    Ok(Some(dispatch))
}

fn record_outcome(request: &ActiveRequest<'_>, end: Option<ExchangeEnd>) {
    let outcome = match end {
        Some(ExchangeEnd::Relayed(status)) if status < 400 => "relayed",
        Some(ExchangeEnd::Relayed(_)) => "relayed_failure",
        Some(ExchangeEnd::LocalReply(cause)) => cause.name(),
        Some(ExchangeEnd::Truncated) => "broken_off",
        None => "caller_left",
    };
    // The daemon that took a request from its caller counts its outcome.
    if request.origin.is_none() {
        let requests = &request.context.metrics.requests;
        requests.with_label_values(&[outcome]).inc();
    }
    if end.is_none() {
        request.context.events.emit(request.log_line("caller_left"));
    }
}

/// Returns when the caller has closed its connection. Bytes that it sends meanwhile are kept in
/// `input`; never returns once there are [`MAX_PIPELINED_BYTES`].
async fn wait_for_close(
    socket: &Async<TcpStream>,
    input: &mut BytesMut,
    held: &ConnectionHold,
    body_bytes: usize,
) {
    // One read adds less than the smallest buffer; the input buffer doubles when it is full.
    while input.len() < MAX_PIPELINED_BYTES
        && (input.is_empty() || held.try_hold(body_bytes + 2 * input.capacity()))
    {
        match read_some(socket, input).await {
            Ok(count) => pause_after_read(count).await,
            Err(_) => return,
        }
    }
    std::future::pending::<()>().await;
}
