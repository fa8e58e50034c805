//! Plain requests that other daemons serve.

use crate::ids::InstanceId;
use crate::relay::attempt::{FailedAttempt, keep_connection};
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::plain::{BufferedResponse, forward_response, read_whole};
use crate::relay::retry::{RelayFailure, RetryState};
use crate::relay::via_peer::exchange::{
    RelayPeer, choose_peer, log_passed_on, log_peer_failure, may_try, open_peer_response,
};
use crate::wire::BodyEnd;

/// Has the request served by another daemon. `None` when none has served it; `state` then tells whether
/// a target may have executed it.
pub(in crate::relay) async fn relay_plain_via_peer(
    request: &ActiveRequest<'_>,
    state: &mut RetryState,
) -> Option<ExchangeEnd> {
    let mut tried: Vec<InstanceId> = Vec::new();
    while may_try(request, state, tried.len()) {
        let peer = choose_peer(request, &tried)?;
        tried.push(peer.instance.clone());
        log_passed_on(request, &peer);
        match attempt_plain(request, &peer, state).await {
            Ok(response) => return Some(forward_response(request, &response, 0).await),
            Err(failed) => {
                log_peer_failure(request, &peer, &failed);
                note_failure(request, state, &peer, &failed);
            }
        }
    }
    None
}

async fn attempt_plain(
    request: &ActiveRequest<'_>,
    peer: &RelayPeer,
    state: &RetryState,
) -> Result<BufferedResponse, FailedAttempt> {
    let mut response = open_peer_response(request, peer, state, None).await?;
    let time_left = state.time_left(request.context.clock.now());
    let (body, end) = read_whole(&mut response, time_left).await?;
    let head = response.head.clone();
    if end == BodyEnd::Framed {
        keep_connection(&request.context.peer_pool, &peer.instance, response);
    }
    Ok(BufferedResponse { head, body, end })
}

/// Counts an attempt of which a target may have executed the request. One that reached no target
/// counts no further.
pub(super) fn note_failure(
    request: &ActiveRequest<'_>,
    state: &mut RetryState,
    peer: &RelayPeer,
    failed: &FailedAttempt,
) {
    request.context.peer_pool.remove(&peer.instance);
    if matches!(
        failed.failure,
        RelayFailure::OutcomeUnknown | RelayFailure::Failed
    ) {
        let now = request.context.clock.now();
        state.on_failure(&peer.instance, failed.failure, now);
    }
}
