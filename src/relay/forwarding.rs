//! Forwards the events of one attempt to the caller.
//!
//! Only complete events are forwarded, each exactly once and in order, so that the stream can be
//! resumed after the last forwarded event. Events are identified by their ids, see
//! [`classify_event`].

use crate::relay::attempt::{FailedAttempt, PendingResponse, keep_connection};
use crate::relay::choice::{ChainRequirement, pick_chain};
use crate::relay::event_progress::{DeliveryProgress, EventVerdict, classify_event, is_cut_off};
use crate::relay::exchange::{ActiveRequest, forward_head};
use crate::relay::retry::{RelayFailure, RetryState, RetryStep};
use crate::relay::stall::{StallDetector, StallStep};
use crate::relay::suspicion::AttemptSuspicion;
use crate::targets::LayerChain;
use crate::wire::{BodyEnd, BodyStep, EventSplitter, StreamError};
use async_std::future::timeout;

/// Longest event, and longest body that holds none.
const MAX_EVENT_BYTES: usize = 512 * 1024;

/// Outcome of an attempt.
pub(super) enum StreamEnd {
    /// The stream is complete; its response had this status.
    Complete(u16),
    /// The caller closed its connection.
    CallerGone,
    /// The attempt failed.
    Failed(FailedAttempt),
}

/// Forwards the events of one attempt.
pub(super) struct StreamForwarder<'a> {
    /// Request that is served.
    pub request: &'a ActiveRequest<'a>,
    /// Chain that serves the attempt.
    pub chain: &'a LayerChain,
    /// Retry state before this attempt.
    pub state: &'a RetryState,
    /// Stall detection for this attempt.
    pub detector: StallDetector,
    /// Suspicion that the request crashes a target in this attempt.
    pub suspicion: AttemptSuspicion<'a>,
}

/// What to do after the bytes that have arrived were decoded.
enum ForwardStep {
    /// Wait for more bytes from the target.
    ReadMore,
    /// Send what is left: the stream is complete.
    Finish,
    /// Give the attempt up.
    Fail(FailedAttempt),
}

/// Outcome of waiting for bytes from the target.
enum ReadOutcome {
    Bytes,
    /// The target closed the connection where the response may end.
    End,
    Failed(FailedAttempt),
}

