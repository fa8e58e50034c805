//! Passes the events of one attempt on to the caller.
//!
//! Only whole events are passed on, each exactly once and in order, so that a stream may be resumed
//! after the last one that was.

use crate::relay::attempt::{FailedAttempt, OpenReply, keep_connection};
use crate::relay::choice::{ChainNeed, pick_chain};
use crate::relay::course::{CourseStep, RelayFailure, RequestCourse};
use crate::relay::exchange::{ActiveRequest, forward_head};
use crate::relay::pace::{SilenceStep, StreamPace};
use crate::targets::LayerChain;
use crate::wire::{BodyStep, EventSplitter, LAST_CHUNK, StreamError, WholeEvent, encode_chunk};
use async_std::future::timeout;

/// What the caller has been sent.
#[derive(Debug, Default)]
pub(super) struct Delivered {
    /// True when the head was.
    pub head_sent: bool,
    /// Id of the last event.
    pub last_id: Option<u64>,
}

/// How an attempt ended.
pub(super) enum StreamEnd {
    /// The stream is complete.
    Complete(u16),
    /// The caller has gone.
    CallerGone,
    /// The chain failed.
    Failed(FailedAttempt),
}

/// One attempt's events on their way to the caller.
pub(super) struct StreamPass<'a> {
    /// Request.
    pub request: &'a ActiveRequest<'a>,
    /// Chain that serves the attempt.
    pub chain: &'a LayerChain,
    /// Attempts so far.
    pub course: &'a RequestCourse,
    /// Pace.
    pub pace: StreamPace,
}

/// What came of waiting for bytes.
enum Arrival {
    Bytes,
    /// The stream has ended cleanly.
    End,
    Failed(FailedAttempt),
}

impl StreamPass<'_> {
    /// Passes events on until the stream ends or fails.
    pub(super) async fn run(
        mut self,
        mut reply: OpenReply,
        delivered: &mut Delivered,
    ) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        loop {
            let input = &mut reply.stream.input;
            let step = match reply.decoder.advance(input, splitter.input()) {
                Ok(step) => step,
                Err(cause) => return broken(&cause),
            };
            if !self.take_events(&reply, &mut splitter, delivered, &mut output) {
                return broken(&"an event is missing");
            }
            if step == BodyStep::Done {
                return self.finish(reply, &splitter, delivered, output).await;
            }
            if !output.is_empty() && !self.request.send(&output).await {
                return StreamEnd::CallerGone;
            }
            output.clear();
            match self.wait_bytes(&mut reply, delivered).await {
                Arrival::Bytes => {}
                Arrival::End => {
                    reply.written = false;
                    return self.finish(reply, &splitter, delivered, output).await;
                }
                Arrival::Failed(failed) => return StreamEnd::Failed(failed),
            }
        }
    }

    /// Moves whole events to the output; false when one is missing.
    fn take_events(
        &mut self,
        reply: &OpenReply,
        splitter: &mut EventSplitter,
        delivered: &mut Delivered,
        output: &mut Vec<u8>,
    ) -> bool {
        while let Some(event) = splitter.next_event() {
            match accept_event(&event, delivered) {
                EventVerdict::Forward => {
                    push_head(self.request, reply, delivered, output);
                    encode_chunk(&event.bytes, output);
                    delivered.last_id = event.id.or(delivered.last_id);
                }
                EventVerdict::Skip => {}
                EventVerdict::Gap => return false,
            }
            if let Some(elapsed) = self.pace.on_event(self.request.context.clock.now()) {
                self.chain.head().gauge.observe_first_event(elapsed);
            }
        }
        true
    }

    async fn wait_bytes(&self, reply: &mut OpenReply, delivered: &Delivered) -> Arrival {
        let context = self.request.context;
        loop {
            let now = context.clock.now();
            let left = self.request.ends.since(now);
            let step = if self.request.route.retry_rule.allows_reexecution() {
                self.pace.next_step(now, || self.has_alternative(delivered))
            } else {
                SilenceStep::Wait(left)
            };
            let pause = match step {
                SilenceStep::Wait(pause) if !left.is_zero() => pause.min(left),
                _ => return Arrival::Failed(FailedAttempt::silent("no event in time")),
            };
            match timeout(pause, reply.stream.fill()).await {
                Err(_elapsed) => {}
                Ok(Ok(_)) => return Arrival::Bytes,
                Ok(Err(StreamError::Closed)) if reply.decoder.complete_at_close() => {
                    return Arrival::End;
                }
                Ok(Err(cause)) => {
                    return Arrival::Failed(FailedAttempt::new(RelayFailure::Unknown, cause));
                }
            }
        }
    }

    /// True when the request may go on at another chain that has room, and the repeat is granted: a chain
    /// that has stalled may go on, and a stream that is given up without a repeat is lost.
    fn has_alternative(&self, delivered: &Delivered) -> bool {
        let request = self.request;
        let context = request.context;
        let now = context.clock.now();
        let mut course = self.course.clone();
        let head = &self.chain.head().id;
        let step = course.on_failure(head, RelayFailure::Unknown, now);
        let Some(model) = &request.service.model else {
            return false;
        };
        let need = ChainNeed {
            domain: &context.settings.failure_domain,
            tokens: f64::from(request.facts.expected_tokens()),
            resumes: delivered.head_sent,
        };
        let view = context.targets.load();
        let chains = view.chains(&request.service.name);
        let mut rng = fastrand::Rng::new();
        let daemons = context.presence.peak_count();
        let service = &request.service.name;
        step == CourseStep::TryNext
            && context.budget.may_spend(service, daemons, now)
            && pick_chain(chains, model, need, course.tried(), now, &mut rng).is_some()
    }

    async fn finish(
        &self,
        reply: OpenReply,
        splitter: &EventSplitter,
        delivered: &mut Delivered,
        mut output: Vec<u8>,
    ) -> StreamEnd {
        push_head(self.request, &reply, delivered, &mut output);
        encode_chunk(splitter.remainder(), &mut output);
        output.extend_from_slice(LAST_CHUNK);
        let status = reply.head.status();
        keep_connection(self.request.context, &self.chain.head().id, reply);
        if self.request.send(&output).await {
            StreamEnd::Complete(status)
        } else {
            StreamEnd::CallerGone
        }
    }
}

fn broken(cause: &impl std::fmt::Display) -> StreamEnd {
    StreamEnd::Failed(FailedAttempt::new(RelayFailure::Unknown, cause))
}

/// What to do with an event.
enum EventVerdict {
    Forward,
    Skip,
    Gap,
}

fn accept_event(event: &WholeEvent, delivered: &Delivered) -> EventVerdict {
    match (event.id, delivered.last_id) {
        (Some(id), Some(last)) if id <= last => EventVerdict::Skip,
        (Some(id), Some(last)) if id > last + 1 => EventVerdict::Gap,
        _ => EventVerdict::Forward,
    }
}

fn push_head(
    request: &ActiveRequest<'_>,
    reply: &OpenReply,
    delivered: &mut Delivered,
    output: &mut Vec<u8>,
) {
    if delivered.head_sent {
        return;
    }
    let head = forward_head(&reply.head, request.close).field("Transfer-Encoding", "chunked");
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
