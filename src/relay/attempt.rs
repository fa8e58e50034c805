//! One attempt: sends a request to a target and reads the head of its answer.

use crate::ids::InstanceId;
use crate::relay::context::RelayContext;
use crate::relay::course::RelayFailure;
use crate::relay::ports::{DispatchFacts, ReplyFacts, RequestFacts};
use crate::targets::TargetEntry;
use crate::wire::{
    BodyDecoder, BodyFrame, HeadLimits, ReadError, WireHead, WireStream, read_reply_head, write_all,
};
use async_std::future::timeout;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Time allowed for connecting to a target.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Longest head of a target's answer.
const REPLY_HEAD: HeadLimits = HeadLimits { bytes: 64 * 1024 };

/// Time before the end of a target's idle timeout from which a connection is not used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle time for which a connection is kept when the target does not say how long it keeps it.
const UNTOLD_IDLE: Duration = Duration::from_secs(2);

/// A request as it is sent, whatever the target.
#[derive(Debug)]
pub(super) struct OutgoingRequest<'a> {
    /// The caller's head.
    pub head: &'a WireHead,
    /// Its whole body.
    pub body: &'a [u8],
    /// What the head says.
    pub facts: &'a RequestFacts,
}

/// A target's answer, its body not yet read.
#[derive(Debug)]
pub(super) struct OpenReply {
    /// Connection.
    pub stream: WireStream,
    /// Head.
    pub head: WireHead,
    /// What the head says.
    pub facts: ReplyFacts,
    /// Decoder of the body.
    pub decoder: BodyDecoder,
    /// True when the whole request was written.
    pub written: bool,
}

/// An attempt that gave no answer.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    /// True when the target did not answer in time, rather than wrongly.
    pub silent: bool,
    /// True when another target, or one without these layers, has the address.
    pub misdirected: bool,
    /// What is known of the request.
    pub failure: RelayFailure,
    /// The answer's facts, if there was a head.
    pub facts: ReplyFacts,
    /// What happened, for the log.
    pub cause: String,
}

impl FailedAttempt {
    /// The target did not answer in time.
    pub(super) fn silent(cause: impl std::fmt::Display) -> Self {
        Self {
            silent: true,
            ..Self::new(RelayFailure::Unknown, cause)
        }
    }

    pub(super) fn new(failure: RelayFailure, cause: impl std::fmt::Display) -> Self {
        Self {
            silent: false,
            misdirected: false,
            failure,
            facts: ReplyFacts::default(),
            cause: cause.to_string(),
        }
    }
}

/// Sends a request and reads the head of the answer within `limit`. Statuses that promise that the
/// request has not run come back as failures.
pub(super) async fn open_reply(
    context: &RelayContext,
    request: &OutgoingRequest<'_>,
    dispatch: &DispatchFacts<'_>,
    target: &Arc<TargetEntry>,
    kept: bool,
    limit: Duration,
) -> Result<OpenReply, FailedAttempt> {
    let reused = if kept {
        context.pool.take(&target.id)
    } else {
        None
    };
    let mut stream = match reused {
        Some(stream) => stream,
        None => connect(target, limit).await?,
    };
    let mut bytes = (context.words.write_request)(request.head, dispatch).finish();
    bytes.extend_from_slice(request.body);
    let mut written = false;
    let (socket, input) = stream.halves();
    let write = async {
        // When writing fails, an answer that refuses the request may still be there to read.
        written = write_all(socket, &bytes).await.is_ok();
        std::future::pending().await
    };
    let read = async {
        loop {
            let head = read_reply_head(socket, input, REPLY_HEAD)
                .await
                .map_err(unread_head)?;
            let facts = (context.words.read_reply)(&head);
            if is_late(&facts, request.facts) {
                return Err(FailedAttempt::new(
                    RelayFailure::Unknown,
                    "answer to another request",
                ));
            }
            if head.status() >= 200 {
                return Ok((head, facts));
            }
        }
    };
    let answered = timeout(limit, or(write, read)).await;
    let (head, facts) =
        answered.unwrap_or_else(|_elapsed| Err(FailedAttempt::silent("no answer in time")))?;
    if facts.not_run || head.status() == 421 {
        let cause = format!("status {}, not run", head.status());
        return Err(FailedAttempt {
            silent: false,
            misdirected: head.status() == 421,
            failure: RelayFailure::NotRun,
            facts,
            cause,
        });
    }
    let frame = BodyFrame::of_reply(&head, request.head.method());
    Ok(OpenReply {
        stream,
        decoder: BodyDecoder::new(frame),
        head,
        facts,
        written,
    })
}

async fn connect(target: &TargetEntry, limit: Duration) -> Result<WireStream, FailedAttempt> {
    let connected = WireStream::connect(target.address, CONNECT_LIMIT.min(limit)).await;
    target.gauge.note_reached(connected.is_ok());
    connected.map_err(|cause| FailedAttempt::new(RelayFailure::NotSent, cause))
}

fn unread_head(cause: ReadError) -> FailedAttempt {
    match cause {
        ReadError::Stream(_) => FailedAttempt::new(
            RelayFailure::Unknown,
            format_args!("before the answer: {cause}"),
        ),
        _ => FailedAttempt::new(RelayFailure::Unknown, cause),
    }
}

/// True when the answer belongs to another request than this one.
fn is_late(reply: &ReplyFacts, request: &RequestFacts) -> bool {
    match (&reply.attempt, &request.attempt) {
        (Some(echoed), Some(sent)) => echoed != sent,
        _ => false,
    }
}

/// Keeps the connection of a complete answer when both sides may use it again.
pub(super) fn keep_connection(context: &RelayContext, target: &InstanceId, reply: OpenReply) {
    let reusable = reply.written && !reply.head.closes() && reply.stream.input.is_empty();
    if reusable && reply.stream.is_quiet() {
        context
            .pool
            .keep(target, reply.stream, idle_time(&reply.head));
    }
}

/// Time for which the connection of an answer may be kept: shortly before the target closes it by the
/// idle timeout of its `Keep-Alive` field, in seconds.
fn idle_time(head: &WireHead) -> Duration {
    let field = head.field("keep-alive").unwrap_or_default();
    let told = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let told = told
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    told.map_or(UNTOLD_IDLE, |told| told.saturating_sub(IDLE_MARGIN))
}
