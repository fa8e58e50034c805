//! Parsing of HTTP heads, bodies and server-sent event streams.

use arbutusmount::{
    BodyDecoder, BodyError, BodyFraming, BodyStep, EventSplitter, HeadError, HeadLimits, HeadStep,
    WireHead, parse_request, parse_response,
};
use bytes::BytesMut;
use proptest::prelude::*;
use test_case::test_case;

const LIMITS: HeadLimits = HeadLimits { max_bytes: 1_024 };

fn parse(text: &str) -> Result<HeadStep, HeadError> {
    parse_request(text.as_bytes(), LIMITS)
}

fn complete_request(text: &str) -> WireHead {
    match parse(text) {
        Ok(HeadStep::Complete(head, length)) if length == text.len() => head,
        other => panic!("the head must be complete: {other:?}"),
    }
}

fn complete_response(text: &str) -> WireHead {
    match parse_response(text.as_bytes(), LIMITS) {
        Ok(HeadStep::Complete(head, _)) => head,
        other => panic!("the head must be complete: {other:?}"),
    }
}

#[test_case("/a/../b"; "dot segments")]
#[test_case("/%7euser/%2e%2e/z"; "escapes")]
#[test_case("/a//b?x=%20&y=/../"; "query")]
fn target_is_kept_byte_for_byte(target: &str) {
    let head = complete_request(&format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n"));

    assert_eq!(head.request_target(), target);
}

#[test_case("Content-Length: 3\r\nContent-Length: 3\r\n"; "length twice")]
#[test_case("Content-Length: 3\r\nContent-Length: 4\r\n"; "two lengths")]
#[test_case("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"; "length and chunks")]
#[test_case("Transfer-Encoding: gzip\r\n"; "unknown coding")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"; "coding twice")]
#[test_case("Content-Length: +3\r\n"; "signed length")]
#[test_case("Content-Length: 0x3\r\n"; "hexadecimal length")]
#[test_case("Content-Length: 3, 3\r\n"; "list of lengths")]
fn ambiguous_length_is_refused(fields: &str) {
    let parsed = parse(&format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n"));

    assert_eq!(parsed, Err(HeadError::AmbiguousLength));
}

#[test_case("GET / HTTP/1.1\nHost: h\n\n"; "bare line feeds")]
#[test_case("GET / HTTP/1.1\r\nHost: h\n\r\n"; "one bare line feed")]
#[test_case("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n"; "folded field")]
#[test_case("GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n"; "space before the colon")]
#[test_case("GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n"; "bare carriage return")]
#[test_case("GET / HTTP/1.1\r\nHost: h\r\nA: b\0c\r\n\r\n"; "zero byte")]
#[test_case("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"; "empty line first")]
#[test_case("GET a b HTTP/1.1\r\nHost: h\r\n\r\n"; "space in the target")]
#[test_case("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"; "absolute target")]
fn malformed_head_is_refused(text: &str) {
    assert_eq!(parse(text), Err(HeadError::Malformed));
}

#[test_case(0)]
#[test_case(99)]
#[test_case(600)]
fn status_that_is_not_one_of_http_is_refused(status: u16) {
    let text = format!("HTTP/1.1 {status:03} Status\r\nContent-Length: 0\r\n\r\n");

    let parsed = parse_response(text.as_bytes(), LIMITS);

    assert_eq!(parsed, Err(HeadError::BadStatus(status)));
}

#[test_case("GET / HTTP/1.1\r\n\r\n"; "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"; "two hosts")]
fn exactly_one_host_is_required(text: &str) {
    assert_eq!(parse(text), Err(HeadError::BadHost));
}

#[test]
fn head_over_the_limit_is_refused_before_it_ends() {
    let text = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nA: {}",
        "x".repeat(LIMITS.max_bytes)
    );

    assert_eq!(parse(&text), Err(HeadError::TooLong));
}

#[test]
fn response_without_length_ends_with_its_connection() {
    let head = complete_response("HTTP/1.1 200 OK\r\n\r\n");

    assert_eq!(
        BodyFraming::for_response(&head, "GET"),
        BodyFraming::UntilClose
    );
    assert_eq!(BodyFraming::for_response(&head, "HEAD"), BodyFraming::Empty);
}

/// The step, the decoded body, the remaining input, and whether a close would complete the body.
type Decoded = (BodyStep, Vec<u8>, Vec<u8>, bool);

fn decode(framing: BodyFraming, text: &[u8]) -> Result<Decoded, BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut input = BytesMut::from(text);
    let mut output = Vec::new();
    let step = decoder.advance(&mut input, &mut output)?;
    Ok((step, output, input.to_vec(), decoder.complete_at_close()))
}

#[test]
fn truncated_body_is_not_complete_at_its_close() {
    let (step, output, _, complete) =
        decode(BodyFraming::Sized(10), b"12345").expect("the framing is valid");

    assert_eq!(
        (step, output.len(), complete),
        (BodyStep::Incomplete, 5, false)
    );
}

#[test]
fn bytes_after_a_body_remain_in_the_input() {
    let (step, output, rest, _) =
        decode(BodyFraming::Sized(3), b"123extra").expect("the framing is valid");

    assert_eq!(
        (step, output, rest),
        (BodyStep::Done, b"123".to_vec(), b"extra".to_vec())
    );
}

#[test]
fn chunks_end_only_with_the_last_chunk() {
    let (step, output, _, complete) =
        decode(BodyFraming::Chunked, b"3\r\nabc\r\n").expect("the framing is valid");
    assert_eq!(
        (step, output, complete),
        (BodyStep::Incomplete, b"abc".to_vec(), false)
    );

    let (step, output, rest, _) = decode(
        BodyFraming::Chunked,
        b"3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\nnext",
    )
    .expect("the framing is valid");
    assert_eq!(
        (step, output, rest),
        (BodyStep::Done, b"abc".to_vec(), b"next".to_vec())
    );
}

