//! Watches: streams of the changes of a key.

use crate::http::HttpResponse;
use crate::store::client::{Result, StoreError, StoreRecord};
use crate::store::wire::{EventKind, WatchFrame};

/// A change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written.
    Put(StoreRecord),
    /// The key was deleted, at this revision.
    Delete(u64),
}

/// Stream of the changes of a key; dropping it ends the watch.
#[derive(Debug)]
pub struct StoreWatch {
    reply: HttpResponse,
}

impl StoreWatch {
    pub(super) fn new(reply: HttpResponse) -> Self {
        Self { reply }
    }

    /// Waits for the next frame and returns its changes. The list may be empty, as a frame may be
    /// blank or only confirm the watch.
    ///
    /// # Errors
    /// [`StoreError::NotExecuted`] when the watch has ended or sent a malformed frame. It must then
    /// be opened again.
    pub async fn next(&mut self) -> Result<Vec<StoreEvent>> {
        let ended = |cause: String| StoreError::NotExecuted(format!("store watch ended: {cause}"));
        match self.reply.read_line().await {
            Err(cause) => Err(ended(cause.to_string())),
            Ok(None) => Err(ended("connection closed by the store".to_owned())),
            Ok(Some(line)) if line.trim().is_empty() => Ok(Vec::new()),
            Ok(Some(line)) => {
                let frame: WatchFrame =
                    serde_json::from_str(&line).map_err(|cause| ended(cause.to_string()))?;
                frame.result.events.iter().map(read_event).collect()
            }
        }
    }
}

fn read_event(event: &crate::store::wire::WireEvent) -> Result<StoreEvent> {
    match event.kind {
        EventKind::Put => StoreRecord::from_wire(&event.kv).map(StoreEvent::Put),
        EventKind::Delete => Ok(StoreEvent::Delete(event.kv.mod_revision.0.cast_unsigned())),
    }
}
