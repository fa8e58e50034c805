//! Requests whose prompts share a part that crashes each server that begins to write a response. No
//! two of them are alike, and they come at any daemon.

#[path = "support/site.rs"]
mod site;

use rig::{
    BadArrival, BadPart, SiteFleet, SiteRequest, SiteResponse, SiteSpec, StoreFault,
    send_site_request,
};
use site::{stream_call, until};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Daemons that take turns in getting the requests.
const DAEMONS: usize = 3;
/// Time from one arrival of a request with a bad part to the next.
const ARRIVAL_GAP: Duration = Duration::from_millis(300);
/// Crash from which on requests with the part are limited.
const DECIDING_CRASH: usize = 5;
/// Time after that crash from which further arrivals are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after that crash from which sound requests have to be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time for which the requests go on after that.
const COUNTED_TIME: Duration = Duration::from_secs(5);
/// Longest wait for the crashes of a test.
const MAX_TEST_TIME: Duration = Duration::from_secs(40);
/// Most requests with the part that may reach servers in the counted time.
const MAX_LATE_ARRIVALS: usize = 3;

/// What the bad requests of a test are like.
#[derive(Debug, Clone, Copy)]
struct PartCase {
    /// Prompts of bad requests, which take turns; each request has a last part of its own.
    bad: &'static [&'static str],
    /// Identifiers of the parts that crash servers.
    bad_parts: &'static [&'static str],
    /// Whether servers send some events before they crash.
    is_begun: bool,
    /// One in so many bad requests is spared; 0 for none.
    spare_every: usize,
    /// One in so many bad requests comes with a sound one beside it.
    sound_every: usize,
}

/// Prompt of the sound requests.
const SOUND_PROMPT: &str = "a1:40,c1:300";

const MIDDLE_PART: PartCase = PartCase {
    bad: &["a1:40,bad:200"],
    bad_parts: &["bad"],
    is_begun: false,
    spare_every: 0,
    sound_every: 1,
};
const FIRST_PART: PartCase = PartCase {
    bad: &["bad:200,a1:40"],
    ..MIDDLE_PART
};
const BEGUN: PartCase = PartCase {
    is_begun: true,
    ..MIDDLE_PART
};
const SPARED: PartCase = PartCase {
    spare_every: 2,
    ..MIDDLE_PART
};
const FEW_SOUND: PartCase = PartCase {
    sound_every: 4,
    ..MIDDLE_PART
};
const TWO_PARTS: PartCase = PartCase {
    bad: &["a1:40,bad:200", "a1:40,dead:90"],
    bad_parts: &["bad", "dead"],
    ..MIDDLE_PART
};

/// Model servers in each failure domain.
const MODELS: usize = 4;
/// The same on a site whose daemons do not hear of servers that come back.
const MANY_MODELS: usize = 8;

fn part_site(case: &PartCase, models_per_domain: usize) -> SiteFleet {
    let site = SiteFleet::start(SiteSpec {
        daemons: DAEMONS,
        plain_servers: 0,
        models_per_domain,
        domains: 3,
        is_linked: false,
        ..SiteSpec::default()
    });
    site.crashes.spare_every(case.spare_every);
    let parts = case.bad_parts.iter().map(|id| BadPart {
        id: (*id).into(),
        is_begun: case.is_begun,
    });
    site.crashes.set_bad_parts(parts.collect());
    site
}

/// A request with these shared parts, unlike all others.
fn prompt_call(shared_parts: &str, name: &str, number: usize) -> SiteRequest {
    let mut request = stream_call(&format!("{name}-{number}"));
    let own_part = name.bytes().next().unwrap_or_default();
    let prompt = format!("{shared_parts},{own_part:x}{number:04x}:60");
    request.fields.push(("X-Prompt-Prefix", prompt));
    request.body = format!("{name} {number}").into_bytes();
    request
}

/// True when a response has begun.
fn has_begun(response: &SiteResponse) -> bool {
    response.status == 200 && !response.event_ids().is_empty()
}

/// A sound request and whether it was served.
#[derive(Debug, Clone, Copy)]
struct SoundCall {
    sent: Instant,
    is_served: bool,
}

fn crashes(arrivals: &[BadArrival]) -> Vec<BadArrival> {
    arrivals
        .iter()
        .filter(|arrival| arrival.is_crash)
        .cloned()
        .collect()
}

/// Time of the fifth crash of a part, or of the last one if there are fewer.
fn deciding_crash(arrivals: &[BadArrival], part: &str) -> Option<Instant> {
    let crashes = crashes(arrivals);
    let of_part = crashes.iter().filter(|crash| &*crash.part == part);
    of_part.take(DECIDING_CRASH).last().map(|crash| crash.at)
}

/// The last of the deciding crashes of all parts, once each part has crashed a server.
fn last_deciding_crash(site: &SiteFleet, case: &PartCase) -> Option<Instant> {
    let arrivals = site.crashes.bad_arrivals();
    let times = case
        .bad_parts
        .iter()
        .map(|part| deciding_crash(&arrivals, part));
    times.collect::<Option<Vec<Instant>>>()?.into_iter().max()
}

