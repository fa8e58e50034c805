//! Streams that other daemons serve, from their beginning or from the event after which they resume.

use crate::relay::attempt::{FailedAttempt, keep_connection};
use crate::relay::event_progress::{DeliveryProgress, resume_fault};
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::forwarding::{EventForwarder, ForwardStep};
use crate::relay::retry::{RelayFailure, RetryState};
use crate::relay::via_peer::exchange::{PeerTries, RelayPeer, open_peer_response, record_failure};
use crate::wire::pause_after_read;
use async_std::future::timeout;

/// How the attempt at one daemon ended.
enum PeerStreamEnd {
    /// The caller has its whole response, or has left.
    Over(ExchangeEnd),
    /// The daemon did not serve the rest.
    Failed(FailedAttempt),
}

/// Has the stream served by another daemon, after the events that were delivered. `None` when none has
/// served it to its end.
pub(in crate::relay) async fn relay_stream_via_peer(
    request: &ActiveRequest<'_>,
    state: &mut RetryState,
    delivered: &mut DeliveryProgress,
) -> Option<ExchangeEnd> {
    let mut tries = PeerTries::default();
    while let Some(peer) = tries.next(request, state) {
        match attempt_stream(request, &peer, state, delivered).await {
            PeerStreamEnd::Over(end) => return Some(end),
            PeerStreamEnd::Failed(failed) => record_failure(request, state, &peer, &failed),
        }
    }
    None
}

async fn attempt_stream(
    request: &ActiveRequest<'_>,
    peer: &RelayPeer,
    state: &RetryState,
    delivered: &mut DeliveryProgress,
) -> PeerStreamEnd {
    let opened = open_peer_response(request, peer, state, delivered.last_id).await;
    let response = match opened {
        Ok(response) => response,
        Err(failed) => return PeerStreamEnd::Failed(failed),
    };
    let resumes = delivered.head_sent;
    if resumes && let Some(fault) = resume_fault(&response.head) {
        return PeerStreamEnd::Failed(FailedAttempt::new(RelayFailure::OutcomeUnknown, fault));
    }
    let source = peer.instance.clone();
    let mut forwarder = EventForwarder::new(request, source, response, resumes);
    let mut output = Vec::new();
    let mut step = forwarder.take_input(delivered, &mut output);
    loop {
        match step {
            ForwardStep::ReadMore => {}
            ForwardStep::Finish(_) => {
                return finish(request, peer, forwarder, delivered, output).await;
            }
            ForwardStep::Fail(failed) => {
                // The stream goes on after these events.
                if !output.is_empty() && !request.send(&output).await {
                    return PeerStreamEnd::Over(ExchangeEnd::Truncated);
                }
                return PeerStreamEnd::Failed(failed);
            }
        }
        if !output.is_empty() && !request.send(&output).await {
            return PeerStreamEnd::Over(ExchangeEnd::Truncated);
        }
        output.clear();
        let time_left = state.time_left(request.context.clock.now());
        let Ok(outcome) = timeout(time_left, forwarder.read()).await else {
            return PeerStreamEnd::Failed(FailedAttempt::timed_out("deadline has passed"));
        };
        let count = outcome.count();
        step = forwarder.on_read(outcome, delivered, &mut output);
        pause_after_read(count).await;
    }
}

async fn finish(
    request: &ActiveRequest<'_>,
    peer: &RelayPeer,
    forwarder: EventForwarder<'_>,
    delivered: &mut DeliveryProgress,
    output: Vec<u8>,
) -> PeerStreamEnd {
    let finished = forwarder.finish(delivered, output).await;
    let status = finished.response.head.status();
    keep_connection(
        &request.context.peer_pool,
        &peer.instance,
        finished.response,
    );
    if !finished.is_sent {
        return PeerStreamEnd::Over(ExchangeEnd::Truncated);
    }
    request.log_success(status, 0);
    PeerStreamEnd::Over(ExchangeEnd::Relayed(status))
}
