//! The answer to a request as a bounded stream of events. Dropping it cancels the generation.

use crate::http::RunOutcome;
use crate::kernel::KernelContext;
use crate::routing::{AttemptFailure, FinalAnswer, GenerationRequest, run_generation};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::Arc;

/// What an answer yields next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next token.
    Token(Arc<str>),
    /// The final outcome; nothing follows.
    End(FinalAnswer),
}

/// Events of one answer. A caller that reads slowly slows its own generation, since only a bounded
/// number of events is buffered.
#[derive(Debug)]
pub struct AnswerStream {
    events: Receiver<AnswerEvent>,
    /// Closed when this stream is dropped, which ends the generation.
    _alive: Sender<()>,
}

impl AnswerStream {
    /// Waits for the next event.
    pub async fn next(&mut self) -> AnswerEvent {
        let lost = FinalAnswer::Exhausted {
            outcome: RunOutcome::Unknown,
            failure: AttemptFailure::Stalled,
        };
        self.events.recv().await.unwrap_or(AnswerEvent::End(lost))
    }
}

/// Starts a generation that buffers up to `capacity` events.
pub fn start_generation(
    context: Arc<KernelContext>,
    generation: GenerationRequest,
    capacity: usize,
) -> AnswerStream {
    let (sender, events) = bounded(capacity);
    let (alive, dropped) = bounded::<()>(1);
    task::spawn(async move {
        let _progress = context.lifecycle.enter();
        let run = async {
            let answer = run_generation(&context, &generation, &sender).await;
            if sender.send(AnswerEvent::End(answer)).await.is_err() {
                // Nobody waits for the outcome.
            }
        };
        let cancelled = async {
            // Yields an error once the stream has been dropped; nothing is ever sent.
            if dropped.recv().await.is_err() {}
        };
        futures_lite::future::or(run, cancelled).await;
    });
    AnswerStream {
        events,
        _alive: alive,
    }
}
