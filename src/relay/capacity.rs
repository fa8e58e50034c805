//! Capacity of model services, handed out by priority and team.
//!
//! In force for services whose requests differ in priority, and for all where the settings ask for fair
//! sharing between teams. The decisions are in [`crate::admission`]; here they are connected to the
//! requests of this daemon and to what other daemons announce.

use crate::admission::{
    CapacityQueue, CapacityRequest, CapacityStep, PriorityDemand, QueueBacklog, QueueOrder,
    priority_headroom,
};
use crate::catalog::ModelShape;
use crate::ids::{DomainId, ServiceId};
use crate::loads::{DemandCell, DemandTotals, PriorityDemandRow, demand_rows};
use crate::relay::choice::MAX_RESERVED_SHARE;
use crate::relay::exchange::ActiveRequest;
use crate::targets::{TargetEntry, TargetView};
use crate::units::{LayerRange, MonoTime};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Interval at which a waiting request looks for capacity if nothing wakes it before.
const CAPACITY_POLL: Duration = Duration::from_millis(25);
/// Shortest and longest time that a request waits for capacity.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(700));
/// Time to the first event of a stream before one was observed.
const INITIAL_FIRST_EVENT: Duration = Duration::from_millis(150);
/// Weight of the newest sample in the moving average of that time.
const FIRST_EVENT_GAIN: f64 = 0.05;

/// Queues of the services, and the demand at other daemons.
#[derive(Debug)]
pub struct CapacityTable {
    services: Mutex<HashMap<ServiceId, ServiceQueue>>,
    peers: DemandCell,
    /// Age of what is known of the other daemons, in microseconds.
    peer_age: AtomicU64,
    /// Notified when capacity may have become free.
    freed: Event,
}

#[derive(Debug)]
struct ServiceQueue {
    queue: CapacityQueue,
    /// Moving average of the time to the first event.
    first_event: Duration,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            queue: CapacityQueue::default(),
            first_event: INITIAL_FIRST_EVENT,
        }
    }
}

impl Default for CapacityTable {
    fn default() -> Self {
        Self {
            services: Mutex::default(),
            peers: DemandCell::default(),
            peer_age: AtomicU64::new(0),
            freed: Event::new(),
        }
    }
}

impl CapacityTable {
    /// Rows that announce the demand at this daemon.
    pub(crate) fn demand_rows(&self, now: MonoTime) -> Vec<PriorityDemandRow> {
        let services = self.lock();
        let rows = services
            .iter()
            .flat_map(|(service, entry)| demand_rows(service, &entry.queue.demand(now)));
        rows.collect()
    }

    /// Sets the demand at the other daemons of the failure domain, and the age of what they announce.
    pub(crate) fn set_peer_demand(&self, totals: DemandTotals, age: Duration) {
        self.peers.publish(totals);
        self.peer_age
            .store(age.as_micros() as u64, Ordering::Relaxed);
    }

    /// Wakes the waiting requests: capacity may have become free.
    pub(crate) fn notify(&self) {
        self.freed.notify(usize::MAX);
    }

    /// Numbers of waiting requests, by service and priority.
    pub(crate) fn waiting_counts(&self) -> Vec<(ServiceId, BTreeMap<u8, usize>)> {
        let services = self.lock();
        let counts = services
            .iter()
            .map(|(service, entry)| (service.clone(), entry.queue.waiting_counts()));
        counts.collect()
    }

    /// Records the time from the start of an attempt to its first event.
    pub(super) fn observe_first_event(&self, service: &ServiceId, elapsed: Duration) {
        if let Some(entry) = self.lock().get_mut(service) {
            let kept = entry.first_event.mul_f64(1.0 - FIRST_EVENT_GAIN);
            entry.first_event = kept + elapsed.mul_f64(FIRST_EVENT_GAIN);
        }
    }

    /// Demand of all daemons that share the targets of the failure domain.
    fn demand(&self, service: &ServiceId, now: MonoTime) -> BTreeMap<u8, PriorityDemand> {
        let local = self.with(service, |entry| entry.queue.demand(now));
        self.peers.load().with_local(service, &local)
    }

    fn peer_age(&self) -> Duration {
        Duration::from_micros(self.peer_age.load(Ordering::Relaxed))
    }

