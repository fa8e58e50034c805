//! Plug-in that keeps the load of the engines up to date. Each daemon reads the reports of its
//! share of the engines and sends them to its peers in load digests. It reads the report of
//! another engine itself only when it has received none for some periods.

use crate::engine::EngineReport;
use crate::ids::InstanceId;
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::peer::PeerTopic;
use crate::routing::{
    InFlightHistory, LoadDigest, LoadRow, TargetState, choose_report_reader, compute_flow_weights,
    hash_engine_name,
};
use crate::units::MonoTime;
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Most peers that a digest is sent to in one period. With up to this number of peers, each report
/// reaches all of them at once; with more, each daemon also forwards the reports that it has
/// received.
const MAX_DIGEST_PEERS: usize = 8;
/// Most rows in one digest, which bounds the bytes sent in one period.
const MAX_ROWS: usize = 64;
/// Periods without a report after which an engine is read directly.
const STALE_PERIODS: u32 = 3;
/// Most engines outside the local share that are read directly in one period.
const MAX_EXTRA_READS: usize = 16;
/// Bytes of the request and reply heads when a report is read, counted on top of its JSON.
const HEAD_BYTES: usize = 260;
/// Timeout for sending a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    PluginEntry { name: "routing.reports", install }
}

/// State of the plug-in between periods.
#[derive(Debug, Default)]
struct ReportHistory {
    /// This daemon's requests in flight on each engine over the last periods.
    histories: HashMap<InstanceId, InFlightHistory>,
    /// Last report of each engine that was sent to peers.
    sent_reports: HashMap<InstanceId, EngineReport>,
}

type SharedHistory = Arc<Mutex<ReportHistory>>;

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let timing = &host.context.settings.timing;
    let load = TimerSpec::new("load", Duration::from_millis(timing.load_ms));
    let history = SharedHistory::default();
    let receiver = Arc::clone(&history);
    host.add_handler(PeerTopic::Load, move |context, payload| {
        apply_digest(&context, &receiver, &payload);
        async { Vec::new() }
    });
    host.add_timer(load, move |context, _now| {
        let history = Arc::clone(&history);
        async move { run_period(&context, &history).await }
    });
    Ok(())
}

async fn run_period(context: &Arc<KernelContext>, history: &SharedHistory) {
    let targets = context.targets.all();
    record_in_flight(context, history, &targets);
    let chosen = choose_engines(context, &targets);
    let reads = chosen
        .iter()
        .map(|target| read_report(context, history, target));
    futures_util::future::join_all(reads).await;
    send_digest(context, history, &targets, &chosen).await;
    update_weights(context);
}

fn record_in_flight(
    context: &KernelContext,
    history: &SharedHistory,
    targets: &[Arc<TargetState>],
) {
    let now = context.clock.now();
    let mut history = history.lock().expect("report lock is never poisoned");
    let history = &mut *history;
    let is_known = |instance: &InstanceId| context.targets.get(instance).is_some();
    history.histories.retain(|instance, _| is_known(instance));
    history
        .sent_reports
        .retain(|instance, _| is_known(instance));
    for target in targets {
        let history = history
            .histories
            .entry(target.instance.clone())
            .or_default();
        history.record(now, target.in_flight());
    }
}

/// Chooses the engines to read: the local share, and some others whose load is unknown or stale.
fn choose_engines(context: &KernelContext, targets: &[Arc<TargetState>]) -> Vec<Arc<TargetState>> {
    let list = context.instances.load();
    let local = &context.settings.instance;
    let others = list.live(InstanceRole::Router).map(|row| &row.instance);
    let daemons: Vec<&InstanceId> = others
        .filter(|other| *other != local)
        .chain([local])
        .collect();
    let period = Duration::from_millis(context.settings.timing.load_ms);
    let now = context.clock.now();
    let mut extra = 0;
    let mut is_chosen = |target: &Arc<TargetState>| {
        let reader = choose_report_reader(&target.instance, daemons.iter().copied());
        if reader == Some(local) {
            return true;
        }
        let received = target.received_at();
        let is_stale = received.is_none_or(|received| now.since(received) > period * STALE_PERIODS);
        extra += usize::from(is_stale);
        is_stale && extra <= MAX_EXTRA_READS
    };
    let chosen = targets.iter().filter(|target| is_chosen(target));
    chosen.cloned().collect()
}

