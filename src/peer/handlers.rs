//! Handlers of requests from other daemons.

use crate::peer::PeerTopic;
use futures_lite::future::Boxed;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

type PeerHandler = Arc<dyn Fn(Vec<u8>) -> Boxed<Vec<u8>> + Send + Sync>;

/// Handlers by topic, at most one for each.
#[derive(Clone, Default)]
pub struct PeerHandlers {
    table: HashMap<PeerTopic, PeerHandler>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.table.keys()).finish()
    }
}

impl PeerHandlers {
    /// Sets the handler of a topic, which turns the payload of a request into that of the reply.
    pub fn add<F, R>(&mut self, topic: PeerTopic, handler: F)
    where
        F: Fn(Vec<u8>) -> R + Send + Sync + 'static,
        R: Future<Output = Vec<u8>> + Send + 'static,
    {
        let boxed = move |payload| Box::pin(handler(payload)) as Boxed<Vec<u8>>;
        self.table.insert(topic, Arc::new(boxed));
    }

    /// Handles a request; `None` when the topic has no handler.
    pub async fn handle(&self, topic: PeerTopic, payload: Vec<u8>) -> Option<Vec<u8>> {
        let handler = self.table.get(&topic)?;
        Some(handler(payload).await)
    }
}
