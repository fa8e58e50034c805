//! How streams of targets end over the platform's protocol: whole, or broken off at any byte.

#[path = "support/site.rs"]
mod site;

use arbutusmount::BudgetLimits;
use rig::{
    CutEnd, CutScope, ModelKnobs, SiteFleet, SiteRequest, SiteResponse, StreamCut, StreamFraming,
    event_text,
};
use site::{call, model_site, stream_call};
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// Longest time from the end of the last attempt to the end of the answer: far less than a stream
/// waits for a chain with capacity.
const END_LIMIT: Duration = Duration::from_millis(700);
/// Event that is cut.
const CUT_EVENT: u64 = 7;
/// Number of events in a complete stream.
const EVENTS: u64 = 20;

/// Starts a site that always allows a retry.
fn retrying_site() -> SiteFleet {
    let site = model_site();
    site.daemons[0]
        .state
        .context
        .budget
        .set_limits(BudgetLimits {
            ratio: 1.0,
            allowance: 10_000.0,
            window: Duration::from_secs(10),
        });
    site
}

fn cutting_knobs(framing: StreamFraming, cuts: &[StreamCut]) -> ModelKnobs {
    ModelKnobs {
        event_gap: Duration::from_millis(1),
        events: EVENTS,
        framing,
        cuts: cuts.to_vec(),
        ..ModelKnobs::default()
    }
}

fn set_knobs(site: &SiteFleet, knobs: &ModelKnobs) {
    site.model_servers
        .iter()
        .for_each(|model| model.set_knobs(knobs.clone()));
}

/// Numbers of bytes after which a cut shows that the stream was broken off. Between two events, an
/// orderly end of a stream without a length looks the same as one that was broken off, and so does
/// one that sends its last chunk.
fn visible_cuts(framing: StreamFraming, end: CutEnd) -> std::ops::RangeInclusive<usize> {
    let length = event_text(CUT_EVENT).len();
    match (framing, end) {
        (StreamFraming::UntilClose, CutEnd::Close) | (_, CutEnd::LastChunk) => 1..=length - 1,
        _ => 0..=length,
    }
}

/// Sends a request for a stream. Callers of HTTP/1.0 know no chunks and must not get any.
fn send(site: &SiteFleet, attempt: &str, version: &'static str) -> SiteResponse {
    let request = SiteRequest {
        version,
        ..stream_call(attempt)
    };
    let answer = call(site, &request);
    let is_chunked = answer.field("transfer-encoding").is_some();
    assert_eq!(is_chunked, version == "HTTP/1.1", "{answer:?}");
    answer
}

fn joined_events(count: u64) -> String {
    (0..count).map(event_text).collect()
}

fn run_count(site: &SiteFleet, attempt: &str) -> usize {
    let runs = site.model_servers.iter().flat_map(rig::ModelServer::runs);
    runs.filter(|run| run.attempt_id == attempt).count()
}

/// Checks streams whose first server breaks them off: they go on at another server and are whole.
fn check_resumed(framing: StreamFraming, end: CutEnd, version: &'static str) {
    let site = retrying_site();
    for bytes in visible_cuts(framing, end) {
        let cut = StreamCut {
            scope: CutScope::Started,
            event: CUT_EVENT,
            bytes,
            end,
        };
        set_knobs(&site, &cutting_knobs(framing, &[cut]));
        let attempt = format!("a{bytes}");

        let answer = send(&site, &attempt, version);

        assert_eq!((answer.status, answer.complete), (200, true), "{cut:?}");
        assert_eq!(
            String::from_utf8_lossy(&answer.body),
            joined_events(EVENTS),
            "{cut:?}"
        );
        assert_eq!(run_count(&site, &attempt), 2, "{cut:?}");
    }
}

/// Checks streams that are broken off once more by the server at which they went on, the last one
/// that the route allows: they must not look complete, nor contain a part of an event.
fn check_truncated(framing: StreamFraming, end: CutEnd, version: &'static str) {
    let site = retrying_site();
    let first = StreamCut {
        scope: CutScope::Started,
        ..StreamCut::reset_at(3)
    };
    for bytes in visible_cuts(framing, end) {
        let cut = StreamCut {
            scope: CutScope::Resumed,
            event: CUT_EVENT,
            bytes,
            end,
        };
        set_knobs(&site, &cutting_knobs(framing, &[first, cut]));
        let whole_events = CUT_EVENT + u64::from(bytes == event_text(CUT_EVENT).len());

        let answer = send(&site, &format!("a{bytes}"), version);

        assert_eq!((answer.status, answer.complete), (200, false), "{cut:?}");
        assert_eq!(
            String::from_utf8_lossy(&answer.body),
            joined_events(whole_events),
            "{cut:?}"
        );
    }
}