async fn read_report(context: &KernelContext, history: &SharedHistory, target: &Arc<TargetState>) {
    if let Ok(report) = context.engines.report(target.address).await {
        let json = serde_json::to_vec(&report).map_or(0, |json| json.len());
        let bytes = json + HEAD_BYTES;
        context
            .routing
            .with_metrics(|metrics| metrics.count_load("read", bytes));
        apply_report(context, history, target, report);
    }
}

fn apply_report(
    context: &KernelContext,
    history: &SharedHistory,
    target: &Arc<TargetState>,
    report: EngineReport,
) {
    let now = context.clock.now();
    let age = Duration::from_millis(report.age_ms).as_micros() as u64;
    let made = MonoTime(now.0.saturating_sub(age));
    if target.reported_at().is_some_and(|known| known > made) {
        return;
    }
    let history = history.lock().expect("report lock is never poisoned");
    let history = history.histories.get(&target.instance);
    let local_sessions = history.map_or(0, |history| history.at(made));
    target.publish_at(report, local_sessions, made, Some(now));
    target.health.record_join(now);
}

async fn send_digest(
    context: &Arc<KernelContext>,
    history: &SharedHistory,
    targets: &[Arc<TargetState>],
    chosen: &[Arc<TargetState>],
) {
    let mut peers = peer_addresses(context);
    fastrand::shuffle(&mut peers);
    let is_forwarding = peers.len() > MAX_DIGEST_PEERS;
    peers.truncate(MAX_DIGEST_PEERS);
    let selected = if is_forwarding { targets } else { chosen };
    let rows = make_rows(context, history, selected);
    if rows.is_empty() || peers.is_empty() {
        return;
    }
    let payload = LoadDigest { rows }.encode_to_vec();
    let sends = peers.into_iter().map(|address| {
        let payload = payload.clone();
        let bytes = payload.len();
        async move {
            let topic = PeerTopic::Load;
            let sent = context
                .peers
                .call(address, topic, payload, DIGEST_TIMEOUT)
                .await;
            if sent.is_ok() {
                context
                    .routing
                    .with_metrics(|metrics| metrics.count_load("digest", bytes));
            }
        }
    });
    futures_util::future::join_all(sends).await;
}

/// Rows of the engines with the newest reports, at most [`MAX_ROWS`].
fn make_rows(
    context: &KernelContext,
    history: &SharedHistory,
    targets: &[Arc<TargetState>],
) -> Vec<LoadRow> {
    let now = context.clock.now();
    let mut history = history.lock().expect("report lock is never poisoned");
    let mut newest: Vec<_> = targets
        .iter()
        .filter_map(|target| Some((target.reported_at()?, target, target.report()?)))
        .collect();
    newest.sort_by_key(|(made, _, _)| std::cmp::Reverse(*made));
    newest.truncate(MAX_ROWS);
    let row = |(made, target, report): (MonoTime, &Arc<TargetState>, Arc<EngineReport>)| {
        let age_ms = now.since(made).as_millis() as u64;
        let known = history.sent_reports.get(&target.instance);
        let row = LoadRow::new(&target.instance, &report, age_ms, known);
        history
            .sent_reports
            .insert(target.instance.clone(), EngineReport::clone(&report));
        row
    };
    newest.into_iter().map(row).collect()
}

fn apply_digest(context: &KernelContext, history: &SharedHistory, payload: &[u8]) {
    let Ok(digest) = LoadDigest::decode(payload) else {
        return;
    };
    let targets = context.targets.all();
    let by_key: HashMap<u64, &Arc<TargetState>> = targets
        .iter()
        .map(|target| (hash_engine_name(&target.instance), target))
        .collect();
    for row in &digest.rows {
        let Some(target) = by_key.get(&row.engine_hash) else {
            continue;
        };
        if let Some(report) = row.to_report(target.report().as_deref()) {
            apply_report(context, history, target, report);
        }
    }
}

fn peer_addresses(context: &KernelContext) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let local = &context.settings.instance;
    let others = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *local);
    others.filter_map(|row| row.peer_address).collect()
}

/// Recomputes the flow weights of every model, since engines and their rates may have changed.
fn update_weights(context: &KernelContext) {
    let Some(config) = context.config.load() else {
        return;
    };
    let now = context.clock.now();
    for entry in config.models() {
        let graph = context.routing.graphs.graph(entry, &context.targets);
        graph.publish_weights(compute_flow_weights(&graph, now));
    }
}
