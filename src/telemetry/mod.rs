//! Metrics, trace spans, logs and the structured event log.

mod events;
mod logging;
mod metrics;
mod otlp;
mod traces;

pub use events::{EventLine, EventLog};
pub use logging::{LogError, init_logging};
pub use metrics::MetricSet;
pub use traces::{SpanGuard, SpanOutcome, SpanRecord, TraceContext, TraceSink};