    fn with<T>(&self, service: &ServiceId, act: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.lock();
        act(services.entry(service.clone()).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceQueue>> {
        self.services
            .lock()
            .expect("capacity lock is never poisoned")
    }
}

/// Share of a chain's capacity up to which this request may fill it.
pub(super) fn max_share(request: &ActiveRequest<'_>, model: &ModelShape, view: &TargetView) -> f64 {
    if !request.is_by_priority() {
        return MAX_RESERVED_SHARE;
    }
    let context = request.context;
    let table = &context.capacity;
    let service = &request.service.name;
    let demand = table.demand(service, context.clock.now());
    let domain = &context.settings.failure_domain;
    let capacity = domain_capacity(view.service_targets(service), domain, model);
    let headroom = priority_headroom(&demand, queue_priority(request), table.peer_age(), capacity);
    let priority = queue_priority(request).to_string();
    let gauge = &context.metrics.load.headroom;
    gauge
        .with_label_values(&[service.as_str(), priority.as_str()])
        .set((headroom * 100.0).round() as i64);
    MAX_RESERVED_SHARE * (1.0 - headroom)
}

/// Context tokens that the targets of a failure domain have capacity for, over all layers.
fn domain_capacity(targets: &[Arc<TargetEntry>], domain: &DomainId, model: &ModelShape) -> f64 {
    let local = targets
        .iter()
        .filter(|target| &target.domain == domain && target.is_ready());
    let layer_tokens = local.filter_map(|target| {
        let card = model.card(target.card.as_ref()?)?;
        let held = target.layers.map_or(0, LayerRange::len);
        Some(model.token_capacity(card, held) * f64::from(held))
    });
    layer_tokens.sum::<f64>() / f64::from(model.layers.max(1))
}

/// Why a request leaves the queue without capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum QueueExit {
    /// Its turn could not come within its wait limit.
    QueueTooLong(QueueBacklog),
    /// Its turn did not come within its wait limit.
    WaitExpired(QueueBacklog),
}

impl QueueExit {
    /// Name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::QueueTooLong(_) => "line_too_long",
            Self::WaitExpired(_) => "wait_expired",
        }
    }

    fn backlog(self) -> QueueBacklog {
        match self {
            Self::QueueTooLong(backlog) | Self::WaitExpired(backlog) => backlog,
        }
    }
}

/// Place of a request in the queue of its service; dropping it leaves the queue.
pub(super) struct QueuePlace<'a> {
    request: &'a ActiveRequest<'a>,
    order: QueueOrder,
    is_waiting: bool,
}

impl<'a> QueuePlace<'a> {
    /// Enters the queue, or returns to the place that the request had before its last attempt.
    pub(super) fn enter(
        request: &'a ActiveRequest<'a>,
        known: Option<QueueOrder>,
    ) -> Result<Self, QueueExit> {
        let now = request.context.clock.now();
        let tokens = f64::from(request.metadata.expected_tokens());
        let service = &request.service.name;
        let wait_limit = wait_limit(request);
        let step = request.context.capacity.with(service, |entry| {
            if let Some(order) = known {
                entry.queue.reenter(order, tokens);
                return CapacityStep::Wait(order);
            }
            let waiting = CapacityRequest {
                team: request.team.as_ref().map(|team| team.name.clone()),
                priority: queue_priority(request),
                tokens,
            };
            entry.queue.enter(&waiting, wait_limit, now)
        });
        match step {
            CapacityStep::Wait(order) => Ok(Self {
                request,
                order,
                is_waiting: true,
            }),
            CapacityStep::Refuse(backlog) => Err(QueueExit::QueueTooLong(backlog)),
        }
    }

    /// The place, at which the request may enter the queue again.
    pub(super) fn order(&self) -> QueueOrder {
        self.order
    }

    /// True when no other request takes capacity first.
    pub(super) fn may_take(&self) -> bool {
        self.with(|entry| entry.queue.may_take(self.order))
    }

    /// Waits until capacity may have become free.
    pub(super) async fn wait(&self) {
        let freed = self.request.context.capacity.freed.listen();
        let poll = async {
            Timer::after(CAPACITY_POLL).await;
        };
        or(freed, poll).await;
    }

    /// Leaves the queue with capacity.
    pub(super) fn start(mut self) {
        let now = self.request.context.clock.now();
        self.is_waiting = false;
        self.with(|entry| entry.queue.start(self.order, now));
        // There may be capacity for the next one, too.
        self.request.context.capacity.notify();
    }

