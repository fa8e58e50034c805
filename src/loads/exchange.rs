//! Sends and receives reservation digests as datagrams. Each digest is complete, so the next one
//! makes up for a lost one.

use crate::kernel::MonoClock;
use crate::loads::digest::{ReservationDigest, ReservationRow, target_hash};
use crate::loads::fanout::PeerGroups;
use crate::loads::table::LoadTable;
use crate::relay::{
    RelayContext, answer_ask, answer_retry_ask, count_crashes, known_limits, leaving_runs,
    merge_leaving_runs, merge_limits, merge_peer_crashes, unstored_crashes,
};
use async_io::{Async, Timer};
use futures_lite::future::or;
use prost::Message;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Period of sending digests.
const SEND_PERIOD: Duration = Duration::from_millis(200);
/// While this daemon reaches no target, all others are told in one of this many periods.
const LOSS_REMINDER_INTERVAL: u64 = 5;
/// Size of the receive buffer; longer datagrams are cut off.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Exchanges digests with the other daemons until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn exchange_loads(context: Arc<RelayContext>, listen: SocketAddr) -> io::Result<()> {
    let socket = Arc::new(Async::<UdpSocket>::bind(listen)?);
    context.permits.set_socket(Arc::clone(&socket));
    context.loans.set_socket(Arc::clone(&socket));
    let mut table = LoadTable::default();
    let mut peers = peer_groups(&context);
    let mut digest = ReservationDigest {
        sender: fastrand::u64(..),
        ..ReservationDigest::default()
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let clock: MonoClock = context.clock;
    let mut next_send = clock.now().after(SEND_PERIOD);
    loop {
        let wait = next_send.since(clock.now());
        let receive = async {
            let (length, from) = socket.recv_from(&mut buffer).await?;
            let digest = ReservationDigest::decode(&buffer[..length]);
            Ok(Some(digest.map(|digest| (digest, from))))
        };
        let expire = async {
            Timer::after(wait).await;
            Ok(None)
        };
        let received: io::Result<Option<_>> = if wait.is_zero() {
            Ok(None)
        } else {
            or(receive, expire).await
        };
        match received {
            Ok(Some(Ok((digest, from)))) => {
                context.recent_peers.record(from);
                if let Some(reach) = digest.reach {
                    let now = clock.now();
                    context.peer_reach.record(from, digest.sender, reach, now);
                }
                handle_replies(&context, &digest, from);
                answer_questions(&context, &socket, &digest, from).await;
                if digest.sequence > 0 {
                    merge_limits(&context, &digest.limits);
                    merge_leaving_runs(&context, &digest.leaving);
                    merge_peer_crashes(&context, &digest.crashes);
                    table.record(digest, peers.origin(from), clock.now());
                }
            }
            Ok(Some(Err(cause))) => log::debug!("malformed load digest: {cause}"),
            Ok(None) => {
                peers = peer_groups(&context);
                apply_totals(&context, &table, peers.remote_count());
                apply_demand(&context, &table, &peers);
                let report_interval = peers.report_interval(SEND_PERIOD);
                context.flows.set_report_interval(report_interval);
                measure_reserved_shares(&context);
                digest.sequence += 1;
                digest.rows = local_rows(&context);
                count_crashes(&context);
                digest.crashes = unstored_crashes(&context);
                digest.limits = known_limits(&context, digest.sequence);
                digest.leaving = leaving_runs(&context);
                digest.demand = context.capacity.demand_rows(clock.now());
                let statement = context.reach.statement();
                let is_news = digest.reach.replace(statement) != Some(statement);
                send_digest(&socket, &digest, &peers).await;
                let is_due = digest.sequence.is_multiple_of(LOSS_REMINDER_INTERVAL);
                if is_news || (statement.is_lost && is_due) {
                    announce_reach(&socket, &digest, &peers).await;
                }
                next_send = clock.now().after(SEND_PERIOD);
            }
            Err(cause) => {
                // A datagram to a daemon that is gone comes back as an error; the next datagram is
                // unaffected.
                log::debug!("cannot receive a load digest: {cause}");
            }
        }
    }
}

/// Hands the replies to this daemon's own questions on.
fn handle_replies(context: &RelayContext, digest: &ReservationDigest, from: SocketAddr) {
    if let Some(reply) = digest.reply
        && !context.permits.on_reply(reply.number, reply)
    {
        log::debug!("nobody waits for the permits of {from}");
    }
    if let Some(loan) = digest.retry_loan
        && !context.loans.on_reply(loan.number, loan)
    {
        log::debug!("nobody waits for the retries of {from}");
    }
}

