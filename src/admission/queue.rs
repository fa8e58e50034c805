//! Fair queue of one model: start-time fair queueing between teams by cost and weight, priority
//! classes before it, and refusal at once of what cannot start in time.

use crate::ids::TeamId;
use crate::units::MonoTime;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueSettings {
    /// Longest time a request may wait.
    pub max_wait: Duration,
    /// Most requests that wait.
    pub max_entries: usize,
}

/// Number of a request within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// A request that wants to start.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRequest {
    /// Team.
    pub team: TeamId,
    /// Priority class, 0 is the most important.
    pub priority: u8,
    /// Team's weight.
    pub weight: u32,
    /// Expected cost, in tokens.
    pub cost: f64,
}

/// What happens to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// It starts now.
    Start(AdmissionTicket),
    /// It waits, at most until the time given. Another request may have to give up its place.
    Wait {
        /// Its ticket.
        ticket: AdmissionTicket,
        /// When it must be refused.
        deadline: MonoTime,
        /// Request that must be refused now to make room.
        evicted: Option<AdmissionTicket>,
    },
    /// It is refused; coming back may help after this time.
    Refuse(Duration),
}

/// Order of waiting requests: priority class, then start tag, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueOrder {
    priority: u8,
    start_tag: u64,
    ticket: AdmissionTicket,
}

/// Tags count thousandths of a token per unit of weight.
const TAG_SCALE: f64 = 1_000.0;
/// Weight of the newest sample in the moving average of the time in progress.
const HOLD_SHARE: f64 = 0.1;
/// Shortest and longest time named to a refused caller.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(30));
/// Teams remembered; idle ones are forgotten beyond this number.
const MAX_TEAMS: usize = 4_096;

/// Part of the limit, as a divisor, that is added for teams without any request in progress.
const RESERVE_DIVISOR: usize = 4;

/// Fair queue with its requests in progress.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    limit: usize,
    in_use: usize,
    next_ticket: u64,
    virtual_time: u64,
    finish_tags: HashMap<TeamId, u64>,
    running: HashMap<TeamId, usize>,
    /// Teams whose only request in progress was started above the limit.
    reserved: HashSet<TeamId>,
    waiting: BTreeSet<QueueOrder>,
    orders: HashMap<AdmissionTicket, (QueueOrder, TeamId)>,
    hold_time: HoldTime,
}

/// Moving average of the time that requests are in progress.
#[derive(Debug, Clone, Copy, Default)]
struct HoldTime(Option<f64>);

impl HoldTime {
    fn observe(&mut self, held: Duration) {
        let sample = held.as_secs_f64();
        let average = |old: f64| old + (sample - old) * HOLD_SHARE;
        self.0 = Some(self.0.map_or(sample, average));
    }

