//! Metrics, spans and logs.

mod logging;
mod metrics;
mod otlp;
mod traces;

pub use logging::{LogError, init_logging};
pub use metrics::MetricSet;
pub use traces::{SpanGuard, SpanOutcome, SpanRecord, TraceContext, TraceSink};
