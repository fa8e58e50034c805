//! Admission of requests: first the limit of the team, then the fair queue of the model.

use crate::admission::metrics::AdmissionMetrics;
use crate::admission::{
    AdmissionDecision, AdmissionSettings, AdmissionTicket, BucketOutcome, ConcurrencyLimit,
    DemandRow, DemandTable, FairQueue, QueueRequest, TokenBucket,
};
use crate::config::TeamSpec;
use crate::http::{ProblemKind, ProblemResponse};
use crate::ids::{InstanceId, ModelId, TeamId};
use crate::kernel::MonoClock;
use crate::telemetry::MetricSet;
use crate::units::MonoTime;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Result of admission.
pub type Result<T> = std::result::Result<T, ProblemResponse>;

/// A request that asks for admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Team of the caller.
    pub team: Arc<TeamSpec>,
    /// Requested model.
    pub model: ModelId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
}

/// Admission of all models on one daemon; cheap to clone.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    inner: Arc<GateInner>,
}

#[derive(Debug)]
struct GateInner {
    clock: MonoClock,
    settings: AdmissionSettings,
    /// Highest concurrency limit of a model.
    ceiling: usize,
    metrics: AdmissionMetrics,
    models: Mutex<HashMap<ModelId, ModelGate>>,
    teams: Mutex<TeamLimits>,
}

/// Admission state of one model.
#[derive(Debug)]
struct ModelGate {
    queue: FairQueue,
    limit: ConcurrencyLimit,
    /// Signals of the waiting requests: a message starts the request, closing it refuses the
    /// request.
    waiting: HashMap<AdmissionTicket, Sender<()>>,
    /// Expected length of an answer: moving average of the generated tokens.
    expected_tokens: f64,
}

/// Token buckets and demand of the teams with a limit.
#[derive(Debug, Default)]
struct TeamLimits {
    buckets: HashMap<TeamId, TokenBucket>,
    demand: DemandTable,
}

/// Expected length of an answer before the first one has ended, in tokens.
const INITIAL_EXPECTED_TOKENS: f64 = 128.0;
/// Weight of the newest answer in the moving average of answer lengths.
const ANSWER_GAIN: f64 = 0.05;

