//! Queue of the requests that wait for capacity of one service on one daemon.
//!
//! Load: callers of several priorities, or teams of uneven size, ask for more than the service can carry.
//! Capacity goes to the first request in the fair order. One whose turn cannot come in time is refused at
//! once, and callers that were refused are asked to return at the pace at which requests of their
//! priority start.

use crate::admission::order::{FairOrder, QueueOrder};
use crate::admission::rate::TokenRate;
use crate::ids::TeamId;
use crate::units::MonoTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Weight of each team; the configuration names none.
const TEAM_WEIGHT: u32 = 1;
/// Multiple of its wait limit that a request may be expected to wait before it is refused at once: the rate
/// at which requests start is estimated from few of them.
const ESTIMATE_TOLERANCE: f64 = 2.0;
/// Shortest time after which a refused caller is asked to return. Most streams hold their capacity for
/// longer, so that little has become free before.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Factor between the shortest and the longest delay that callers of one priority get at the same moment,
/// and between those of two neighbouring priorities.
const RETRY_SPREAD: f64 = 1.4;
/// Time for which requests have to wait without a break until the rate at which they start tells when
/// further ones will: after a quiet time it says nothing about the capacity.
const MIN_BUSY_TIME: Duration = Duration::from_secs(1);
/// Most refused callers whose return is remembered.
const MAX_BOOKED: usize = 1_024;

/// Request that needs capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityRequest {
    /// Team of the caller, if the request has one.
    pub team: Option<TeamId>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Expected tokens.
    pub tokens: f64,
}

/// Whether a request may wait for capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CapacityStep {
    /// It waits at this place.
    Wait(QueueOrder),
    /// Its turn cannot come within its wait limit.
    Refuse(QueueBacklog),
}

/// What is ahead of a request in its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueBacklog {
    /// Tokens of the waiting requests ahead.
    pub tokens_ahead: f64,
    /// Tokens of the queue's requests that start in a second.
    pub tokens_per_second: f64,
}

impl QueueBacklog {
    /// Expected time until the requests ahead have started; `None` while no request starts.
    pub fn expected_wait(&self) -> Option<Duration> {
        let seconds = self.tokens_ahead / self.tokens_per_second;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Demand of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PriorityDemand {
    /// Tokens of the requests that arrive in a second.
    pub tokens_per_second: f64,
    /// Tokens of the requests that wait.
    pub waiting_tokens: f64,
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    team: Option<TeamId>,
    tokens: f64,
    /// True when an attempt has failed before, so that fewer chains are left for the request than for
    /// others.
    is_retry: bool,
}

/// Caller that was refused and has been asked to return.
#[derive(Debug, Clone, Copy)]
struct BookedReturn {
    at: MonoTime,
    priority: u8,
    tokens: f64,
}

/// Requests of one service that wait for capacity, and the rates at which they arrive and start.
#[derive(Debug, Default)]
pub struct CapacityQueue {
    order: FairOrder<Option<TeamId>>,
    waiting: BTreeMap<QueueOrder, WaitingRequest>,
    arrived: BTreeMap<u8, TokenRate>,
    started: BTreeMap<u8, TokenRate>,
    booked: VecDeque<BookedReturn>,
    /// Time from which requests have waited without a break.
    busy_since: Option<MonoTime>,
}

impl CapacityQueue {
    /// Adds a request that waits at most for `wait_limit`, or refuses it.
    pub fn enter(
        &mut self,
        request: &CapacityRequest,
        wait_limit: Duration,
        now: MonoTime,
    ) -> CapacityStep {
        let CapacityRequest {
            team,
            priority,
            tokens,
        } = request;
        record(&mut self.arrived, *priority, *tokens, now);
        let backlog = self.backlog(*priority, self.order.start_tag(team), now);
        let is_known = self
            .busy_since
            .is_some_and(|since| now.since(since) >= MIN_BUSY_TIME);
        let expected = backlog.expected_wait();
        let longest = wait_limit.mul_f64(ESTIMATE_TOLERANCE);
        if is_known && expected.is_some_and(|wait| wait > longest) {
            return CapacityStep::Refuse(backlog);
        }
        let order = self.order.assign(team, *priority, *tokens, TEAM_WEIGHT);
        let waiting = WaitingRequest {
            team: team.clone(),
            tokens: *tokens,
            is_retry: false,
        };
        self.waiting.insert(order, waiting);
        self.busy_since.get_or_insert(now);
        CapacityStep::Wait(order)
    }

    /// Puts a request whose attempt was refused by its target back to its place.
    pub fn reenter(&mut self, order: QueueOrder, tokens: f64) {
        let waiting = WaitingRequest {
            team: None,
            tokens,
            is_retry: true,
        };
        self.waiting.insert(order, waiting);
    }

    /// True when the request may take capacity: no other one waits ahead of it. A retry may use only some of
    /// the chains, so it blocks no other request, and waits only for those of higher priorities.
    pub fn may_take(&self, order: QueueOrder) -> bool {
        let is_retry = self.waiting.get(&order).is_some_and(|own| own.is_retry);
        let is_passed = |other: &QueueOrder| is_retry && other.priority == order.priority;
        let mut ahead = self.waiting.range(..order);
        ahead.all(|(place, other)| other.is_retry || is_passed(place))
    }

    /// True when a request of this priority or a higher one waits.
    pub fn has_waiting(&self, priority: u8) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(order, _)| order.priority <= priority)
    }

