//! Servers that fall silent for a second or so and go on: no response is given up before another one
//! replaces it.

#[path = "support/site.rs"]
mod site;

use rig::{
    CutEnd, CutScope, ModelKnobs, ModelServer, PLAIN_BODY, PlainFault, PlainServer, SiteFleet,
    SiteRequest, SiteResponse, SiteSpec, StreamCut, send_site_request,
};
use site::{allow_retries, call, model_site, stream_call, until};
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Event before which servers fall silent.
const SILENT_EVENT: u64 = 7;
/// Silence after which a stream is resumed elsewhere if that is possible.
const SHORT_SILENCE: Duration = Duration::from_millis(1_100);
/// Silence that is over while a chain that was given up is still passed over.
const BRIEF_SILENCE: Duration = Duration::from_millis(300);
/// Silence at the end of which callers leave.
const LONG_SILENCE: Duration = Duration::from_secs(2);
/// Streams that stall at the same time.
const STREAMS: usize = 60;
/// Time that a slow plain request takes; more than half of its caller's timeout of 3 s.
const SLOW_WORK: Duration = Duration::from_millis(2_200);

fn silent_at(event: u64, silence: Duration) -> ModelKnobs {
    ModelKnobs {
        pause_at_event: Some((event, silence)),
        ..ModelKnobs::default()
    }
}

/// Knobs of a server that names its run in each event.
fn named(knobs: ModelKnobs) -> ModelKnobs {
    ModelKnobs {
        names_runs: true,
        ..knobs
    }
}

fn set_all(site: &SiteFleet, knobs: &ModelKnobs) {
    let servers = site.model_servers.iter();
    servers.for_each(|server| server.set_knobs(knobs.clone()));
}

fn heads(site: &SiteFleet) -> Vec<&ModelServer> {
    let servers = site.model_servers.iter();
    servers
        .filter(|server| server.layers().is_some_and(|(from, _)| from == 0))
        .collect()
}

/// The head that has served a first stream, which the next one goes to as well, and the other one.
fn used_and_other_head(site: &SiteFleet) -> (&ModelServer, &ModelServer) {
    call(site, &stream_call("a0"));
    let heads = heads(site);
    let is_used = |head: &&&ModelServer| !head.runs().is_empty();
    let used = heads.iter().find(is_used).expect("a head served a stream");
    let other = heads.iter().find(|head| head.id() != used.id());
    (used, other.expect("a site with two chains"))
}

fn assert_whole(answer: &SiteResponse) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..20).collect::<Vec<u64>>());
}

/// A stalled stream is waited for as long as no other chain can resume it. It was cut off after 1.7 s,
/// although its chain went on.
#[test_case(SILENT_EVENT; "in the middle")]
#[test_case(1; "before the second event")]
fn stalled_stream_without_another_chain_is_waited_for(event: u64) {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 0,
        ..SiteSpec::default()
    });
    set_all(&site, &silent_at(event, LONG_SILENCE));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
}

/// The same while all other chains are silent as well.
#[test]
fn stream_is_waited_for_while_all_chains_are_silent() {
    let site = model_site();
    set_all(&site, &silent_at(SILENT_EVENT, LONG_SILENCE));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
}

/// Streams that stall together and find too few retries in the budget go on at their chains. Each saw a
/// retry that was left, gave its attempt up, and found the retry spent by another one.
#[test_case(3.0)]
#[test_case(10.0)]
#[test_case(20.0)]
fn stalled_streams_that_compete_for_retries_are_served(retries: f64) {
    // Arrange
    let site = model_site();
    let (used, _) = used_and_other_head(&site);
    allow_retries(&site, retries);
    used.set_knobs(silent_at(SILENT_EVENT, SHORT_SILENCE));
    let address = site.daemons[0].address;

    // Act
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let request = stream_call(&format!("s{number}"));
            thread::spawn(move || send_site_request(address, &request))
        })
        .collect();

    // Assert
    for caller in callers {
        assert_whole(&caller.join().expect("the caller ends"));
    }
}

