//! Fair queue of one model: strict priority classes, start-time fair queueing between the teams of
//! a class by cost and weight, and immediate refusal of requests that cannot start in time.

use crate::admission::order::{AdmissionTicket, FairOrder, QueueOrder};
use crate::ids::TeamId;
use crate::units::MonoTime;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueSettings {
    /// Longest time a request may wait.
    pub max_wait: Duration,
    /// Most requests that may wait.
    pub max_entries: usize,
}

/// Request that asks to start.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRequest {
    /// Team of the caller.
    pub team: TeamId,
    /// Priority class, 0 is the most important.
    pub priority: u8,
    /// Weight of the team.
    pub weight: u32,
    /// Expected cost, in tokens.
    pub cost: f64,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start(AdmissionTicket),
    /// The request waits, at most until its deadline. Another waiting request may be evicted.
    Wait {
        /// Ticket of the request.
        ticket: AdmissionTicket,
        /// Time at which the request must be refused.
        deadline: MonoTime,
        /// Waiting request that must be refused now to make room.
        evicted: Option<AdmissionTicket>,
    },
    /// The request is refused, with this Retry-After time.
    Refuse(Duration),
}

/// Weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Shortest and longest Retry-After time.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(30));

/// Divisor of the limit that gives the reserve, which is the number of places above the limit for
/// teams without a request in progress.
const RESERVE_DIVISOR: usize = 4;

/// Fair queue of one model, with its requests in progress.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    limit: usize,
    in_use: usize,
    order: FairOrder<TeamId>,
    /// Requests in progress of each team.
    running: HashMap<TeamId, usize>,
    /// Teams whose only request in progress was started above the limit, in the reserve.
    reserved: HashSet<TeamId>,
    waiting: BTreeSet<QueueOrder>,
    /// Order and team of each waiting request.
    waiting_by_ticket: HashMap<AdmissionTicket, (QueueOrder, TeamId)>,
    service_time: ServiceTime,
}

/// Moving average of the service time, for which requests are in progress, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceTime(Option<f64>);

impl ServiceTime {
    fn observe(&mut self, held: Duration) {
        let sample = held.as_secs_f64();
        let average = |old: f64| old + (sample - old) * SERVICE_TIME_GAIN;
        self.0 = Some(self.0.map_or(sample, average));
    }

    /// Expected time until `count` requests have ended with `running` in progress; `None` before
    /// the first request has ended.
    fn expected_time(self, count: usize, running: usize) -> Option<Duration> {
        let seconds = self.0? * count as f64 / running.max(1) as f64;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

impl FairQueue {
    /// Creates an empty queue that allows `limit` requests in progress.
    pub fn new(settings: QueueSettings, limit: usize) -> Self {
        Self {
            settings,
            limit,
            in_use: 0,
            order: FairOrder::default(),
            running: HashMap::new(),
            reserved: HashSet::new(),
            waiting: BTreeSet::new(),
            waiting_by_ticket: HashMap::new(),
            service_time: ServiceTime::default(),
        }
    }

    /// Requests in progress.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Changes the limit; returns the waiting requests that start now.
    pub fn set_limit(&mut self, limit: usize) -> Vec<AdmissionTicket> {
        self.limit = limit;
        self.clear_reserve();
        self.start_waiting()
    }

    /// Decides on a new request.
    pub fn submit(&mut self, request: &QueueRequest, now: MonoTime) -> AdmissionDecision {
        if self.has_room() || self.has_reserve(&request.team) {
            let order = self.assign_order(request);
            self.start(order, &request.team);
            return AdmissionDecision::Start(order.ticket);
        }
        let start_tag = self.order.start_tag(&request.team);
        let ahead = self.count_ahead(request.priority, start_tag);
        let wait = self.expected_time(ahead + 1);
        if wait.is_some_and(|wait| wait > self.settings.max_wait) {
            return AdmissionDecision::Refuse(clamp_retry_after(wait.unwrap_or_default()));
        }
        let Ok(evicted) = self.make_room(request.priority, start_tag) else {
            return AdmissionDecision::Refuse(clamp_retry_after(wait.unwrap_or_default()));
        };
        let order = self.assign_order(request);
        self.waiting.insert(order);
        self.waiting_by_ticket
            .insert(order.ticket, (order, request.team.clone()));
        AdmissionDecision::Wait {
            ticket: order.ticket,
            deadline: now.after(self.settings.max_wait),
            evicted,
        }
    }

    /// Ends a request of `team` that was in progress for `held`; returns the waiting requests that
    /// start now.
    pub fn finish(&mut self, team: &TeamId, held: Duration) -> Vec<AdmissionTicket> {
        if let Some(running) = self.running.get_mut(team) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(team);
                self.reserved.remove(team);
            }
        }
        self.service_time.observe(held);
        self.in_use = self.in_use.saturating_sub(1);
        self.clear_reserve();
        self.start_waiting()
    }

