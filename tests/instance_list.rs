//! The instance list of the platform with rows that cannot be read.

use arbutusmount::InstanceList;
use test_case::test_case;

/// Depth of nesting at which a recursive parser runs out of stack.
const DEPTH: usize = 200_000;

fn row(instance: &str, address: &str, more: &str) -> String {
    format!(
        r#"{{"instance":"{instance}","address":"{address}","role":"engine","failure_domain":"d0","state":"live"{more}}}"#
    )
}

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// One odd row made the whole list unreadable, so that the daemon kept the last one for as long as the row
/// stood there.
#[test_case(&row("e-odd", "10.0.0.9:99999", ""); "port out of range")]
#[test_case(&row("e-odd", "10.0.0.9:1", ",\"memory_bytes\":1e400"); "number beyond all numbers")]
#[test_case(&row("e-odd", "10.0.0.9:1", ",\"memory_bytes\":99999999999999999999"); "number too large")]
#[test_case(&row("e-odd", "10.0.0.9:1", &format!(",\"memory_bytes\":{}", nested())); "nested lists in a known field")]
#[test_case(&nested(); "nested lists")]
#[test_case("null"; "null")]
#[test_case("{}"; "no field")]
fn row_that_cannot_be_read_names_no_instance(odd: &str) {
    let (first, last) = (row("e-1", "10.0.0.1:1", ""), row("e-2", "10.0.0.2:1", ""));
    let text = format!("{{\"instances\":[{first},{odd},{last}]}}");

    let list: InstanceList = serde_json::from_str(&text).expect("a list");

    let names: Vec<&str> = list
        .instances
        .iter()
        .map(|row| row.instance.as_str())
        .collect();
    assert_eq!(names, ["e-1", "e-2"]);
    assert_eq!(list.malformed.len(), 1);
    assert!(
        list.malformed[0].starts_with("row 1: "),
        "{:?}",
        list.malformed
    );
}
