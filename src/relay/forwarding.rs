//! Forwards the events of one attempt to the caller.
//!
//! Only complete events are forwarded, each exactly once and in order, so that the stream can be
//! resumed after the last forwarded event. Events are identified by their ids, see
//! [`classify_event`].

use crate::ids::InstanceId;
use crate::relay::attempt::{FailedAttempt, PendingResponse, keep_connection};
use crate::relay::caller_stream::CallerFraming;
use crate::relay::event_progress::{DeliveryProgress, EventVerdict, classify_event, is_cut_off};
use crate::relay::exchange::{ActiveRequest, forward_head};
use crate::relay::retry::RelayFailure;
use crate::relay::stall::StallDetector;
use crate::relay::suspicion::AttemptSuspicion;
use crate::targets::{LayerChain, ReservationGuard};
use crate::wire::{
    BodyEnd, BodyInput, BodyStep, EventSplitter, ResponseHold, StreamError, fill_body,
};
use std::sync::Arc;
use std::time::Duration;

/// Longest event, and longest part of a body that holds none.
const MAX_EVENT_BYTES: usize = 512 * 1024;

/// A response of events, whoever sends it.
pub(super) struct EventForwarder<'a> {
    request: &'a ActiveRequest<'a>,
    /// Target or daemon that sends the response, for the log.
    source: InstanceId,
    response: PendingResponse,
    /// Framing of the stream on the caller's connection.
    framing: CallerFraming,
    /// True when the caller has had the beginning of the stream from another response.
    resumes: bool,
    splitter: EventSplitter,
    /// Memory that the splitter holds.
    memory: ResponseHold,
    /// Number of events that were new to the caller.
    events: u64,
    /// Number of events that have arrived.
    arrived: u64,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
}

/// An attempt at a chain whose response has begun.
pub(super) struct StreamForwarder<'a> {
    /// Chain that serves the attempt.
    pub chain: Arc<LayerChain>,
    /// Reservations at the targets of the chain.
    pub _reserved: Vec<ReservationGuard>,
    /// Stall detection for this attempt.
    pub detector: StallDetector,
    /// Suspicion that the request crashes a target in this attempt.
    pub suspicion: AttemptSuspicion<'a>,
    /// The response.
    pub forwarder: EventForwarder<'a>,
}

/// A response of events that is complete.
pub(super) struct FinishedResponse {
    /// Connection and head.
    pub response: PendingResponse,
    /// False when the caller has left.
    pub is_sent: bool,
}

/// What to do after the bytes that have arrived were decoded.
pub(super) enum ForwardStep {
    /// Wait for more bytes from the target.
    ReadMore,
    /// Send what is left: the stream is complete.
    Finish(BodyEnd),
    /// Give the attempt up.
    Fail(FailedAttempt),
}

/// Outcome of waiting for bytes from the target.
pub(super) enum ReadOutcome {
    /// So many bytes have arrived.
    Bytes(usize),
    /// The target closed the connection where the response may end.
    End,
    /// The connection was lost, or closed where the response cannot end.
    Lost(StreamError),
}

impl ReadOutcome {
    /// Bytes that have arrived.
    pub(super) fn count(&self) -> usize {
        match self {
            Self::Bytes(count) => *count,
            Self::End | Self::Lost(_) => 0,
        }
    }
}

impl<'a> EventForwarder<'a> {
    /// Begins with a response of which the head was read. `resumes` tells whether the caller has had the
    /// beginning of the stream from another one.
    pub(super) fn new(
        request: &'a ActiveRequest<'a>,
        source: InstanceId,
        response: PendingResponse,
        resumes: bool,
    ) -> Self {
        Self {
            request,
            source,
            framing: request.framing(response.head.status()),
            response,
            resumes,
            splitter: EventSplitter::default(),
            memory: request.context.response_budget.open(),
            events: 0,
            arrived: 0,
            comment_bytes: 0,
        }
    }

    /// Number of events that were new to the caller.
    pub(super) fn events(&self) -> u64 {
        self.events
    }