    /// Leaves the queue without capacity.
    pub(super) fn give_up(self) -> QueueExit {
        let now = self.request.context.clock.now();
        let backlog = self.with(|entry| entry.queue.backlog_of(self.order, now));
        QueueExit::WaitExpired(backlog)
    }

    fn with<T>(&self, act: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let request = self.request;
        request.context.capacity.with(&request.service.name, act)
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.with(|entry| entry.queue.leave(self.order));
            // The next one may take what this one waited for.
            self.request.context.capacity.notify();
        }
    }
}

/// Longest time from the arrival of a request for which it waits for capacity: what is left of its
/// latency goal after the usual time to the first event.
pub(super) fn wait_limit(request: &ActiveRequest<'_>) -> Duration {
    let service = &request.service.name;
    let table = &request.context.capacity;
    let first_event = table.with(service, |entry| entry.first_event);
    let left = request.route.latency_goal.saturating_sub(first_event);
    left.clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1)
}

/// Counts a request that leaves the queue without capacity; returns the detail of its refusal.
pub(super) fn describe_exit(request: &ActiveRequest<'_>, exit: QueueExit) -> String {
    let metrics = &request.context.metrics.load.capacity_refusals;
    let priority = queue_priority(request).to_string();
    metrics
        .with_label_values(&[exit.name(), priority.as_str()])
        .inc();
    let backlog = exit.backlog();
    let chains = ChainCounts::of(request);
    format!(
        "{}: class {priority}, {:.0} tokens ahead, {:.0} tokens start in a second, wait limit {} ms; chains: {chains}",
        exit.name(),
        backlog.tokens_ahead,
        backlog.tokens_per_second,
        wait_limit(request).as_millis(),
    )
}

/// Numbers of the chains of a service by what keeps a new request from them, for the log.
#[derive(Debug, Default)]
struct ChainCounts {
    listed: usize,
    ejected: usize,
    degraded: usize,
    saturated: usize,
    /// Lowest reserved share of the others, in percent.
    least_reserved: Option<u32>,
}

impl ChainCounts {
    fn of(request: &ActiveRequest<'_>) -> Self {
        let context = request.context;
        let now = context.clock.now();
        let view = context.targets.load();
        let mut counts = Self::default();
        for chain in view.chains(&request.service.name) {
            counts.listed += 1;
            if chain.is_ejected(now) || chain.leaves() {
                counts.ejected += 1;
            } else if chain.is_saturated(now) {
                counts.saturated += 1;
            } else if chain.is_degraded(now) {
                counts.degraded += 1;
            } else if let Some(model) = &request.service.model {
                let percent = (chain.reserved_share(model) * 100.0) as u32;
                let least = counts.least_reserved.unwrap_or(percent);
                counts.least_reserved = Some(least.min(percent));
            }
        }
        counts
    }
}

impl fmt::Display for ChainCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            listed,
            ejected,
            degraded,
            saturated,
            least_reserved,
        } = self;
        write!(
            f,
            "{listed} listed, {ejected} ejected, {degraded} degraded, {saturated} saturated"
        )?;
        match least_reserved {
            Some(percent) => write!(f, ", others from {percent} % reserved"),
            None => Ok(()),
        }
    }
}

/// Priority of the request in the queue.
fn queue_priority(request: &ActiveRequest<'_>) -> u8 {
    let class = request.class.as_ref();
    class.map_or(u8::MAX, |class| class.class.value())
}

/// True when a request of the same priority or a higher one waits for capacity.
pub(super) fn others_wait(request: &ActiveRequest<'_>) -> bool {
    let service = &request.service.name;
    let priority = queue_priority(request);
    request.is_by_priority()
        && request
            .context
            .capacity
            .with(service, |entry| entry.queue.has_waiting(priority))
}

/// Time after which the caller of a request without capacity should return, at most `limit`.
pub(super) fn book_return(
    request: &ActiveRequest<'_>,
    limit: Duration,
    rng: &mut fastrand::Rng,
) -> Duration {
    let now = request.context.clock.now();
    let tokens = f64::from(request.metadata.expected_tokens());
    let service = &request.service.name;
    request.context.capacity.with(service, |entry| {
        let queue = &mut entry.queue;
        queue.book_return(queue_priority(request), tokens, limit, now, rng)
    })
}