/// Replies to questions for permits and for retries.
async fn answer_questions(
    context: &RelayContext,
    socket: &Async<UdpSocket>,
    digest: &ReservationDigest,
    from: SocketAddr,
) {
    let reply = digest.ask.map(|ask| answer_ask(context, &ask));
    let retry_ask = digest.retry_ask.as_ref();
    let retry_loan = retry_ask.and_then(|ask| answer_retry_ask(context, ask, from));
    if reply.is_none() && retry_loan.is_none() {
        return;
    }
    let answer = ReservationDigest {
        reply,
        retry_loan,
        ..ReservationDigest::default()
    };
    if let Err(cause) = socket.send_to(&answer.encode_to_vec(), from).await {
        log::debug!("cannot answer the question of {from}: {cause}");
    }
}

fn local_rows(context: &RelayContext) -> Vec<ReservationRow> {
    let view = context.targets.load();
    let now = context.clock.now();
    let rows = view.targets().map(|target| ReservationRow {
        target: target_hash(&target.id),
        tokens: target.stats.reserved_tokens() as u32,
        requests: target.stats.in_progress(),
        unreachable: target.stats.is_unreachable(),
        failing: target.stats.is_ejected(now) && !target.stats.is_replaced(),
    });
    rows.filter(|row| row.requests > 0 || row.unreachable || row.failing)
        .collect()
}

fn apply_totals(context: &RelayContext, table: &LoadTable, remote_daemons: usize) {
    let totals = table.totals(remote_daemons, context.clock.now());
    for target in context.targets.load().targets() {
        let total = totals
            .get(&target_hash(&target.id))
            .copied()
            .unwrap_or_default();
        target
            .stats
            .set_peer_load(total.tokens, total.requests, total.unreachable_from);
        target.stats.set_peers_failing(total.failing_at);
    }
}

/// Publishes the demand of the other daemons and lets waiting requests look for capacity again.
fn apply_demand(context: &RelayContext, table: &LoadTable, peers: &PeerGroups) {
    let now = context.clock.now();
    let age = peers.report_interval(SEND_PERIOD);
    context.capacity.set_peer_demand(table.demand(now), age);
    context.capacity.notify();
    update_gauges(context);
}

fn update_gauges(context: &RelayContext) {
    let gauges = &context.metrics.load.capacity_waiting;
    for (service, counts) in context.capacity.waiting_counts() {
        for (priority, count) in counts {
            let priority = priority.to_string();
            gauges
                .with_label_values(&[service.as_str(), priority.as_str()])
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

/// Updates the metrics of the reserved shares of the failure domain's chains, if requests may be
/// distributed by them.
fn measure_reserved_shares(context: &RelayContext) {
    let (Some(catalog), true) = (
        context.catalog.load(),
        context.settings.balancing.stale_report_ms.is_some(),
    ) else {
        return;
    };
    let view = context.targets.load();
    let domain = &context.settings.failure_domain;
    let models = catalog
        .services()
        .filter_map(|service| Some((service, service.model.as_ref()?)));
    let shares: Vec<f64> = models
        .flat_map(|(service, model)| {
            let chains = view.chains(&service.name).iter();
            let local = chains.filter(|chain| chain.domain == *domain);
            local.map(move |chain| chain.reserved_share(model))
        })
        .collect();
    let set = |statistic: &str, share: f64| {
        let gauge = context
            .metrics
            .load
            .reserved_shares
            .with_label_values(&[statistic]);
        gauge.set((share * 100.0).round() as i64);
    };
    set("largest", shares.iter().copied().fold(0.0, f64::max));
    set(
        "mean",
        shares.iter().sum::<f64>() / shares.len().max(1) as f64,
    );
}

async fn send_digest(socket: &Async<UdpSocket>, digest: &ReservationDigest, peers: &PeerGroups) {
    let bytes = digest.encode_to_vec();
    for address in peers.recipients(digest.sequence) {
        send_bytes(socket, &bytes, address).await;
    }
}

/// Tells all daemons whether this one has a path to the targets; in larger fleets, a digest goes to some
/// of them only.
async fn announce_reach(socket: &Async<UdpSocket>, digest: &ReservationDigest, peers: &PeerGroups) {
    let announcement = ReservationDigest {
        sender: digest.sender,
        reach: digest.reach,
        ..ReservationDigest::default()
    };
    let bytes = announcement.encode_to_vec();
    for address in peers.all() {
        send_bytes(socket, &bytes, address).await;
    }
}

fn peer_groups(context: &RelayContext) -> PeerGroups {
    let rows = context.presence.rows();
    let settings = &context.settings;
    PeerGroups::new(rows.values(), &settings.instance, &settings.failure_domain)
}

async fn send_bytes(socket: &Async<UdpSocket>, bytes: &[u8], address: SocketAddr) {
    if let Err(cause) = socket.send_to(bytes, address).await {
        log::debug!("cannot send a load digest to {address}: {cause}");
    }
}