    /// Waits for bytes from the target. Nothing is lost when the future is dropped.
    pub(super) async fn read(&mut self) -> ReadOutcome {
        let PendingResponse {
            stream, decoder, ..
        } = &mut self.response;
        match fill_body(stream, decoder).await {
            Ok(BodyInput::Bytes(count)) => ReadOutcome::Bytes(count),
            Ok(BodyInput::End) => ReadOutcome::End,
            Err(cause) => ReadOutcome::Lost(cause),
        }
    }

    /// Handles what was read: moves complete events to the output.
    pub(super) fn on_read(
        &mut self,
        outcome: ReadOutcome,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> ForwardStep {
        match outcome {
            ReadOutcome::Bytes(_) => self.take_input(delivered, output),
            ReadOutcome::End => self.end_by_close(delivered),
            ReadOutcome::Lost(cause) => ForwardStep::Fail(FailedAttempt::disconnected(cause)),
        }
    }

    fn end_by_close(&mut self, delivered: &DeliveryProgress) -> ForwardStep {
        self.record_end(BodyEnd::Closed, delivered);
        if is_cut_off(&self.response.head, &self.splitter) {
            let cause = "connection closed inside an event";
            return ForwardStep::Fail(FailedAttempt::disconnected(cause));
        }
        self.finish_step(BodyEnd::Closed)
    }

    /// The step at the end of a response. One that was to continue a stream and has no event continues
    /// nothing, so its end is not that of the stream.
    fn finish_step(&self, end: BodyEnd) -> ForwardStep {
        if self.resumes && self.arrived == 0 {
            return invalid_stream(&"no event of the resumed stream");
        }
        ForwardStep::Finish(end)
    }

    /// Decodes the bytes that have arrived and moves complete events to the output.
    pub(super) fn take_input(
        &mut self,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> ForwardStep {
        let input = &mut self.response.stream.input;
        if !self.memory.reserve(self.splitter.input(), input.len()) {
            return ForwardStep::Fail(FailedAttempt::out_of_memory());
        }
        let step = match self.response.decoder.advance(input, self.splitter.input()) {
            Ok(step) => step,
            Err(cause) => return invalid_stream(&cause),
        };
        if !self.take_events(delivered, output) {
            return invalid_stream(&"events missing: gap in the event ids");
        }
        match step {
            BodyStep::Incomplete if self.splitter.remainder().len() > MAX_EVENT_BYTES => {
                invalid_stream(&"event exceeds the size limit")
            }
            BodyStep::Incomplete if self.comment_bytes > MAX_EVENT_BYTES => {
                invalid_stream(&"comments exceed the size limit")
            }
            BodyStep::Incomplete => ForwardStep::ReadMore,
            BodyStep::Done => {
                self.record_end(BodyEnd::Framed, delivered);
                if is_cut_off(&self.response.head, &self.splitter) {
                    return invalid_stream(&"stream ended inside an event");
                }
                self.finish_step(BodyEnd::Framed)
            }
        }
    }

    /// Moves complete events to the output and drops those that the caller already has. Comments are
    /// forwarded, but are no progress. Returns false when an event is missing.
    fn take_events(&mut self, delivered: &mut DeliveryProgress, output: &mut Vec<u8>) -> bool {
        while let Some(event) = self.splitter.next_event() {
            match classify_event(&event, delivered) {
                EventVerdict::Forward => {
                    append_head(
                        self.request,
                        &self.response,
                        self.framing,
                        delivered,
                        output,
                    );
                    self.framing.encode(&event.bytes, output);
                    delivered.last_id = event.id.or(delivered.last_id);
                    self.events += u64::from(!event.is_comment());
                }
                EventVerdict::Skip => {}
                EventVerdict::Gap => return false,
            }
            if event.is_comment() {
                self.comment_bytes += event.bytes.len();
                continue;
            }
            self.comment_bytes = 0;
            self.arrived += 1;
        }
        true
    }

    /// Counts how the target ended the stream. An end of the connection is also logged, since
    /// nothing else shows whether the target has sent all events.
    fn record_end(&self, end: BodyEnd, delivered: &DeliveryProgress) {
        let context = self.request.context;
        let unfinished_bytes = self.splitter.remainder().len();
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
                .with_display("target", &self.source)
                .with("last_event", delivered.last_id)
                .with("unfinished_bytes", unfinished_bytes);
            context.events.emit(line);
        }
    }

    /// Sends what is left of a complete response to the caller.
    pub(super) async fn finish(
        self,
        delivered: &mut DeliveryProgress,
        mut output: Vec<u8>,
    ) -> FinishedResponse {
        let framing = self.framing;
        append_head(
            self.request,
            &self.response,
            framing,
            delivered,
            &mut output,
        );
        framing.encode(self.splitter.remainder(), &mut output);
        framing.encode_end(&mut output);
        let is_sent = self.request.send(&output).await;
        if is_sent {
            framing.complete(self.request.caller);
        }
        FinishedResponse {
            response: self.response,
            is_sent,
        }
    }
}

impl StreamForwarder<'_> {
    /// See [`EventForwarder::read`].
    pub(super) async fn read(&mut self) -> ReadOutcome {
        let outcome = self.forwarder.read().await;
        if outcome.count() > 0 {
            let context = self.forwarder.request.context;
            context.reach.on_heard(context.clock.now());
        }
        outcome
    }