    /// Time until `count` requests have ended while `running` are in progress; `None` while no
    /// request has ended yet.
    fn time_for(self, count: usize, running: usize) -> Option<Duration> {
        let seconds = self.0? * count as f64 / running.max(1) as f64;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

impl FairQueue {
    /// Creates an empty queue that lets `limit` requests be in progress.
    pub fn new(settings: QueueSettings, limit: usize) -> Self {
        Self {
            settings,
            limit,
            in_use: 0,
            next_ticket: 0,
            virtual_time: 0,
            finish_tags: HashMap::new(),
            running: HashMap::new(),
            reserved: HashSet::new(),
            waiting: BTreeSet::new(),
            orders: HashMap::new(),
            hold_time: HoldTime::default(),
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

    /// Changes the limit; requests that may start now.
    pub fn set_limit(&mut self, limit: usize) -> Vec<AdmissionTicket> {
        self.limit = limit;
        self.forget_reserved();
        self.start_waiting()
    }

    /// Takes an offer.
    pub fn submit(&mut self, offer: &QueueRequest, now: MonoTime) -> AdmissionDecision {
        if self.has_room() || self.has_reserve(&offer.team) {
            let order = self.tag(offer);
            self.start(order, &offer.team);
            return AdmissionDecision::Start(order.ticket);
        }
        let start_tag = self.start_tag(&offer.team);
        let ahead = self.count_ahead(offer.priority, start_tag);
        let wait = self.time_for(ahead + 1);
        if wait.is_some_and(|wait| wait > self.settings.max_wait) {
            return AdmissionDecision::Refuse(bound_retry(wait.unwrap_or_default()));
        }
        let Ok(evicted) = self.make_room(offer.priority, start_tag) else {
            return AdmissionDecision::Refuse(bound_retry(wait.unwrap_or_default()));
        };
        let order = self.tag(offer);
        self.waiting.insert(order);
        self.orders
            .insert(order.ticket, (order, offer.team.clone()));
        AdmissionDecision::Wait {
            ticket: order.ticket,
            deadline: now.after(self.settings.max_wait),
            evicted,
        }
    }

    /// Ends a team's request that was in progress for `held`; requests that may start now.
    pub fn finish(&mut self, team: &TeamId, held: Duration) -> Vec<AdmissionTicket> {
        if let Some(running) = self.running.get_mut(team) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(team);
                self.reserved.remove(team);
            }
        }
        self.hold_time.observe(held);
        self.in_use = self.in_use.saturating_sub(1);
        self.forget_reserved();
        self.start_waiting()
    }

    /// Takes a request out of the queue; false when it was not waiting any more.
    pub fn abandon(&mut self, ticket: AdmissionTicket) -> bool {
        let entry = self.orders.remove(&ticket);
        entry.is_some_and(|(order, _team)| self.waiting.remove(&order))
    }

    /// When a request refused now may come back.
    pub fn retry_after(&self) -> Duration {
        bound_retry(self.time_for(self.waiting.len() + 1).unwrap_or_default())
    }

    fn time_for(&self, count: usize) -> Option<Duration> {
        self.hold_time.time_for(count, self.in_use)
    }

    fn has_room(&self) -> bool {
        self.waiting.is_empty() && self.in_use < self.limit
    }

    /// True when a place above the limit is free for a team without any request in progress. So no
    /// team starves while requests are long and the queue time is too short to see one end. Requests
    /// that were started within a limit that has fallen since take no place of the reserve.
    fn has_reserve(&self, team: &TeamId) -> bool {
        let reserve = (self.limit / RESERVE_DIVISOR).max(1);
        let above = self.in_use.saturating_sub(self.limit);
        !self.running.contains_key(team) && self.reserved.len().min(above) < reserve
    }

    /// Within the limit no request takes a place of the reserve.
    fn forget_reserved(&mut self) {
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
                .orders
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
        self.virtual_time = self.virtual_time.max(order.start_tag);
    }

    fn start_tag(&self, team: &TeamId) -> u64 {
        let finish = self.finish_tags.get(team).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    /// Gives an offer its place in the order and charges its team.
    fn tag(&mut self, offer: &QueueRequest) -> QueueOrder {
        let start_tag = self.start_tag(&offer.team);
        let length = (offer.cost * TAG_SCALE / f64::from(offer.weight.max(1))) as u64;
        self.forget_idle();
        self.finish_tags
            .insert(offer.team.clone(), start_tag + length);
        let ticket = AdmissionTicket(self.next_ticket);
        self.next_ticket += 1;
        QueueOrder {
            priority: offer.priority,
            start_tag,
            ticket,
        }
    }

    fn forget_idle(&mut self) {
        if self.finish_tags.len() >= MAX_TEAMS {
            let now = self.virtual_time;
            self.finish_tags.retain(|_team, finish| *finish > now);
        }
    }

    fn count_ahead(&self, priority: u8, start_tag: u64) -> usize {
        let own = QueueOrder {
            priority,
            start_tag,
            ticket: AdmissionTicket(u64::MAX),
        };
        self.waiting.range(..own).count()
    }

    /// Makes room for one more waiting request by giving up the last in order, if that one comes
    /// after the new one.
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

fn bound_retry(wait: Duration) -> Duration {
    wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1)
}