/// Sends bad requests, and sound ones beside them, to the daemons in turn until the counted time is
/// over. Returns the sound ones.
fn send_requests(site: &SiteFleet, case: &PartCase) -> Vec<SoundCall> {
    let started = Instant::now();
    let counted = RECOVERY_TIME + COUNTED_TIME;
    let is_over = || last_deciding_crash(site, case).is_some_and(|crash| crash.elapsed() > counted);
    let mut sound = Vec::new();
    let mut bad = Vec::new();
    for number in 0.. {
        if is_over() || started.elapsed() > MAX_TEST_TIME {
            break;
        }
        let address = |offset: usize| site.daemons[(number + offset) % DAEMONS].address;
        let request = prompt_call(case.bad[number % case.bad.len()], "bad", number);
        let bad_address = address(0);
        bad.push(thread::spawn(move || {
            send_site_request(bad_address, &request)
        }));
        if number.is_multiple_of(case.sound_every) {
            let request = prompt_call(SOUND_PROMPT, "sound", number);
            let sound_address = address(1);
            sound.push(thread::spawn(move || SoundCall {
                sent: Instant::now(),
                is_served: has_begun(&send_site_request(sound_address, &request)),
            }));
        }
        thread::sleep(ARRIVAL_GAP);
    }
    for caller in bad {
        caller.join().expect("the caller ends");
    }
    let sound = sound.into_iter().map(thread::JoinHandle::join);
    sound.map(|call| call.expect("the caller ends")).collect()
}

/// Checks that few requests with bad parts have reached servers late.
fn assert_few_late(site: &SiteFleet, case: &PartCase) {
    let arrivals = site.crashes.bad_arrivals();
    for part in case.bad_parts {
        let decided = deciding_crash(&arrivals, part).expect("the part has crashed servers");
        let of_part = arrivals.iter().filter(|arrival| &*arrival.part == *part);
        let late = of_part
            .filter(|arrival| arrival.at > decided + CONTACT_TIME)
            .count();
        let all = arrivals.len();
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "{part}: {late} late, {all} in all"
        );
    }
}

/// Requests with a part that crashes servers are kept from them, though no two are alike, and sound
/// ones that share their key, route and other parts are served. Nothing was counted by part.
#[test_case(MIDDLE_PART; "middle part")]
#[test_case(FIRST_PART; "first part")]
#[test_case(BEGUN; "middle part, after four events")]
#[test_case(SPARED; "middle part, every second request is answered 500")]
#[test_case(FEW_SOUND; "middle part, a sound request beside every fourth")]
#[test_case(TWO_PARTS; "two parts at once")]
fn requests_with_a_part_that_crashes_servers_are_kept_from_them(case: PartCase) {
    // Arrange
    let site = part_site(&case, MODELS);
    for number in 0..DAEMONS {
        let request = prompt_call(SOUND_PROMPT, "first", number);
        assert!(has_begun(&send_site_request(
            site.daemons[number].address,
            &request
        )));
    }

    // Act
    let sound = send_requests(&site, &case);

    // Assert
    assert_few_late(&site, &case);
    let recovered = last_deciding_crash(&site, &case).expect("parts have crashed servers");
    let counted: Vec<SoundCall> = sound
        .into_iter()
        .filter(|call| call.sent > recovered + RECOVERY_TIME)
        .collect();
    let served = counted.iter().filter(|call| call.is_served).count();
    assert!(!counted.is_empty());
    assert!(
        2 * served >= counted.len(),
        "{served} of {} sound",
        counted.len()
    );
}

/// Daemons tell each other of the part while the store is away. Each would otherwise let it crash
/// three servers.
#[test]
fn requests_with_the_part_are_kept_from_servers_while_the_store_is_away() {
    let case = MIDDLE_PART;
    let site = part_site(&case, MANY_MODELS);
    site.store.set_fault(0, StoreFault::Reset);

    send_requests(&site, &case);

    assert_few_late(&site, &case);
}

/// A daemon that has just started knows the part that the others refuse.
#[test]
fn daemon_that_starts_later_refuses_the_part() {
    let case = MIDDLE_PART;
    let site = part_site(&case, MODELS);
    send_requests(&site, &case);
    let before = site.crashes.bad_arrivals().len();
    let late = site.start_daemon("router-late", "d0", 0);
    until("the daemon to serve", || {
        late.state.is_serving() && late.state.context.targets.load().chain_count() > 0
    });

    let bad = send_site_request(late.address, &prompt_call(case.bad[0], "bad", 9_000));
    let sound = send_site_request(late.address, &prompt_call(SOUND_PROMPT, "sound", 9_000));

    assert_eq!(bad.status, 503);
    assert!(has_begun(&sound));
    assert_eq!(site.crashes.bad_arrivals().len(), before);
}