impl StreamForwarder<'_> {
    /// Forwards events until the stream ends or fails.
    pub(super) async fn run(
        mut self,
        response: PendingResponse,
        delivered: &mut DeliveryProgress,
    ) -> StreamEnd {
        let end = self.forward(response, delivered).await;
        if let StreamEnd::Failed(failed) = &end {
            self.suspicion.on_failure(failed);
        }
        end
    }

    async fn forward(
        &mut self,
        mut response: PendingResponse,
        delivered: &mut DeliveryProgress,
    ) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        loop {
            let step = self.take_input(&mut response, &mut splitter, delivered, &mut output);
            if let ForwardStep::Finish = step {
                let end = BodyEnd::Framed;
                return self
                    .finish(response, end, &splitter, delivered, output)
                    .await;
            }
            // Sent also when the attempt has failed: the stream goes on after these events.
            if !output.is_empty() && !self.request.send(&output).await {
                return StreamEnd::CallerGone;
            }
            output.clear();
            if let ForwardStep::Fail(failed) = step {
                return StreamEnd::Failed(failed);
            }
            match self.read_more(&mut response, delivered).await {
                ReadOutcome::Bytes => {}
                ReadOutcome::End => {
                    // The target has closed the connection, so it cannot be reused.
                    response.written = false;
                    self.record_end(BodyEnd::Closed, &splitter, delivered);
                    if is_cut_off(&response.head, &splitter) {
                        let cause = "connection closed inside an event";
                        return StreamEnd::Failed(FailedAttempt::disconnected(cause));
                    }
                    let end = BodyEnd::Closed;
                    return self
                        .finish(response, end, &splitter, delivered, output)
                        .await;
                }
                ReadOutcome::Failed(failed) => return StreamEnd::Failed(failed),
            }
        }
    }

    /// Decodes the bytes that have arrived and moves complete events to the output.
    fn take_input(
        &mut self,
        response: &mut PendingResponse,
        splitter: &mut EventSplitter,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> ForwardStep {
        let input = &mut response.stream.input;
        let step = match response.decoder.advance(input, splitter.input()) {
            Ok(step) => step,
            Err(cause) => return invalid_stream(&cause),
        };
        if !self.take_events(response, splitter, delivered, output) {
            return invalid_stream(&"events missing: gap in the event ids");
        }
        match step {
            BodyStep::Incomplete if splitter.remainder().len() > MAX_EVENT_BYTES => {
                invalid_stream(&"event exceeds the size limit")
            }
            BodyStep::Incomplete => ForwardStep::ReadMore,
            BodyStep::Done => {
                self.record_end(BodyEnd::Framed, splitter, delivered);
                if is_cut_off(&response.head, splitter) {
                    return invalid_stream(&"stream ended inside an event");
                }
                ForwardStep::Finish
            }
        }
    }

    /// Moves complete events to the output, drops those that the caller already has, and passes the
    /// time of each to the stall detector. Returns false when an event is missing.
    fn take_events(
        &mut self,
        response: &PendingResponse,
        splitter: &mut EventSplitter,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> bool {
        while let Some(event) = splitter.next_event() {
            match classify_event(&event, delivered) {
                EventVerdict::Forward => {
                    append_head(self.request, response, delivered, output);
                    self.request.framing().encode(&event.bytes, output);
                    delivered.last_id = event.id.or(delivered.last_id);
                }
                EventVerdict::Skip => {}
                EventVerdict::Gap => return false,
            }
            self.suspicion.on_event();
            if let Some(elapsed) = self.detector.on_event(self.request.context.clock.now()) {
                self.chain.head().stats.observe_first_event(elapsed);
            }
        }
        true
    }

    /// Waits for bytes from the target. Fails when the deadline passes, or when the stream is
    /// stalled and the attempt is to be aborted; both have the same cause in the log.
    async fn read_more(
        &self,
        response: &mut PendingResponse,
        delivered: &DeliveryProgress,
    ) -> ReadOutcome {
        let context = self.request.context;
        loop {
            let now = context.clock.now();
            let left = self.request.deadline.since(now);
            let step = if self.request.route.retry_rule.allows_reexecution() {
                self.detector
                    .next_step(now, || self.has_alternative(delivered))
            } else {
                StallStep::Wait(left)
            };
            let pause = match step {
                StallStep::Wait(pause) if !left.is_zero() => pause.min(left),
                _ => return ReadOutcome::Failed(FailedAttempt::timed_out("no event in time")),
            };
            match timeout(pause, response.stream.fill()).await {
                Err(_elapsed) => {}
                Ok(Ok(_)) => return ReadOutcome::Bytes,
                Ok(Err(StreamError::Closed)) if response.decoder.complete_at_close() => {
                    return ReadOutcome::End;
                }
                Ok(Err(cause)) => {
                    return ReadOutcome::Failed(FailedAttempt::disconnected(cause));
                }
            }
        }
    }

    /// True when another attempt is allowed, the budget has a retry left and another chain has
    /// capacity. Otherwise the attempt continues: a stalled chain may recover, whereas aborting the
    /// attempt without a retry ends the stream.
    fn has_alternative(&self, delivered: &DeliveryProgress) -> bool {
        let request = self.request;
        let context = request.context;
        let now = context.clock.now();
        let mut state = self.state.clone();
        let first_target = &self.chain.head().id;
        let step = state.on_failure(first_target, RelayFailure::OutcomeUnknown, now);
        let Some(model) = &request.service.model else {
            return false;
        };
        // Unlike the selection of the chain for the retry, this check does not add the id of the
        // last event to the expected tokens.
        let requirement = ChainRequirement {
            domain: &context.settings.failure_domain,
            tokens: f64::from(request.metadata.expected_tokens()),
            is_resumed: delivered.head_sent,
        };
        let view = context.targets.load();
        let chains = view.chains(&request.service.name);
        let mut rng = fastrand::Rng::new();
        let daemons = context.presence.peak_count();
        let service = &request.service.name;
        step == RetryStep::TryNext
            && context.budget.may_spend(service, daemons, now)
            && pick_chain(chains, model, requirement, state.tried(), now, &mut rng).is_some()
    }

    /// Counts how the target ended the stream. An end of the connection is also logged, since
    /// nothing else shows whether the target has sent all events.
    fn record_end(&self, end: BodyEnd, splitter: &EventSplitter, delivered: &DeliveryProgress) {
        let context = self.request.context;
        let unfinished_bytes = splitter.remainder().len();
        let label = match (end, unfinished_bytes) {
            (BodyEnd::Framed, _) => "framed",
            (BodyEnd::Closed, 0) => "closed",
            (BodyEnd::Closed, _) => "closed_inside_event",
        };
        context
            .metrics
            .stream_ends
            .with_label_values(&[label])
            .inc();
        if end == BodyEnd::Closed {
            let line = self
                .request
                .log_line("ended_by_close")
                .with_display("target", &self.chain.head().id)
                .with("last_event", delivered.last_id)
                .with("unfinished_bytes", unfinished_bytes);
            context.events.emit(line);
        }
    }

    /// Sends what is left of a complete response to the caller.
    async fn finish(
        &mut self,
        response: PendingResponse,
        end: BodyEnd,
        splitter: &EventSplitter,
        delivered: &mut DeliveryProgress,
        mut output: Vec<u8>,
    ) -> StreamEnd {
        append_head(self.request, &response, delivered, &mut output);
        let framing = self.request.framing();
        framing.encode(splitter.remainder(), &mut output);
        framing.encode_end(&mut output);
        let status = response.head.status();
        self.suspicion.on_response(status, end);
        keep_connection(self.request.context, &self.chain.head().id, response);
        if self.request.send(&output).await {
            framing.complete(self.request.caller);
            StreamEnd::Complete(status)
        } else {
            StreamEnd::CallerGone
        }
    }
}

/// Ends an attempt whose stream is invalid or incomplete.
fn invalid_stream(cause: &impl std::fmt::Display) -> ForwardStep {
    ForwardStep::Fail(FailedAttempt::new(RelayFailure::OutcomeUnknown, cause))
}

/// Adds the response head to the output unless that was done before, and records the time since the
/// arrival of the request.
fn append_head(
    request: &ActiveRequest<'_>,
    response: &PendingResponse,
    delivered: &mut DeliveryProgress,
    output: &mut Vec<u8>,
) {
    if delivered.head_sent {
        return;
    }
    let head = forward_head(&response.head, request.close);
    let head = request.framing().begin(head, request.caller);
    output.extend_from_slice(&head.finish());
    delivered.head_sent = true;
    let context = request.context;
    let waited = context.clock.now().since(request.arrived);
    context
        .metrics
        .latency
        .with_label_values(&["first_event"])
        .observe(waited.as_secs_f64());
}
