//! Events of one attempt: the response of the first engine, then the records of its stream. A wait
//! for the next event can be cancelled and repeated without losing an event.

use crate::engine::StreamRecord;
use crate::engine::{EngineClient, EngineError, EngineEvent, EngineStream, GenerateRequest};
use crate::http::SendError;
use crate::routing::AttemptEvent;
use futures_lite::StreamExt;
use futures_lite::stream::Boxed;
use std::sync::Arc;

/// State of the attempt's connection.
enum SourceState {
    Opening(EngineClient, Arc<GenerateRequest>),
    Reading(EngineStream),
    /// The last record was read; the connection can be reused once the body has ended.
    Finishing(EngineStream),
    Ended,
}

/// Events of one attempt.
pub(super) struct AttemptSource {
    events: Boxed<AttemptEvent>,
}

impl AttemptSource {
    /// Creates the source. It sends the request to the first engine of the chain at the first wait
    /// for an event.
    pub(super) fn open(engines: EngineClient, request: Arc<GenerateRequest>) -> Self {
        let state = SourceState::Opening(engines, request);
        Self {
            events: futures_lite::stream::unfold(state, next_event).boxed(),
        }
    }

    /// Creates a source without events.
    pub(super) fn finished() -> Self {
        Self {
            events: futures_lite::stream::empty().boxed(),
        }
    }

    /// Waits for the next event; never returns after the last one.
    pub(super) async fn next(&mut self) -> AttemptEvent {
        match self.events.next().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    /// Reads a finished stream to its end, so that its connection can be reused.
    pub(super) async fn finish(mut self) {
        while self.events.next().await.is_some() {}
    }
}

async fn next_event(state: SourceState) -> Option<(AttemptEvent, SourceState)> {
    match state {
        SourceState::Opening(engines, request) => match engines.generate(&request).await {
            Ok(stream) => Some((AttemptEvent::Opened, SourceState::Reading(stream))),
            Err(cause) => Some((open_failure(cause), SourceState::Ended)),
        },
        SourceState::Reading(mut stream) => match stream.next().await {
            EngineEvent::Lost(cause) => Some((AttemptEvent::Lost(cause), SourceState::Ended)),
            EngineEvent::Record(record @ StreamRecord::Finish { .. }) => {
                Some((AttemptEvent::Record(record), SourceState::Finishing(stream)))
            }
            EngineEvent::Record(record) => {
                Some((AttemptEvent::Record(record), SourceState::Reading(stream)))
            }
        },
        SourceState::Finishing(stream) => {
            stream.read_to_end().await;
            None
        }
        SourceState::Ended => None,
    }
}

fn open_failure(cause: EngineError) -> AttemptEvent {
    match cause {
        EngineError::Refused(status) => AttemptEvent::Refused(status),
        EngineError::Send(SendError::NotSent(_)) => AttemptEvent::NotSent,
        EngineError::Send(cause) => AttemptEvent::Lost(cause.to_string()),
    }
}
