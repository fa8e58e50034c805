//! Broken answers of servers over the platform's protocol: none reaches a caller as an answer, and sound ones
//! that look alike do.

#[path = "support/site.rs"]
mod site;

use rig::{
    PLAIN_BODY, ReplyEnd, ReplyMoment, ScriptedReply, SiteFleet, SiteRequest, SiteResponse,
    SiteSpec,
};
use site::{allow_uploads, call, model_site, stream_call};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Size of an upload that does not fit into the buffers of the sockets.
const LONG_UPLOAD_BYTES: usize = 3 << 20;
/// Size of an upload that fits into the buffer of the sender, and not into that of the receiver.
const BUFFERED_UPLOAD_BYTES: usize = 1 << 20;
/// Exchanges of a case that a race decides.
const EXCHANGES: usize = 20;
/// Longest time for [`EXCHANGES`] or for one exchange with each server.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(20);
/// Time before the next request when no server is left for one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

const STAMP_FIELDS: &str = "X-Server-Stamp: s\r\nX-Attempt-Id: {id}\r\n";
const TWO_EVENTS: &str = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n";

/// A head with this status line, the fields of a server and others, without the empty line.
fn head(status_line: &str, fields: &str) -> String {
    format!("{status_line}\r\n{STAMP_FIELDS}{fields}")
}

fn reply(moment: ReplyMoment, text: String, end: ReplyEnd) -> ScriptedReply {
    ScriptedReply { moment, text, end }
}

/// Replies of servers that have read the whole request and close the connection.
fn closing_replies(texts: impl IntoIterator<Item = String>) -> Vec<ScriptedReply> {
    let texts = texts.into_iter();
    texts
        .map(|text| reply(ReplyMoment::AfterRequest, text, ReplyEnd::Close))
        .collect()
}

/// A site with one plain server for each reply.
fn scripted_site(replies: &[ScriptedReply]) -> SiteFleet {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: replies.len(),
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    allow_uploads(&site, LONG_UPLOAD_BYTES);
    for (server, reply) in site.plain_servers.iter().zip(replies) {
        server.set_reply(Some(reply.clone()));
    }
    site
}

/// A site with two model servers that reply in this way and hold a chain each.
fn scripted_model_site(reply: &ScriptedReply) -> SiteFleet {
    let site = model_site();
    allow_uploads(&site, LONG_UPLOAD_BYTES);
    for server in &site.model_servers {
        server.set_reply(Some(reply.clone()));
    }
    site
}

fn scripted_replies(site: &SiteFleet) -> usize {
    let plain = site
        .plain_servers
        .iter()
        .map(rig::PlainServer::scripted_replies);
    let models = site
        .model_servers
        .iter()
        .map(rig::ModelServer::scripted_replies);
    plain.chain(models).sum()
}

/// A request that may run once only.
fn order(number: usize, body_bytes: usize) -> SiteRequest {
    SiteRequest {
        body: vec![b'x'; body_bytes],
        ..SiteRequest::new("POST", "/post/x", &format!("a{number}"))
    }
}

/// Sends requests that may run once only, one after the other, until `is_over`. Returns the responses to those
/// that reached a server, each with the number of servers that it reached.
fn send_orders(
    site: &SiteFleet,
    body_bytes: usize,
    is_over: impl Fn(usize) -> bool,
) -> Vec<(SiteResponse, usize)> {
    let started = Instant::now();
    let mut answers = Vec::new();
    for number in 0.. {
        let before = scripted_replies(site);
        let answer = call(site, &order(number, body_bytes));
        let reached = scripted_replies(site) - before;
        if reached > 0 {
            answers.push((answer, reached));
        } else {
            // Servers that have failed get no requests for a while.
            assert_eq!(answer.status, 503, "{answer:?}");
            std::thread::sleep(REFUSAL_PAUSE);
        }
        if is_over(answers.len()) {
            return answers;
        }
        assert!(
            started.elapsed() < EXCHANGE_LIMIT,
            "{} exchanges",
            answers.len()
        );
    }
    answers
}

