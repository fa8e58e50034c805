//! Who reads the store where the settings ask for few calls, and how long lists and feeds that have ended are
//! relied on.

use arbutusmount::{
    FeedFrame, FeedInbox, FeedStep, InstanceId, LIST_REST, ListRest, MonoTime, PresenceRow,
    READERS_PER_DOMAIN, ReadingRole, StoreEra, StoreVersion, saving_role,
};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const PREFIX: &str = "servers/";

fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(StoreEra(1), revision)
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn row(number: usize, domains: usize) -> PresenceRow {
    let address = "127.0.0.1:1".parse().expect("an address");
    PresenceRow {
        instance: instance(number),
        domain: format!("d{}", number % domains).parse().expect("a domain"),
        callers: address,
        peers: address,
        relay: None,
    }
}

fn instance(number: usize) -> InstanceId {
    format!("router-{number}").parse().expect("an instance")
}

fn fleet(daemons: usize, domains: usize) -> Vec<PresenceRow> {
    (0..daemons).map(|number| row(number, domains)).collect()
}

/// A frame without changes, of a contact with the store this many milliseconds ago.
fn beat(age_ms: u64) -> FeedFrame {
    FeedFrame {
        accepted: true,
        age_ms,
        ..FeedFrame::default()
    }
}

fn open_inbox() -> FeedInbox {
    let inbox = FeedInbox::default();
    inbox.open(&[(Arc::from(PREFIX), version(10))]);
    inbox
}

fn next_step(inbox: &FeedInbox, known: u64, now: MonoTime) -> FeedStep {
    inbox.next_step(PREFIX, version(known), at(60_000), now)
}

/// Guards against three watches of each prefix in each failure domain, and against two daemons that follow
/// each other: none stands by for a daemon that is not ranked before it.
#[test_case(8, 3)]
#[test_case(71, 3)]
#[test_case(430, 15)]
fn one_reader_of_each_domain_watches_and_two_stand_by(daemons: usize, domains: usize) {
    let rows = fleet(daemons, domains);
    let role = |row: &PresenceRow| saving_role(rows.iter(), &row.instance, &row.domain);

    let roles: Vec<ReadingRole> = rows.iter().map(role).collect();

    let mut earlier = [0; READERS_PER_DOMAIN];
    for role in &roles {
        match role {
            ReadingRole::Reader => earlier[0] += 1,
            ReadingRole::Standby(rows) => earlier[rows.len()] += 1,
            ReadingRole::Follower(rows) => assert_eq!(rows.len(), READERS_PER_DOMAIN),
            ReadingRole::Unlisted => panic!("all are listed"),
        }
    }
    assert_eq!(
        earlier,
        [domains, domains, domains.min(daemons - 2 * domains)]
    );
}

/// When a reader is killed, all of its followers called the store at once, although its last frame was as
/// good as that of a silent reader. The bound for silent readers holds: no frame counts for longer.
#[test]
fn next_feed_takes_the_place_of_a_suspended_one_within_its_time() {
    let inbox = open_inbox();
    inbox.record(beat(0), at(0)).expect("the frame is sound");

    inbox.suspend();
    inbox.open(&[(Arc::from(PREFIX), version(10))]);

    assert!(matches!(
        next_step(&inbox, 10, at(1_100)),
        FeedStep::Wait(_)
    ));
    assert_eq!(next_step(&inbox, 10, at(1_200)), FeedStep::AskStore);
    inbox
        .record(beat(0), at(1_300))
        .expect("the frame is sound");
    assert!(matches!(
        next_step(&inbox, 10, at(2_400)),
        FeedStep::Wait(_)
    ));
}

/// Two that follow each other, or a chain of them, would otherwise confirm each other without the store.
#[test]
fn age_that_is_handed_on_is_that_of_the_first_contact() {
    let inbox = open_inbox();
    inbox
        .record(beat(700), at(1_000))
        .expect("the frame is sound");

    let age = inbox.contact_age(at(1_500));
    assert_eq!(age, Some(Duration::from_millis(1_200)));
    assert_eq!(inbox.contact_age(at(1_900)), None, "it watches the store");
}

/// A list that rests hands on its own age, as renewals of the lease do not confirm it.
#[test]
fn resting_list_is_no_more_recent_than_its_request() {
    let inbox = FeedInbox::default();
    inbox.set_rest(&Arc::from(PREFIX), Some(at(100)));

    assert_eq!(inbox.contact_age(at(900)), Some(Duration::from_millis(800)));
    inbox.set_rest(&Arc::from(PREFIX), None);
    assert_eq!(inbox.contact_age(at(900)), None);
}

/// A daemon that starts must not miss changes for longer than one that loses its reader, a leader must not
/// rest at all, and nobody after an outage.
#[test]
fn list_rests_once_and_for_a_bounded_time() {
    let mut rest = ListRest::Unlisted;
    let mut leading = ListRest::Resting(at(100));
    let mut failed = ListRest::Unlisted;

    rest.on_listed(at(100));
    failed.end();
    failed.on_listed(at(100));

    assert!(rest.next_wait(LIST_REST, true, at(1_650)).is_some());
    assert_eq!(rest.next_wait(LIST_REST, true, at(1_700)), None);
    rest.on_listed(at(9_000));
    assert_eq!(rest.next_wait(LIST_REST, true, at(9_000)), None);
    assert_eq!(leading.next_wait(LIST_REST, false, at(100)), None);
    assert_eq!(failed.next_wait(LIST_REST, true, at(100)), None);
}
