//! Which orders the leader sends next. Does no I/O.
//!
//! An order without an answer may take effect seconds later, after newer ones. Orders are absolute and
//! the plan follows what servers hold, so a late one is taken for what is there.

use crate::catalog::ModelShape;
use crate::ids::InstanceId;
use crate::placement::outage::OutageDetector;
use crate::placement::plan::{LayerAssignment, PlanScope, ServerPlacement, plan_layers};
use crate::placement::server_counts::ServerCounts;
use crate::units::{LayerRange, MonoTime};
use std::collections::HashMap;
use std::time::Duration;

/// Time without a new server after which the first placement is made: servers enter the list over a
/// couple of seconds.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Time after the list was read for the first time, or the store came back, before which nothing is
/// ordered: entries of healthy servers may still be on their way, and a plan without them would take
/// whole chains apart.
const LIST_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// Time after which an order that has not shown in the list is sent again.
const RESEND_DELAY: Duration = Duration::from_secs(5);
/// Time after which a refused order is sent again.
const REFUSED_RESEND_DELAY: Duration = Duration::from_millis(500);

/// An order to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Server.
    pub id: InstanceId,
    /// Layers that it is to hold.
    pub layers: LayerRange,
}

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    layers: LayerRange,
    resend_at: MonoTime,
}

/// What the leader has ordered.
#[derive(Debug, Default)]
pub struct OrderScheduler {
    sent: HashMap<InstanceId, SentOrder>,
    server_count: usize,
    changed: Option<MonoTime>,
    placed: bool,
    counts: ServerCounts,
    outages: OutageDetector,
    waits: bool,
}

impl OrderScheduler {
    /// Orders to send now, given what servers hold. The list has been followed without a break since
    /// `followed_since`.
    pub fn next_orders(
        &mut self,
        model: &ModelShape,
        servers: &[ServerPlacement],
        followed_since: MonoTime,
        now: MonoTime,
    ) -> Vec<PendingOrder> {
        self.outages.update(servers, now);
        self.sent
            .retain(|id, _| servers.iter().any(|server| &server.id == id));
        let settled = self.is_settled(servers, now);
        if !settled || now.since(followed_since) < LIST_GRACE_PERIOD {
            return Vec::new();
        }
        self.counts.update(servers, now);
        let expected: Vec<ServerPlacement> = servers
            .iter()
            .map(|server| self.with_order(server))
            .collect();
        let scope = if self.outages.may_return(now) {
            PlanScope::EmptyServers
        } else {
            PlanScope::IdleServers
        };
        let plan = plan_layers(model, &expected, scope);
        let due = plan
            .into_iter()
            .filter(|assigned| self.is_due(assigned, servers, now));
        let orders: Vec<PendingOrder> = due
            .map(|assigned| PendingOrder {
                id: assigned.id,
                layers: assigned.layers,
            })
            .collect();
        for order in &orders {
            let sent = SentOrder {
                layers: order.layers,
                resend_at: now.after(RESEND_DELAY),
            };
            self.sent.insert(order.id.clone(), sent);
        }
        orders
    }

    /// Whether servers that were lost together are waited for, when that has changed since last time.
    pub fn poll_wait_change(&mut self, now: MonoTime) -> Option<bool> {
        let waits = self.outages.may_return(now);
        let changed = waits != self.waits;
        self.waits = waits;
        changed.then_some(waits)
    }

    /// Notes that a server refused its order.
    pub fn on_refused(&mut self, id: &InstanceId, now: MonoTime) {
        if let Some(sent) = self.sent.get_mut(id) {
            sent.resend_at = now.after(REFUSED_RESEND_DELAY);
        }
    }

    /// The first placement waits for servers that are still entering the list.
    fn is_settled(&mut self, servers: &[ServerPlacement], now: MonoTime) -> bool {
        if self.placed || servers.iter().any(|server| server.held.is_some()) {
            self.placed = true;
            return true;
        }
        if servers.len() != self.server_count || self.changed.is_none() {
            self.server_count = servers.len();
            self.changed = Some(now);
        }
        let settled = self.changed.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        self.placed = settled && !servers.is_empty();
        self.placed
    }

    /// An offer as it will be once its order is carried out.
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
