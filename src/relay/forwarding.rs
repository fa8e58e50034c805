//! Forwards the events of one attempt to the caller.
//!
//! Only complete events are forwarded, each exactly once and in order, so that the stream can be
//! resumed after the last forwarded event. Events are identified by their ids, see
//! [`classify_event`].

use crate::relay::attempt::{FailedAttempt, PendingResponse, keep_connection};
use crate::relay::event_progress::{DeliveryProgress, EventVerdict, classify_event, is_cut_off};
use crate::relay::exchange::{ActiveRequest, forward_head};
use crate::relay::retry::{RelayFailure, RetryState};
use crate::relay::stall::{StallDetector, StallStep};
use crate::relay::streaming::{claim_chain, report_stalled_chain};
use crate::relay::suspicion::AttemptSuspicion;
use crate::targets::LayerChain;
use crate::telemetry::EventLine;
use crate::wire::{BodyEnd, BodyStep, EventSplitter, StreamError};
use async_std::future::timeout;
use std::sync::Arc;

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
    /// The attempt stalled; the chain has been claimed for the next one.
    Replaced(FailedAttempt, Arc<LayerChain>),
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
    /// The stream has stalled, and this chain has been claimed for it.
    Replaced(Arc<LayerChain>),
}

impl StreamForwarder<'_> {
    /// Forwards events until the stream ends or fails.
    pub(super) async fn run(
        mut self,
        response: PendingResponse,
        delivered: &mut DeliveryProgress,
    ) -> StreamEnd {
        let end = self.forward(response, delivered).await;
        if let StreamEnd::Failed(failed) | StreamEnd::Replaced(failed, _) = &end {
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
                ReadOutcome::Replaced(chain) => {
                    return StreamEnd::Replaced(no_event_in_time(), chain);
                }
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
            self.suspicion.on_event(response.head.status());
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
        let mut was_stalled = false;
        let mut was_reported = false;
        loop {
            let now = context.clock.now();
            if self.detector.is_long_stalled(now) && !was_reported {
                was_reported = true;
                report_stalled_chain(context, self.chain);
            }
            let left = self.request.deadline.since(now);
            if left.is_zero() {
                return ReadOutcome::Failed(no_event_in_time());
            }
            let pause = match self.detector.next_step(now) {
                StallStep::Wait(pause) => pause.min(left),
                StallStep::SeekOther(pause) => {
                    if !was_stalled {
                        was_stalled = true;
                        self.log_stall(self.request.log_line("attempt_stalled"), delivered);
                    }
                    if let Some(chain) = self.claim_other_chain(delivered).await {
                        return ReadOutcome::Replaced(chain);
                    }
                    pause.min(left)
                }
            };
            match timeout(pause, response.stream.fill()).await {
                Err(_elapsed) => {}
                Ok(Ok(_)) => {
                    if was_stalled {
                        self.log_stall(self.request.log_line("stall_over"), delivered);
                    }
                    return ReadOutcome::Bytes;
                }
                Ok(Err(StreamError::Closed)) if response.decoder.complete_at_close() => {
                    return ReadOutcome::End;
                }
                Ok(Err(cause)) => {
                    return ReadOutcome::Failed(FailedAttempt::disconnected(cause));
                }
            }
        }
    }

    /// Logs that the attempt has stalled, or that it goes on.
    fn log_stall(&self, line: EventLine, delivered: &DeliveryProgress) {
        let context = self.request.context;
        let idle_time = self.detector.idle_time(context.clock.now());
        let line = line
            .with_display("target", &self.chain.head().id)
            .with("last_event", delivered.last_id);
        context
            .events
            .emit(line.with("idle_ms", idle_time.as_millis() as u64));
    }

    /// Claims another chain for the stream if an attempt there is allowed.
    async fn claim_other_chain(&self, delivered: &DeliveryProgress) -> Option<Arc<LayerChain>> {
        let mut state = self.state.clone();
        let first_target = &self.chain.head().id;
        let now = self.request.context.clock.now();
        state.on_failure(first_target, RelayFailure::OutcomeUnknown, now);
        claim_chain(self.request, &state, delivered).await
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

fn no_event_in_time() -> FailedAttempt {
    FailedAttempt::timed_out("no event in time")
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
