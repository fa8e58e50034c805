//! Exports spans to an OTLP/HTTP collector as JSON.

use crate::http::HttpCall;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::telemetry::{SpanOutcome, SpanRecord};
use http_types::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Period of exporting.
const EXPORT_PERIOD: Duration = Duration::from_millis(500);
/// Time allowed for the collector to answer.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Span kind `SERVER`.
const KIND_SERVER: u32 = 2;
/// Status code `OK`.
const STATUS_OK: u32 = 1;
/// Status code `ERROR`.
const STATUS_ERROR: u32 = 2;

inventory::submit! {
    PluginEntry { name: "telemetry.otlp", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    if host.context.settings.traces.is_none() {
        return Ok(());
    }
    let set = &host.context.metrics;
    let help = "Spans by export outcome: exported, lost.";
    let spans = set.counter("trace_spans_total", help, &["outcome"])?;
    let spec = TimerSpec::new("trace export", EXPORT_PERIOD);
    host.add_timer(spec, move |context, _now| {
        let spans = spans.clone();
        async move {
            let taken = context.traces.take_spans();
            if taken.is_empty() {
                return;
            }
            let outcome = export(&context, &taken).await;
            let label = if outcome { "exported" } else { "lost" };
            spans.with_label_values(&[label]).inc_by(taken.len() as u64);
        }
    });
    Ok(())
}

/// Sends spans to the collector; true when it took them.
async fn export(context: &Arc<KernelContext>, spans: &[SpanRecord]) -> bool {
    let Some(traces) = &context.settings.traces else {
        return false;
    };
    let body = encode(context.settings.instance.as_str(), spans);
    let call = HttpCall::new(traces.collector, Method::Post, "/v1/traces")
        .json(&body)
        .timeout(EXPORT_TIMEOUT);
    match context.pool.send(&call).await {
        Err(_cause) => false,
        Ok(reply) => {
            let accepted = reply.status() == 200;
            accepted && reply.bytes().await.is_ok()
        }
    }
}

fn encode(instance: &str, spans: &[SpanRecord]) -> Value {
    let spans: Vec<Value> = spans.iter().map(encode_span).collect();
    json!({
        "resourceSpans": [{
            "resource": {
                "attributes": [
                    attribute("service.name", "arbutusmountd"),
                    attribute("service.instance.id", instance),
                ],
            },
            "scopeSpans": [{ "scope": { "name": "arbutusmount" }, "spans": spans }],
        }],
    })
}

fn encode_span(span: &SpanRecord) -> Value {
    let code = match span.outcome {
        SpanOutcome::Ok => STATUS_OK,
        SpanOutcome::Error => STATUS_ERROR,
    };
    let attributes: Vec<Value> = span
        .attributes
        .iter()
        .map(|(name, value)| attribute(name, value))
        .collect();
    json!({
        "traceId": span.trace_id,
        "spanId": span.span_id,
        "parentSpanId": span.parent_id,
        "name": span.name,
        "kind": KIND_SERVER,
        "startTimeUnixNano": span.start_nanos.to_string(),
        "endTimeUnixNano": span.end_nanos.to_string(),
        "attributes": attributes,
        "status": { "code": code },
    })
}

fn attribute(name: &str, value: &str) -> Value {
    json!({ "key": name, "value": { "stringValue": value } })
}
