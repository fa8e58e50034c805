//! What the cases have in common: the configuration and the requests of clients.

use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// The operator's configuration.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    configuration_with_keys(version, routes, services, &["key-1"])
}

/// The same with these keys of the tenant.
pub fn configuration_with_keys(
    version: u64,
    routes: &[String],
    services: &[String],
    keys: &[&str],
) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"franchise\",\"ApiKeys\":[{}],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

/// A route.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    let resumable = kind == "streaming";
    let stream = if resumable {
        ",\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":200"
    } else {
        ""
    };
    format!(
        "{{\"Name\":\"r-{service}-{kind}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"GoalMs\":500,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Public\":false{stream}}}"
    )
}

/// A service of plain servers.
pub fn plain_service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}"
    )
}

/// A service of model servers. `kinds`: name, memory in MB, pace and read factor.
pub fn model_service(
    name: &str,
    layers: u32,
    layer_mb: f64,
    kinds: &[(&str, f64, f64, f64)],
) -> String {
    let kinds: Vec<String> = kinds
        .iter()
        .map(|(kind, size, pace, read)| {
            format!(
                "{{\"Name\":\"{kind}\",\"SizeMb\":{size},\"pace\":{pace},\"ReadFactor\":{read}}}"
            )
        })
        .collect();
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":1138,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":192,\"KvCapacity\":100000,\"KvBytes\":918000,\"LinkMbps\":400000.0,\"Stride\":3,\"Models\":[{{\"Name\":\"model-{name}\",\"pace\":1.0,\"LoadS\":14.0,\"WarmS\":1.0}}],\"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\"loads_at_once\":5,\"delays\":[],\"usual\":{{\"prompt\":774,\"answer\":200}},\"Layers\":{layers},\"LayerMb\":{layer_mb},\"ActivationBytes\":45900,\"PipeMbps\":26000.0,\"Kinds\":[{}]}}}}",
        kinds.join(",")
    )
}

/// A request of a client.
pub fn request(method: &str, path: &str, attempt: &str, deadline: Duration, more: &str) -> Vec<u8> {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\nAuthorization: Token key-1\r\n{length}{more}\r\n",
        deadline.as_millis()
    )
    .into_bytes()
}
