//! The leader: one daemon at a time orders servers to hold layers.

use crate::catalog::{ModelShape, ServiceEntry};
use crate::gateway::ports::{LayerOrder, OrderOutcome};
use crate::gateway::run::GatewayState;
use crate::ids::FenceNumber;
use crate::placement::{OrderScheduler, PendingOrder, ServerPlacement};
use crate::telemetry::EventLine;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Time that a daemon waits for those before it in line to become the leader.
const PLACE_IN_LINE: Duration = Duration::from_millis(150);

/// Becomes the leader when there is none and it is this daemon's turn; sends orders while it leads.
pub(super) async fn run_duty(state: &Arc<GatewayState>) {
    let now = state.context.clock.now();
    if state.keeper.fence(now).is_none() {
        state.with_orders(std::collections::HashMap::clear);
        campaign(state).await;
        return;
    }
    let Some(catalog) = state.context.catalog.load() else {
        return;
    };
    for service in catalog.services() {
        if let Some(model) = &service.model {
            order_service(state, service, model);
        }
    }
}

async fn campaign(state: &Arc<GatewayState>) {
    let now = state.context.clock.now();
    let Some(vacant_since) = state.vacant_since() else {
        return;
    };
    let rows = state.context.presence.rows();
    let rank = rows
        .keys()
        .position(|key| key == &state.presence_key)
        .unwrap_or(rows.len());
    let turn = vacant_since.after(PLACE_IN_LINE.saturating_mul(rank as u32));
    if now < turn || !state.is_serving() {
        return;
    }
    match state.keeper.campaign().await {
        Ok(true) => {
            state.note_leader(true);
            let fence = state.keeper.fence(now).map_or(0, |fence| fence.0);
            state
                .context
                .events
                .emit(EventLine::new("leads").with("fence", fence));
        }
        Ok(false) => {}
        Err(cause) => {
            state
                .context
                .events
                .emit(EventLine::new("campaign_failed").show("cause", cause));
        }
    }
}

fn order_service(state: &Arc<GatewayState>, service: &ServiceEntry, model: &ModelShape) {
    let context = &state.context;
    let now = context.clock.now();
    let view = context.targets.load();
    let ready = view
        .service_targets(&service.name)
        .iter()
        .filter(|target| target.is_ready() && !target.stats.is_lost());
    let offers: Vec<ServerPlacement> = ready
        .filter_map(|target| {
            Some(ServerPlacement {
                id: target.id.clone(),
                domain: target.domain.clone(),
                card: Arc::clone(target.card.as_ref()?),
                held: target.layers.filter(|layers| !layers.is_empty()),
                is_surplus: false,
            })
        })
        .collect();
    let Some(followed_since) = state.synced_since() else {
        return;
    };
    let (needs, wait_change) = state.with_orders(|orders| {
        let duty: &mut OrderScheduler = orders.entry(service.name.clone()).or_default();
        let needs = duty.next_orders(model, &offers, followed_since, now);
        (needs, duty.poll_wait_change(now))
    });
    if let Some(waits) = wait_change {
        let line = EventLine::new("lost_together").show("service", &service.name);
        context
            .events
            .emit(line.with("waits", waits).with("targets", offers.len()));
    }
    for need in needs {
        task::spawn(send_order(Arc::clone(state), service.name.clone(), need));
    }
}

async fn send_order(state: Arc<GatewayState>, service: crate::ids::ServiceId, need: PendingOrder) {
    let context = &state.context;
    // The lead may have ended since the order was planned.
    let fence = state.keeper.fence(context.clock.now());
    let target = context.targets.load().target(&need.id).cloned();
    let (Some(fence), Some(target)) = (fence, target) else {
        return;
    };
    let order = LayerOrder {
        target: need.id.clone(),
        address: target.address,
        layers: need.layers,
        fence,
    };
    let outcome = (state.ports.targets.order_layers)(order).await;
    let now = context.clock.now();
    let text = match &outcome {
        Ok(OrderOutcome::Accepted) => "accepted".to_owned(),
        Ok(OrderOutcome::Refused(status)) => format!("refused with status {status}"),
        Ok(OrderOutcome::Superseded) => "superseded".to_owned(),
        Ok(OrderOutcome::WrongTarget) => "wrong target".to_owned(),
        Err(cause) => cause.to_string(),
    };
    match outcome {
        Ok(OrderOutcome::Refused(_)) => state.with_orders(|orders| {
            if let Some(duty) = orders.get_mut(&service) {
                duty.on_refused(&need.id, now);
            }
        }),
        Ok(OrderOutcome::Superseded) => step_down(&state, fence),
        _ => {}
    }
    let line = EventLine::new("order")
        .show("target", &need.id)
        .show("layers", need.layers);
    context
        .events
        .emit(line.with("fence", fence.0).with("outcome", text));
}

fn step_down(state: &GatewayState, fence: FenceNumber) {
    state.keeper.observe_leader(None, 0);
    state
        .context
        .events
        .emit(EventLine::new("superseded").with("fence", fence.0));
}
