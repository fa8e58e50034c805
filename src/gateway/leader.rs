//! Duties of the leader: one daemon at a time orders servers to hold layers.

use crate::catalog::{ModelShape, ServiceEntry};
use crate::gateway::ports::{LayerOrder, OrderOutcome};
use crate::gateway::run::GatewayState;
use crate::ids::{FenceNumber, InstanceId, ServiceId};
use crate::placement::{
    LayerAssignment, OrderScheduler, PendingOrder, PlanInput, PlanStep, ServerPlacement,
};
use crate::relay::{RelayContext, is_resting, observe_call};
use crate::telemetry::EventLine;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Delay of a campaign for leadership for each daemon that precedes this one in the order of the
/// presence keys, so that daemons do not all campaign at once.
const CAMPAIGN_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of a campaign. If none of the first daemons can lead, all others campaign after it, and
/// the store lets one of them win.
const MAX_CAMPAIGN_DELAY: Duration = Duration::from_millis(1_200);

/// Time after a campaign that the store did not answer until the next one.
const CAMPAIGN_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Campaigns when there is no leader and it is this daemon's turn; sends orders while this daemon
/// leads.
pub(super) async fn run_leader_duty(state: &Arc<GatewayState>) {
    let now = state.context.clock.now();
    // Orders of a daemon without a path to targets reach no server.
    if state.context.is_cut_off() {
        return resign(state).await;
    }
    if !state.session.leads(now) {
        state.with_schedulers(std::collections::HashMap::clear);
        campaign(state).await;
        return;
    }
    let Some(catalog) = state.context.catalog.load() else {
        return;
    };
    for service in catalog.services() {
        if let Some(model) = &service.model {
            order_missing_layers(state, service, model).await;
        }
    }
}

async fn resign(state: &Arc<GatewayState>) {
    state.with_schedulers(std::collections::HashMap::clear);
    let line = match state.session.resign().await {
        Ok(false) => return,
        Ok(true) => EventLine::new("resigned"),
        Err(cause) => EventLine::new("resign_failed").with_display("cause", cause),
    };
    state.context.events.emit(line);
}

async fn campaign(state: &Arc<GatewayState>) {
    let now = state.context.clock.now();
    let Some(leaderless_since) = state.leaderless_since() else {
        return;
    };
    let rows = state.context.presence.rows();
    let rank = rows
        .keys()
        .position(|key| key == &state.presence_key)
        .unwrap_or(rows.len());
    let earliest = leaderless_since.after(campaign_delay(rank));
    if now < earliest.max(state.next_campaign()) || !state.is_serving() {
        return;
    }
    match state.session.campaign().await {
        Ok(Some(fence)) => {
            state.record_leader(true);
            state
                .context
                .events
                .emit(EventLine::new("leads").with("fence", fence.0));
        }
        Ok(None) => {}
        Err(cause) => {
            let now = state.context.clock.now();
            state.postpone_campaign(now.after(CAMPAIGN_RETRY_DELAY));
            state
                .context
                .events
                .emit(EventLine::new("campaign_failed").with_display("cause", cause));
        }
    }
}

/// Time after the loss of the leader after which the daemon with this rank campaigns.
pub fn campaign_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    CAMPAIGN_DELAY.saturating_mul(rank).min(MAX_CAMPAIGN_DELAY)
}

async fn order_missing_layers(
    state: &Arc<GatewayState>,
    service: &ServiceEntry,
    model: &ModelShape,
) {
    let context = &state.context;
    let placements = ready_placements(context, service);
    let Some(step) = next_plan_step(state, service, model, &placements) else {
        return;
    };
    let (plan, placements) = match step {
        PlanStep::Wait => return,
        PlanStep::Keep(plan) => (plan, placements),
        PlanStep::Plan(input) => {
            let plan = plan_apart(state, &service.name, *input).await;
            // Servers may hold other layers by now.
            (plan, ready_placements(context, service))
        }
    };
    // Planning may have taken long: the lead may be lost.
    let now = context.clock.now();
    if state.session.fence(now).is_none() {
        return;
    }
    let pending = state.with_schedulers(|schedulers| {
        let scheduler = schedulers.get_mut(&service.name);
        scheduler.map_or_else(Vec::new, |s| s.orders(&plan, &placements, now))
    });
    for order in pending {
        task::spawn(send_order(Arc::clone(state), service.name.clone(), order));
    }
}