/// Sends requests until each server has replied to one.
fn send_order_to_each(site: &SiteFleet) -> Vec<(SiteResponse, usize)> {
    send_orders(site, 0, |_| {
        let mut servers = site.plain_servers.iter();
        servers.all(|server| server.scripted_replies() > 0)
    })
}

/// The server may have run the request, so its caller is told so and no other server gets it.
fn assert_failed(answers: &[(SiteResponse, usize)]) {
    for (answer, reached) in answers {
        assert_eq!((answer.status, *reached), (502, 1), "{answer:?}");
        assert_eq!(answer.field("x-server-stamp"), None, "{answer:?}");
    }
}

/// A server that sends a part of a response without a length and is gone before it has received the request
/// was taken for one that ends its response by closing the connection.
#[test_case(LONG_UPLOAD_BYTES, ReplyEnd::Close; "reset while the request is written")]
#[test_case(LONG_UPLOAD_BYTES, ReplyEnd::HalfClose; "closed while the request is written")]
#[test_case(BUFFERED_UPLOAD_BYTES, ReplyEnd::Close; "reset with the rest of the request buffered")]
#[test_case(BUFFERED_UPLOAD_BYTES, ReplyEnd::HalfClose; "closed with the rest of the request buffered")]
#[test_case(LONG_UPLOAD_BYTES, ReplyEnd::Reset; "reset after the response was read")]
fn unframed_response_to_half_an_upload_is_not_whole(body_bytes: usize, end: ReplyEnd) {
    let text = head("HTTP/1.1 200 OK", "\r\na bo");
    let replies = vec![reply(ReplyMoment::AfterHead, text, end); EXCHANGES];
    let site = scripted_site(&replies);

    let answers = send_orders(&site, body_bytes, |count| count >= EXCHANGES);

    assert_failed(&answers);
}

/// The same for streams of events that end between two events.
#[test_case(LONG_UPLOAD_BYTES, ReplyEnd::Close; "reset while the request is written")]
#[test_case(LONG_UPLOAD_BYTES, ReplyEnd::HalfClose; "closed while the request is written")]
#[test_case(BUFFERED_UPLOAD_BYTES, ReplyEnd::HalfClose; "closed with the rest of the request buffered")]
fn unframed_stream_to_half_an_upload_is_not_whole(body_bytes: usize, end: ReplyEnd) {
    let fields = format!("Content-Type: text/event-stream\r\n\r\n{TWO_EVENTS}");
    let text = head("HTTP/1.1 200 OK", &fields);
    let site = scripted_model_site(&reply(ReplyMoment::AfterHead, text, end));

    let mut reached = 0;
    let started = Instant::now();
    for number in 0.. {
        let request = SiteRequest {
            body: vec![b'x'; body_bytes],
            ..stream_call(&format!("a{number}"))
        };
        let answer = call(&site, &request);
        let is_whole = answer.status == 200 && answer.complete;
        assert!(!is_whole, "{answer:?}");
        reached += usize::from(answer.status == 200);
        if reached >= EXCHANGES / 2 || started.elapsed() > EXCHANGE_LIMIT {
            break;
        }
        std::thread::sleep(REFUSAL_PAUSE);
    }
    assert!(reached > 0, "no stream began");
}

