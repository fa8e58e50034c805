//! Validation of settings and declarations reports all faults at once, each with its JSON path.

use arbutusmount::{DaemonSettings, FleetDeclaration};
use serde_json::{Value, json};
use test_case::test_case;

fn valid_settings() -> Value {
    json!({
        "instance": "router-1",
        "failure_domain": "bangna",
        "listen": "127.0.0.1:7001",
        "peer_listen": "127.0.0.1:7101",
        "platform": { "store": "127.0.0.1:2379", "instances": "127.0.0.1:2380" },
        "peer_key": "a shared secret",
        "operator_token_sha256": "0".repeat(64),
    })
}

/// Paths of the faults in valid settings with one field replaced, or removed when `value` is null.
fn faults_with(pointer: &str, field: &str, value: Value) -> Vec<String> {
    let mut document = valid_settings();
    let object = document.pointer_mut(pointer).and_then(Value::as_object_mut);
    let object = object.expect("the settings contain this object");
    if value.is_null() {
        object.remove(field);
    } else {
        object.insert(field.to_owned(), value);
    }
    let errors =
        DaemonSettings::parse(&document.to_string()).expect_err("the document has a fault");
    errors.into_iter().map(|error| error.path).collect()
}

#[test_case("", "instance", Value::Null, "$.instance"; "missing field")]
#[test_case("", "instance", json!("a b"), "$.instance"; "bad name")]
#[test_case("", "listen", json!("localhost:7001"), "$.listen"; "host name for an address")]
#[test_case("", "operator_token_sha256", json!("secret"), "$.operator_token_sha256"; "no digest")]
#[test_case("", "colour", json!("red"), "$.colour"; "unknown field")]
#[test_case("/platform", "stores", json!([]), "$.platform.stores"; "unknown inner field")]
#[test_case("", "timing", json!({ "load_ms": 0 }), "$.timing.load_ms"; "out of range")]
#[test_case("", "timing", json!({ "load_ms": "1" }), "$.timing.load_ms"; "text for a number")]
#[test_case("", "log", json!({ "form": "xml" }), "$.log.form"; "unknown choice")]
#[test_case("", "admission", json!({ "queue": 1 }), "$.admission.queue"; "unknown admission field")]
fn fault_is_named_by_its_path(pointer: &str, field: &str, value: Value, path: &str) {
    let faults = faults_with(pointer, field, value);

    assert_eq!(faults, [path]);
}

#[test]
fn all_faults_are_named_at_once() {
    let text = json!({ "instance": "", "listen": 7001, "extra": true }).to_string();

    let errors = DaemonSettings::parse(&text).expect_err("the document has faults");

    let mut paths: Vec<String> = errors.into_iter().map(|error| error.path).collect();
    paths.sort_unstable();
    let expected = [
        "$.extra",
        "$.failure_domain",
        "$.instance",
        "$.listen",
        "$.operator_token_sha256",
        "$.peer_key",
        "$.peer_listen",
        "$.platform",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn malformed_json_is_named() {
    let errors = DaemonSettings::parse("{\"instance\":").expect_err("the document has a fault");

    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].path, "$");
}

#[test_case(&json!({ "models": [{ "model": "a", "version": "1", "layers": 0, "layer_bytes": 1,
    "replicas": 1 }] }), "$.models[0].layers"; "no layers")]
#[test_case(&json!({ "models": [{ "model": "a", "version": "1", "layers": 1, "layer_bytes": 1,
    "replicas": 1, "floor": 2 }] }), "$.models[0].floor"; "floor above replicas")]
#[test_case(&json!({ "services": [{ "service": "s" }, { "service": "s" }] }),
    "$.services[1].service"; "service declared twice")]
#[test_case(&json!({ "teams": [{ "team": "t", "token_sha256": "1" }] }),
    "$.teams[0].token_sha256"; "team token in plain text")]
fn declaration_fault_is_named_by_its_path(declaration: &Value, path: &str) {
    let errors =
        FleetDeclaration::parse(&declaration.to_string()).expect_err("the document has a fault");

    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    assert_eq!(paths, [path]);
}
