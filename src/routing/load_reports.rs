//! Plug-in that keeps the load of the engines up to date. Each daemon reads the reports of its share
//! of the engines and passes them on to other daemons; it reads others itself only when nobody has
//! told it of them for a while.

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

/// Daemons that a digest is sent to in one period. With fewer daemons all of them hear of each read
/// at once; with more, each also passes on what it has heard.
const FANOUT: usize = 8;
/// Rows in one digest, which bounds the bytes sent in one period.
const MAX_ROWS: usize = 64;
/// Periods after which an engine that nobody has told of is read directly.
const STALE_PERIODS: u32 = 3;
/// Engines read directly in one period beside the own share.
const MAX_EXTRA_READS: usize = 16;
/// Bytes of reading a report beside its JSON: the heads of request and reply.
const HEAD_BYTES: usize = 260;
/// Time allowed for sending a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    PluginEntry { name: "routing.reports", install }
}

/// What the plug-in remembers of the engines between periods.
#[derive(Debug, Default)]
struct ReportHistory {
    /// Own requests on each engine over the last periods.
    histories: HashMap<InstanceId, InFlightHistory>,
    /// Reports as they were last passed on.
    told: HashMap<InstanceId, EngineReport>,
}

type SharedHistory = Arc<Mutex<ReportHistory>>;

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let timing = &host.context.settings.timing;
    let load = TimerSpec::new("load", Duration::from_millis(timing.load_ms));
    let history = SharedHistory::default();
    let receiver = Arc::clone(&history);
    host.add_handler(PeerTopic::Load, move |context, payload| {
        take_digest(&context, &receiver, &payload);
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
    record_own(context, history, &targets);
    let chosen = choose_reads(context, &targets);
    let reads = chosen
        .iter()
        .map(|target| read_report(context, history, target));
    futures_util::future::join_all(reads).await;
    send_digest(context, history, &targets, &chosen).await;
    update_weights(context);
}

fn record_own(context: &KernelContext, history: &SharedHistory, targets: &[Arc<TargetState>]) {
    let now = context.clock.now();
    let mut history = history.lock().expect("report lock is never poisoned");
    let history = &mut *history;
    let is_known = |instance: &InstanceId| context.targets.get(instance).is_some();
    history.histories.retain(|instance, _| is_known(instance));
    history.told.retain(|instance, _| is_known(instance));
    for target in targets {
        let history = history
            .histories
            .entry(target.instance.clone())
            .or_default();
        history.record(now, target.in_flight());
    }
}

/// The own share, and some of the engines whose load is unknown or old.
fn choose_reads(context: &KernelContext, targets: &[Arc<TargetState>]) -> Vec<Arc<TargetState>> {
    let list = context.instances.load();
    let own = &context.settings.instance;
    let others = list.live(InstanceRole::Router).map(|row| &row.instance);
    let daemons: Vec<&InstanceId> = others.filter(|other| *other != own).chain([own]).collect();
    let period = Duration::from_millis(context.settings.timing.load_ms);
    let now = context.clock.now();
    let mut extra = 0;
    let mut is_chosen = |target: &Arc<TargetState>| {
        let reader = choose_report_reader(&target.instance, daemons.iter().copied());
        if reader == Some(own) {
            return true;
        }
        let heard = target.received_at();
        let is_stale = heard.is_none_or(|heard| now.since(heard) > period * STALE_PERIODS);
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
        take_report(context, history, target, report);
    }
}

fn take_report(
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
    let own_then = history.map_or(0, |history| history.at(made));
    target.publish_at(report, own_then, made, Some(now));
    target.health.record_join(now);
}

async fn send_digest(
    context: &Arc<KernelContext>,
    history: &SharedHistory,
    targets: &[Arc<TargetState>],
    chosen: &[Arc<TargetState>],
) {
    let mut peers = other_daemons(context);
    fastrand::shuffle(&mut peers);
    let is_spreading = peers.len() > FANOUT;
    peers.truncate(FANOUT);
    let told = if is_spreading { targets } else { chosen };
    let rows = make_rows(context, history, told);
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

/// Rows of the engines with the newest reports.
fn make_rows(
    context: &KernelContext,
    history: &SharedHistory,
    targets: &[Arc<TargetState>],
) -> Vec<LoadRow> {
    let now = context.clock.now();
    let mut history = history.lock().expect("report lock is never poisoned");
    let mut fresh: Vec<_> = targets
        .iter()
        .filter_map(|target| Some((target.reported_at()?, target, target.report()?)))
        .collect();
    fresh.sort_by_key(|(made, _, _)| std::cmp::Reverse(*made));
    fresh.truncate(MAX_ROWS);
    let row = |(made, target, report): (MonoTime, &Arc<TargetState>, Arc<EngineReport>)| {
        let age_ms = now.since(made).as_millis() as u64;
        let known = history.told.get(&target.instance);
        let row = LoadRow::new(&target.instance, &report, age_ms, known);
        history
            .told
            .insert(target.instance.clone(), EngineReport::clone(&report));
        row
    };
    fresh.into_iter().map(row).collect()
}

fn take_digest(context: &KernelContext, history: &SharedHistory, payload: &[u8]) {
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
            take_report(context, history, target, report);
        }
    }
}

fn other_daemons(context: &KernelContext) -> Vec<SocketAddr> {
    let list = context.instances.load();
    let own = &context.settings.instance;
    let others = list
        .live(InstanceRole::Router)
        .filter(|row| row.instance != *own);
    others.filter_map(|row| row.peer_address).collect()
}

/// Recomputes the flow weights of every model, as engines and their rates may have changed.
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