/// A server may answer before it has read the whole request if its response has a length or chunks, and one
/// that has read it may end its response by closing the connection.
#[test_case(ReplyMoment::AfterHead, ReplyEnd::Close, "413 Content Too Large", "Content-Length: 9\r\n\r\na booking"; "refused early and reset")]
#[test_case(ReplyMoment::AfterHead, ReplyEnd::HalfClose, "413 Content Too Large", "Content-Length: 9\r\n\r\na booking"; "refused early and closed")]
#[test_case(ReplyMoment::AfterHead, ReplyEnd::Keep, "413 Content Too Large", "Content-Length: 9\r\n\r\na booking"; "refused early with the rest read later")]
#[test_case(ReplyMoment::AfterHead, ReplyEnd::Close, "200 OK", "Content-Length: 9\r\n\r\na booking"; "answered early and reset")]
#[test_case(ReplyMoment::AfterHead, ReplyEnd::Keep, "200 OK", "Transfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\n\r\n"; "answered early in chunks")]
#[test_case(ReplyMoment::AfterRequest, ReplyEnd::Close, "200 OK", "\r\na booking"; "without a length and closed")]
#[test_case(ReplyMoment::AfterRequest, ReplyEnd::HalfClose, "200 OK", "\r\na booking"; "without a length and closed by half")]
#[test_case(ReplyMoment::AfterRequest, ReplyEnd::Keep, "200 OK", "Content-Length: 9\r\n\r\na booking"; "with a length")]
#[test_case(ReplyMoment::AfterRequest, ReplyEnd::Keep, "200 OK", "Transfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\nX-Sum: 1\r\n\r\n"; "in chunks with a trailer")]
fn sound_response_to_an_upload_is_forwarded(
    moment: ReplyMoment,
    end: ReplyEnd,
    status: &str,
    rest: &str,
) {
    let text = head(&format!("HTTP/1.1 {status}"), rest);
    let site = scripted_site(&[reply(moment, text, end)]);

    let answers = send_orders(&site, LONG_UPLOAD_BYTES, |count| count >= EXCHANGES);

    for (answer, reached) in answers {
        assert!(status.starts_with(&answer.status.to_string()), "{answer:?}");
        assert_eq!((&*answer.body, answer.complete), (PLAIN_BODY, true));
        assert_eq!(answer.field("x-server-stamp"), Some("s"));
        assert_eq!(reached, 1);
    }
}

/// A refusal whose head is whole keeps its promise that the request has not run, even when its body is not.
#[test]
fn promise_of_a_whole_head_holds_although_the_body_is_broken() {
    let text = head("HTTP/1.1 503 Status", "X-Not-Executed: 1\r\n\r\nful");
    let site = scripted_site(&[reply(ReplyMoment::AfterHead, text, ReplyEnd::Close)]);

    let answers = send_orders(&site, LONG_UPLOAD_BYTES, |count| count >= 1);

    assert_eq!(answers[0].0.status, 503, "{answers:?}");
}

/// A whole response with a length.
fn sound_response() -> String {
    head("HTTP/1.1 200 OK", "Content-Length: 9\r\n\r\na booking")
}

/// Responses with this status line: with a length, without one, in chunks, and with a sound response behind
/// them, as behind an interim one.
fn responses_with(status_line: &str) -> Vec<String> {
    let ends = [
        "Content-Length: 9\r\n\r\na booking",
        "\r\na booking",
        "Transfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\n\r\n",
    ];
    let mut texts: Vec<String> = ends.iter().map(|end| head(status_line, end)).collect();
    texts.push(head(status_line, "\r\n") + &sound_response());
    texts.push(format!("HTTP/1.1 100 Continue\r\n\r\n{}", texts[0]));
    texts
}

/// A status below 100 was taken for that of an interim response, and the response behind it for the final one;
/// one above 599 was forwarded.
#[test_case("HTTP/1.1 000 Status"; "zero")]
#[test_case("HTTP/1.1 000"; "zero without a reason")]
#[test_case("HTTP/1.1 001 Status"; "one")]
#[test_case("HTTP/1.1 099 Status"; "below the lowest")]
#[test_case("HTTP/1.1 600 Status"; "above the highest")]
#[test_case("HTTP/1.1 999 Status"; "far above the highest")]
#[test_case("HTTP/1.1 20 Status"; "two digits")]
#[test_case("HTTP/1.1 2000 Status"; "four digits")]
#[test_case("HTTP/1.1 2x0 Status"; "no number")]
#[test_case("HTTP/1.1 OK"; "no status")]
fn response_with_an_invalid_status_is_not_forwarded(status_line: &str) {
    let site = scripted_site(&closing_replies(responses_with(status_line)));

    let answers = send_order_to_each(&site);

    assert_failed(&answers);
}

