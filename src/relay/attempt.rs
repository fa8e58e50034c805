//! One attempt: sends a request to a target and reads the head of its answer.

use crate::ids::InstanceId;
use crate::relay::context::RelayContext;
use crate::relay::course::RelayFailure;
use crate::relay::ports::{DispatchFacts, ReplyFacts, RequestFacts};
use crate::targets::TargetEntry;
use crate::wire::{
    BodyDecoder, BodyFrame, HeadLimits, HeadStep, StreamError, WireHead, WireStream, parse_reply,
    read_some, write_all,
};
use async_io::Timer;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Time allowed for connecting to a target.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Longest head of a target's answer.
const REPLY_HEAD: HeadLimits = HeadLimits { bytes: 64 * 1024 };

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
    let expire = async {
        Timer::after(limit).await;
        Err(FailedAttempt::silent("no answer in time"))
    };
    let (socket, input) = stream.halves();
    let write = async {
        // When writing fails, an answer that refuses the request may still be there to read.
        written = write_all(socket, &bytes).await.is_ok();
        std::future::pending().await
    };
    let read = async {
        loop {
            let head = read_head(socket, input).await?;
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
    let (head, facts) = or(or(write, read), expire).await?;
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

/// True when the answer belongs to another request than this one.
fn is_late(reply: &ReplyFacts, request: &RequestFacts) -> bool {
    match (&reply.attempt, &request.attempt) {
        (Some(echoed), Some(sent)) => echoed != sent,
        _ => false,
    }
}

async fn read_head(
    socket: &async_io::Async<std::net::TcpStream>,
    input: &mut bytes::BytesMut,
) -> Result<WireHead, FailedAttempt> {
    loop {
        match parse_reply(input, REPLY_HEAD) {
            Err(cause) => return Err(FailedAttempt::new(RelayFailure::Unknown, cause)),
            Ok(HeadStep::Complete(head, length)) => {
                let _used = input.split_to(length);
                return Ok(head);
            }
            Ok(HeadStep::More) => match read_some(socket, input).await {
                Ok(_) => {}
                Err(cause) => {
                    return Err(FailedAttempt::new(RelayFailure::Unknown, describe(&cause)));
                }
            },
        }
    }
}

fn describe(cause: &StreamError) -> String {
    format!("before the answer: {cause}")
}

/// Keeps the connection of a complete answer when both sides may use it again.
pub(super) fn keep_connection(context: &RelayContext, target: &InstanceId, reply: OpenReply) {
    let reusable = reply.written && !reply.head.closes() && reply.stream.input.is_empty();
    if reusable && reply.stream.is_quiet() {
        context
            .pool
            .keep(target, reply.stream, told_idle(&reply.head));
    }
}

/// Idle timeout in the answer's `Keep-Alive` field, in seconds.
fn told_idle(head: &WireHead) -> Option<u64> {
    let field = head.field("keep-alive")?;
    let mut parts = field.split(',').map(str::trim);
    parts
        .find_map(|part| part.strip_prefix("timeout="))
        .and_then(|text| text.parse().ok())
}