#[test_case(b"zz\r\n"; "no number")]
#[test_case(b"3\nabc\r\n"; "bare line feed")]
#[test_case(b"3\r\nabcd\r\n"; "longer than declared")]
#[test_case(b"-3\r\nabc\r\n"; "negative")]
fn malformed_chunk_is_refused(text: &[u8]) {
    assert_eq!(
        decode(BodyFraming::Chunked, text),
        Err(BodyError::MalformedChunk)
    );
}

/// Events with their ids, and the bytes of an incomplete event.
type SplitEvents = (Vec<(Vec<u8>, Option<u64>)>, Vec<u8>);

#[test_case(b"0\r\nX Sum: 1\r\n\r\n"; "blank in a name")]
#[test_case(b"0\r\nX-Sum 1\r\n\r\n"; "no colon")]
#[test_case(b"0\r\nX-Sum: 1\r\n 2\r\n\r\n"; "folded")]
fn malformed_trailer_is_refused(text: &[u8]) {
    let decoded = decode(BodyFraming::Chunked, text);

    assert_eq!(decoded.err(), Some(BodyError::MalformedTrailer));
}

fn split(pieces: &[&[u8]]) -> SplitEvents {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.input().extend_from_slice(piece);
        while let Some(event) = splitter.next_event() {
            events.push((event.bytes, event.id));
        }
    }
    (events, splitter.remainder().to_vec())
}

#[test]
fn unfinished_event_is_held_back() {
    let (events, rest) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);

    assert_eq!(events, vec![(b"id: 1\ndata: a\n\n".to_vec(), Some(1))]);
    assert_eq!(rest, b"id: 2\nda");
}

/// An event that was cut off at any byte was taken for the end of its stream.
#[test]
fn every_part_of_an_event_counts_as_unfinished() {
    for text in ["id: 2\ndata: x\n\n", "id: 2\r\ndata: x\r\n\r\n"] {
        for length in 1..text.len() {
            let mut splitter = EventSplitter::default();
            splitter.input().extend_from_slice(b"id: 1\ndata: a\n\n");
            splitter
                .input()
                .extend_from_slice(&text.as_bytes()[..length]);

            while splitter.next_event().is_some() {}

            assert!(splitter.is_inside_event(), "{:?}", &text[..length]);
        }
    }
}

#[test_case(b""; "nothing")]
#[test_case(b"\r\n"; "a line end")]
#[test_case(b": keep-alive\n"; "a comment")]
fn remainder_without_a_part_of_an_event_is_no_unfinished_event(text: &[u8]) {
    let mut splitter = EventSplitter::default();
    splitter.input().extend_from_slice(text);

    while splitter.next_event().is_some() {}

    assert!(!splitter.is_inside_event());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_bytes_arrive(
        ids in prop::collection::vec(0_u64..1_000, 1..8),
        crlf in any::<bool>(),
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let line = if crlf { "\r\n" } else { "\n" };
        let event = |id: &u64| format!("id: {id}{line}data: x{line}{line}");
        let text: String = ids.iter().map(event).collect();
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        for cut in cuts.iter().cycle().take_while(|_| true) {
            if rest.is_empty() { break; }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            pieces.push(piece);
            rest = left;
        }

        let (events, remainder) = split(&pieces);

        let found: Vec<u64> = events.iter().filter_map(|(_, id)| *id).collect();
        prop_assert_eq!(found, ids);
        prop_assert_eq!(events.concat_bytes(), text.into_bytes());
        prop_assert!(remainder.is_empty());
    }

    #[test]
    fn chunked_bodies_do_not_depend_on_how_bytes_are_split(
        body in prop::collection::vec(any::<u8>(), 0..300),
        size in 1_usize..50,
        cut in 1_usize..20,
    ) {
        let mut text = Vec::new();
        for chunk in body.chunks(size) {
            text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            text.extend_from_slice(chunk);
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"0\r\n\r\n");
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut input = BytesMut::new();
        let mut output = Vec::new();
        let mut last = BodyStep::Incomplete;

        for piece in text.chunks(cut) {
            input.extend_from_slice(piece);
            last = decoder.advance(&mut input, &mut output).expect("the framing is valid");
        }

        prop_assert_eq!(last, BodyStep::Done);
        prop_assert_eq!(output, body);
    }

    #[test]
    fn accepted_heads_hold_no_line_that_a_laxer_reader_would_split(
        text in "(GET|POST) /[a-z]{0,4} HTTP/1\\.1\r\nHost: h(\r\n|\n|\r| ){1,2}[A-Za-z-]{0,6}:? ?[a-z\r\n\t ]{0,8}\r\n\r\n",
    ) {
        if let Ok(HeadStep::Complete(head, length)) = parse(&text) {
            let lines = text[..length].split("\r\n");
            prop_assert!(lines.clone().all(|line| !line.contains('\n') && !line.contains('\r')));
            prop_assert_eq!(head.fields().count(), lines.filter(|line| line.contains(':')).count());
        }
    }
}

/// Joins the bytes of split events.
trait ConcatBytes {
    fn concat_bytes(&self) -> Vec<u8>;
}

impl ConcatBytes for Vec<(Vec<u8>, Option<u64>)> {
    fn concat_bytes(&self) -> Vec<u8> {
        self.iter().flat_map(|(bytes, _)| bytes.clone()).collect()
    }
}
