//! Trace spans, one for each step of a request, and the W3C trace context that links them.

use crate::settings::DaemonSettings;
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Most spans that wait for export; the oldest are dropped first.
const MAX_BUFFERED_SPANS: usize = 4_096;

/// Trace context, as in the `traceparent` header: identifies a span and its trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Trace identifier.
    pub trace_id: u128,
    /// Span identifier.
    pub span_id: u64,
    /// True when the caller may have recorded the trace.
    pub sampled: bool,
}

impl TraceContext {
    /// Context of a new trace. Its span identifier is 0, so that the first span has no parent.
    pub fn root() -> Self {
        Self {
            trace_id: fastrand::u128(1..),
            span_id: 0,
            sampled: true,
        }
    }

    /// Context of a new child span.
    #[must_use]
    pub fn child(self) -> Self {
        Self {
            span_id: fastrand::u64(1..),
            ..self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace_id,
            self.span_id,
            u8::from(self.sampled)
        )
    }
}

/// The text is not a valid `traceparent` value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceError;

impl FromStr for TraceContext {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        let mut parts = text.split('-');
        let (Some(version), Some(trace), Some(span), Some(flags)) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TraceError);
        };
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return Err(TraceError);
        }
        let trace_id = u128::from_str_radix(trace, 16).map_err(|_cause| TraceError)?;
        let span_id = u64::from_str_radix(span, 16).map_err(|_cause| TraceError)?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_cause| TraceError)?;
        if trace_id == 0 || span_id == 0 {
            return Err(TraceError);
        }
        Ok(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }
}

/// How a span ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpanOutcome {
    /// Without an error.
    Ok,
    /// With an error.
    Error,
}

/// A finished span.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SpanRecord {
    /// Name of the step.
    pub name: &'static str,
    /// Trace identifier, hexadecimal.
    pub trace_id: String,
    /// Span identifier, hexadecimal.
    pub span_id: String,
    /// Identifier of the parent span, hexadecimal; empty for the first span of a trace.
    pub parent_id: String,
    /// Start, in nanoseconds since the Unix epoch.
    pub start_nanos: u64,
    /// End, in nanoseconds since the Unix epoch.
    pub end_nanos: u64,
    /// Names and values of the attributes.
    pub attributes: Vec<(&'static str, String)>,
    /// How the span ended.
    pub outcome: SpanOutcome,
}

/// Buffers finished spans until they are exported; records nothing when no collector is configured.
#[derive(Debug, Clone, Default)]
pub struct TraceSink {
    buffer: Option<Arc<Mutex<VecDeque<SpanRecord>>>>,
}

impl TraceSink {
    /// Creates a sink, which records spans when the settings name a collector.
    pub fn new(settings: &DaemonSettings) -> Self {
        Self {
            buffer: settings.traces.is_some().then(Arc::default),
        }
    }

    /// Starts a child span of `parent`.
    pub fn start_span(&self, name: &'static str, parent: TraceContext) -> SpanGuard {
        let record = SpanRecord {
            name,
            trace_id: String::new(),
            span_id: String::new(),
            parent_id: String::new(),
            start_nanos: unix_nanos(),
            end_nanos: 0,
            attributes: Vec::new(),
            outcome: SpanOutcome::Ok,
        };
        SpanGuard {
            sink: self.clone(),
            parent,
            context: parent.child(),
            record,
        }
    }

    /// Removes the recorded spans from the buffer and returns them.
    pub fn take_spans(&self) -> Vec<SpanRecord> {
        let Some(buffer) = &self.buffer else {
            return Vec::new();
        };
        buffer
            .lock()
            .expect("span lock is never poisoned")
            .drain(..)
            .collect()
    }

    fn push(&self, record: SpanRecord) {
        if let Some(buffer) = &self.buffer {
            let mut buffer = buffer.lock().expect("span lock is never poisoned");
            if buffer.len() == MAX_BUFFERED_SPANS {
                buffer.pop_front();
            }
            buffer.push_back(record);
        }
    }
}

/// A span in progress; it ends and is recorded when the guard is dropped.
#[derive(Debug)]
pub struct SpanGuard {
    sink: TraceSink,
    parent: TraceContext,
    context: TraceContext,
    record: SpanRecord,
}

impl SpanGuard {
    /// Context of this span, for child spans and outgoing headers.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Adds an attribute.
    pub fn set_attribute(&mut self, name: &'static str, value: impl fmt::Display) {
        if self.sink.buffer.is_some() {
            self.record.attributes.push((name, value.to_string()));
        }
    }

    /// Sets the outcome of the span to an error with this cause.
    pub fn set_error(&mut self, cause: impl fmt::Display) {
        self.set_attribute("error", cause);
        self.record.outcome = SpanOutcome::Error;
    }
}

impl Drop for SpanGuard {
    fn drop(&mut self) {
        if self.sink.buffer.is_none() {
            return;
        }
        let mut record = self.record.clone();
        record.trace_id = format!("{:032x}", self.context.trace_id);
        record.span_id = format!("{:016x}", self.context.span_id);
        if self.parent.span_id != 0 {
            record.parent_id = format!("{:016x}", self.parent.span_id);
        }
        record.end_nanos = unix_nanos();
        self.sink.push(record);
    }
}

/// Current time in nanoseconds since the Unix epoch.
fn unix_nanos() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_nanos() as u64)
}
