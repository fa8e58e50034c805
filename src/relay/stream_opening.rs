//! Attempts of a stream that were sent and have not brought anything for the caller yet.

use crate::relay::attempt::{FailedAttempt, PendingResponse, open_response};
use crate::relay::event_progress::{DeliveryProgress, resume_fault};
use crate::relay::exchange::ActiveRequest;
use crate::relay::forwarding::{EventForwarder, ForwardStep, StreamForwarder};
use crate::relay::retry::{RelayFailure, RetryState};
use crate::relay::stall::StallDetector;
use crate::relay::stream_chain::reserve;
use crate::relay::suspicion::AttemptSuspicion;
use crate::targets::LayerChain;
use crate::wire::pause_after_read;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Shortest time for the first event of a stream until another chain is tried as well.
const MIN_FIRST_EVENT_TIME: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_FIRST_EVENT_TIME: Duration = Duration::from_secs(1);

/// Result of waiting for the first event of an attempt.
pub(super) type OpeningResult<'a> = std::result::Result<Box<OpenedStream<'a>>, FailedAttempt>;

/// An attempt that has brought an event for the caller, or the end of its response.
pub(super) struct OpenedStream<'a> {
    /// The attempt.
    pub forwarder: StreamForwarder<'a>,
    /// What the caller has received once [`Self::output`] is sent.
    pub delivered: DeliveryProgress,
    /// Bytes for the caller.
    pub output: Vec<u8>,
    /// What to do then.
    pub step: ForwardStep,
}

/// An attempt that was sent and has not brought anything for the caller yet.
pub(super) struct OpeningAttempt<'a> {
    /// Chain that it was sent to.
    pub chain: Arc<LayerChain>,
    /// Tells how long it may take.
    pub detector: StallDetector,
    future: Pin<Box<dyn Future<Output = OpeningResult<'a>> + Send + 'a>>,
}

impl<'a> OpeningAttempt<'a> {
    /// Sends the request to a chain. `state` is that before this attempt.
    pub(super) fn start(
        request: &'a ActiveRequest<'a>,
        state: &RetryState,
        chain: &Arc<LayerChain>,
        delivered: &DeliveryProgress,
    ) -> Self {
        let time_left = state.time_left(request.context.clock.now());
        let limit = first_event_time(request, state, chain).min(time_left);
        let detector = StallDetector::new(request.context.clock.now(), limit);
        let opening = open_stream(
            request,
            Arc::clone(chain),
            time_left,
            detector,
            delivered.clone(),
        );
        Self {
            chain: Arc::clone(chain),
            detector,
            future: Box::pin(opening),
        }
    }
}

/// Waits until one of the attempts has something for the caller or has failed, and removes it.
pub(super) async fn next_opened<'a>(
    openings: &mut Vec<OpeningAttempt<'a>>,
) -> (Arc<LayerChain>, OpeningResult<'a>) {
    std::future::poll_fn(|task| poll_openings(openings, task)).await
}

fn poll_openings<'a>(
    openings: &mut Vec<OpeningAttempt<'a>>,
    task: &mut Context<'_>,
) -> Poll<(Arc<LayerChain>, OpeningResult<'a>)> {
    for index in 0..openings.len() {
        if let Poll::Ready(result) = openings[index].future.as_mut().poll(task) {
            let opening = openings.remove(index);
            return Poll::Ready((opening.chain, result));
        }
    }
    Poll::Pending
}

/// Time for the first event until another chain is tried as well. It grows with each attempt: when all
/// chains are slow, trying others gains nothing.
fn first_event_time(
    request: &ActiveRequest<'_>,
    state: &RetryState,
    chain: &LayerChain,
) -> Duration {
    let stats = &chain.head().stats;
    let expected = stats.first_event_timeout(MIN_FIRST_EVENT_TIME, MAX_FIRST_EVENT_TIME);
    if request.route.retry_rule.allows_reexecution() {
        expected.saturating_mul(1 + state.tried().len() as u32)
    } else {
        Duration::MAX
    }
}

/// Sends the request to a chain and reads the response up to its first event that is new to the caller.
async fn open_stream<'a>(
    request: &'a ActiveRequest<'a>,
    chain: Arc<LayerChain>,
    time_left: Duration,
    detector: StallDetector,
    mut delivered: DeliveryProgress,
) -> OpeningResult<'a> {
    let reserved = reserve(&chain, request.metadata.expected_tokens());
    let first_target = chain.head();
    let dispatch = request.dispatch(time_left, first_target, Some(&chain), delivered.last_id);
    let may_reexecute = request.route.retry_rule.allows_reexecution();
    let targets = chain.parts.iter().map(|part| Arc::clone(&part.target));
    let mut suspicion = AttemptSuspicion::start(request, targets.collect());
    let opened = open_response(
        request.context,
        &request.outgoing(),
        &dispatch,
        first_target,
        may_reexecute,
        time_left,
    )
    .await;
    let response = opened.inspect_err(|failed| suspicion.on_failure(failed))?;
    if let Some(failed) = failed_status(request, &response, &delivered) {
        suspicion.dismiss();
        return Err(failed);
    }
    let source = chain.head().id.clone();
    let mut forwarder = StreamForwarder {
        chain,
        _reserved: reserved,
        detector,
        suspicion,
        forwarder: EventForwarder::new(request, source, response, delivered.head_sent),
    };
    let mut output = Vec::new();
    let mut step = forwarder.take_input(&mut delivered, &mut output);
    while matches!(step, ForwardStep::ReadMore) && forwarder.events() == 0 {
        let outcome = forwarder.read().await;
        let count = outcome.count();
        step = forwarder.on_read(outcome, &mut delivered, &mut output);
        pause_after_read(count).await;
    }
    match step {
        ForwardStep::Fail(failed) if forwarder.events() == 0 => {
            forwarder.suspicion.on_failure(&failed);
            Err(failed)
        }
        step => Ok(Box::new(OpenedStream {
            forwarder,
            delivered,
            output,
            step,
        })),
    }
}

/// The failure of an attempt whose response is not to be forwarded because of its status.
fn failed_status(
    request: &ActiveRequest<'_>,
    response: &PendingResponse,
    delivered: &DeliveryProgress,
) -> Option<FailedAttempt> {
    let status = response.head.status();
    let may_reexecute = request.route.retry_rule.allows_reexecution();
    if status >= 500 && may_reexecute && !delivered.head_sent {
        return Some(FailedAttempt {
            metadata: Box::new(response.metadata.clone()),
            ..FailedAttempt::new(RelayFailure::Failed, format_args!("status {status}"))
        });
    }
    let fault = delivered.head_sent.then(|| resume_fault(&response.head));
    let fault = fault.flatten()?;
    Some(FailedAttempt::new(RelayFailure::OutcomeUnknown, fault))
}
