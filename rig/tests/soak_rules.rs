//! Checks of the fault soak: each reports a planted violation, and sound evidence breaks no rule.

use rig::{
    ConfigState, ExchangeEnd, FaultScope, FaultSpan, FaultSubject, HttpMessage, NamedLimit, OwnEnd,
    RequestRule, ServerDeparture, ServerRun, SoakEvidence, SoakExchange, SoakFault, SoakReport,
    UnframedBody, check_rules, event_text,
};
use std::collections::{BTreeSet, HashSet};
use std::path::PathBuf;
use std::time::Duration;
use test_case::test_case;

/// Requests of each rule in the sound evidence.
const SOUND_REQUESTS: usize = 30;

fn millis(millis: usize) -> Duration {
    Duration::from_millis(millis as u64)
}

fn message(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> HttpMessage {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    HttpMessage {
        first_line: first_line.to_owned(),
        fields: fields.iter().map(owned).collect(),
        body: body.to_vec(),
        complete: true,
        length: 0,
    }
}

fn answer(status: u16, attempt: &str, body: &[u8]) -> HttpMessage {
    let fields = [("X-Server-Stamp", "stamp"), ("X-Attempt-Id", attempt)];
    message(&format!("HTTP/1.1 {status} Status"), &fields, body)
}

fn own_answer(status: u16) -> HttpMessage {
    message(&format!("HTTP/1.1 {status} Status"), &[], b"")
}

/// A request that was answered by a server 50 ms after it was sent.
fn exchange(attempt: &str, kind: RequestRule, sent: Duration) -> SoakExchange {
    let (target, body) = match kind {
        RequestRule::Idempotent => ("/get/x", b"a booking".to_vec()),
        RequestRule::AtMostOnce => ("/post/x", b"a booking".to_vec()),
        RequestRule::Stream => {
            let events: String = (0..20).map(event_text).collect();
            ("/stream/x", events.into_bytes())
        }
    };
    SoakExchange {
        attempt: attempt.to_owned(),
        daemon: 0,
        kind,
        method: "POST".to_owned(),
        target: target.to_owned(),
        key: "key-1".to_owned(),
        body: b"sent".to_vec(),
        fields: vec![("X-Model".to_owned(), "model-1".to_owned())],
        kept: true,
        half_closed: false,
        sent,
        ended: sent + millis(50),
        end: ExchangeEnd::Answered(answer(200, attempt, &body)),
        stray: Vec::new(),
    }
}

/// The run of an answered request, or of one whose server would have answered.
fn run_of(exchange: &SoakExchange, server: &str) -> ServerRun {
    let service = if exchange.kind == RequestRule::Stream {
        "desk"
    } else {
        "shop"
    };
    let fields = [
        ("X-Model", "model-1"),
        ("X-Tenant", "franchise"),
        ("X-Deadline-Ms", "2900"),
        ("X-Hops", "127.0.0.1:1=0-5,127.0.0.1:2=5-8"),
    ];
    let line = format!("{} {} HTTP/1.1", exchange.method, exchange.target);
    let sent = match &exchange.end {
        ExchangeEnd::Answered(answer) => vec![answer.clone()],
        _ => Vec::new(),
    };
    ServerRun {
        attempt: exchange.attempt.clone(),
        server: server.into(),
        service: service.into(),
        at: exchange.sent + millis(10),
        request: message(&line, &fields, &exchange.body),
        answers: sent,
        ended: Some(exchange.sent + millis(40)),
        dropped: false,
        broke_off: false,
    }
}

fn config(acknowledged: Duration, get_service: &str) -> ConfigState {
    let services = |name: &str| BTreeSet::from([name.to_owned()]);
    let routes = [
        ("/get/", services(get_service)),
        ("/post/", services("shop")),
        ("/stream/", services("desk")),
    ];
    ConfigState {
        acknowledged,
        routes: routes.map(|(prefix, to)| (prefix.to_owned(), to)).into(),
        keys: BTreeSet::from(["key-1".to_owned()]),
    }
}

/// Evidence of 30 s in which each request was answered by one server.
fn sound_evidence() -> SoakEvidence {
    let mut evidence = SoakEvidence {
        now: Duration::from_secs(40),
        configs: vec![config(Duration::ZERO, "shop")],
        ..SoakEvidence::default()
    };
    let kinds = [
        RequestRule::Idempotent,
        RequestRule::AtMostOnce,
        RequestRule::Stream,
    ];
    for kind in kinds {
        for number in 0..SOUND_REQUESTS {
            let attempt = format!("{kind:?}-{number}");
            add(
                &mut evidence,
                exchange(&attempt, kind, millis(1_000 * number)),
            );
        }
    }
    evidence
}

/// Adds a request and its run at `p-0`.
fn add(evidence: &mut SoakEvidence, exchange: SoakExchange) {
    evidence.runs.push(run_of(&exchange, "p-0"));
    evidence.exchanges.push(exchange);
}

/// Adds requests with this end, 10 ms apart from the tenth second on.
fn add_ended(
    evidence: &mut SoakEvidence,
    count: usize,
    kind: RequestRule,
    waited: Duration,
    end: &ExchangeEnd,
) {
    for number in 0..count {
        let mut added = exchange(
            &format!("added-{number}"),
            kind,
            millis(10_000 + 10 * number),
        );
        added.ended = added.sent + waited;
        added.end = end.clone();
        add(evidence, added);
    }
}

fn first_exchange(evidence: &mut SoakEvidence, kind: RequestRule) -> &mut SoakExchange {
    let mut exchanges = evidence.exchanges.iter_mut();
    let first = exchanges.find(|e| e.kind == kind && e.sent > Duration::from_secs(10));
    first.expect("the evidence holds all kinds")
}

fn first_answer(evidence: &mut SoakEvidence, kind: RequestRule) -> &mut HttpMessage {
    match &mut first_exchange(evidence, kind).end {
        ExchangeEnd::Answered(answer) => answer,
        other => panic!("not answered: {other:?}"),
    }
}

fn first_run(evidence: &mut SoakEvidence) -> &mut ServerRun {
    let mut runs = evidence.runs.iter_mut();
    let first = runs.find(|run| run.at > Duration::from_secs(10));
    first.expect("the evidence holds runs")
}

fn repeat_run(evidence: &mut SoakEvidence, attempt: &str, server: &str) {
    let runs = evidence.runs.iter();
    let run = runs.clone().find(|run| run.attempt == attempt);
    let run = run.expect("the request has run").clone();
    evidence.runs.push(ServerRun {
        server: server.into(),
        at: run.at + millis(5),
        ..run
    });
}

fn plant_foreign_body(evidence: &mut SoakEvidence) {
    first_answer(evidence, RequestRule::Idempotent).body = b"not yours".to_vec();
}

fn plant_unsigned_success(evidence: &mut SoakEvidence) {
    let answer = first_answer(evidence, RequestRule::Idempotent);
    answer.fields.retain(|(name, _)| name != "X-Server-Stamp");
}

fn plant_foreign_identity(evidence: &mut SoakEvidence) {
    first_answer(evidence, RequestRule::Stream).fields[1].1 = "another".into();
}

fn plant_foreign_failure(evidence: &mut SoakEvidence) {
    first_answer(evidence, RequestRule::Idempotent).first_line = "HTTP/1.1 500 Status".into();
}

fn plant_stray_bytes(evidence: &mut SoakEvidence) {
    first_exchange(evidence, RequestRule::Idempotent).stray = b"HTTP/1.1 200 OK".to_vec();
}

fn plant_garbage(evidence: &mut SoakEvidence) {
    let end = ExchangeEnd::Broken(Some(HttpMessage::default()));
    first_exchange(evidence, RequestRule::Idempotent).end = end;
}

fn plant_unknown_request(evidence: &mut SoakEvidence) {
    first_run(evidence).attempt = "smuggled".into();
}

fn plant_changed_body(evidence: &mut SoakEvidence) {
    first_run(evidence).request.body = b"changed".to_vec();
}

fn plant_changed_model(evidence: &mut SoakEvidence) {
    first_run(evidence).request.fields[0].1 = "model-2".into();
}

fn plant_foreign_team(evidence: &mut SoakEvidence) {
    first_run(evidence).request.fields[1].1 = "forged".into();
}

fn plant_key(evidence: &mut SoakEvidence) {
    let field = ("Authorization".to_owned(), "Token key-1".to_owned());
    first_run(evidence).request.fields.push(field);
}

fn plant_second_run(evidence: &mut SoakEvidence) {
    repeat_run(evidence, "AtMostOnce-12", "p-1");
}

fn plant_false_refusal(evidence: &mut SoakEvidence) {
    first_exchange(evidence, RequestRule::AtMostOnce).end = ExchangeEnd::Answered(own_answer(503));
}

fn plant_denials(evidence: &mut SoakEvidence) {
    let end = ExchangeEnd::Answered(own_answer(401));
    add_ended(evidence, 6, RequestRule::Idempotent, millis(50), &end);
}

fn plant_foreign_service(evidence: &mut SoakEvidence) {
    first_run(evidence).service = "elsewhere".into();
}

fn plant_unknown_key(evidence: &mut SoakEvidence) {
    first_exchange(evidence, RequestRule::Idempotent).key = "never".into();
}

fn plant_old_service(evidence: &mut SoakEvidence) {
    evidence
        .configs
        .push(config(Duration::from_secs(5), "shop-b"));
}

fn plant_old_denial(evidence: &mut SoakEvidence) {
    let end = ExchangeEnd::Answered(own_answer(404));
    first_exchange(evidence, RequestRule::Idempotent).end = end;
}

fn plant_silence(evidence: &mut SoakEvidence) {
    let end = ExchangeEnd::TimedOut(None);
    add_ended(evidence, 8, RequestRule::Idempotent, millis(3_600), &end);
}

fn plant_repeats(evidence: &mut SoakEvidence) {
    for _ in 0..60 {
        repeat_run(evidence, "Idempotent-12", "p-1");
    }
}

fn plant_many_servers(evidence: &mut SoakEvidence) {
    for number in 10..14 {
        for server in ["p-1", "p-2"] {
            repeat_run(evidence, &format!("Idempotent-{number}"), server);
        }
    }
}

fn plant_long_deadlines(evidence: &mut SoakEvidence) {
    for run in &mut evidence.runs {
        run.request.fields[2].1 = "3600".into();
    }
}

fn plant_crashes(evidence: &mut SoakEvidence) {
    for number in 0..16 {
        let attempt = format!("crash-{number}");
        let mut added = exchange(
            &attempt,
            RequestRule::Idempotent,
            millis(5_000 + 500 * number),
        );
        added.target = "/get/crash/x".into();
        add(evidence, added);
    }
}

fn plant_late_sends(evidence: &mut SoakEvidence) {
    add_ended(
        evidence,
        4,
        RequestRule::AtMostOnce,
        millis(50),
        &ExchangeEnd::Left,
    );
    for run in evidence.runs.iter_mut().rev().take(4) {
        run.at += millis(600);
        run.ended = Some(run.at);
    }
}

fn plant_lasting_runs(evidence: &mut SoakEvidence) {
    add_ended(
        evidence,
        4,
        RequestRule::Stream,
        millis(50),
        &ExchangeEnd::Left,
    );
    for run in evidence.runs.iter_mut().rev().take(4) {
        run.ended = None;
    }
}

fn plant_closed_connections(evidence: &mut SoakEvidence) {
    let end = ExchangeEnd::Broken(None);
    add_ended(evidence, 4, RequestRule::AtMostOnce, millis(50), &end);
}

fn span(kind: SoakFault, scope: FaultScope, subject: FaultSubject, begin: usize) -> FaultSpan {
    FaultSpan {
        kind,
        scope,
        subject,
        begin: millis(begin),
        end: Some(millis(begin + 1_000)),
    }
}

/// One stream ends with its connection, 100 ms after a signal to its daemon.
fn plant_loss_beside(evidence: &mut SoakEvidence, kind: SoakFault) {
    let subject = FaultSubject::Daemon(0);
    evidence
        .faults
        .push(span(kind, FaultScope::Daemon, subject, 9_950));
    let end = ExchangeEnd::Broken(Some(answer(200, "added-0", b"")));
    add_ended(evidence, 1, RequestRule::Stream, millis(300), &end);
}

fn plant_loss_at_term(evidence: &mut SoakEvidence) {
    plant_loss_beside(evidence, SoakFault::DaemonTerm);
}

fn plant_loss_at_reload(evidence: &mut SoakEvidence) {
    plant_loss_beside(evidence, SoakFault::DaemonReload);
}

fn plant_loss_at_config(evidence: &mut SoakEvidence) {
    evidence.configs.push(config(millis(10_100), "shop"));
    let end = ExchangeEnd::Broken(Some(answer(200, "added-0", b"")));
    add_ended(evidence, 1, RequestRule::Stream, millis(300), &end);
}

fn plant_left_server(evidence: &mut SoakEvidence) {
    evidence.departures.push(ServerDeparture {
        server: "p-0".into(),
        acknowledged: Duration::from_secs(10),
        until: None,
    });
}

fn plant_missing_event(evidence: &mut SoakEvidence) {
    let events: String = (0..20).filter(|n| *n != 7).map(event_text).collect();
    first_answer(evidence, RequestRule::Stream).body = events.into_bytes();
}

fn plant_short_stream(evidence: &mut SoakEvidence) {
    let events: String = (0..12).map(event_text).collect();
    first_answer(evidence, RequestRule::Stream).body = events.into_bytes();
}

/// Changes the path of the streams.
fn plant_hops(evidence: &mut SoakEvidence, hops: &str) {
    for run in &mut evidence.runs {
        run.request.fields[3].1 = hops.into();
    }
}

fn plant_gap(evidence: &mut SoakEvidence) {
    plant_hops(evidence, "127.0.0.1:1=0-4,127.0.0.1:2=5-8");
}

fn plant_short_path(evidence: &mut SoakEvidence) {
    plant_hops(evidence, "127.0.0.1:1=0-5");
}

fn plant_excess(evidence: &mut SoakEvidence) {
    evidence.limits.push(NamedLimit {
        server: "p-0".into(),
        rate: 5.4,
        named: Duration::from_secs(5),
        until: None,
    });
    let end = ExchangeEnd::Answered(answer(200, "added", b""));
    add_ended(evidence, 40, RequestRule::AtMostOnce, millis(50), &end);
}

fn plant_no_recovery(evidence: &mut SoakEvidence) {
    evidence.calm_since = Some(Duration::ZERO);
    for exchange in &mut evidence.exchanges {
        exchange.end = ExchangeEnd::Answered(own_answer(503));
    }
}

/// Adds the field to the answer of the server in the run that was added last.
fn add_to_last_answer(evidence: &mut SoakEvidence, status: u16, field: &str) {
    let run = evidence.runs.last_mut().expect("a run was added");
    let text = format!("HTTP/1.1 {status} X\r\n{field}\r\nContent-Length: 0\r\n\r\n");
    let answer = HttpMessage::parse(text.as_bytes(), UnframedBody::Open);
    run.answers = vec![answer.expect("the answer is valid")];
}

/// A server asks for rest and gets three requests one second later.
fn plant_rest(evidence: &mut SoakEvidence) {
    for (number, sent) in [10_000, 11_000, 11_100, 11_200].into_iter().enumerate() {
        let attempt = format!("rest-{number}");
        add(
            evidence,
            exchange(&attempt, RequestRule::AtMostOnce, millis(sent)),
        );
        if number == 0 {
            add_to_last_answer(evidence, 503, "X-Not-Executed: 1\r\nRetry-After: 3");
        }
    }
}

/// A server says that it leaves and gets a request three seconds later.
fn plant_told_departure(evidence: &mut SoakEvidence) {
    for sent in [10_000, 13_100] {
        let attempt = format!("told-{sent}");
        add(
            evidence,
            exchange(&attempt, RequestRule::AtMostOnce, millis(sent)),
        );
        add_to_last_answer(evidence, 200, "X-Server-Stamp: s\r\nServer-Leaving: 1");
    }
}

/// A daemon that is cut off refuses 20 requests, while another one serves as many.
fn plant_worse_served(evidence: &mut SoakEvidence) {
    let mut cut = span(
        SoakFault::ServersSilent,
        FaultScope::Daemon,
        FaultSubject::Daemon(0),
        6_000,
    );
    cut.end = Some(millis(14_000));
    evidence.faults.push(cut);
    for number in 0..40 {
        let attempt = format!("cut-{number}");
        let mut added = exchange(
            &attempt,
            RequestRule::AtMostOnce,
            millis(10_000 + 10 * number),
        );
        added.daemon = number % 2;
        if added.daemon == 0 {
            added.end = ExchangeEnd::Answered(answer(503, &attempt, b""));
            evidence.exchanges.push(added);
        } else {
            add(evidence, added);
        }
    }
}

fn plant_own_end(evidence: &mut SoakEvidence) {
    evidence.own_ends.push(OwnEnd {
        daemon: 1,
        at: Duration::from_secs(10),
        status: "exit status 101".to_owned(),
    });
}

/// Guards against checks that cannot fail: each violation that is planted in sound evidence is reported
/// under the name of its rule.
#[test_case(plant_foreign_body, "MIXED"; "body that no server sent")]
#[test_case(plant_unsigned_success, "MIXED"; "success without signature")]
#[test_case(plant_foreign_identity, "MIXED"; "answer of another request")]
#[test_case(plant_foreign_failure, "MIXED"; "failure that no server gave")]
#[test_case(plant_stray_bytes, "MIXED"; "answer without a request")]
#[test_case(plant_garbage, "MIXED"; "bytes that are no answer")]
#[test_case(plant_unknown_request, "UNASKED"; "request that no caller sent")]
#[test_case(plant_changed_body, "UNASKED"; "changed body")]
#[test_case(plant_changed_model, "UNASKED"; "changed model")]
#[test_case(plant_foreign_team, "UNASKED"; "foreign team")]
#[test_case(plant_key, "UNASKED"; "key passed on")]
#[test_case(plant_second_run, "TWICE")]
#[test_case(plant_false_refusal, "REFUSED")]
#[test_case(plant_denials, "DENIED")]
#[test_case(plant_foreign_service, "ROUTE"; "foreign service")]
#[test_case(plant_unknown_key, "ROUTE"; "unknown key")]
#[test_case(plant_old_service, "CONFIG"; "old service")]
#[test_case(plant_old_denial, "CONFIG"; "route that is there")]
#[test_case(plant_silence, "CONFIG timeout")]
#[test_case(plant_repeats, "BUDGET retries")]
#[test_case(plant_many_servers, "BUDGET max attempts")]
#[test_case(plant_long_deadlines, "BUDGET deadline")]
#[test_case(plant_crashes, "BUDGET crashes")]
#[test_case(plant_late_sends, "GONE"; "sent after the caller left")]
#[test_case(plant_lasting_runs, "GONE"; "at work after the caller left")]
#[test_case(plant_closed_connections, "LOST"; "kept connections closed")]
#[test_case(plant_loss_at_term, "LOST planned work"; "beside SIGTERM")]
#[test_case(plant_loss_at_reload, "LOST planned work"; "beside SIGHUP")]
#[test_case(plant_loss_at_config, "LOST planned work"; "beside a configuration")]
#[test_case(plant_left_server, "DRAIN")]
#[test_case(plant_missing_event, "ORDER"; "missing event")]
#[test_case(plant_short_stream, "ORDER"; "complete too soon")]
#[test_case(plant_gap, "LAYERS"; "layers between two servers")]
#[test_case(plant_short_path, "LAYERS"; "last layers")]
#[test_case(plant_excess, "LIMIT")]
#[test_case(plant_no_recovery, "RECOVER")]
#[test_case(plant_rest, "BUDGET rest")]
#[test_case(plant_told_departure, "DRAIN answers")]
#[test_case(plant_worse_served, "RECOVER cut off")]
#[test_case(plant_own_end, "FAULT")]
fn planted_violation_is_reported(plant: fn(&mut SoakEvidence), rule: &str) {
    let mut evidence = sound_evidence();

    plant(&mut evidence);

    let violations = check_rules(&evidence);
    let reported: HashSet<&str> = violations.iter().map(|v| v.rule.0).collect();
    assert!(reported.contains(rule), "{violations:?}");
}

#[test]
fn sound_evidence_breaks_no_rule() {
    let evidence = sound_evidence();

    let violations = check_rules(&evidence);

    assert_eq!(violations, []);
}

fn report_of(evidence: SoakEvidence) -> SoakReport {
    SoakReport {
        seed: 0,
        daemons: 3,
        logs: PathBuf::new(),
        pairs: Vec::new(),
        skipped: Vec::new(),
        violations: Vec::new(),
        evidence,
    }
}

/// A run in which callers were not served or no fault was played would pass all checks.
#[test]
fn run_that_shows_nothing_fails() {
    let mut unserved = sound_evidence();
    let subject = FaultSubject::Store;
    let fault = span(SoakFault::StoreBusy, FaultScope::Store, subject, 0);
    unserved.faults.push(fault);
    let mut complete = unserved.clone();
    unserved.exchanges.clear();

    let failures = [unserved, sound_evidence(), complete.clone()].map(|e| report_of(e).failures());

    complete.faults.clear();
    assert_eq!(
        failures,
        [
            vec!["no request was served".to_owned()],
            vec!["no fault was played".to_owned()],
            Vec::new()
        ]
    );
}
