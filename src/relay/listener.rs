//! Accepts callers' connections and serves the requests on them.

use crate::relay::context::RelayContext;
use crate::relay::exchange::{
    ActiveRequest, ExchangeEnd, RoutingDecision, compute_deadline, relay_request, route_request,
};
use crate::relay::local_reply::{LocalReply, RefusalCause};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{
    HeadError, HeadLimits, HeadOutcome, ReadError, WireHead, WireServer, WireStream,
    pause_after_read, read_request_body, read_request_head, read_some,
};
use async_io::Async;
use async_std::task;
use bytes::BytesMut;
use futures_lite::future::or;
use std::net::TcpStream;
use std::sync::{Arc, OnceLock};

/// Maximum number of bytes buffered while a response is pending. Further bytes stay in the socket
/// buffer, and reading no longer detects that the caller closes the connection.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Whether a connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStep {
    Continue,
    Close,
}

/// Accepts callers' connections; never returns.
pub async fn serve_callers(context: Arc<RelayContext>, server: WireServer) {
    loop {
        let stream = server.accept().await;
        task::spawn(serve_connection(Arc::clone(&context), stream));
    }
}

async fn serve_connection(context: Arc<RelayContext>, mut stream: WireStream) {
    loop {
        let limits = context
            .catalog
            .load()
            .map(|catalog| catalog.limits)
            .unwrap_or_default();
        let head_limits = HeadLimits {
            max_bytes: limits.max_head_bytes,
        };
        let outcome = read_request_head(
            &mut stream,
            head_limits,
            limits.idle_timeout,
            limits.head_timeout,
        )
        .await;
        let arrived = context.clock.now();
        let step = match outcome {
            HeadOutcome::Request(head) => serve_request(&context, &mut stream, head, arrived).await,
            HeadOutcome::Invalid(cause) => {
                let cause = match cause {
                    HeadError::TooLong => RefusalCause::HeadTooLong,
                    _ => RefusalCause::Malformed,
                };
                refuse(&context, &stream, cause).await
            }
            HeadOutcome::TimedOut => refuse(&context, &stream, RefusalCause::HeadTimeout).await,
            HeadOutcome::Idle | HeadOutcome::ConnectionLost => return,
        };
        if step == ConnectionStep::Close {
            return;
        }
    }
}

/// Sends a local reply to a request that is invalid or that the configuration gives no service.
/// Only a missing configuration gets a `Retry-After` here, of 0.5 to 1 s.
async fn refuse(
    context: &RelayContext,
    stream: &WireStream,
    cause: RefusalCause,
) -> ConnectionStep {
    let mut reply = LocalReply::new(cause);
    if cause == RefusalCause::NoConfiguration {
        reply = reply.with_retry_after(
            std::time::Duration::from_millis(500),
            &mut fastrand::Rng::new(),
        );
    }
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
) -> ConnectionStep {
    let _in_flight = context.lifecycle.start_request();
    if head.has_token("expect", "100-continue") {
        let sent = stream.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if sent.is_err() {
            return ConnectionStep::Close;
        }
    }
    let catalog = context.catalog.load();
    let limits = catalog.map(|catalog| catalog.limits).unwrap_or_default();
    let body = match read_request_body(stream, &head, limits.max_body_bytes).await {
        Ok(body) => body,
        Err(ReadError::BodyTooLong) => {
            return refuse(context, stream, RefusalCause::BodyTooLong).await;
        }
        Err(ReadError::Body(_)) => return refuse(context, stream, RefusalCause::Malformed).await,
        Err(_) => return ConnectionStep::Close,
    };
    // The configuration may have arrived or changed while the body was read.
    let catalog = context.catalog.load();
    let metadata = (context.codec.read_request)(&head);
    let matched = match route_request(catalog.as_deref(), &head, metadata) {
        RoutingDecision::Relay(matched) => *matched,
        RoutingDecision::Refuse(cause) => return refuse(context, stream, cause).await,
    };
    let draining = context.lifecycle.phase() == crate::kernel::DaemonPhase::Draining;
    let (socket, input) = stream.socket_and_input();
    let request = ActiveRequest {
        context,
        caller: socket,
        head: &head,
        body: &body,
        deadline: compute_deadline(arrived, &matched.metadata, &matched.route),
        metadata: matched.metadata,
        route: matched.route,
        service: matched.service,
        team: matched.team,
        arrived,
        // The end of a stream to a caller of HTTP/1.0 is the end of its connection.
        close: !head.is_http_1_1() || head.closes_connection() || draining,
        fingerprint_cell: OnceLock::new(),
    };
    let watch = async {
        wait_for_close(socket, input).await;
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

fn record_outcome(request: &ActiveRequest<'_>, end: Option<ExchangeEnd>) {
    let outcome = match end {
        Some(ExchangeEnd::Relayed(status)) if status < 400 => "relayed",
        Some(ExchangeEnd::Relayed(_)) => "relayed_failure",
        Some(ExchangeEnd::LocalReply(cause)) => cause.name(),
        Some(ExchangeEnd::Truncated) => "broken_off",
        None => "caller_left",
    };
    request
        .context
        .metrics
        .requests
        .with_label_values(&[outcome])
        .inc();
    if end.is_none() {
        request.context.events.emit(request.log_line("caller_left"));
    }
}

/// Returns when the caller has closed its connection. Bytes that it sends meanwhile are kept in
/// `input`; never returns once there are [`MAX_PIPELINED_BYTES`].
async fn wait_for_close(socket: &Async<TcpStream>, input: &mut BytesMut) {
    while input.len() < MAX_PIPELINED_BYTES {
        match read_some(socket, input).await {
            Ok(count) => pause_after_read(count).await,
            Err(_) => return,
        }
    }
    std::future::pending::<()>().await;
}