    /// Removes a waiting request; false when it is no longer waiting.
    pub fn abandon(&mut self, ticket: AdmissionTicket) -> bool {
        let entry = self.waiting_by_ticket.remove(&ticket);
        entry.is_some_and(|(order, _team)| self.waiting.remove(&order))
    }

    /// Retry-After time of a request that is refused now.
    pub fn retry_after(&self) -> Duration {
        clamp_retry_after(
            self.expected_time(self.waiting.len() + 1)
                .unwrap_or_default(),
        )
    }

    /// Expected time until `count` requests have ended.
    fn expected_time(&self, count: usize) -> Option<Duration> {
        self.service_time.expected_time(count, self.in_use)
    }

    fn has_room(&self) -> bool {
        self.waiting.is_empty() && self.in_use < self.limit
    }

    /// True when the team has no request in progress and a place of the reserve above the limit is
    /// free. The reserve keeps teams from starving while requests last longer than any may wait.
    /// Requests that started within a limit that has fallen since take no place of the reserve.
    fn has_reserve(&self, team: &TeamId) -> bool {
        let reserve = (self.limit / RESERVE_DIVISOR).max(1);
        let above = self.in_use.saturating_sub(self.limit);
        !self.running.contains_key(team) && self.reserved.len().min(above) < reserve
    }

    /// Empties the reserve once the requests in progress fit within the limit.
    fn clear_reserve(&mut self) {
        if self.in_use <= self.limit {
            self.reserved.clear();
        }
    }

    fn start_waiting(&mut self) -> Vec<AdmissionTicket> {
        let mut started = Vec::new();
        while self.in_use < self.limit
            && let Some(order) = self.waiting.pop_first()
        {
            let (_order, team) = self
                .waiting_by_ticket
                .remove(&order.ticket)
                .expect("every waiting request has an entry");
            self.start(order, &team);
            started.push(order.ticket);
        }
        started
    }

    fn start(&mut self, order: QueueOrder, team: &TeamId) {
        if self.in_use >= self.limit {
            self.reserved.insert(team.clone());
        }
        self.in_use += 1;
        *self.running.entry(team.clone()).or_default() += 1;
        self.order.on_start(order);
    }

    fn assign_order(&mut self, request: &QueueRequest) -> QueueOrder {
        let QueueRequest {
            team,
            priority,
            weight,
            cost,
        } = request;
        self.order.assign(team, *priority, *cost, *weight)
    }

    fn count_ahead(&self, priority: u8, start_tag: u64) -> usize {
        let new_order = QueueOrder {
            priority,
            start_tag,
            ticket: AdmissionTicket(u64::MAX),
        };
        self.waiting.range(..new_order).count()
    }

    /// Makes room for a new waiting request. In a full queue, the last request in order is evicted
    /// if it comes after the new one; otherwise there is no room and the result is an error.
    fn make_room(&mut self, priority: u8, start_tag: u64) -> Result<Option<AdmissionTicket>, ()> {
        if self.waiting.len() < self.settings.max_entries {
            return Ok(None);
        }
        match self.waiting.last().copied() {
            Some(last) if (last.priority, last.start_tag) > (priority, start_tag) => {
                self.abandon(last.ticket);
                Ok(Some(last.ticket))
            }
            _ => Err(()),
        }
    }
}

fn clamp_retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}
