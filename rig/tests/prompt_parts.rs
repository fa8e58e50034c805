//! Parts of a prompt as the platform's codec reads them.

use arbutusmount::{HeadLimits, HeadStep, PartId, WireHead, parse_request};
use arbutusmount_platform::read_request;
use test_case::test_case;

/// Head of a request with this list of parts.
fn head_with(list: &str) -> WireHead {
    let text = format!("POST /stream/x HTTP/1.1\r\nHost: a\r\nX-Prompt-Prefix: {list}\r\n\r\n");
    let limits = HeadLimits {
        max_bytes: 64 * 1024,
    };
    match parse_request(text.as_bytes(), limits) {
        Ok(HeadStep::Complete(head, _)) => head,
        _ => panic!("the head is not well-formed"),
    }
}

/// A list of that many parts.
fn long_list(parts: usize) -> String {
    let parts: Vec<String> = (0..parts).map(|part| format!("{part:x}:10")).collect();
    parts.join(",")
}

#[test_case("5c1e07a2:800,91bd3f06:410,e4402b7d:250", &[0x5c1e_07a2, 0x91bd_3f06]; "all but the last")]
#[test_case("5c1e07a2:800,5C1E07A2:1,e4402b7d:250", &[0x5c1e_07a2]; "repeated")]
#[test_case("e4402b7d:250", &[]; "only its own")]
#[test_case("", &[]; "empty")]
#[test_case(",,,", &[]; "empty entries")]
#[test_case(":800,e4402b7d:250", &[]; "empty id")]
#[test_case("zebra:800,e4402b7d:250", &[]; "not a number")]
#[test_case("5c1e07a2,e4402b7d", &[]; "no tokens")]
#[test_case("111111111111111111111111111111111:1,e4402b7d:250", &[]; "longer than any id")]
fn shared_parts_of_a_list(list: &str, expected: &[u128]) {
    let metadata = read_request(&head_with(list));

    let expected: Vec<PartId> = expected.iter().map(|id| PartId(*id)).collect();
    assert_eq!(&*metadata.shared_parts, expected.as_slice());
}

/// A list with more parts than are kept counts as malformed, so that a request costs bounded memory.
#[test_case(65, 64; "as many as are read")]
#[test_case(66, 0; "one more")]
#[test_case(3_000, 0; "thousands")]
fn parts_of_a_long_list(parts: usize, expected: usize) {
    let metadata = read_request(&head_with(&long_list(parts)));

    assert_eq!(metadata.shared_parts.len(), expected);
}
