//! Decides what counts as delivered and as complete in a stream of events. Performs no I/O.

use crate::wire::{CompleteEvent, EventSplitter, WireHead};

/// Media type of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// What the caller has received so far.
#[derive(Debug, Clone, Default)]
pub(super) struct DeliveryProgress {
    /// True when the response head was sent to the caller or is in the output.
    pub head_sent: bool,
    /// Id of the last forwarded event; at first the one after which the caller resumes, if any.
    pub last_id: Option<u64>,
}

/// What to do with an event.
pub(super) enum EventVerdict {
    /// It is the next event for the caller.
    Forward,
    /// The event was forwarded before.
    Skip,
    /// Events before this one are missing; the attempt fails.
    Gap,
}

/// Decides by the ids whether to forward an event. Ids increase by one from event to event: an
/// event with an id up to that of the last forwarded one is a repetition, and one with an id beyond
/// the next shows that events are missing. Events without a number as id are always forwarded, and
/// so is every event as long as no last id is known.
pub(super) fn classify_event(event: &CompleteEvent, delivered: &DeliveryProgress) -> EventVerdict {
    match (event.id, delivered.last_id) {
        (Some(id), Some(last)) if id <= last => EventVerdict::Skip,
        (Some(id), Some(last)) if id > last + 1 => EventVerdict::Gap,
        _ => EventVerdict::Forward,
    }
}

/// True unless the response is a failure or declares another media type. Such a response has no
/// events, and only its framing tells whether it is complete.
fn is_event_stream(head: &WireHead) -> bool {
    let media_type = head.field("content-type").unwrap_or(EVENT_STREAM_TYPE);
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    (200..300).contains(&head.status()) && essence.eq_ignore_ascii_case(EVENT_STREAM_TYPE)
}

/// Why a response cannot continue a stream that has begun; `None` if it may.
pub(super) fn resume_fault(head: &WireHead) -> Option<String> {
    match head.status() {
        200 if is_event_stream(head) => None,
        200 => Some(String::from("no event stream when resuming")),
        status => Some(format!("status {status} when resuming")),
    }
}

/// True when a stream of events has ended inside one.
pub(super) fn is_cut_off(head: &WireHead, splitter: &EventSplitter) -> bool {
    is_event_stream(head) && splitter.is_inside_event()
}