/// The same for streams.
#[test_case("HTTP/1.1 000 Status")]
#[test_case("HTTP/1.1 099 Status")]
#[test_case("HTTP/1.1 600 Status")]
fn stream_with_an_invalid_status_is_not_forwarded(status_line: &str) {
    let fields = format!("Content-Type: text/event-stream\r\n\r\n{TWO_EVENTS}");
    let sound = head("HTTP/1.1 200 OK", &fields);
    let texts = [
        head(status_line, &fields),
        head(status_line, "\r\n") + &sound,
    ];
    for text in texts {
        let replies = closing_replies([text]);
        let site = scripted_model_site(&replies[0]);

        let answer = call(&site, &stream_call("a1"));

        assert!(scripted_replies(&site) > 0, "{answer:?}");
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(answer.field("x-server-stamp"), None, "{answer:?}");
    }
}

/// Unusual responses that are sound.
#[test_case("HTTP/1.1 200 OK", 200; "usual")]
#[test_case("HTTP/1.1 200 ", 200; "without a reason")]
#[test_case("HTTP/1.0 200 OK", 200; "of HTTP/1.0")]
#[test_case("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200; "after an interim response")]
#[test_case("HTTP/1.1 299 Status", 299; "success without a standard name")]
#[test_case("HTTP/1.1 599 Status", 599; "the highest status")]
fn response_with_a_valid_status_is_forwarded(start: &str, status: u16) {
    let text = head(start, "Content-Length: 9\r\n\r\na booking");
    let site = scripted_site(&closing_replies([text]));

    let answers = send_order_to_each(&site);

    let (answer, reached) = &answers[0];
    assert_eq!((answer.status, *reached), (status, 1), "{answer:?}");
    assert_eq!((&*answer.body, answer.complete), (PLAIN_BODY, true));
}

/// Responses with this line in the head: first, last, and in the head of an interim response.
fn responses_with_line(line: &str) -> Vec<String> {
    let rest = "Content-Length: 9\r\n\r\na booking";
    vec![
        head(&format!("HTTP/1.1 200 OK\r\n{line}"), rest),
        head(
            "HTTP/1.1 200 OK",
            &format!("Content-Length: 9\r\n{line}\r\n\r\na booking"),
        ),
        head("HTTP/1.1 200 OK", &format!("{line}\r\n\r\na booking")),
        format!(
            "HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n{}",
            sound_response()
        ),
    ]
}

/// A response whose head has a line that is no field is not forwarded, with this line or without it.
#[test_case("X Color: green"; "blank inside")]
#[test_case("X-Color : green"; "blank before the colon")]
#[test_case(" X-Color: green"; "blank first")]
#[test_case("Content Length: 4"; "length with a blank")]
#[test_case("Content-Length : 4"; "length with a blank before the colon")]
#[test_case("Transfer-Encoding\t: chunked"; "coding with a tab before the colon")]
#[test_case("X\tColor: green"; "tab inside")]
#[test_case("\tX-Color: green"; "tab first")]
#[test_case("X\u{1}Color: green"; "control byte inside")]
#[test_case("\u{1f}X-Color: green"; "control byte first")]
#[test_case("X-Color\u{7f}: green"; "delete at the end")]
#[test_case("X\0Color: green"; "zero byte inside")]
#[test_case("X\rColor: green"; "carriage return inside")]
#[test_case("X\u{e9}Color: green"; "letter that is not ASCII")]
#[test_case(": green"; "empty")]
#[test_case("X-Color green"; "no colon")]
fn response_with_an_invalid_field_is_not_forwarded(line: &str) {
    let site = scripted_site(&closing_replies(responses_with_line(line)));

    let answers = send_order_to_each(&site);

    assert_failed(&answers);
}

