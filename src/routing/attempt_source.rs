//! Events of one attempt: the head's answer, then its records. Waiting can be given up and taken up
//! again without losing an event.

use crate::engine::StreamRecord;
use crate::engine::{EngineClient, EngineError, EngineEvent, EngineStream, GenerateRequest};
use crate::http::SendError;
use crate::routing::AttemptEvent;
use futures_lite::StreamExt;
use futures_lite::stream::Boxed;
use std::sync::Arc;

/// How far the attempt's connection has come.
enum SourceState {
    Opening(EngineClient, Arc<GenerateRequest>),
    Reading(EngineStream),
    /// The last record was read; the connection can be reused after the end of the body.
    Finishing(EngineStream),
    Ended,
}

/// Events of one attempt.
pub(super) struct AttemptSource {
    events: Boxed<AttemptEvent>,
}

impl AttemptSource {
    /// Sends the request to the first engine of its chain when the first event is waited for.
    pub(super) fn open(engines: EngineClient, request: Arc<GenerateRequest>) -> Self {
        let state = SourceState::Opening(engines, request);
        Self {
            events: futures_lite::stream::unfold(state, next_event).boxed(),
        }
    }

    /// A source without any event.
    pub(super) fn finished() -> Self {
        Self {
            events: futures_lite::stream::empty().boxed(),
        }
    }

    /// Waits for the next event; for ever after the last one.
    pub(super) async fn next(&mut self) -> AttemptEvent {
        match self.events.next().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    /// Reads on to the end of a finished stream, so that its connection can be reused.
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
            stream.finish().await;
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
