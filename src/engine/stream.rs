//! The token stream of one attempt.

use crate::engine::StreamRecord;
use crate::http::SseReader;

/// Next item of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token, the end of the answer, or the failure of a stage.
    Record(StreamRecord),
    /// The connection failed, the stream ended without a finish record, or an event is malformed.
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
                Err(cause) => EngineEvent::Lost(format!("malformed stream event: {cause}")),
            },
            Ok(None) => EngineEvent::Lost("token stream ended without a finish record".to_owned()),
            Err(cause) => EngineEvent::Lost(cause.to_string()),
        }
    }

    /// Reads the end of the stream after its finish record, so that the connection can be reused.
    pub async fn read_to_end(mut self) {
        if let Ok(None) = self.reader.next().await {
            self.reader.release();
        }
    }
}