/// The same for streams.
#[test_case("X Color: green"; "blank inside")]
#[test_case("X\u{1}Color: green"; "control byte inside")]
fn stream_with_an_invalid_field_is_not_forwarded(line: &str) {
    let fields = format!("{line}\r\nContent-Type: text/event-stream\r\n\r\n{TWO_EVENTS}");
    let replies = closing_replies([head("HTTP/1.1 200 OK", &fields)]);
    let site = scripted_model_site(&replies[0]);

    let answer = call(&site, &stream_call("a1"));

    assert!(scripted_replies(&site) > 0, "{answer:?}");
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// A request that may run again is served by a sound server.
#[test_case("HTTP/1.1 000 Status"; "invalid status")]
#[test_case("HTTP/1.1 200 OK\r\nX Color: green"; "invalid field")]
fn repeatable_request_is_served_by_a_sound_server(start: &str) {
    let text = head(start, "Content-Length: 9\r\n\r\na bo");
    let site = scripted_site(&closing_replies(vec![text; 2]));
    site.plain_servers[1].set_reply(None);

    let mut number = 0;
    while site.plain_servers[0].scripted_replies() == 0 {
        number += 1;
        let answer = call(
            &site,
            &SiteRequest::new("GET", "/get/x", &format!("a{number}")),
        );
        assert_eq!(
            (answer.status, &*answer.body),
            (200, PLAIN_BODY),
            "{answer:?}"
        );
    }
}

/// A line after the last chunk that is no field was dropped, and the response forwarded as whole.
#[test_case("X Sum: 1\r\n\r\n"; "blank inside")]
#[test_case("X-Sum : 1\r\n\r\n"; "blank before the colon")]
#[test_case(" X-Sum: 1\r\n\r\n"; "blank first")]
#[test_case("X\u{1}Sum: 1\r\n\r\n"; "control byte inside")]
#[test_case("X\0Sum: 1\r\n\r\n"; "zero byte inside")]
#[test_case("X-Sum: 1\r2\r\n\r\n"; "carriage return in the value")]
#[test_case(": 1\r\n\r\n"; "empty")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "another response")]
fn response_with_an_invalid_trailer_is_not_forwarded(trailers: &str) {
    let rest = format!("Transfer-Encoding: chunked\r\n\r\n9\r\na booking\r\n0\r\n{trailers}");
    let site = scripted_site(&closing_replies([head("HTTP/1.1 200 OK", &rest)]));

    let answers = send_order_to_each(&site);

    assert_failed(&answers);
}

/// A head that is cut at any byte is no head, however the connection ends.
#[test_case(ReplyEnd::Close)]
#[test_case(ReplyEnd::HalfClose)]
#[test_case(ReplyEnd::Reset)]
fn response_cut_in_its_head_is_not_forwarded(end: ReplyEnd) {
    let whole = head("HTTP/1.1 200 OK", "Content-Length: 9\r\n\r\n");
    let cuts = (1..whole.len())
        .step_by(3)
        .filter(|cut| whole.is_char_boundary(*cut));
    let replies: Vec<ScriptedReply> = cuts
        .map(|cut| reply(ReplyMoment::AfterRequest, whole[..cut].to_owned(), end))
        .collect();
    let site = scripted_site(&replies);

    let answers = send_order_to_each(&site);

    assert_failed(&answers);
}

/// The same with a long upload that is not read, and for streams.
#[test_case(ReplyEnd::Close)]
#[test_case(ReplyEnd::HalfClose)]
fn response_to_half_an_upload_cut_in_its_head_is_not_forwarded(end: ReplyEnd) {
    let whole = head("HTTP/1.1 200 OK", "Content-Length: 9\r\n\r\n");
    let text = whole[..whole.len() - 2].to_owned();
    let cut = reply(ReplyMoment::AfterHead, text, end);
    let site = scripted_site(&vec![cut.clone(); EXCHANGES]);
    let streams = scripted_model_site(&cut);

    let answers = send_orders(&site, LONG_UPLOAD_BYTES, |count| count >= EXCHANGES);
    let stream = call(&streams, &stream_call("a1"));

    assert_failed(&answers);
    assert!(scripted_replies(&streams) > 0, "{stream:?}");
    assert_eq!(stream.status, 502, "{stream:?}");
}
