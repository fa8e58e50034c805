//! Answer to a request as a bounded stream of events. Dropping the stream cancels the generation.

use crate::http::ExecutionOutcome;
use crate::kernel::KernelContext;
use crate::routing::{AttemptFailure, FinalAnswer, GenerationRequest, run_generation};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::Arc;

/// Event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next token.
    Token(Arc<str>),
    /// The final outcome; nothing follows.
    End(FinalAnswer),
}

/// Events of one answer. The buffer is bounded, so a slow caller puts back-pressure on its own
/// generation only.
#[derive(Debug)]
pub struct AnswerStream {
    events: Receiver<AnswerEvent>,
    /// Closed when this stream is dropped, which ends the generation.
    _alive: Sender<()>,
}

impl AnswerStream {
    /// Waits for the next event. When the generation has ended without a final outcome, the answer
    /// is [`FinalAnswer::Exhausted`] with an unknown outcome.
    pub async fn next(&mut self) -> AnswerEvent {
        let missing = FinalAnswer::Exhausted {
            outcome: ExecutionOutcome::Unknown,
            failure: AttemptFailure::Stalled,
        };
        self.events
            .recv()
            .await
            .unwrap_or(AnswerEvent::End(missing))
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
        let _progress = context.lifecycle.start_request();
        let run = async {
            let answer = run_generation(&context, &generation, &sender).await;
            if sender.send(AnswerEvent::End(answer)).await.is_err() {
                // The stream has been dropped, so nobody reads the outcome.
            }
        };
        let cancelled = async {
            // Nothing is ever sent, so `recv` returns only once the stream has been dropped.
            if dropped.recv().await.is_err() {}
        };
        futures_lite::future::or(run, cancelled).await;
    });
    AnswerStream {
        events,
        _alive: alive,
    }
}
