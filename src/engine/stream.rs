//! The token stream of one attempt.

use crate::engine::StreamRecord;
use crate::http::SseReader;

/// What an engine's stream yields next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A record.
    Record(StreamRecord),
    /// The stream ended without a finish record, or its connection failed.
    Lost(String),
}

/// Token stream of one attempt.
#[derive(Debug)]
pub struct EngineStream {
    reader: SseReader,
}

impl EngineStream {
    pub(super) fn new(reader: SseReader) -> Self {
        Self { reader }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> EngineEvent {
        match self.reader.next().await {
            Ok(Some(data)) => match serde_json::from_str(&data) {
                Ok(record) => EngineEvent::Record(record),
                Err(cause) => EngineEvent::Lost(format!("malformed event: {cause}")),
            },
            Ok(None) => EngineEvent::Lost("stream ended early".to_owned()),
            Err(cause) => EngineEvent::Lost(cause.to_string()),
        }
    }

    /// Reads the rest of a finished stream, so that its connection can be reused.
    pub async fn read_to_end(mut self) {
        if let Ok(None) = self.reader.next().await {
            self.reader.release();
        }
    }
}
