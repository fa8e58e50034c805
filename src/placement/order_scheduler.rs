//! Schedules the orders that the leader sends. Performs no I/O.
//!
//! Planning takes long for many servers, so it is left to the caller: [`OrderScheduler::next_plan`] tells what
//! is to be planned, and [`OrderScheduler::orders`] which orders follow from the plan.
//!
//! An order without a response may take effect seconds later, after newer ones. Orders are absolute
//! and the plan follows what servers hold, so the effect of a late order is planned with like any
//! other state.

use crate::catalog::ModelShape;
use crate::ids::InstanceId;
use crate::placement::outage::OutageDetector;
use crate::placement::plan::{LayerAssignment, PlanScope, ServerPlacement, plan_layers};
use crate::placement::server_counts::ServerCounts;
use crate::units::{LayerRange, MonoTime};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The first placement is made after this time without a new server, as servers enter the list over
/// a couple of seconds.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// No orders are sent for this time after the list was first read or the store came back: entries
/// of healthy servers may still be missing, and a plan without them would take whole chains apart.
const LIST_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// Time after which an order that has no effect in the list is sent again.
const RESEND_DELAY: Duration = Duration::from_secs(5);
/// Time after which a refused order is sent again.
const REFUSED_RESEND_DELAY: Duration = Duration::from_millis(500);

/// An order to hold layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Server that the order goes to.
    pub id: InstanceId,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// What a plan is made of. The plan depends on nothing else.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanInput {
    /// Model that is to be placed.
    pub model: ModelShape,
    /// Servers as they are once they have carried out the orders that were sent.
    pub servers: Vec<ServerPlacement>,
    /// Which servers may be reassigned.
    pub scope: PlanScope,
}

impl PlanInput {
    /// Plans the layers of all servers. May take long.
    pub fn plan(&self) -> Vec<LayerAssignment> {
        plan_layers(&self.model, &self.servers, self.scope)
    }
}

/// What the leader does next.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanStep {
    /// Servers are still entering the list, or may return with their layers.
    Wait,
    /// The last plan is still in force.
    Keep(Arc<[LayerAssignment]>),
    /// Plan again.
    Plan(Box<PlanInput>),
}

/// A plan and what it was made of.
#[derive(Debug)]
struct KnownPlan {
    input: PlanInput,
    plan: Arc<[LayerAssignment]>,
}

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    /// Run of the server that the order went to. A server that starts again knows nothing of it.
    started_ms: u64,
    layers: LayerRange,
    resend_at: MonoTime,
}

/// Orders that the leader has sent for one model, and what it waits for.
#[derive(Debug, Default)]
pub struct OrderScheduler {
    sent: HashMap<InstanceId, SentOrder>,
    server_count: usize,
    count_changed_at: Option<MonoTime>,
    placed: bool,
    counts: ServerCounts,
    outages: OutageDetector,
    waits: bool,
    known: Option<KnownPlan>,
}

impl OrderScheduler {
    /// What is to be planned, given what servers hold. `followed_since` is the time since which the list
    /// has been followed without interruption.
    pub fn next_plan(
        &mut self,
        model: &ModelShape,
        servers: &[ServerPlacement],
        followed_since: MonoTime,
        now: MonoTime,
    ) -> PlanStep {
        self.outages.update(servers, now);
        self.sent.retain(|id, sent| {
            let is_run =
                |server: &ServerPlacement| &server.id == id && server.started_ms == sent.started_ms;
            servers.iter().any(is_run)
        });
        let settled = self.is_settled(servers, now);
        if !settled || now.since(followed_since) < LIST_GRACE_PERIOD {
            return PlanStep::Wait;
        }
        self.counts.update(servers, now);
        let scope = if self.outages.may_return(now) {
            PlanScope::EmptyServers
        } else {
            PlanScope::IdleServers
        };
        let input = PlanInput {
            model: model.clone(),
            servers: servers
                .iter()
                .map(|server| self.with_order(server))
                .collect(),
            scope,
        };
        match &self.known {
            Some(known) if known.input == input => PlanStep::Keep(Arc::clone(&known.plan)),
            _ => PlanStep::Plan(Box::new(input)),
        }
    }

    /// Keeps a plan until it is to be made of something else.
    pub fn keep_plan(&mut self, input: PlanInput, plan: &Arc<[LayerAssignment]>) {
        let plan = Arc::clone(plan);
        self.known = Some(KnownPlan { input, plan });
    }

    /// Returns the orders of a plan to send now, given what servers hold.
    pub fn orders(
        &mut self,
        plan: &[LayerAssignment],
        servers: &[ServerPlacement],
        now: MonoTime,
    ) -> Vec<PendingOrder> {
        let due = plan
            .iter()
            .filter(|assigned| self.is_due(assigned, servers, now));
        let orders: Vec<PendingOrder> = due
            .map(|assigned| PendingOrder {
                id: assigned.id.clone(),
                layers: assigned.layers,
            })
            .collect();
        for order in &orders {
            let server = servers.iter().find(|server| server.id == order.id);
            let sent = SentOrder {
                started_ms: server.map_or(0, |server| server.started_ms),
                layers: order.layers,
                resend_at: now.after(RESEND_DELAY),
            };
            self.sent.insert(order.id.clone(), sent);
        }
        orders
    }

    /// Returns whether the leader waits for servers that were lost together, if that has changed
    /// since the last call.
    pub fn poll_wait_change(&mut self, now: MonoTime) -> Option<bool> {
        let waits = self.outages.may_return(now);
        let changed = waits != self.waits;
        self.waits = waits;
        changed.then_some(waits)
    }

    /// Records that a server refused its order.
    pub fn on_refused(&mut self, id: &InstanceId, now: MonoTime) {
        if let Some(sent) = self.sent.get_mut(id) {
            sent.resend_at = now.after(REFUSED_RESEND_DELAY);
        }
    }

    /// True once the first placement may be made: servers may still be entering the list before.
    fn is_settled(&mut self, servers: &[ServerPlacement], now: MonoTime) -> bool {
        if self.placed || servers.iter().any(|server| server.held.is_some()) {
            self.placed = true;
            return true;
        }
        if servers.len() != self.server_count || self.count_changed_at.is_none() {
            self.server_count = servers.len();
            self.count_changed_at = Some(now);
        }
        let settled = self
            .count_changed_at
            .is_some_and(|at| now.since(at) >= SETTLE_TIME);
        self.placed = settled && !servers.is_empty();
        self.placed
    }

    /// The server's state once its order has been carried out.
    fn with_order(&self, server: &ServerPlacement) -> ServerPlacement {
        let ordered = self.sent.get(&server.id).map(|sent| sent.layers);
        ServerPlacement {
            held: ordered.or(server.held),
            is_surplus: self.counts.has_surplus(server),
            ..server.clone()
        }
    }

    fn is_due(
        &self,
        assigned: &LayerAssignment,
        servers: &[ServerPlacement],
        now: MonoTime,
    ) -> bool {
        let server = servers.iter().find(|server| server.id == assigned.id);
        if server.is_none_or(|server| server.held == Some(assigned.layers)) {
            return false;
        }
        let sent = self.sent.get(&assigned.id);
        sent.is_none_or(|sent| sent.layers != assigned.layers || now >= sent.resend_at)
    }
}