/// A stalled stream goes on at its chain when the head of the only other one takes no further request. The
/// attempt was given up before the permit for the next one was asked for.
#[test]
fn stalled_stream_without_a_permit_is_not_given_up() {
    // Arrange: a first stream that moves to the other head shows that head's limit, and uses it up.
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    used.set_knobs(silent_at(SILENT_EVENT, SHORT_SILENCE));
    other.limits().set_limit(Some("0.05"));
    assert_whole(&call(&site, &stream_call("a1")));
    let context = &site.daemons[0].state.context;
    until("the first chain to be usable again", || {
        let now = context.clock.now();
        let view = context.targets.load();
        let mut chains = view
            .targets()
            .filter(|target| target.id.as_str() == used.id());
        chains.all(|target| !target.stats.is_ejected(now))
    });

    // Act
    let answer = call(&site, &stream_call("a2"));

    // Assert
    assert_whole(&answer);
}

fn cut_when_resumed(event: u64) -> ModelKnobs {
    let cut = StreamCut {
        scope: CutScope::Resumed,
        event,
        bytes: 0,
        end: CutEnd::Reset,
    };
    ModelKnobs {
        cuts: vec![cut],
        ..ModelKnobs::default()
    }
}

/// No run may serve the caller again after events of the one that replaced it: each run has generated its
/// own text.
fn assert_runs_not_joined(answer: &SiteResponse) {
    let runs = answer.runs();
    let distinct: BTreeSet<&String> = runs.iter().collect();
    assert_eq!(distinct.len(), runs.len(), "{runs:?}");
}

/// A stalled stream is served to its end when the chain that was to resume it breaks off, without an event
/// or soon after. The stalled attempt was dropped before the next one had sent anything, or at its first
/// event. It also served the caller again after events of the next one, so that pieces of two runs were
/// joined.
#[test_case(0; "without an event")]
#[test_case(1; "after one event")]
#[test_case(2; "after two events")]
#[test_case(5; "after five events")]
fn stalled_stream_outlives_a_failed_resumption(events: u64) {
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    used.set_knobs(named(silent_at(SILENT_EVENT, SHORT_SILENCE)));
    other.set_knobs(named(cut_when_resumed(SILENT_EVENT + events)));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
    assert_runs_not_joined(&answer);
    let resumed = other.runs().iter().any(|run| run.first_event > 0);
    assert!(resumed, "the other chain was tried");
}

/// A stream that nothing can resume any more is cut short after the events of its newest run. Events of the
/// stalled run followed them.
#[test_case(1; "after one event")]
#[test_case(2; "after two events")]
fn stream_that_no_target_resumes_ends_with_its_newest_run(events: u64) {
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    let cut = cut_when_resumed(SILENT_EVENT + events);
    used.set_knobs(named(ModelKnobs {
        cuts: cut.cuts.clone(),
        ..silent_at(SILENT_EVENT, SHORT_SILENCE)
    }));
    other.set_knobs(named(cut));

    let answer = call(&site, &stream_call("a1"));

    let received = (0..SILENT_EVENT + events).collect::<Vec<u64>>();
    assert_eq!((answer.status, answer.complete), (200, false));
    assert_eq!(answer.event_ids(), received);
    assert_eq!(answer.runs().len(), 2, "{:?}", answer.runs());
}

/// A stalled stream whose chain continues, so that the attempt beside it ends, is resumed when that chain
/// breaks off later. The attempt that had ended used up the last target of the route.
#[test]
fn stream_that_breaks_off_after_its_stall_is_resumed() {
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    let later = StreamCut {
        scope: CutScope::Started,
        ..StreamCut::reset_at(SILENT_EVENT + 5)
    };
    used.set_knobs(named(ModelKnobs {
        cuts: vec![later],
        ..silent_at(SILENT_EVENT, BRIEF_SILENCE)
    }));
    other.set_knobs(named(silent_at(SILENT_EVENT, SHORT_SILENCE)));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
    assert_runs_not_joined(&answer);
    assert_eq!(other.runs().len(), 2, "{:?}", other.runs());
}

