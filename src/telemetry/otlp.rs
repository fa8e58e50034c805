//! Periodically exports trace spans to an OTLP/HTTP collector, as JSON.

use crate::http::HttpCall;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::telemetry::{SpanOutcome, SpanRecord};
use http_types::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Period of the export.
const EXPORT_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of one export request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// OTLP span kind `SPAN_KIND_SERVER`.
const SPAN_KIND_SERVER: u32 = 2;
/// OTLP status code `STATUS_CODE_OK`.
const STATUS_CODE_OK: u32 = 1;
/// OTLP status code `STATUS_CODE_ERROR`.
const STATUS_CODE_ERROR: u32 = 2;

inventory::submit! {
    PluginEntry { name: "telemetry.otlp", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    if host.context.settings.traces.is_none() {
        return Ok(());
    }
    let metrics = &host.context.metrics;
    let help = "Trace spans by outcome of their export: exported or lost.";
    let span_count = metrics.counter("trace_spans_total", help, &["outcome"])?;
    let spec = TimerSpec::new("trace export", EXPORT_PERIOD);
    host.add_timer(spec, move |context, _now| {
        let span_count = span_count.clone();
        async move {
            let spans = context.traces.take_spans();
            if spans.is_empty() {
                return;
            }
            let accepted = export(&context, &spans).await;
            let label = if accepted { "exported" } else { "lost" };
            span_count
                .with_label_values(&[label])
                .inc_by(spans.len() as u64);
        }
    });
    Ok(())
}

/// Sends spans to the collector; true when it accepted them.
async fn export(context: &Arc<KernelContext>, spans: &[SpanRecord]) -> bool {
    let Some(traces) = &context.settings.traces else {
        return false;
    };
    let body = encode_request(context.settings.instance.as_str(), spans);
    let call = HttpCall::new(traces.collector, Method::Post, "/v1/traces")
        .json(&body)
        .timeout(EXPORT_TIMEOUT);
    match context.pool.send(&call).await {
        Err(_cause) => false,
        Ok(response) => {
            let accepted = response.status() == 200;
            accepted && response.bytes().await.is_ok()
        }
    }
}

/// Body of an OTLP export request.
fn encode_request(instance: &str, spans: &[SpanRecord]) -> Value {
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
        SpanOutcome::Ok => STATUS_CODE_OK,
        SpanOutcome::Error => STATUS_CODE_ERROR,
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
        "kind": SPAN_KIND_SERVER,
        "startTimeUnixNano": span.start_nanos.to_string(),
        "endTimeUnixNano": span.end_nanos.to_string(),
        "attributes": attributes,
        "status": { "code": code },
    })
}

fn attribute(name: &str, value: &str) -> Value {
    json!({ "key": name, "value": { "stringValue": value } })
}