/// Finds out what is to be planned for a service, and logs whether lost servers are waited for. `None`
/// while the list of servers is not known.
fn next_plan_step(
    state: &GatewayState,
    service: &ServiceEntry,
    model: &ModelShape,
    placements: &[ServerPlacement],
) -> Option<PlanStep> {
    let context = &state.context;
    let now = context.clock.now();
    let synced_since = state.synced_since()?;
    // Plans without orders while a leader from before a restore may still act.
    let synced_since = match state.session.fence(now) {
        Some(_) => synced_since,
        None => now,
    };
    let (step, wait_change) = state.with_schedulers(|schedulers| {
        let scheduler: &mut OrderScheduler = schedulers.entry(service.name.clone()).or_default();
        let step = scheduler.next_plan(model, placements, synced_since, now);
        (step, scheduler.poll_wait_change(now))
    });
    if let Some(waits) = wait_change {
        let line = EventLine::new("lost_together").with_display("service", &service.name);
        context
            .events
            .emit(line.with("waits", waits).with("targets", placements.len()));
    }
    Some(step)
}

/// The servers of a service that may get orders, with what they hold.
fn ready_placements(context: &RelayContext, service: &ServiceEntry) -> Vec<ServerPlacement> {
    let view = context.targets.load();
    let ready = view
        .service_targets(&service.name)
        .iter()
        .filter(|target| target.is_ready() && !target.stats.is_lost())
        .filter(|target| !target.stats.is_replaced());
    ready
        .filter_map(|target| {
            Some(ServerPlacement {
                id: target.id.clone(),
                started_ms: target.started_ms,
                domain: target.domain.clone(),
                card: Arc::clone(target.card.as_ref()?),
                held: target.layers.filter(|layers| !layers.is_empty()),
                is_surplus: false,
            })
        })
        .collect()
}

/// Plans apart from the threads that serve requests and renew the lease, as it may take long.
async fn plan_apart(
    state: &GatewayState,
    service: &ServiceId,
    input: PlanInput,
) -> Arc<[LayerAssignment]> {
    let context = &state.context;
    let started = context.clock.now();
    let planned = task::spawn_blocking(move || {
        let plan = input.plan();
        (input, plan)
    });
    let (input, plan) = planned.await;
    let took = context.clock.now().since(started);
    let work = context.metrics.work.with_label_values(&["plan"]);
    work.observe(took.as_secs_f64());
    let line = EventLine::new("planned")
        .with_display("service", service)
        .with("targets", input.servers.len())
        .with("assigned", plan.len());
    context
        .events
        .emit(line.with("took_ms", took.as_millis() as u64));
    let plan: Arc<[LayerAssignment]> = plan.into();
    state.with_schedulers(|schedulers| {
        if let Some(scheduler) = schedulers.get_mut(service) {
            scheduler.keep_plan(input, &plan);
        }
    });
    plan
}

async fn send_order(state: Arc<GatewayState>, service: ServiceId, pending: PendingOrder) {
    let context = &state.context;
    // This daemon may have lost the leadership since the order was planned.
    let fence = state.session.fence(context.clock.now());
    let target = context.targets.load().target(&pending.id).cloned();
    let (Some(fence), Some(target)) = (fence, target) else {
        return;
    };
    let order = LayerOrder {
        target: pending.id.clone(),
        address: target.address,
        layers: pending.layers,
        fence,
    };
    if is_resting(context, &target) {
        return postpone(&state, &service, &pending.id);
    }
    let call = (state.ports.targets.order_layers)(order).await;
    if let Some((status, notices)) = call.notices {
        observe_call(context, &target, status, notices);
    }
    let outcome = call.outcome;
    let text = match &outcome {
        Ok(OrderOutcome::Accepted) => "accepted".to_owned(),
        Ok(OrderOutcome::Refused(status)) => format!("refused with status {status}"),
        Ok(OrderOutcome::Superseded) => "superseded".to_owned(),
        Ok(OrderOutcome::WrongTarget) => "wrong target".to_owned(),
        Err(cause) => cause.to_string(),
    };
    match outcome {
        Ok(OrderOutcome::Refused(_)) => postpone(&state, &service, &pending.id),
        Ok(OrderOutcome::Superseded) => step_down(&state, fence),
        _ => {}
    }
    let line = EventLine::new("order")
        .with_display("target", &pending.id)
        .with_display("layers", pending.layers);
    context
        .events
        .emit(line.with("fence", fence.0).with("outcome", text));
}

/// Has an order sent again some time later.
fn postpone(state: &GatewayState, service: &ServiceId, target: &InstanceId) {
    let now = state.context.clock.now();
    state.with_schedulers(|schedulers| {
        if let Some(scheduler) = schedulers.get_mut(service) {
            scheduler.on_refused(target, now);
        }
    });
}

fn step_down(state: &GatewayState, fence: FenceNumber) {
    state.session.observe_leader(None);
    state
        .context
        .events
        .emit(EventLine::new("superseded").with("fence", fence.0));
}
