//! One attempt: sends a request to a target and reads the head of its response.

use crate::ids::InstanceId;
use crate::relay::context::RelayContext;
use crate::relay::limits::{is_resting, observe_limit};
use crate::relay::metadata::{DispatchMetadata, ReplyMetadata, RequestMetadata};
use crate::relay::notices::{AT_REST, observe_notices, observe_part};
use crate::relay::path::connect_target;
use crate::relay::retry::RelayFailure;
use crate::targets::TargetEntry;
use crate::wire::{
    BodyDecoder, BodyFraming, HeadLimits, ReadError, StreamPool, WireHead, WireStream,
    read_final_head, write_all,
};
use async_std::future::timeout;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Size limit of a response head.
const RESPONSE_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};

/// Idle connections are not reused from this long before the target's idle timeout, so that a
/// request does not race with the target closing the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time that an idle connection is kept when the target sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);

/// The part of a request that is the same for every target.
#[derive(Debug)]
pub(super) struct OutgoingRequest<'a> {
    /// Request head received from the caller.
    pub head: &'a WireHead,
    /// Complete request body.
    pub body: &'a [u8],
    /// Metadata parsed from the head.
    pub metadata: &'a RequestMetadata,
}

/// A target's response whose body has not been read yet.
#[derive(Debug)]
pub(super) struct PendingResponse {
    /// Connection to the target.
    pub stream: WireStream,
    /// Response head.
    pub head: WireHead,
    /// Metadata parsed from the head.
    pub metadata: ReplyMetadata,
    /// Decoder of the response body.
    pub decoder: BodyDecoder,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The target did not respond in time.
    TimedOut,
    /// The target responded with 421: the address now belongs to another target, or to one that
    /// does not hold the requested layers.
    Misdirected,
    /// The target closed the connection before its response was complete, or the connection was
    /// lost.
    Disconnected,
    /// The request was not sent, as the target has asked for rest since its selection.
    HeldBack,
    /// There was no memory for the response.
    NoMemory,
    /// In another way, such as an incorrect response.
    Other,
}

/// An attempt that produced no response to forward.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    /// How it failed.
    pub kind: FailureKind,
    /// Whether the target may have executed the request.
    pub failure: RelayFailure,
    /// Metadata of the response, if its head arrived.
    pub metadata: Box<ReplyMetadata>,
    /// Failure text for the log.
    pub cause: String,
}

impl FailedAttempt {
    /// An attempt whose target did not respond in time.
    pub(super) fn timed_out(cause: impl std::fmt::Display) -> Self {
        Self {
            kind: FailureKind::TimedOut,
            ..Self::new(RelayFailure::OutcomeUnknown, cause)
        }
    }

    /// An attempt whose connection failed while the response was awaited or read.
    pub(super) fn disconnected(cause: impl std::fmt::Display) -> Self {
        Self {
            kind: FailureKind::Disconnected,
            ..Self::new(RelayFailure::OutcomeUnknown, cause)
        }
    }

    /// An attempt for whose response there was no memory.
    pub(super) fn out_of_memory() -> Self {
        Self {
            kind: FailureKind::NoMemory,
            ..Self::new(RelayFailure::OutcomeUnknown, ReadError::NoMemory)
        }
    }

    /// An attempt whose response could not be read.
    pub(super) fn unreadable(cause: &ReadError) -> Self {
        match cause {
            ReadError::Stream(_) => Self::disconnected(cause),
            ReadError::NoMemory => Self::out_of_memory(),
            _ => Self::new(RelayFailure::OutcomeUnknown, cause),
        }
    }

    /// True when the failure says nothing about the target: it got no request, or this daemon is at fault.
    pub(super) fn is_own(&self) -> bool {
        matches!(self.kind, FailureKind::HeldBack | FailureKind::NoMemory)
    }

    /// True when a target of the attempt may have crashed under the request: it was sent, or a
    /// target of its chain did not respond to the others.
    pub(super) fn may_have_crashed(&self) -> bool {
        match self.failure {
            _ if self.kind == FailureKind::NoMemory => false,
            RelayFailure::NotSent | RelayFailure::Failed => false,
            RelayFailure::NotExecuted => self.metadata.faulty_address.is_some(),
            RelayFailure::OutcomeUnknown => true,
        }
    }

    /// An attempt that failed in another way.
    pub(super) fn new(failure: RelayFailure, cause: impl std::fmt::Display) -> Self {
        Self {
            kind: FailureKind::Other,
            failure,
            metadata: Box::default(),
            cause: cause.to_string(),
        }
    }
}

/// What the response to a request must show to be taken for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdentityCheck {
    /// No attempt id but the request's: nothing else can be due on a new connection, and daemons send no
    /// extra responses.
    NoOther,
    /// The request's attempt id: on a connection that was used before, a target may send an extra response to
    /// an earlier request.
    Own,
}