/// A stream without a length that its server closed inside an event was passed on as complete.
#[test_matrix([CutEnd::Close, CutEnd::Reset], ["HTTP/1.1", "HTTP/1.0"])]
fn unframed_stream_cut_inside_an_event_is_resumed(end: CutEnd, version: &'static str) {
    check_resumed(StreamFraming::UntilClose, end, version);
}

/// A stream that its server ended properly, but inside an event, was passed on as complete.
#[test_matrix([CutEnd::Close, CutEnd::Reset, CutEnd::LastChunk], ["HTTP/1.1", "HTTP/1.0"])]
fn chunked_stream_cut_inside_an_event_is_resumed(end: CutEnd, version: &'static str) {
    check_resumed(StreamFraming::Chunked, end, version);
}

/// A resumed stream that was broken off in turn was passed on as complete.
#[test_matrix([CutEnd::Close, CutEnd::Reset], ["HTTP/1.1", "HTTP/1.0"])]
fn unframed_stream_cut_again_does_not_look_complete(end: CutEnd, version: &'static str) {
    check_truncated(StreamFraming::UntilClose, end, version);
}

/// The same for streams that are framed by chunks.
#[test_matrix([CutEnd::Close, CutEnd::Reset, CutEnd::LastChunk], ["HTTP/1.1", "HTTP/1.0"])]
fn chunked_stream_cut_again_does_not_look_complete(end: CutEnd, version: &'static str) {
    check_truncated(StreamFraming::Chunked, end, version);
}

/// Events that arrived together with the proof that a later one is missing were not sent to the
/// caller, but the stream went on after them.
#[test_case(StreamFraming::Chunked)]
#[test_case(StreamFraming::UntilClose)]
fn events_before_a_gap_are_forwarded(framing: StreamFraming) {
    let site = retrying_site();
    let gap = StreamCut {
        scope: CutScope::Started,
        event: CUT_EVENT,
        bytes: 0,
        end: CutEnd::NextEvent,
    };
    let knobs = ModelKnobs {
        event_gap: Duration::ZERO,
        ..cutting_knobs(framing, &[gap])
    };
    set_knobs(&site, &knobs);

    let answer = send(&site, "a1", "HTTP/1.1");

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(String::from_utf8_lossy(&answer.body), joined_events(EVENTS));
    assert_eq!(run_count(&site, "a1"), 2);
}

/// A stream whose route allows no further attempt was held for 1.4 s before it was cut short, in the
/// hope of a chain that it could not use.
#[test]
fn stream_without_attempts_left_is_cut_short_at_once() {
    let site = retrying_site();
    let cut = StreamCut::reset_at(CUT_EVENT);
    set_knobs(&site, &cutting_knobs(StreamFraming::Chunked, &[cut]));

    let answer = send(&site, "a1", "HTTP/1.1");

    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert!(answer.elapsed < END_LIMIT, "{:?}", answer.elapsed);
}

/// A caller of HTTP/1.0 got chunks, which that version does not have, and a stream that was broken
/// off and closed looked complete to one that keeps its connection open.
#[test_case(&[]; "without a connection field")]
#[test_case(&["keep-alive"]; "with keep-alive")]
fn http_1_0_caller_gets_a_stream_that_ends_with_its_connection(connection: &[&str]) {
    let site = model_site();
    let fields = connection
        .iter()
        .map(|value| ("Connection", (*value).to_owned()));
    let mut request = SiteRequest {
        version: "HTTP/1.0",
        ..stream_call("a1")
    };
    request.fields.extend(fields);

    let answer = call(&site, &request);

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.field("transfer-encoding"), None);
    assert_eq!(answer.field("connection"), Some("close"));
    assert_eq!(String::from_utf8_lossy(&answer.body), joined_events(EVENTS));
}
