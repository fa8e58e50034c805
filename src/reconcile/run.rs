//! Plug-in that runs the reconciler: compares the engines' reports with the placement and sends
//! orders for the differences.

use crate::config::{
    BackoffLimits, ChangeEntry, CommitOutcome, ConfigBundle, ConfigDocument, PlanOutcome,
    RetryBackoff, StagePlacement, advance_rollout, commit_document, diff_documents,
};
use crate::engine::{EngineError, EngineOrder, OrderReply};
use crate::ids::{FenceNumber, InstanceId, PlanId};
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::reconcile::observe::{MissingEngines, observe_engines};
use crate::reconcile::{DrainTable, LeaderElection, ObservedEngine, PlannedOrder, plan_orders};
use crate::units::MonoTime;
use async_std::future::timeout;
use futures_util::future::join_all;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Period of the reconciliation rounds.
const RECONCILE_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of an order; shorter than the margin at the end of the leader's lease.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Back-off after an engine has refused an order or not replied to it.
const ORDER_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_millis(500),
    max: Duration::from_secs(8),
};
/// Author of the reconciler's placement changes in the change history of the configuration.
const CHANGE_AUTHOR: &str = "reconciler";

inventory::submit! {
    PluginEntry { name: "reconcile", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    let reconciler = Reconciler::new(&host.context)?;
    let reconciler = Arc::new(async_std::sync::Mutex::new(reconciler));
    let spec = TimerSpec::new("reconcile", RECONCILE_PERIOD);
    host.add_timer(spec, move |context, _now| {
        let reconciler = Arc::clone(&reconciler);
        async move { reconciler.lock().await.run_round(&context).await }
    });
    Ok(())
}

/// Metrics of the reconciler.
#[derive(Debug)]
struct ReconcileMetrics {
    leader: IntGauge,
    orders: IntCounterVec,
    engines: IntGaugeVec,
    placements: IntCounter,
    store_calls: IntGauge,
}

impl ReconcileMetrics {
    fn new(context: &KernelContext) -> prometheus::Result<Self> {
        let set = &context.metrics;
        let leader = set.gauge(
            "reconcile_leader",
            "1 while this daemon is the leader of the reconciler, else 0",
            &[],
        )?;
        let placements = set.counter(
            "reconcile_placement_changes_total",
            "Placement changes by the reconciler, without a change of the declaration",
            &[],
        )?;
        let calls = set.gauge(
            "store_calls",
            "Calls made to the store since the start of the daemon",
            &[],
        )?;
        Ok(Self {
            leader: leader.with_label_values::<&str>(&[]),
            orders: set.counter(
                "reconcile_orders_total",
                "Orders to engines by outcome",
                &["outcome"],
            )?,
            engines: set.gauge(
                "reconcile_engines",
                "Engines that are loading, queued to load or draining",
                &["state"],
            )?,
            placements: placements.with_label_values::<&str>(&[]),
            store_calls: calls.with_label_values::<&str>(&[]),
        })
    }
}

/// Back-off of an engine that did not accept an order.
#[derive(Debug)]
struct OrderDelay {
    backoff: RetryBackoff,
    until: MonoTime,
}

/// Engine and outcome of an order.
type OrderResult = (InstanceId, Result<OrderReply, EngineError>);

/// State of the reconciler on this daemon.
#[derive(Debug)]
struct Reconciler {
    leader: LeaderElection,
    drains: DrainTable,
    missing: MissingEngines,
    delays: HashMap<InstanceId, OrderDelay>,
    round: usize,
    rng: fastrand::Rng,
    metrics: ReconcileMetrics,
}

impl Reconciler {
    fn new(context: &KernelContext) -> prometheus::Result<Self> {
        Ok(Self {
            leader: LeaderElection::default(),
            drains: DrainTable::default(),
            missing: MissingEngines::default(),
            delays: HashMap::new(),
            round: 0,
            rng: fastrand::Rng::new(),
            metrics: ReconcileMetrics::new(context)?,
        })
    }

    /// Runs one round: the election, then the placement, or the orders when it does not change.
    async fn run_round(&mut self, context: &Arc<KernelContext>) {
        self.leader.renew_or_campaign(context).await;
        self.metrics
            .store_calls
            .set(context.store.call_count().cast_signed());
        let is_leader = self.leader.fence(context.clock.now()).is_some();
        self.metrics.leader.set(i64::from(is_leader));
        if !is_leader {
            self.drains = DrainTable::default();
            self.missing = MissingEngines::default();
            return;
        }
        let Some(bundle) = context.config.bundle() else {
            return;
        };
        let Ok(document) = bundle.assemble() else {
            return;
        };
        self.round = self.round.wrapping_add(1);
        let engines = observe_engines(context, &document, self.round).await;
        if !self
            .update_placement(context, &bundle, &document, &engines)
            .await
        {
            self.send_orders(context, &document, &engines).await;
        }
    }

    /// Commits the next placement, if it differs from the present one; true when a commit was
    /// tried.
    async fn update_placement(
        &mut self,
        context: &Arc<KernelContext>,
        bundle: &ConfigBundle,
        document: &ConfigDocument,
        engines: &[ObservedEngine],
    ) -> bool {
        let now = context.clock.now();
        let limit = Duration::from_secs(document.declaration.rollout.replace_seconds);
        let live = context.instances.load().engine_capacities();
        let capacities = self
            .missing
            .placement_capacities(document, live, limit, now);
        let engines = engines
            .iter()
            .map(|engine| (&engine.instance, &engine.stages));
        let held: HashMap<_, _> = engines.collect();
        let is_loaded = |row: &StagePlacement| {
            let stages = held.get(&row.instance);
            stages.is_some_and(|stages| stages.iter().any(|held| held.ready && held.matches(row)))
        };
        let Some(next) = advance_rollout(document, &capacities, is_loaded) else {
            return false;
        };
        let name = format!("placement-{:016x}", self.rng.u64(..));
        let plan: PlanId = name.parse().expect("generated plan names are valid");
        let changes = diff_documents(Some(document), &next);
        let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
        let entry = ChangeEntry::new(&plan, &Arc::from(CHANGE_AUTHOR), &lines);
        let outcome = commit_document(context, Some(bundle), &next, entry).await;
        if let CommitOutcome::Resolved(PlanOutcome::Applied { revision, .. }) = outcome {
            self.metrics.placements.inc();
            log::info!(
                "reconciler changed the placement at revision {revision}: {}",
                lines.join(", ")
            );
        }
        true
    }

    async fn send_orders(
        &mut self,
        context: &KernelContext,
        document: &ConfigDocument,
        engines: &[ObservedEngine],
    ) {
        let now = context.clock.now();
        let plan = plan_orders(document, engines, &mut self.drains, now);
        let set = |state: &str, count: usize| {
            let gauge = self.metrics.engines.with_label_values(&[state]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        };
        set("loading", plan.loading);
        set("queued", plan.waiting_loads);
        set("draining", plan.draining);
        let Some(fence) = self.leader.fence(now) else {
            return;
        };
        let is_due = |order: &PlannedOrder| {
            let delay = self.delays.get(&order.instance);
            delay.is_none_or(|delay| delay.until <= now)
        };
        let due: Vec<PlannedOrder> = plan.orders.into_iter().filter(is_due).collect();
        let sends = due
            .into_iter()
            .map(|order| send_order(context, order, fence));
        let results = join_all(sends).await;
        let now = context.clock.now();
        for result in results {
            self.record_result(result, now);
        }
    }

    fn record_result(&mut self, (instance, result): OrderResult, now: MonoTime) {
        let label = match &result {
            Ok(OrderReply::Accepted) => "accepted",
            Ok(OrderReply::Fenced) => "fenced",
            Err(_) => "failed",
        };
        self.metrics.orders.with_label_values(&[label]).inc();
        match result {
            Ok(OrderReply::Accepted) => {
                self.delays.remove(&instance);
                return;
            }
            Ok(OrderReply::Fenced) => self.leader.step_down(),
            Err(cause) => log::debug!("order to engine {instance} failed: {cause}"),
        }
        let delay = self.delays.entry(instance).or_insert_with(|| OrderDelay {
            backoff: RetryBackoff::new(ORDER_BACKOFF),
            until: now,
        });
        delay.until = now.after(delay.backoff.record_failure(&mut self.rng));
    }
}

async fn send_order(
    context: &KernelContext,
    order: PlannedOrder,
    fence: FenceNumber,
) -> OrderResult {
    let engine_order = EngineOrder {
        fence,
        stage: order.stage,
        layer_bytes: order.layer_bytes,
    };
    let call = Box::pin(context.engines.order(order.address, &engine_order));
    let sent = timeout(ORDER_TIMEOUT, call).await;
    let elapsed = || Err(EngineError::Send(crate::http::SendError::TimedOut));
    (order.instance, sent.unwrap_or_else(|_elapsed| elapsed()))
}