/// Sends a request and reads the head of the response within `limit`. `reuse` allows an idle pooled
/// connection to be used, if the request has an attempt id. A response that reports that the request
/// was not executed, which every 421 does, is returned as a failed attempt.
pub(super) async fn open_response(
    context: &RelayContext,
    request: &OutgoingRequest<'_>,
    dispatch: &DispatchMetadata<'_>,
    target: &Arc<TargetEntry>,
    reuse: bool,
    limit: Duration,
) -> Result<PendingResponse, FailedAttempt> {
    let pooled = if reuse && request.metadata.attempt_id.is_some() {
        context.pool.take(&target.id)
    } else {
        None
    };
    let (stream, check) = match pooled {
        Some(stream) => (stream, IdentityCheck::Own),
        None => (
            connect(context, target, limit).await?,
            IdentityCheck::NoOther,
        ),
    };
    if is_resting(context, target) {
        return Err(FailedAttempt {
            kind: FailureKind::HeldBack,
            ..FailedAttempt::new(RelayFailure::NotSent, AT_REST)
        });
    }
    let mut bytes = (context.codec.write_request)(request.head, dispatch).finish();
    bytes.extend_from_slice(request.body);
    let sent_at = context.clock.now();
    let response = exchange_heads(context, stream, &bytes, request, limit, check).await?;
    context.reach.on_heard(context.clock.now());
    let (status, metadata) = (response.head.status(), &response.metadata);
    observe_limit(context, target, sent_at, status, metadata);
    observe_notices(context, target, status, metadata.notices);
    let faulty_address = metadata.faulty_address;
    observe_part(context, dispatch.chain, faulty_address, metadata.notices);
    if metadata.not_executed || status == 421 {
        let cause = format!("status {status}, request not executed");
        let kind = match status {
            421 => FailureKind::Misdirected,
            _ => FailureKind::Other,
        };
        return Err(FailedAttempt {
            kind,
            failure: RelayFailure::NotExecuted,
            metadata: Box::new(response.metadata),
            cause,
        });
    }
    Ok(response)
}

/// Sends the bytes of a request and reads the head of the response within `limit`.
pub(super) async fn exchange_heads(
    context: &RelayContext,
    mut stream: WireStream,
    bytes: &[u8],
    request: &OutgoingRequest<'_>,
    limit: Duration,
    check: IdentityCheck,
) -> Result<PendingResponse, FailedAttempt> {
    let mut is_sent = false;
    let (socket, input) = stream.socket_and_input();
    let write = async {
        // When writing fails, the target may already have sent a response that refuses the request.
        // So this future never completes, and only the read or the timeout ends the attempt.
        is_sent = write_all(socket, bytes).await.is_ok();
        std::future::pending().await
    };
    let read = async {
        let head = read_final_head(socket, input, RESPONSE_HEAD_LIMITS)
            .await
            .map_err(head_error)?;
        let metadata = (context.codec.read_reply)(&head);
        if is_mismatched(&metadata, request.metadata, check) {
            let cause = match metadata.attempt_id {
                Some(_) => "response repeats the id of another request",
                None => "response without an id on a connection in use again",
            };
            return Err(FailedAttempt::new(RelayFailure::OutcomeUnknown, cause));
        }
        Ok((head, metadata))
    };
    let outcome = timeout(limit, or(write, read)).await;
    let (head, metadata) = outcome.unwrap_or_else(|_elapsed| {
        Err(FailedAttempt::timed_out(
            "timeout while waiting for the response head",
        ))
    })?;
    stream.set_sent(is_sent);
    let frame = BodyFraming::for_response(&head, request.head.method());
    Ok(PendingResponse {
        stream,
        decoder: BodyDecoder::new(frame),
        head,
        metadata,
    })
}

async fn connect(
    context: &RelayContext,
    target: &TargetEntry,
    limit: Duration,
) -> Result<WireStream, FailedAttempt> {
    let connected = connect_target(context, target, CONNECT_TIMEOUT.min(limit)).await;
    connected.map_err(|cause| FailedAttempt::new(RelayFailure::NotSent, cause))
}

fn head_error(cause: ReadError) -> FailedAttempt {
    match cause {
        ReadError::Stream(_) => {
            FailedAttempt::disconnected(format_args!("before the answer: {cause}"))
        }
        _ => FailedAttempt::new(RelayFailure::OutcomeUnknown, cause),
    }
}

/// True when the response is not, or not for certain, that to the request.
fn is_mismatched(
    response: &ReplyMetadata,
    request: &RequestMetadata,
    check: IdentityCheck,
) -> bool {
    match (&response.attempt_id, &request.attempt_id) {
        (Some(echoed), Some(sent)) => echoed != sent,
        _ => check == IdentityCheck::Own,
    }
}

/// Returns the connection of a complete response to the pool, unless the request was not written
/// completely, the target closes the connection or unexpected bytes have arrived.
pub(super) fn keep_connection(
    pool: &StreamPool<InstanceId>,
    peer: &InstanceId,
    response: PendingResponse,
) {
    let PendingResponse { stream, head, .. } = response;
    if stream.is_sent() && !head.closes_connection() && stream.is_idle() {
        pool.put(peer, stream, idle_time(&head));
    }
}

/// Time that an idle connection may be pooled: the timeout of the target's `Keep-Alive` field, in
/// seconds, less [`IDLE_MARGIN`].
fn idle_time(head: &WireHead) -> Duration {
    let field = head.field("keep-alive").unwrap_or_default();
    let keep_alive = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let keep_alive = keep_alive
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    keep_alive.map_or(DEFAULT_IDLE_TIME, |keep_alive| {
        keep_alive.saturating_sub(IDLE_MARGIN)
    })
}