impl AdmissionGate {
    /// Creates a gate that admits at most `ceiling` requests in progress per model.
    ///
    /// # Errors
    /// When the metrics are registered already.
    pub fn new(
        clock: MonoClock,
        settings: AdmissionSettings,
        ceiling: usize,
        set: &MetricSet,
    ) -> std::result::Result<Self, prometheus::Error> {
        let inner = GateInner {
            clock,
            settings,
            ceiling,
            metrics: AdmissionMetrics::new(set)?,
            models: Mutex::default(),
            teams: Mutex::default(),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Waits for admission, at most for `queue_ms` of the settings.
    ///
    /// # Errors
    /// `RateLimited` when the team is over its token limit, `Overloaded` when the model has no
    /// capacity in time; both with a Retry-After time. The request was not executed.
    pub async fn admit(&self, request: &AdmissionRequest) -> Result<AdmissionPermit> {
        let start = self.inner.clock.now();
        let charge = self.inner.charge_team(request, start)?;
        let mut charge = ChargeGuard {
            gate: self.clone(),
            team: request.team.team.clone(),
            charged: charge,
            armed: true,
        };
        match self.enter_queue(request, start) {
            QueueEntry::Started => {}
            QueueEntry::Refused(delay) => return Err(self.inner.overloaded(delay)),
            QueueEntry::Waiting(place) => {
                let limit = Duration::from_millis(self.inner.settings.queue_ms);
                if !place.wait(limit).await {
                    return Err(self
                        .inner
                        .overloaded(self.inner.retry_after(&request.model)));
                }
            }
        }
        charge.armed = false;
        let waited = self.inner.clock.now().since(start).as_secs_f64();
        self.inner.metrics.count("admitted");
        let wait = &self.inner.metrics.wait;
        wait.with_label_values(&[request.model.as_str()])
            .observe(waited);
        Ok(AdmissionPermit {
            gate: self.clone(),
            request: request.clone(),
            charged: charge.charged,
            generated: 0,
            start: self.inner.clock.now(),
        })
    }

    /// Records the time that an answer waited for its next token, and adapts the concurrency limit.
    pub fn observe_gap(&self, model: &ModelId, gap: Duration) {
        let now = self.inner.clock.now();
        let mut models = self.inner.models();
        let Some(gate) = models.get_mut(model) else {
            return;
        };
        gate.limit.observe(gap);
        gate.limit.update(now, gate.queue.in_use());
        let started = gate.queue.set_limit(gate.limit.get());
        gate.signal(started);
    }

    /// Ends a period of demand that lasted `span`; returns the demand to send to the peers.
    pub fn end_demand_period(&self, span: Duration) -> Vec<DemandRow> {
        self.inner.teams().demand.end_period(span)
    }

    /// Records the demand that a peer sees.
    pub fn merge_peer_demand(&self, instance: &InstanceId, rows: &[DemandRow]) {
        let now = self.inner.clock.now();
        self.inner.teams().demand.merge_peer(instance, rows, now);
    }

    /// Updates the gauges.
    pub fn update_gauges(&self) {
        let models = self.inner.models();
        for (model, gate) in models.iter() {
            let load = &self.inner.metrics.load;
            let set = |state: &str, value: usize| {
                load.with_label_values(&[model.as_str(), state])
                    .set(value.cast_signed() as i64);
            };
            set("running", gate.queue.in_use());
            set("waiting", gate.queue.waiting());
            set("limit", gate.limit.get());
        }
    }

    fn enter_queue(&self, request: &AdmissionRequest, now: MonoTime) -> QueueEntry {
        let queue_request = QueueRequest {
            team: request.team.team.clone(),
            priority: request.team.priority,
            weight: request.team.weight,
            cost: self.inner.expected_cost(request),
        };
        let mut models = self.inner.models();
        let gate = models
            .entry(request.model.clone())
            .or_insert_with(|| self.inner.new_model(now));
        match gate.queue.submit(&queue_request, now) {
            AdmissionDecision::Start(_ticket) => QueueEntry::Started,
            AdmissionDecision::Refuse(delay) => QueueEntry::Refused(delay),
            AdmissionDecision::Wait {
                ticket, evicted, ..
            } => {
                if let Some(evicted) = evicted {
                    // Dropping the sender closes the signal, so the evicted request is refused.
                    gate.waiting.remove(&evicted);
                }
                let (sender, signal) = bounded(1);
                gate.waiting.insert(ticket, sender);
                QueueEntry::Waiting(QueuePlace {
                    gate: self.clone(),
                    model: request.model.clone(),
                    team: request.team.team.clone(),
                    ticket,
                    signal,
                    resolved: false,
                })
            }
        }
    }

    /// Refunds what a request did not use, updates the expected length and ends the request.
    fn release(&self, permit: &AdmissionPermit) {
        let now = self.inner.clock.now();
        let used = f64::from(permit.request.prompt_tokens) + f64::from(permit.generated);
        self.inner
            .settle(&permit.request.team.team, permit.charged - used, now);
        let model = &permit.request.model;
        if let Some(gate) = self.inner.models().get_mut(model) {
            let difference = f64::from(permit.generated) - gate.expected_tokens;
            gate.expected_tokens += difference * ANSWER_GAIN;
        }
        self.inner
            .finish(model, &permit.request.team.team, now.since(permit.start));
    }
}

/// Result of entering the queue.
enum QueueEntry {
    Started,
    Waiting(QueuePlace),
    Refused(Duration),
}

impl GateInner {
    fn models(&self) -> MutexGuard<'_, HashMap<ModelId, ModelGate>> {
        self.models.lock().expect("model lock is never poisoned")
    }

    fn teams(&self) -> MutexGuard<'_, TeamLimits> {
        self.teams.lock().expect("team lock is never poisoned")
    }

    fn new_model(&self, now: MonoTime) -> ModelGate {
        let limit = ConcurrencyLimit::new(self.settings.limit(self.ceiling), now);
        ModelGate {
            queue: FairQueue::new(self.settings.queue(), limit.get()),
            limit,
            waiting: HashMap::new(),
            expected_tokens: INITIAL_EXPECTED_TOKENS,
        }
    }

    fn expected_cost(&self, request: &AdmissionRequest) -> f64 {
        let models = self.models();
        let gate = models.get(&request.model);
        let expected = gate.map_or(INITIAL_EXPECTED_TOKENS, |gate| gate.expected_tokens);
        f64::from(request.prompt_tokens) + expected.min(f64::from(request.max_tokens))
    }

