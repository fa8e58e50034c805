//! Requests to models: an event stream that resumes at another chain when its own fails.
//!
//! An attempt that stalls is kept until another one has brought an event: its targets may only be silent
//! for a while. Whichever attempt brings the next event serves the caller from then on, and all others
//! end: each run generates its own text, so no event of one may follow those of a run that came after it.

use crate::admission::QueueOrder;
use crate::catalog::ModelShape;
use crate::ids::InstanceId;
use crate::relay::attempt::{FailedAttempt, FailureKind};
use crate::relay::closed_heads::ClosedHeads;
use crate::relay::event_progress::DeliveryProgress;
use crate::relay::exchange::{ActiveRequest, ExchangeEnd};
use crate::relay::forwarding::{ForwardStep, ReadOutcome, StreamForwarder};
use crate::relay::lending::StalledAttempt;
use crate::relay::local_reply::RefusalCause;
use crate::relay::path::NO_PATH;
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::stall::{StallDetector, StallStep};
use crate::relay::stream_chain::{ClaimFailure, claim_chain, claim_left_chain, find_next_chain};
use crate::relay::stream_failure::{
    log_failure, query_stalled_parts, record_failure, report_stalled_chain,
};
use crate::relay::stream_opening::{OpenedStream, OpeningAttempt, OpeningResult, next_opened};
use crate::relay::suspicion::check_for_crash;
use crate::relay::via_peer::relay_stream_via_peer;
use crate::targets::{LayerChain, TargetEntry};
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use crate::wire::{BodyEnd, pause_after_read};
use async_io::Timer;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Relays a request to a model and resumes the stream at other chains as long as that is allowed.
pub(super) async fn relay_stream(request: &ActiveRequest<'_>) -> ExchangeEnd {
    let Some(model) = &request.service.model else {
        return request
            .reply_locally(
                RefusalCause::NoTarget,
                "the route is for streams, but the service has no model",
            )
            .await;
    };
    if !request.is_accepted() {
        return request.refuse_while_draining().await;
    }
    StreamRelay::new(request, model).run().await
}

/// What the relay of a stream waits for.
enum RelayEvent<'a> {
    /// An attempt has something for the caller, or has failed before.
    Opened(Arc<LayerChain>, OpeningResult<'a>),
    /// The attempt that serves the caller was read from.
    Read(ReadOutcome),
    /// The newest attempt may have stalled, or the deadline has passed.
    Timer,
}

/// The attempts of one stream.
struct StreamRelay<'a> {
    request: &'a ActiveRequest<'a>,
    model: &'a ModelShape,
    state: RetryState,
    delivered: DeliveryProgress,
    /// Targets that closed the connection of an attempt.
    closed_heads: ClosedHeads,
    /// First target and start of each attempt.
    starts: Vec<(InstanceId, MonoTime)>,
    /// Place in the queue for capacity that the request had before its last attempt.
    queue_order: Option<QueueOrder>,
    /// Detail of a local reply.
    detail: String,
    /// Attempt that serves the caller.
    current: Option<StreamForwarder<'a>>,
    /// First targets of attempts that were given up although they had not failed. Each may resume the
    /// stream once when the route allows no further target.
    left: Vec<InstanceId>,
    /// Attempts that have not brought anything yet, the newest one last.
    openings: Vec<OpeningAttempt<'a>>,
    /// The silence of the newest attempt, once it has stalled.
    stall: Option<StallRecord>,
}

/// What was done about a stalled attempt.
#[derive(Debug, Clone, Copy)]
struct StallRecord {
    /// Time at which another chain was last looked for.
    last_look: MonoTime,
    /// True when its chain counts as failing.
    is_reported: bool,
    /// Why no other chain took the stream over at the last look.
    failure: Option<ClaimFailure>,
}

impl<'a> StreamRelay<'a> {
    fn new(request: &'a ActiveRequest<'a>, model: &'a ModelShape) -> Self {
        Self {
            request,
            model,
            state: request.new_retry_state(),
            delivered: DeliveryProgress {
                head_sent: false,
                last_id: request.metadata.resume_after,
            },
            closed_heads: ClosedHeads::default(),
            starts: Vec::new(),
            queue_order: None,
            detail: String::from("no chain has room"),
            current: None,
            left: Vec::new(),
            openings: Vec::new(),
            stall: None,
        }
    }

