//! Plain requests that other daemons serve.

use crate::relay::attempt::{FailedAttempt, keep_connection};
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::plain::{BufferedResponse, forward_response, read_whole};
use crate::relay::retry::RetryState;
use crate::relay::via_peer::exchange::{PeerTries, RelayPeer, open_peer_response, record_failure};
use crate::wire::BodyEnd;

/// Has the request served by another daemon. `None` when none has served it; `state` then tells whether
/// a target may have executed it.
pub(in crate::relay) async fn relay_plain_via_peer(
    request: &ActiveRequest<'_>,
    state: &mut RetryState,
) -> Option<ExchangeEnd> {
    let mut tries = PeerTries::default();
    while let Some(peer) = tries.next(request, state) {
        match attempt_plain(request, &peer, state).await {
            Ok(response) => return Some(forward_response(request, &response, 0).await),
            Err(failed) => record_failure(request, state, &peer, &failed),
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
    let budget = &request.context.response_budget;
    let buffered = read_whole(budget, &mut response, time_left).await?;
    if buffered.end == BodyEnd::Framed {
        keep_connection(&request.context.peer_pool, &peer.instance, response);
    }
    Ok(buffered)
}