    /// Records that the request at this place has started.
    pub fn start(&mut self, order: QueueOrder, now: MonoTime) {
        let Some(waiting) = self.remove(order) else {
            return;
        };
        self.order.on_start(order);
        if !waiting.is_retry {
            record(&mut self.started, order.priority, waiting.tokens, now);
        }
    }

    /// Removes a request that has not started. Its team gets back what it was charged.
    pub fn leave(&mut self, order: QueueOrder) {
        if let Some(waiting) = self.remove(order)
            && !waiting.is_retry
        {
            self.order
                .refund(&waiting.team, waiting.tokens, TEAM_WEIGHT);
        }
    }

    fn remove(&mut self, order: QueueOrder) -> Option<WaitingRequest> {
        let removed = self.waiting.remove(&order);
        if self.waiting.is_empty() {
            self.busy_since = None;
        }
        removed
    }

    /// What is ahead of the request at this place.
    pub fn backlog_of(&self, order: QueueOrder, now: MonoTime) -> QueueBacklog {
        self.backlog(order.priority, order.start_tag, now)
    }

    /// Time after which the caller of a refused request should return, at most `limit`: the time that the
    /// refused requests of its priority and higher ones take to start. It is never longer than
    /// that of a lower priority.
    pub fn book_return(
        &mut self,
        priority: u8,
        tokens: f64,
        limit: Duration,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Duration {
        self.booked.retain(|booked| booked.at > now);
        let delay = self.shortest_return(priority, tokens, limit, now);
        let spread = 1.0 + (RETRY_SPREAD - 1.0) * rng.f64();
        let delay = delay.mul_f64(spread).min(limit);
        if self.booked.len() >= MAX_BOOKED {
            self.booked.pop_front();
        }
        self.booked.push_back(BookedReturn {
            at: now.after(delay),
            priority,
            tokens,
        });
        delay
    }

    /// Demand by priority.
    pub fn demand(&self, now: MonoTime) -> BTreeMap<u8, PriorityDemand> {
        let mut demand: BTreeMap<u8, PriorityDemand> = BTreeMap::new();
        for (priority, rate) in &self.arrived {
            demand.entry(*priority).or_default().tokens_per_second = rate.per_second(now);
        }
        for (order, waiting) in &self.waiting {
            demand.entry(order.priority).or_default().waiting_tokens += waiting.tokens;
        }
        demand
    }

    /// Number of waiting requests by priority.
    pub fn waiting_counts(&self) -> BTreeMap<u8, usize> {
        let mut counts: BTreeMap<u8, usize> = self.arrived.keys().map(|key| (*key, 0)).collect();
        for order in self.waiting.keys() {
            *counts.entry(order.priority).or_default() += 1;
        }
        counts
    }

    fn backlog(&self, priority: u8, start_tag: u64, now: MonoTime) -> QueueBacklog {
        let is_ahead =
            |order: &QueueOrder| (order.priority, order.start_tag) <= (priority, start_tag);
        let ahead = self.waiting.iter().filter(|(order, _)| is_ahead(order));
        QueueBacklog {
            tokens_ahead: ahead.map(|(_, waiting)| waiting.tokens).sum(),
            tokens_per_second: rate_up_to(&self.started, u8::MAX, now),
        }
    }

    /// Shortest time that the caller is told. Each priority has its own range, which ends where that of
    /// the next lower one begins, and the lowest one ends at `limit`.
    fn shortest_return(
        &self,
        priority: u8,
        tokens: f64,
        limit: Duration,
        now: MonoTime,
    ) -> Duration {
        let higher = self.arrived.range(..priority).count();
        let below = self.arrived.keys().filter(|known| **known > priority);
        let known: Vec<u8> = std::iter::once(priority).chain(below.copied()).collect();
        let count = known.len();
        let step = |(index, lower): (usize, &u8)| {
            let least = MIN_RETRY_DELAY.mul_f64(spread_over(higher + index));
            let most = limit.div_f64(spread_over(count - index));
            let delay = self.return_delay(*lower, tokens, limit, now);
            (least + delay).min(most).div_f64(spread_over(index))
        };
        let delays = known.iter().enumerate().map(step);
        delays.min().unwrap_or(limit)
    }

    fn return_delay(&self, priority: u8, tokens: f64, limit: Duration, now: MonoTime) -> Duration {
        let booked = self.booked.iter();
        let ahead: f64 = booked
            .filter(|booked| booked.priority <= priority)
            .map(|booked| booked.tokens)
            .sum();
        let seconds = (ahead + tokens) / rate_up_to(&self.started, priority, now);
        let delay = Duration::try_from_secs_f64(seconds).unwrap_or(limit);
        delay.min(limit)
    }
}

/// Factor between the return times of priorities that are this many apart.
fn spread_over(priorities: usize) -> f64 {
    RETRY_SPREAD.powf(priorities as f64)
}

fn record(rates: &mut BTreeMap<u8, TokenRate>, priority: u8, tokens: f64, now: MonoTime) {
    rates.entry(priority).or_default().record(tokens, now);
}

/// Tokens in a second of this priority and all higher ones.
fn rate_up_to(rates: &BTreeMap<u8, TokenRate>, priority: u8, now: MonoTime) -> f64 {
    let higher = rates.range(..=priority);
    higher.map(|(_, rate)| rate.per_second(now)).sum()
}
