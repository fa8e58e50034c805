//! Requests whose list of prompt parts cannot be read.

#[path = "support/site.rs"]
mod site;

use site::{call, model_site, stream_call};
use test_case::test_case;

/// A list of that many parts.
fn long_list(parts: usize) -> String {
    let parts: Vec<String> = (0..parts).map(|part| format!("{part:x}:10")).collect();
    parts.join(",")
}

/// A request whose list of parts cannot be read is served like one without parts.
#[test_case(",,,"; "empty entries")]
#[test_case("zebra:800,e4402b7d:250"; "not a number")]
#[test_case("LONG"; "thousands of parts")]
fn request_with_a_malformed_list_is_served(list: &str) {
    let site = model_site();
    let mut request = stream_call("a1");
    let list = match list {
        "LONG" => long_list(1_500),
        list => list.to_owned(),
    };
    request.fields.push(("X-Prompt-Prefix", list));

    let answer = call(&site, &request);

    assert_eq!(answer.status, 200);
    assert_eq!(answer.event_ids().len(), 20);
}
