//! Streams over the platform's protocol: events, failing chains and daemons that shut down.

#[path = "support/site.rs"]
mod site;

use arbutusmount::RetryRule;
use async_std::task;
use rig::{ModelKnobs, SiteFleet, StreamCut, send_site_request};
use site::{allow_retries, call, model_site, stream_call, until};
use std::time::Duration;
use test_case::test_case;

#[test]
fn stream_is_passed_on_event_by_event() {
    let site = model_site();

    let answer = call(&site, &stream_call("a1"));

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..20).collect::<Vec<u64>>());
}

fn heads(site: &SiteFleet) -> Vec<&rig::ModelServer> {
    site.model_servers
        .iter()
        .filter(|model| model.layers().is_some_and(|(from, _)| from == 0))
        .collect()
}

/// The head that serves the first call breaks the next one, which resumes at the other domain's
/// chain.
#[test_case(ModelKnobs { cuts: vec![StreamCut::reset_at(7)], ..ModelKnobs::default() }; "reset in the middle of an event")]
#[test_case(ModelKnobs { hang_at_event: Some(7), ..ModelKnobs::default() }; "silence")]
#[test_case(ModelKnobs { cuts: vec![StreamCut::reset_at(0)], ..ModelKnobs::default() }; "reset in the first event")]
fn stream_goes_on_at_another_chain_without_loss(knobs: ModelKnobs) {
    let site = model_site();
    call(&site, &stream_call("a0"));
    let heads = heads(&site);
    let first = heads
        .iter()
        .find(|head| !head.runs().is_empty())
        .expect("a head served the first call");
    first.set_knobs(knobs);

    let answer = call(&site, &stream_call("a1"));

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..20).collect::<Vec<u64>>());
    assert!(
        answer.longest_pause < Duration::from_secs(1),
        "{:?}",
        answer.longest_pause
    );
    let resumed: Vec<u64> = heads
        .iter()
        .flat_map(|head| head.runs())
        .filter(|run| run.attempt_id == "a1")
        .map(|run| run.first_event)
        .collect();
    assert_eq!(resumed.len(), 2);
}

#[test]
fn stream_that_cannot_go_on_does_not_look_complete() {
    let site = model_site();
    let cut = ModelKnobs {
        cuts: vec![StreamCut::reset_at(7)],
        ..ModelKnobs::default()
    };
    site.model_servers
        .iter()
        .for_each(|model| model.set_knobs(cut.clone()));

    let answer = call(&site, &stream_call("a1"));

    assert_eq!((answer.status, answer.complete), (200, false));
    assert!(
        !String::from_utf8_lossy(&answer.body).contains("id: 7"),
        "{answer:?}"
    );
}

#[test]
fn caller_resumes_where_it_says() {
    let site = model_site();
    let mut resumed = stream_call("a1");
    resumed.fields.push(("Last-Event-Id", "11".to_owned()));

    let answer = call(&site, &resumed);

    assert_eq!(answer.event_ids(), (12..20).collect::<Vec<u64>>());
}

#[test]
fn draining_daemon_completes_its_streams() {
    let mut site = model_site();
    let slow = ModelKnobs {
        event_gap: Duration::from_millis(60),
        ..ModelKnobs::default()
    };
    site.model_servers
        .iter()
        .for_each(|model| model.set_knobs(slow.clone()));
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let caller = std::thread::spawn(move || send_site_request(address, &stream_call("a1")));
    let state = std::sync::Arc::clone(&daemon.state);
    until("the request to be in flight", || {
        state.context.lifecycle.in_progress() == 1
    });

    task::block_on(daemon.drain());

    let answer = caller.join().expect("the caller ends");
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// During shutdown a daemon accepts no stream that may outlive its grace period. One accepted late
/// was cut off at the end of that period.
#[test]
fn draining_daemon_accepts_no_late_stream() {
    let mut site = model_site();
    let daemon = site.daemons.remove(0);
    let address = daemon.address;
    let state = std::sync::Arc::clone(&daemon.state);
    let drained = task::spawn(daemon.drain());
    until("the daemon to accept no more streams", || {
        let rule = RetryRule::Stream { resumable: true };
        !state.context.accepts_request(rule, Duration::from_secs(3))
    });

    let answer = send_site_request(address, &stream_call("a1"));

    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    assert_eq!(answer.field("connection"), Some("close"));
    task::block_on(drained);
}

/// A stalled stream goes on at its chain when the budget allows no retry. Streams were once given
/// up then, and so cut off, although their chains recovered.
#[test]
fn stalled_stream_is_not_given_up_without_a_retry() {
    let site = model_site();
    allow_retries(&site, 0.0);
    // The halt is longer than the time after which a stream moves on to another chain.
    let halting = ModelKnobs {
        event_gap: Duration::from_millis(5),
        pause_at_event: Some((7, Duration::from_millis(900))),
        ..ModelKnobs::default()
    };
    site.model_servers
        .iter()
        .for_each(|model| model.set_knobs(halting.clone()));

    let answer = call(&site, &stream_call("a1"));

    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.event_ids(), (0..20).collect::<Vec<u64>>());
    let runs = site.model_servers.iter().flat_map(rig::ModelServer::runs);
    assert_eq!(runs.filter(|run| run.attempt_id == "a1").count(), 1);
}

/// Guards against new requests that wait at a chain that has fallen silent: it counted as failing only
/// once another chain had taken one of its streams over, and no retry was left for that.
#[test]
fn silent_chain_is_avoided_although_no_retry_is_left() {
    let site = model_site();
    allow_retries(&site, 0.0);
    let context = &site.daemons[0].state.context;
    let halting = ModelKnobs {
        event_gap: Duration::from_millis(5),
        pause_at_event: Some((7, Duration::from_millis(1_200))),
        ..ModelKnobs::default()
    };
    site.model_servers
        .iter()
        .for_each(|model| model.set_knobs(halting.clone()));
    let address = site.daemons[0].address;
    let halted = std::thread::spawn(move || send_site_request(address, &stream_call("a1")));
    let heads = || {
        let view = context.targets.load();
        let chains = view.all_chains();
        chains
            .map(|chain| std::sync::Arc::clone(chain.head()))
            .collect::<Vec<_>>()
    };
    let is_avoided = || {
        let now = context.clock.now();
        heads().iter().any(|head| head.stats.is_ejected(now))
    };

    let started = std::time::Instant::now();
    until("the silent chain to be avoided", is_avoided);

    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    let answer = halted.join().expect("the request ends");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}