    /// See [`EventForwarder::on_read`].
    pub(super) fn on_read(
        &mut self,
        outcome: ReadOutcome,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> ForwardStep {
        let arrived = self.forwarder.arrived;
        let step = self.forwarder.on_read(outcome, delivered, output);
        self.note_events(arrived);
        step
    }

    /// See [`EventForwarder::take_input`].
    pub(super) fn take_input(
        &mut self,
        delivered: &mut DeliveryProgress,
        output: &mut Vec<u8>,
    ) -> ForwardStep {
        let arrived = self.forwarder.arrived;
        let step = self.forwarder.take_input(delivered, output);
        self.note_events(arrived);
        step
    }

    /// Passes the time of each event that has arrived since there were `before` to the stall detector.
    fn note_events(&mut self, before: u64) {
        let now = self.forwarder.request.context.clock.now();
        for _event in before..self.forwarder.arrived {
            self.suspicion.on_event();
            if let Some(elapsed) = self.detector.on_event(now) {
                self.chain.head().stats.observe_first_event(elapsed);
                self.note_first_event(elapsed);
            }
        }
    }

    fn note_first_event(&self, elapsed: Duration) {
        let request = self.forwarder.request;
        if request.is_by_priority() {
            let service = &request.service.name;
            request
                .context
                .capacity
                .observe_first_event(service, elapsed);
        }
    }

    /// Number of events that were new to the caller.
    pub(super) fn events(&self) -> u64 {
        self.forwarder.events()
    }

    /// Sends what is left of a complete response to the caller; returns its status, or `None` when the
    /// caller has left.
    pub(super) async fn finish(
        mut self,
        end: BodyEnd,
        delivered: &mut DeliveryProgress,
        output: Vec<u8>,
    ) -> Option<u16> {
        let context = self.forwarder.request.context;
        let status = self.forwarder.response.head.status();
        self.suspicion.on_response(status, end);
        let finished = self.forwarder.finish(delivered, output).await;
        keep_connection(&context.pool, &self.chain.head().id, finished.response);
        if !finished.is_sent {
            return None;
        }
        let targets = self.chain.parts.iter().map(|part| &part.target);
        targets.for_each(|target| target.stats.record_success());
        Some(status)
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
    framing: CallerFraming,
    delivered: &mut DeliveryProgress,
    output: &mut Vec<u8>,
) {
    if delivered.head_sent {
        return;
    }
    let head = forward_head(&response.head, request.close);
    let head = framing.begin(head, request.caller);
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