    /// Charges the expected cost to the team's bucket and returns it.
    fn charge_team(&self, request: &AdmissionRequest, now: MonoTime) -> Result<f64> {
        let cost = self.expected_cost(request);
        let Some(rate) = request.team.tokens_per_second else {
            return Ok(cost);
        };
        let mut guard = self.teams();
        let teams = &mut *guard;
        let team = &request.team.team;
        teams.demand.record_tokens(team, cost);
        let rate = rate * teams.demand.limit_share(team, now);
        let burst = rate * self.settings.burst_seconds;
        let bucket = teams.buckets.entry(team.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(rate, burst, now));
        bucket.set_rate(rate, burst, now);
        match bucket.take(cost, now) {
            BucketOutcome::Taken => Ok(cost),
            BucketOutcome::Empty(wait) => {
                self.metrics.count("over_limit");
                let detail = format!("team {team} is over its limit of tokens per second");
                Err(
                    ProblemResponse::not_executed(ProblemKind::RateLimited, detail)
                        .retry_after(wait),
                )
            }
        }
    }

    fn settle(&self, team: &TeamId, difference: f64, now: MonoTime) {
        if let Some(bucket) = self.teams().buckets.get_mut(team) {
            bucket.adjust(difference, now);
        }
    }

    /// Ends a request that was in progress for `held` and starts the next ones.
    fn finish(&self, model: &ModelId, team: &TeamId, held: Duration) {
        if let Some(gate) = self.models().get_mut(model) {
            let started = gate.queue.finish(team, held);
            gate.signal(started);
        }
    }

    fn retry_after(&self, model: &ModelId) -> Duration {
        let models = self.models();
        models
            .get(model)
            .map_or(Duration::ZERO, |gate| gate.queue.retry_after())
    }

    fn overloaded(&self, delay: Duration) -> ProblemResponse {
        self.metrics.count("overloaded");
        let detail = "the model has no capacity for the request in time";
        ProblemResponse::not_executed(ProblemKind::Overloaded, detail).retry_after(delay)
    }
}

impl ModelGate {
    /// Signals to waiting requests that they have started.
    fn signal(&mut self, started: Vec<AdmissionTicket>) {
        for ticket in started {
            if let Some(sender) = self.waiting.remove(&ticket)
                && sender.try_send(()).is_err()
            {
                // The request gave up at this moment; it releases its place as it leaves the queue.
            }
        }
    }
}

/// Place in the queue; dropping it leaves the queue.
struct QueuePlace {
    gate: AdmissionGate,
    model: ModelId,
    team: TeamId,
    ticket: AdmissionTicket,
    signal: Receiver<()>,
    /// True once the request has started or left the queue.
    resolved: bool,
}

impl QueuePlace {
    /// Waits for at most `limit`; true when the request has started.
    async fn wait(mut self, limit: Duration) -> bool {
        if let Ok(Ok(())) = timeout(limit, self.signal.recv()).await {
            self.resolved = true;
            return true;
        }
        self.leave()
    }

    /// Leaves the queue; true when the request has started in the meantime.
    fn leave(&mut self) -> bool {
        self.resolved = true;
        let mut models = self.gate.inner.models();
        let Some(gate) = models.get_mut(&self.model) else {
            return false;
        };
        if gate.waiting.remove(&self.ticket).is_some() {
            gate.queue.abandon(self.ticket);
            return false;
        }
        self.signal.try_recv().is_ok()
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if !self.resolved && self.leave() {
            self.gate
                .inner
                .finish(&self.model, &self.team, Duration::ZERO);
        }
    }
}

/// Expected cost that is refunded when the request is not admitted.
struct ChargeGuard {
    gate: AdmissionGate,
    team: TeamId,
    charged: f64,
    /// True until the request is admitted.
    armed: bool,
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if self.armed {
            let now = self.gate.inner.clock.now();
            self.gate.inner.settle(&self.team, self.charged, now);
        }
    }
}

/// Permission to run one request. Dropping it releases the place and refunds the unused part of the
/// charged cost.
#[derive(Debug)]
pub struct AdmissionPermit {
    gate: AdmissionGate,
    request: AdmissionRequest,
    charged: f64,
    generated: u32,
    start: MonoTime,
}

impl AdmissionPermit {
    /// Counts a generated token.
    pub fn count_token(&mut self) {
        self.generated += 1;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.release(self);
    }
}
