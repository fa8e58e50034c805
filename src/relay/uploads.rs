//! Connections that are ended for want of memory or descriptors: counters and log lines.

use crate::relay::context::RelayContext;
use crate::telemetry::EventLine;
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
    let (held, open) = context.seats.usage();
    let line = EventLine::new("connection_ended")
        .with("cause", cause.name())
        .with("held_bytes", held)
        .with("connections", open);
    context.events.emit(line);
}

/// Sets the figures of memory and connections.
pub(super) fn publish_usage(context: &RelayContext) {
    let (held, open) = context.seats.usage();
    let uploads = &context.metrics.uploads;
    uploads.with_label_values(&["bytes"]).set(held as i64);
    uploads.with_label_values(&["connections"]).set(open as i64);
}