    async fn run(mut self) -> ExchangeEnd {
        loop {
            if self.current.is_none() && self.openings.is_empty() {
                if self.request.must_move(&self.state) {
                    return self.request.refuse_while_draining().await;
                }
                if let Some(end) = self.pass_on().await {
                    return end;
                }
                if self.request.has_silent_path() && !self.delivered.head_sent {
                    self.detail = String::from(NO_PATH);
                    let step = self.state.final_step();
                    return self.end(step).await;
                }
                match self.find_chain().await {
                    Ok(chain) => self.start_attempt(&chain),
                    Err(step) => return self.end(step).await,
                }
            }
            let end = match self.next_event().await {
                RelayEvent::Opened(_, Ok(opened)) => self.on_opened(*opened).await,
                RelayEvent::Opened(chain, Err(failed)) => {
                    self.on_failure(&chain, &failed).await;
                    None
                }
                RelayEvent::Read(outcome) => {
                    let count = outcome.count();
                    let end = self.on_read(outcome).await;
                    pause_after_read(count).await;
                    end
                }
                RelayEvent::Timer => {
                    self.on_timer().await;
                    None
                }
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Has the rest of the stream served by another daemon, if this one has lost its path to the targets.
    async fn pass_on(&mut self) -> Option<ExchangeEnd> {
        if !self.request.is_for_peer() {
            return None;
        }
        relay_stream_via_peer(self.request, &mut self.state, &mut self.delivered).await
    }

    /// Finds the chain of the next attempt: another one, or else that of a target that was left.
    async fn find_chain(&mut self) -> std::result::Result<Arc<LayerChain>, RetryStep> {
        let found = find_next_chain(
            self.request,
            self.model,
            &mut self.state,
            &self.closed_heads,
            &self.delivered,
            &mut self.queue_order,
            &mut self.detail,
        );
        let step = match found.await {
            Ok(chain) => return Ok(chain),
            Err(step) => step,
        };
        while let Some(head) = self.left.pop() {
            let claimed = claim_left_chain(self.request, &self.state, &head).await;
            if let Some(chain) = claimed {
                self.log_return(&chain);
                return Ok(chain);
            }
        }
        Err(step)
    }

    fn start_attempt(&mut self, chain: &Arc<LayerChain>) {
        let opening = OpeningAttempt::start(self.request, &self.state, chain, &self.delivered);
        let now = self.request.context.clock.now();
        self.starts.push((chain.head().id.clone(), now));
        self.state.on_start(&chain.head().id);
        self.openings.push(opening);
        self.stall = None;
    }

    async fn next_event(&mut self) -> RelayEvent<'a> {
        let now = self.request.context.clock.now();
        if self.state.time_left(now).is_zero() {
            // Also when there is always something to read.
            return RelayEvent::Timer;
        }
        let pause = self.pause(now);
        let Self {
            current, openings, ..
        } = self;
        let read = async {
            match current {
                Some(forwarder) => RelayEvent::Read(forwarder.read().await),
                None => std::future::pending().await,
            }
        };
        let opened = async {
            let (chain, result) = next_opened(openings).await;
            RelayEvent::Opened(chain, result)
        };
        let timer = async {
            Timer::after(pause).await;
            RelayEvent::Timer
        };
        // In this order, so that the attempt that serves the caller is preferred.
        or(read, or(opened, timer)).await
    }

    /// Time until [`Self::on_timer`] has something to do.
    fn pause(&self, now: MonoTime) -> Duration {
        let step = self.newest().map(|(_, detector)| detector.next_step(now));
        let pause = match (step, self.stall) {
            (Some(StallStep::Wait(pause)), _) => pause,
            (Some(StallStep::SeekOther(interval)), Some(stall)) => {
                interval.saturating_sub(now.since(stall.last_look))
            }
            _ => Duration::ZERO,
        };
        pause.min(self.state.time_left(now))
    }

    /// Chain and stall detection of the newest attempt.
    fn newest(&self) -> Option<(&Arc<LayerChain>, StallDetector)> {
        let opening = self.openings.last();
        let opening = opening.map(|opening| (&opening.chain, opening.detector));
        let current = self.current.as_ref();
        opening.or_else(|| current.map(|current| (&current.chain, current.detector)))
    }

    /// An attempt has brought an event or the end of its response: it serves the caller from now on.
    async fn on_opened(&mut self, opened: OpenedStream<'a>) -> Option<ExchangeEnd> {
        self.drop_stalled();
        self.current = Some(opened.forwarder);
        self.delivered = opened.delivered;
        self.on_step(opened.step, opened.output).await
    }

    async fn on_read(&mut self, outcome: ReadOutcome) -> Option<ExchangeEnd> {
        let mut output = Vec::new();
        let current = self.current.as_mut()?;
        let idle_time = current.detector.idle_time(self.request.context.clock.now());
        let events = current.events();
        let step = current.on_read(outcome, &mut self.delivered, &mut output);
        let brings_events = current.events() > events;
        if brings_events {
            self.end_stall(idle_time);
        }
        self.on_step(step, output).await
    }

    /// Sends what the attempt that serves the caller has brought, and takes the next step.
    async fn on_step(&mut self, step: ForwardStep, output: Vec<u8>) -> Option<ExchangeEnd> {
        if let ForwardStep::Finish(end) = step {
            return Some(self.finish(end, output).await);
        }
        // Sent also when the attempt has failed: the stream goes on after these events.
        if !output.is_empty() && !self.request.send(&output).await {
            return Some(ExchangeEnd::Truncated);
        }
        if let ForwardStep::Fail(failed) = step
            && let Some(mut current) = self.current.take()
        {
            current.suspicion.on_failure(&failed);
            self.on_failure(&current.chain, &failed).await;
        }
        None
    }

    async fn finish(&mut self, end: BodyEnd, output: Vec<u8>) -> ExchangeEnd {
        let Some(current) = self.current.take() else {
            return ExchangeEnd::Truncated;
        };
        match current.finish(end, &mut self.delivered, output).await {
            Some(status) => {
                self.request.log_success(status, self.state.retries());
                ExchangeEnd::Relayed(status)
            }
            None => ExchangeEnd::Truncated,
        }
    }

    /// Records the failure of an attempt that is over.
    async fn on_failure(&mut self, chain: &LayerChain, failed: &FailedAttempt) {
        let head = &chain.head().id;
        self.detail = format!("{} at {head}", failed.cause);
        let started = self.start_of(head);
        let target = record_failure(self.request, chain, failed, &self.delivered, started);
        check_for_crash(self.request, &target, failed).await;
        if failed.kind == FailureKind::Disconnected {
            self.note_closed_head(chain.head());
        }
        let now = self.request.context.clock.now();
        self.state.on_failure(head, failed.failure, now);
        self.stall = None;
    }

    fn note_closed_head(&mut self, head: &Arc<TargetEntry>) {
        if let Some(started) = self.start_of(&head.id) {
            self.closed_heads.add(head, started);
        }
    }

    /// Start of the last attempt at this first target.
    fn start_of(&self, head: &InstanceId) -> Option<MonoTime> {
        let mut starts = self.starts.iter().rev();
        let (_, started) = starts.find(|(id, _)| id == head)?;
        Some(*started)
    }

    /// Ends all attempts when the deadline has passed; else looks for another chain if the newest
    /// attempt has stalled.
    async fn on_timer(&mut self) {
        let now = self.request.context.clock.now();
        if self.state.time_left(now).is_zero() {
            return self.expire().await;
        }
        let Some((chain, detector)) = self.newest() else {
            return;
        };
        let chain = Arc::clone(chain);
        if let StallStep::Wait(_) = detector.next_step(now) {
            return;
        }
        self.note_stall(&chain, detector);
        if !self.request.route.retry_rule.allows_reexecution() {
            return;
        }
        if self.request.is_for_peer() && self.request.has_silent_path() {
            return self.give_up_attempts();
        }
        self.state.set_ended(self.closed_heads.count_ended());
        let running = if detector.is_broken(now) {
            StalledAttempt::Broken
        } else {
            StalledAttempt::Slow
        };
        let claimed = claim_chain(self.request, &self.state, &self.delivered, running).await;
        // Whether or not a retry is left: new requests are not to wait at the same chain.
        let is_broken = running == StalledAttempt::Broken || detector.is_long_stalled(now);
        let is_overdue = claimed.is_ok() || is_broken;
        if is_overdue && let Some(stall) = &mut self.stall {
            if !stall.is_reported {
                report_stalled_chain(self.request.context, &chain);
            }
            stall.is_reported = true;
        }
        match claimed {
            Ok(claimed) => self.start_attempt(&claimed),
            Err(failure) => self.note_claim_failure(&chain, detector, failure),
        }
    }

    /// Logs why a stalled stream stays where it is, whenever the reason changes.
    fn note_claim_failure(
        &mut self,
        chain: &LayerChain,
        detector: StallDetector,
        failure: ClaimFailure,
    ) {
        let Some(stall) = &mut self.stall else {
            return;
        };
        if stall.failure.replace(failure) == Some(failure) {
            return;
        }
        let now = self.request.context.clock.now();
        let line = self.request.log_line("stall_kept");
        let line = line.with_display("cause", failure);
        self.log_attempt(line, chain, detector.idle_time(now));
    }

    /// Ends all attempts, as their connections are silent for want of a path to the targets.
    fn give_up_attempts(&mut self) {
        let failed = no_event_in_time();
        for chain in self.take_attempts(&failed) {
            self.log_dropped(&chain, &failed);
        }
    }

    /// Notes that the newest attempt has stalled and that another chain is looked for.
    fn note_stall(&mut self, chain: &LayerChain, detector: StallDetector) {
        let now = self.request.context.clock.now();
        if let Some(stall) = &mut self.stall {
            stall.last_look = now;
            return;
        }
        self.stall = Some(StallRecord {
            last_look: now,
            is_reported: false,
            failure: None,
        });
        query_stalled_parts(self.request.context, chain);
        let line = self.request.log_line("attempt_stalled");
        self.log_attempt(line, chain, detector.idle_time(now));
    }

    /// The attempt that serves the caller goes on after a stall: those that were to replace it are
    /// dropped.
    fn end_stall(&mut self, idle_time: Duration) {
        if self.stall.is_none() && self.openings.is_empty() {
            return;
        }
        self.stall = None;
        if let Some(current) = &self.current {
            let line = self.request.log_line("stall_over");
            self.log_attempt(line, &current.chain, idle_time);
            current.chain.head().stats.clear_ejection();
        }
        let now = self.request.context.clock.now();
        for opening in std::mem::take(&mut self.openings) {
            let idle_time = opening.detector.idle_time(now);
            let line = self.request.log_line("attempt_dropped");
            self.log_attempt(line, &opening.chain, idle_time);
            let head = &opening.chain.head().id;
            self.state
                .on_failure(head, RelayFailure::OutcomeUnknown, now);
            self.left.push(head.clone());
        }
    }

    /// Another attempt has brought something: those that have stalled are dropped.
    fn drop_stalled(&mut self) {
        self.stall = None;
        let failed = no_event_in_time();
        for chain in self.take_attempts(&failed) {
            self.log_dropped(&chain, &failed);
            self.left.push(chain.head().id.clone());
        }
    }

    /// Records a stalled attempt that was dropped for another one.
    fn log_dropped(&mut self, chain: &LayerChain, failed: &FailedAttempt) {
        let now = self.request.context.clock.now();
        self.state.on_failure(&chain.head().id, failed.failure, now);
        log_failure(self.request, chain, chain.head(), failed, &self.delivered);
    }

    /// The deadline has passed.
    async fn expire(&mut self) {
        let failed = no_event_in_time();
        for chain in self.take_attempts(&failed) {
            self.on_failure(&chain, &failed).await;
        }
    }

    /// Ends all attempts; returns their chains.
    fn take_attempts(&mut self, failed: &FailedAttempt) -> Vec<Arc<LayerChain>> {
        let openings = std::mem::take(&mut self.openings);
        let mut chains: Vec<_> = openings.into_iter().map(|opening| opening.chain).collect();
        if let Some(mut forwarder) = self.current.take() {
            forwarder.suspicion.on_failure(failed);
            chains.push(Arc::clone(&forwarder.chain));
        }
        chains
    }

    /// Logs that a target that was left resumes the stream.
    fn log_return(&self, chain: &LayerChain) {
        let line = self
            .request
            .log_line("left_target_resumes")
            .with_display("target", &chain.head().id)
            .with("last_event", self.delivered.last_id);
        self.request.context.events.emit(line);
    }

    fn log_attempt(&self, line: EventLine, chain: &LayerChain, idle_time: Duration) {
        let line = line
            .with_display("target", &chain.head().id)
            .with("last_event", self.delivered.last_id);
        let context = self.request.context;
        context
            .events
            .emit(line.with("idle_ms", idle_time.as_millis() as u64));
    }

    /// Ends the request without a further attempt. A response that has begun is truncated, any other
    /// request gets a local reply.
    async fn end(self, step: RetryStep) -> ExchangeEnd {
        let request = self.request;
        if !self.delivered.head_sent {
            let cause = request.final_cause(&self.state, step);
            return request.reply_locally(cause, &self.detail).await;
        }
        let context = request.context;
        let version = context.catalog.load().map(|catalog| catalog.version);
        let line = request
            .log_line("broken_off")
            .with("detail", self.detail.as_str())
            .with("last_event", self.delivered.last_id);
        context.events.emit(line.with("version", version));
        ExchangeEnd::Truncated
    }
}

fn no_event_in_time() -> FailedAttempt {
    FailedAttempt::timed_out("no event in time")
}
