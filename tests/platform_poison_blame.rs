//! Servers that end by faults of their own under ordinary requests, which are not to blame.

#[path = "support/site.rs"]
mod site;

use rig::{ModelKnobs, SiteFleet, SiteRequest, SiteSpec, StreamFraming, send_site_request};
use site::stream_call;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use test_case::test_case;

const DAEMONS: usize = 3;
/// Time from one request to the next.
const ARRIVAL_GAP: Duration = Duration::from_millis(15);
/// Time for which requests come before the first fault.
const CALM_TIME: Duration = Duration::from_secs(1);
/// The same where a response shows only some time after its end that its target has gone on running.
const LONG_CALM_TIME: Duration = Duration::from_secs(12);
/// Time for which requests come after the last fault.
const LATER_TIME: Duration = Duration::from_secs(3);
/// Time between the events of a stream, so that many are in progress when a server ends.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Shared parts of ordinary prompts; all have the first one.
const PROMPTS: [&str; 4] = ["a1:40,c1:300", "a1:40,c2:300", "a1:40,c3:90", "a1:40"];

/// Which servers end.
#[derive(Debug, Clone, Copy)]
struct FaultCase {
    /// Times at which some end.
    times: usize,
    /// Servers that end at each.
    servers: usize,
    /// Time between them.
    gap: Duration,
    /// How servers end their streams.
    framing: StreamFraming,
}

const RACK: FaultCase = FaultCase {
    times: 1,
    servers: 4,
    gap: Duration::ZERO,
    framing: StreamFraming::Chunked,
};
const SINGLE_ENDS: FaultCase = FaultCase {
    times: 20,
    servers: 1,
    gap: Duration::from_millis(400),
    ..RACK
};
const IN_TURN: FaultCase = FaultCase {
    times: 12,
    servers: 1,
    gap: Duration::from_millis(1_500),
    ..RACK
};
const ENDS_UNTIL_CLOSE: FaultCase = FaultCase {
    framing: StreamFraming::UntilClose,
    ..SINGLE_ENDS
};

/// An ordinary request, unlike all others.
fn ordinary_call(number: usize) -> SiteRequest {
    let mut request = stream_call(&format!("o-{number}"));
    let shared_parts = PROMPTS[number % PROMPTS.len()];
    let prompt = format!("{shared_parts},5{number:05x}:60");
    request.fields.push(("X-Prompt-Prefix", prompt));
    request.body = format!("ordinary {number}").into_bytes();
    request
}

/// Requests that daemons have refused because others like them crash servers.
fn refused_requests(site: &SiteFleet) -> u64 {
    let counts = site.daemons.iter().map(|daemon| {
        let requests = &daemon.state.context.metrics.requests;
        requests.with_label_values(&["poison"]).get()
    });
    counts.sum()
}

/// Ordinary requests are served whichever servers end beside them. Counting the crashes alone would
/// condemn the parts that all of them share.
#[test_case(RACK; "a rack")]
#[test_case(SINGLE_ENDS; "twenty single crashes")]
#[test_case(IN_TURN; "servers that restart in turn")]
#[test_case(ENDS_UNTIL_CLOSE; "twenty single crashes of servers whose streams end with their connections")]
fn ordinary_requests_are_not_refused(case: FaultCase) {
    // Arrange
    let site = SiteFleet::start(SiteSpec {
        daemons: DAEMONS,
        plain_servers: 0,
        models_per_domain: 4,
        domains: 3,
        is_linked: false,
        ..SiteSpec::default()
    });
    for server in &site.model_servers {
        server.set_knobs(ModelKnobs {
            event_gap: EVENT_GAP,
            framing: case.framing,
            ..ModelKnobs::default()
        });
    }
    let is_over = AtomicBool::new(false);

    // Act
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers = scope.spawn(|| {
            let mut callers = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let address = site.daemons[number % DAEMONS].address;
                let request = ordinary_call(number);
                callers.push(thread::spawn(move || {
                    send_site_request(address, &request).status
                }));
                thread::sleep(ARRIVAL_GAP);
            }
            let statuses = callers.into_iter().map(thread::JoinHandle::join);
            statuses
                .map(|status| status.expect("the caller ends"))
                .collect()
        });
        thread::sleep(match case.framing {
            StreamFraming::Chunked => CALM_TIME,
            StreamFraming::UntilClose => LONG_CALM_TIME,
        });
        for _ in 0..case.times {
            for _ in 0..case.servers {
                site.crashes.end_oldest();
            }
            thread::sleep(case.gap);
        }
        thread::sleep(LATER_TIME);
        is_over.store(true, Ordering::Relaxed);
        callers.join().expect("the callers end")
    });

    // Assert
    assert_eq!(site.crashes.runs().len(), case.times * case.servers);
    assert_eq!(refused_requests(&site), 0);
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(
        2 * served > statuses.len(),
        "{served} of {}",
        statuses.len()
    );
}
