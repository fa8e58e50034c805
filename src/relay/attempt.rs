//! One attempt: sends a request to a target and reads the head of its answer.

use crate::ids::InstanceId;
use crate::relay::context::RelayContext;
use crate::relay::ports::{DispatchMetadata, ReplyMetadata, RequestMetadata};
use crate::relay::retry::RelayFailure;
use crate::targets::TargetEntry;
use crate::wire::{
    BodyDecoder, BodyFraming, HeadLimits, ReadError, WireHead, WireStream, read_response_head,
    write_all,
};
use async_std::future::timeout;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Time allowed for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest head of a target's answer.
const REPLY_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
};

/// Time before the end of a target's idle timeout from which a connection is not used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle time for which a connection is kept when the target does not say how long it keeps it.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);

/// A request as it is sent, whatever the target.
#[derive(Debug)]
pub(super) struct OutgoingRequest<'a> {
    /// The caller's head.
    pub head: &'a WireHead,
    /// Its whole body.
    pub body: &'a [u8],
    /// What the head says.
    pub metadata: &'a RequestMetadata,
}

/// A target's answer, its body not yet read.
#[derive(Debug)]
pub(super) struct OpenReply {
    /// Connection.
    pub stream: WireStream,
    /// Head.
    pub head: WireHead,
    /// What the head says.
    pub metadata: ReplyMetadata,
    /// Decoder of the body.
    pub decoder: BodyDecoder,
    /// True when the whole request was written.
    pub written: bool,
}

/// An attempt that gave no answer.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    /// True when the target did not answer in time, rather than wrongly.
    pub timed_out: bool,
    /// True when another target, or one without these layers, has the address.
    pub misdirected: bool,
    /// What is known of the request.
    pub failure: RelayFailure,
    /// The answer's facts, if there was a head.
    pub metadata: ReplyMetadata,
    /// What happened, for the log.
    pub cause: String,
}

impl FailedAttempt {
    /// The target did not answer in time.
    pub(super) fn timed_out(cause: impl std::fmt::Display) -> Self {
        Self {
            timed_out: true,
            ..Self::new(RelayFailure::OutcomeUnknown, cause)
        }
    }

    pub(super) fn new(failure: RelayFailure, cause: impl std::fmt::Display) -> Self {
        Self {
            timed_out: false,
            misdirected: false,
            failure,
            metadata: ReplyMetadata::default(),
            cause: cause.to_string(),
        }
    }
}

/// Sends a request and reads the head of the answer within `limit`. Statuses that promise that the
/// request has not run come back as failures.
pub(super) async fn open_reply(
    context: &RelayContext,
    request: &OutgoingRequest<'_>,
    dispatch: &DispatchMetadata<'_>,
    target: &Arc<TargetEntry>,
    reuse: bool,
    limit: Duration,
) -> Result<OpenReply, FailedAttempt> {
    let pooled = if reuse {
        context.pool.take(&target.id)
    } else {
        None
    };
    let mut stream = match pooled {
        Some(stream) => stream,
        None => connect(target, limit).await?,
    };
    let mut bytes = (context.codec.write_request)(request.head, dispatch).finish();
    bytes.extend_from_slice(request.body);
    let mut written = false;
    let (socket, input) = stream.socket_and_input();
    let write = async {
        // When writing fails, an answer that refuses the request may still be there to read.
        written = write_all(socket, &bytes).await.is_ok();
        std::future::pending().await
    };
    let read = async {
        loop {
            let head = read_response_head(socket, input, REPLY_HEAD_LIMITS)
                .await
                .map_err(head_error)?;
            let metadata = (context.codec.read_reply)(&head);
            if is_mismatched(&metadata, request.metadata) {
                return Err(FailedAttempt::new(
                    RelayFailure::OutcomeUnknown,
                    "answer to another request",
                ));
            }
            if head.status() >= 200 {
                return Ok((head, metadata));
            }
        }
    };
    let outcome = timeout(limit, or(write, read)).await;
    let (head, metadata) =
        outcome.unwrap_or_else(|_elapsed| Err(FailedAttempt::timed_out("no answer in time")))?;
    if metadata.not_executed || head.status() == 421 {
        let cause = format!("status {}, not run", head.status());
        return Err(FailedAttempt {
            timed_out: false,
            misdirected: head.status() == 421,
            failure: RelayFailure::NotExecuted,
            metadata,
            cause,
        });
    }
    let frame = BodyFraming::for_response(&head, request.head.method());
    Ok(OpenReply {
        stream,
        decoder: BodyDecoder::new(frame),
        head,
        metadata,
        written,
    })
}

async fn connect(target: &TargetEntry, limit: Duration) -> Result<WireStream, FailedAttempt> {
    let connected = WireStream::connect(target.address, CONNECT_TIMEOUT.min(limit)).await;
    target.stats.record_connect(connected.is_ok());
    connected.map_err(|cause| FailedAttempt::new(RelayFailure::NotSent, cause))
}

fn head_error(cause: ReadError) -> FailedAttempt {
    match cause {
        ReadError::Stream(_) => FailedAttempt::new(
            RelayFailure::OutcomeUnknown,
            format_args!("before the answer: {cause}"),
        ),
        _ => FailedAttempt::new(RelayFailure::OutcomeUnknown, cause),
    }
}

/// True when the answer belongs to another request than this one.
fn is_mismatched(reply: &ReplyMetadata, request: &RequestMetadata) -> bool {
    match (&reply.attempt_id, &request.attempt_id) {
        (Some(echoed), Some(sent)) => echoed != sent,
        _ => false,
    }
}

/// Keeps the connection of a complete answer when both sides may use it again.
pub(super) fn keep_connection(context: &RelayContext, target: &InstanceId, reply: OpenReply) {
    let reusable =
        reply.written && !reply.head.closes_connection() && reply.stream.input.is_empty();
    if reusable && reply.stream.is_idle() {
        context
            .pool
            .put(target, reply.stream, idle_time(&reply.head));
    }
}

/// Time for which the connection of an answer may be kept: shortly before the target closes it by the
/// idle timeout of its `Keep-Alive` field, in seconds.
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
