//! Reads heads and bodies within the memory that all connections share, and records connections that are ended
//! for lack of memory or descriptors.

use crate::catalog::{CallerLimits, RoutingCatalog};
use crate::relay::context::RelayContext;
use crate::relay::exchange::{RoutingDecision, route_request};
use crate::relay::local_reply::RefusalCause;
use crate::relay::metadata::RequestMetadata;
use crate::relay::via_peer::PeerDispatch;
use crate::telemetry::EventLine;
use crate::wire::{
    BodyUse, ConnectionHold, ConnectionPhase, HeadLimits, HeadOutcome, HoldError, UploadBounds,
    UploadError, WireHead, WireStream, read_head_within, read_upload,
};
use bytes::BytesMut;
use futures_lite::future::or;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Least time between two log lines on connections that were ended.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Why a connection was ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndCause {
    /// It was idle, and another one needed its descriptor.
    Idle,
    /// Only a part of a head had arrived, and another one needed its memory or descriptor.
    Head,
    /// Its upload paused for longest, and another one needed its memory or descriptor.
    UploadForOthers,
    /// Its request waited for memory in vain.
    NoMemory,
}

impl EndCause {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::UploadForOthers => "upload_for_others",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Counts a connection that is ended, and logs it unless there was a line within the last second.
pub(super) fn record_ending(context: &RelayContext, cause: EndCause) {
    let ended = &context.metrics.ended_connections;
    ended.with_label_values(&[cause.name()]).inc();
    let now = context.clock.now().0;
    let last = context.ending_logged_at.load(Ordering::Relaxed);
    if last != 0 && Duration::from_micros(now.saturating_sub(last)) < LOG_PERIOD {
        return;
    }
    context
        .ending_logged_at
        .store(now.max(1), Ordering::Relaxed);
    let (held, open) = context.connection_budget.usage();
    let line = EventLine::new("connection_ended")
        .with("cause", cause.name())
        .with("held_bytes", held)
        .with("connections", open);
    context.events.emit(line);
}

/// Sets the figures of memory and connections.
pub(super) fn publish_usage(context: &RelayContext) {
    let (held, open) = context.connection_budget.usage();
    let uploads = &context.metrics.uploads;
    uploads
        .with_label_values(&["bytes"])
        .set(i64::try_from(held).unwrap_or(i64::MAX));
    uploads
        .with_label_values(&["connections"])
        .set(i64::try_from(open).unwrap_or(i64::MAX));
}

/// Size limits of one request.
pub(super) fn upload_bounds(limits: &CallerLimits) -> UploadBounds {
    UploadBounds {
        head_bytes: limits.max_head_bytes,
        body_bytes: limits.max_body_bytes,
    }
}

/// Reads the rest of a head within the memory that all connections share.
pub(super) async fn read_held_head(
    stream: &mut WireStream,
    held: &ConnectionHold,
    limits: &CallerLimits,
) -> Result<HeadOutcome, HoldError> {
    let bounds = upload_bounds(limits);
    if !held.enter(ConnectionPhase::Head) {
        return Err(HoldError::Ended);
    }
    held.hold(bounds.head_memory(), bounds.one_request())
        .await?;
    let head_limits = HeadLimits {
        max_bytes: limits.max_head_bytes,
    };
    let ended = async {
        held.ended().await;
        Err(HoldError::Ended)
    };
    let read = async { Ok(read_head_within(stream, head_limits, limits.head_timeout).await) };
    or(ended, read).await
}

/// Metadata of a request, with what the daemon that passes it on says about it.
pub(super) fn read_metadata(
    context: &RelayContext,
    head: &WireHead,
    origin: Option<&PeerDispatch>,
) -> RequestMetadata {
    let mut metadata = (context.codec.read_request)(head);
    if let Some(origin) = origin {
        metadata.time_left = Some(origin.time_left);
        metadata.resume_after = origin.resume_after.or(metadata.resume_after);
    }
    metadata
}

/// Route of a request with its metadata, or why it is refused.
pub(super) fn decide(
    context: &RelayContext,
    catalog: Option<&RoutingCatalog>,
    head: &WireHead,
    origin: Option<&PeerDispatch>,
) -> RoutingDecision {
    route_request(catalog, head, read_metadata(context, head, origin))
}

/// A body is stored if its request may be served: also without a configuration, which may arrive meanwhile.
pub(super) fn body_use(decision: &RoutingDecision) -> BodyUse {
    match decision {
        RoutingDecision::Relay(_) | RoutingDecision::Refuse(RefusalCause::NoConfiguration) => {
            BodyUse::Store
        }
        RoutingDecision::Refuse(_) => BodyUse::Discard,
    }
}

/// Decision under a configuration that arrived while the body was read. If the body was discarded and the
/// request has a route now, the caller is to send it again.
pub(super) fn after_change(decision: RoutingDecision, body_use: BodyUse) -> RoutingDecision {
    match (decision, body_use) {
        (RoutingDecision::Relay(_), BodyUse::Discard) => {
            RoutingDecision::Refuse(RefusalCause::NoConfiguration)
        }
        (decision, _) => decision,
    }
}

/// Reads a body. From its end on the connection is not ended for another one, and holds only the body.
pub(super) async fn receive_body(
    stream: &mut WireStream,
    head: &WireHead,
    bounds: UploadBounds,
    held: &ConnectionHold,
    body_use: BodyUse,
) -> Result<Vec<u8>, UploadError> {
    let ended = UploadError::Memory(HoldError::Ended);
    if !held.enter(ConnectionPhase::Body) {
        return Err(ended);
    }
    let body = read_upload(stream, head, bounds, held, body_use).await?;
    if !held.enter(ConnectionPhase::Serving) {
        return Err(ended);
    }
    if stream.input.is_empty() {
        stream.input = BytesMut::new();
    }
    held.release_to(body.capacity() + stream.input.capacity());
    Ok(body)
}