/// A chain that goes on after a silence serves the next requests at once. It was passed over like one that
/// had failed.
#[test]
fn chain_that_goes_on_is_usable_again() {
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    used.set_knobs(silent_at(SILENT_EVENT, BRIEF_SILENCE));
    other.set_knobs(cut_when_resumed(SILENT_EVENT));

    assert_whole(&call(&site, &stream_call("a1")));

    let context = &site.daemons[0].state.context;
    let view = context.targets.load();
    let mut targets = view
        .targets()
        .filter(|target| target.id.as_str() == used.id());
    let target = targets.next().expect("the head is listed");
    assert!(!target.stats.is_ejected(context.clock.now()));
}

/// A request whose chain is silent before the first event is waited for when the other chain fails it. It
/// got 502 although its chain went on.
#[test]
fn stream_that_is_late_to_begin_outlives_a_failed_second_attempt() {
    let site = model_site();
    let (used, other) = used_and_other_head(&site);
    used.set_knobs(silent_at(0, SHORT_SILENCE));
    other.set_knobs(ModelKnobs {
        cuts: vec![StreamCut::reset_at(0)],
        ..ModelKnobs::default()
    });

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
}

/// The same when both chains are silent for longer than a first event usually takes.
#[test]
fn stream_is_waited_for_while_all_chains_are_late_to_begin() {
    let site = model_site();
    used_and_other_head(&site);
    set_all(&site, &silent_at(0, LONG_SILENCE));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
}

/// A stalled stream that is resumed elsewhere is served by one chain at a time: the caller gets each event
/// once, and the first chain is left once the second one has sent an event.
#[test]
fn resumed_stream_has_each_event_once() {
    let site = model_site();
    let (used, _) = used_and_other_head(&site);
    used.set_knobs(silent_at(SILENT_EVENT, LONG_SILENCE));

    let answer = call(&site, &stream_call("a1"));

    assert_whole(&answer);
    assert!(answer.longest_pause < SHORT_SILENCE, "{answer:?}");
}

/// The plain server that runs the request, and the other one, once the request has begun to run.
fn running_and_idle_server(site: &SiteFleet) -> (&PlainServer, &PlainServer) {
    let [first, second] = site.plain_servers.as_slice() else {
        panic!("a site with two plain servers");
    };
    until("the request to run", || {
        !first.runs().is_empty() || !second.runs().is_empty()
    });
    if first.runs().is_empty() {
        (second, first)
    } else {
        (first, second)
    }
}

fn slow_plain_site(plain_servers: usize) -> SiteFleet {
    let site = SiteFleet::start(SiteSpec {
        plain_servers,
        models_per_domain: 0,
        ..SiteSpec::default()
    });
    let servers = site.plain_servers.iter();
    servers.for_each(|server| server.set_work_time(SLOW_WORK));
    site
}

/// A repeatable request is waited for while there is no other server. It got 502 after half of its time.
#[test]
fn slow_plain_request_without_another_server_is_waited_for() {
    let site = slow_plain_site(1);

    let answer = call(&site, &SiteRequest::new("GET", "/get/x", "a1"));

    assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
}

/// A repeatable request is waited for when the second server that it is sent to fails. The first server was
/// given up before the second one had answered.
#[test_case(PlainFault::ResetAfterRun; "reset")]
#[test_case(PlainFault::Full; "not executed")]
#[test_case(PlainFault::Silent; "silent")]
fn slow_plain_request_outlives_a_failed_second_attempt(fault: PlainFault) {
    let site = slow_plain_site(2);
    let address = site.daemons[0].address;
    let request = SiteRequest::new("GET", "/get/x", "a1");
    let caller = thread::spawn(move || send_site_request(address, &request));
    let (_, idle) = running_and_idle_server(&site);
    idle.set_work_time(Duration::ZERO);
    idle.set_fault(fault);

    let answer = caller.join().expect("the caller ends");

    assert_eq!((answer.status, answer.body.as_slice()), (200, PLAIN_BODY));
}
