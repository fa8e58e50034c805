//! Borrows retries from other daemons for requests that this daemon's own budget does not allow.

use crate::ids::ServiceId;
use crate::lending::{RetryAsk, RetryLoan};
use crate::loads::ReservationDigest;
use crate::presence::PresenceRow;
use crate::relay::context::RelayContext;
use crate::relay::exchange::ActiveRequest;
use crate::relay::retry::RetryState;
use prost::Message;
use std::net::SocketAddr;

/// Most daemons that are asked for one retry, one after the other.
const MAX_LENDERS: usize = 5;
/// Most retries lent at a time.
const MAX_LOAN: u32 = 8;

/// Borrows a retry if the next attempt of a request needs one and the own budget has none left.
pub(super) async fn secure_retry(request: &ActiveRequest<'_>, state: &RetryState) {
    let context = request.context;
    let service = &request.service.name;
    let daemons = context.presence.peak_count();
    let now = context.clock.now();
    if state.is_retry() && !context.budget.may_spend(service, daemons, now) {
        borrow_retry(context, service).await;
    }
}

/// State of the attempt that another one is to be started beside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StalledAttempt {
    /// It may still succeed: a part of the budget is kept for requests whose attempts have failed.
    Slow,
    /// It is unlikely to continue, so its request counts as one of those.
    Broken,
}

/// Makes sure that an attempt may be started beside a running one, by a borrowed retry if need be; false
/// when it may not.
pub(super) async fn secure_retry_beside(
    context: &RelayContext,
    service: &ServiceId,
    running: StalledAttempt,
) -> bool {
    let daemons = context.presence.peak_count();
    let may_retry = || {
        let now = context.clock.now();
        match running {
            StalledAttempt::Slow => context.budget.may_spend_beside(service, daemons, now),
            StalledAttempt::Broken => context.budget.may_spend(service, daemons, now),
        }
    };
    if may_retry() {
        return true;
    }
    borrow_retry(context, service).await;
    may_retry()
}

/// Asks other daemons in turn until one lends a retry. Ends at the first that does not reply: the stream
/// that needs the retry is not read meanwhile.
async fn borrow_retry(context: &RelayContext, service: &ServiceId) {
    if !context.budget.may_ask(service, context.clock.now()) {
        return;
    }
    for lender in choose_lenders(context) {
        match ask_lender(context, service, lender).await {
            LenderReply::Lent => {
                count_event(context, "borrowed");
                return context.budget.add_loan(service, 1, context.clock.now());
            }
            LenderReply::Nothing => {}
            LenderReply::Silent => {
                count_event(context, "no_reply");
                break;
            }
        }
    }
    count_event(context, "none_lent");
    context.budget.pause_asking(service, context.clock.now());
}

/// What a daemon says when it is asked for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LenderReply {
    /// It lends one.
    Lent,
    /// It needs its own.
    Nothing,
    /// There was no reply in time.
    Silent,
}

async fn ask_lender(
    context: &RelayContext,
    service: &ServiceId,
    lender: SocketAddr,
) -> LenderReply {
    let number = fastrand::u64(..);
    let digest = ReservationDigest {
        retry_ask: Some(RetryAsk {
            number,
            service: service.to_string(),
            wanted: 1,
        }),
        ..ReservationDigest::default()
    };
    let datagram = digest.encode_to_vec();
    match context.loans.ask(lender, number, &datagram).await {
        Some(loan) if loan.count > 0 => LenderReply::Lent,
        Some(_) => LenderReply::Nothing,
        None => LenderReply::Silent,
    }
}

/// Addresses of daemons to ask, in random order, those of other failure domains first: faults mostly
/// concentrate on one domain, whose daemons need their own retries.
fn choose_lenders(context: &RelayContext) -> Vec<SocketAddr> {
    let mut peers = context.sound_peers();
    fastrand::shuffle(&mut peers);
    let is_local = |row: &PresenceRow| row.domain == context.settings.failure_domain;
    peers.sort_by_key(is_local);
    let addresses = peers.iter().map(|row| row.peers);
    addresses.take(MAX_LENDERS).collect()
}

/// Replies to another daemon that asks for retries; only to a listed one.
pub(crate) fn answer_retry_ask(
    context: &RelayContext,
    ask: &RetryAsk,
    from: SocketAddr,
) -> Option<RetryLoan> {
    let rows = context.presence.rows();
    if !rows.values().any(|row| row.peers == from) {
        return None;
    }
    let service: ServiceId = ask.service.parse().ok()?;
    let wanted = ask.wanted.min(MAX_LOAN);
    let daemons = context.presence.peak_count();
    let now = context.clock.now();
    let count = context.budget.lend(&service, wanted, daemons, now);
    if count > 0 {
        count_event(context, "lent");
    }
    Some(RetryLoan {
        number: ask.number,
        count,
    })
}

fn count_event(context: &RelayContext, event: &str) {
    context.metrics.loans.with_label_values(&[event]).inc();
}
