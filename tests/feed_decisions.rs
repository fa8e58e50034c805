//! Who reads the store, and when a daemon relies on what another one hands on.

#[path = "support/seeded.rs"]
mod seeded;

use arbutusmount::{
    DomainId, FeedError, FeedFrame, FeedInbox, FeedPart, FeedStep, InstanceId, ItemPage, LeaseId,
    MirrorChange, MirrorDelta, MonoTime, PrefixMirror, PresenceRow, READERS_PER_DOMAIN,
    ReadingRole, StoreContactCell, StoreEra, StoreItem, StoreVersion, WatchChange, count_readers,
    is_first_reader, reading_role,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
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

fn role_of(rows: &[PresenceRow], daemon: &PresenceRow) -> ReadingRole {
    reading_role(rows.iter(), &daemon.instance, &daemon.domain)
}

fn readers(rows: &[PresenceRow]) -> Vec<InstanceId> {
    let readers = rows
        .iter()
        .filter(|row| role_of(rows, row) == ReadingRole::Reader);
    readers.map(|row| row.instance.clone()).collect()
}

/// Guards against store calls that grow with the fleet: at 195 daemons each change cost 195 calls.
#[test_case(8, 3, 8; "small fleets read the store as before")]
#[test_case(83, 3, 9)]
#[test_case(195, 5, 15)]
#[test_case(430, 15, 45)]
fn readers_grow_with_failure_domains_and_not_with_daemons(
    daemons: usize,
    domains: usize,
    wanted: usize,
) {
    let rows = fleet(daemons, domains);

    assert_eq!(readers(&rows).len(), wanted);
    assert_eq!(count_readers(rows.iter()), wanted);
}

/// Pattern: servers crash under requests of all daemons. Guards against a write of each daemon: only
/// the first reader of a failure domain writes at once, and another one takes its place when it
/// is gone.
#[test_case(8, 3)]
#[test_case(195, 5)]
#[test_case(430, 15)]
fn one_daemon_of_each_domain_writes_crashes_first(daemons: usize, domains: usize) {
    let mut rows = fleet(daemons, domains);
    let first = |rows: &[PresenceRow]| -> Vec<InstanceId> {
        let first = rows
            .iter()
            .filter(|row| is_first_reader(rows.iter(), &row.instance, &row.domain));
        first.map(|row| row.instance.clone()).collect()
    };
    let before = first(&rows);
    assert_eq!(before.len(), domains);
    assert!(
        before
            .iter()
            .all(|instance| readers(&rows).contains(instance))
    );

    rows.retain(|row| row.instance != before[0]);

    let after = first(&rows);
    assert_eq!(after.len(), domains);
    assert!(!after.contains(&before[0]));
}

#[test]
fn followers_are_spread_over_the_readers_of_their_domain() {
    let rows = fleet(195, 5);
    let mut first_choices: BTreeMap<InstanceId, usize> = BTreeMap::new();

    for daemon in &rows {
        if let ReadingRole::Follower(readers) = role_of(&rows, daemon) {
            assert_eq!(readers.len(), READERS_PER_DOMAIN);
            assert!(readers.iter().all(|reader| reader.domain == daemon.domain));
            *first_choices
                .entry(readers[0].instance.clone())
                .or_default() += 1;
        }
    }

    let busiest = first_choices.values().max().expect("there are followers");
    assert_eq!(first_choices.len(), 15);
    // Twelve followers for each reader on average.
    assert!(*busiest <= 24, "{first_choices:?}");
}

#[test]
fn loss_of_a_reader_promotes_one_daemon_and_changes_no_other_reader() {
    let rows = fleet(195, 5);
    let before = readers(&rows);
    let lost = &before[0];
    let left: Vec<PresenceRow> = rows
        .iter()
        .filter(|row| row.instance != *lost)
        .cloned()
        .collect();

    let after = readers(&left);

    assert_eq!(after.len(), before.len());
    let kept = before.iter().filter(|reader| after.contains(reader));
    assert_eq!(kept.count(), before.len() - 1);
}

#[test]
fn daemon_that_is_not_listed_does_not_follow() {
    let rows = fleet(40, 1);
    let domain: DomainId = "d0".parse().expect("a domain");

    let role = reading_role(rows.iter(), &instance(99), &domain);

    assert_eq!(role, ReadingRole::Unlisted);
}

fn written(key: &str, revision: u64) -> WatchChange {
    WatchChange::Written(StoreItem {
        key: Arc::from(key),
        value: Arc::from(&b"x"[..]),
        version: version(revision),
        created: version(revision),
        lease: LeaseId(0),
    })
}

fn part(covered: u64, changes: &[WatchChange]) -> FeedPart {
    FeedPart::new(PREFIX, &delta(covered, changes))
}

fn delta(covered: u64, changes: &[WatchChange]) -> MirrorDelta {
    MirrorDelta {
        listed: None,
        changes: changes.to_vec(),
        version: version(covered),
    }
}

fn frame(parts: Vec<FeedPart>) -> FeedFrame {
    FeedFrame {
        accepted: true,
        age_ms: 0,
        failures: 0,
        parts,
        packed: None,
    }
}

/// Inbox of a feed that begins at revision 10.
fn open_inbox() -> FeedInbox {
    let inbox = FeedInbox::default();
    inbox.open(&[(Arc::from(PREFIX), version(10))]);
    inbox
}

fn next_step(inbox: &FeedInbox, known: u64, now: MonoTime) -> FeedStep {
    inbox.next_step(PREFIX, version(known), at(60_000), now)
}

#[test]
fn changes_are_applied_once_and_in_order() {
    let inbox = open_inbox();
    let first = written("servers/a", 11);
    let second = WatchChange::Removed(Arc::from("servers/b"), version(13));

    inbox
        .record(frame(vec![part(11, std::slice::from_ref(&first))]), at(0))
        .expect("the frame is sound");
    inbox
        .record(
            frame(vec![part(14, std::slice::from_ref(&second))]),
            at(100),
        )
        .expect("the frame is sound");

    let step = next_step(&inbox, 10, at(100));
    assert_eq!(step, FeedStep::Apply(vec![delta(14, &[first, second])]));
    assert!(matches!(next_step(&inbox, 14, at(100)), FeedStep::Wait(_)));
}

/// A daemon that has asked the store meanwhile must not take an older write for a new one, which would
/// bring a removed key back.
#[test]
fn changes_that_the_daemon_knows_already_are_left_out() {
    let mut mirror = PrefixMirror::default();
    mirror.on_page(ItemPage {
        version: version(13),
        ..ItemPage::default()
    });
    let changes = [written("servers/removed", 12), written("servers/b", 15)];

    mirror.on_delta(delta(15, &changes));

    let keys: Vec<_> = mirror.items().map(|item| item.key.to_string()).collect();
    assert_eq!(keys, ["servers/b"]);
}

/// A reader that has listed the store again does not know of keys that were written and removed
/// meanwhile. A daemon that has seen such a key must lose it all the same.
#[test]
fn reader_that_has_listed_again_names_the_keys_that_exist() {
    let list = |items, revision| ItemPage {
        items,
        has_more: false,
        version: version(revision),
    };
    let item = |key: &str, revision| match written(key, revision) {
        WatchChange::Written(item) => item,
        WatchChange::Removed(..) => unreachable!("a write"),
    };
    let mut reader = PrefixMirror::default();
    reader.on_page(list(vec![item("servers/a", 5)], 10));
    let mut follower = PrefixMirror::default();
    let short_lived = item("servers/short-lived", 11);
    follower.on_page(list(vec![item("servers/a", 5), short_lived], 12));
    reader.on_failure();
    reader.on_page(list(vec![item("servers/a", 5)], 14));

    let delta = reader.delta_since(version(12)).expect("the same era");
    let changes = follower.on_delta(delta);

    let gone: Arc<str> = Arc::from("servers/short-lived");
    assert_eq!(changes, [MirrorChange::Removed(gone)]);
}

/// A reader that is frozen, killed or cut off sends nothing: its followers ask the store before the
/// shortest bound on configuration changes, 2 s, has passed.
#[test]
fn silent_feed_is_not_relied_on() {
    let inbox = open_inbox();
    inbox
        .record(frame(Vec::new()), at(0))
        .expect("the frame is sound");

    assert!(
        matches!(next_step(&inbox, 10, at(1_100)), FeedStep::Wait(until) if until <= at(1_200))
    );
    assert_eq!(next_step(&inbox, 10, at(1_200)), FeedStep::AskStore);
}

/// A reader that has lost the store while its connections hang would hand on nothing without saying so.
#[test]
fn feed_of_a_daemon_without_contact_to_the_store_is_not_relied_on() {
    let inbox = open_inbox();
    let beat = |age_ms| FeedFrame {
        age_ms,
        ..frame(Vec::new())
    };
    inbox
        .record(beat(1_500), at(0))
        .expect("the frame is sound");

    assert!(matches!(next_step(&inbox, 10, at(50)), FeedStep::Wait(_)));
    inbox
        .record(beat(1_700), at(200))
        .expect("the frame is sound");
    assert_eq!(next_step(&inbox, 10, at(200)), FeedStep::AskStore);
    inbox.record(beat(10), at(400)).expect("the frame is sound");
    assert!(matches!(next_step(&inbox, 10, at(400)), FeedStep::Wait(_)));
}

/// Leases of healthy servers may lapse while the store is away. A follower that has not noticed the outage
/// itself would drop them at once.
#[test]
fn failed_calls_of_the_sender_are_told_before_its_changes() {
    let inbox = open_inbox();
    let failing = |failures, parts| FeedFrame {
        failures,
        ..frame(parts)
    };
    inbox
        .record(failing(3, Vec::new()), at(0))
        .expect("the frame is sound");
    let removed = WatchChange::Removed(Arc::from("servers/a"), version(20));
    let parts = vec![part(20, std::slice::from_ref(&removed))];
    inbox
        .record(failing(4, parts), at(400))
        .expect("the frame is sound");

    assert_eq!(next_step(&inbox, 10, at(400)), FeedStep::StoreFailed);
    let step = next_step(&inbox, 10, at(400));
    assert_eq!(step, FeedStep::Apply(vec![delta(20, &[removed])]));
}

#[test]
fn feed_that_begins_after_the_known_version_is_not_relied_on() {
    let inbox = open_inbox();
    inbox
        .record(frame(Vec::new()), at(0))
        .expect("the frame is sound");

    assert_eq!(next_step(&inbox, 9, at(0)), FeedStep::AskStore);
}

/// After a restore of the store, revisions mean something else.
#[test]
fn feed_of_another_era_is_not_relied_on() {
    let inbox = open_inbox();
    inbox
        .record(frame(Vec::new()), at(0))
        .expect("the frame is sound");
    let restored = StoreVersion::new(StoreEra(2), 30);

    let step = inbox.next_step(PREFIX, restored, at(60_000), at(0));

    assert_eq!(step, FeedStep::AskStore);
}

#[test]
fn version_moves_on_without_changes_when_the_wait_is_over() {
    let inbox = open_inbox();
    inbox
        .record(frame(vec![part(40, &[])]), at(0))
        .expect("the frame is sound");

    let step = inbox.next_step(PREFIX, version(10), at(500), at(500));

    assert_eq!(step, FeedStep::Apply(vec![delta(40, &[])]));
}

#[test_case(FeedFrame::default(), &FeedError::Refused; "a daemon that serves no feed")]
#[test_case(frame(vec![part(9, &[])]), &FeedError::OutOfOrder; "a version that goes back")]
#[test_case(frame(vec![part(12, &[written("servers/a", 10)])]), &FeedError::OutOfOrder; "a replayed change")]
#[test_case(frame(vec![part(12, &[written("servers/a", 13)])]), &FeedError::OutOfOrder; "a change of the future")]
#[test_case(frame(vec![part(12, &[written("op/config", 11)])]), &FeedError::OutOfOrder; "a key of another prefix")]
fn unusable_frame_is_rejected_and_changes_nothing(frame: FeedFrame, wanted: &FeedError) {
    let inbox = open_inbox();

    let outcome = inbox.record(frame, at(0));

    assert_eq!(outcome.as_ref(), Err(wanted));
    assert_eq!(next_step(&inbox, 10, at(0)), FeedStep::AskStore);
}

#[test]
fn frame_of_an_unknown_prefix_is_rejected() {
    let inbox = open_inbox();
    let part = FeedPart::new("other/", &delta(12, &[]));

    let outcome = inbox.record(frame(vec![part]), at(0));

    assert_eq!(outcome, Err(FeedError::UnknownPrefix("other/".to_owned())));
}

#[test]
fn contact_is_as_old_as_the_last_answered_call() {
    let contact = StoreContactCell::default();
    assert_eq!(contact.age(at(5)), None);

    contact.on_reply(at(100));
    contact.on_reply(at(50));
    contact.on_failure();

    assert_eq!(contact.age(at(350)), Some(Duration::from_millis(250)));
    assert_eq!(contact.failures(), 1);
}

proptest! {
    #![proptest_config(seeded::seeded(512))]

    /// Whatever a peer sends, the inbox tells no change outside of what is known and covered.
    #[test]
    fn accepted_changes_are_always_between_the_known_and_the_covered_version(
        frames in prop::collection::vec((0_u64..40, prop::collection::vec(0_u64..40, 0..4)), 1..8),
        known in 10_u64..30,
    ) {
        let inbox = open_inbox();
        for (covered, revisions) in frames {
            let changes: Vec<WatchChange> =
                revisions.iter().map(|revision| written("servers/a", *revision)).collect();
            // Rejected frames end the feed in the daemon; here the next one is tried all the same.
            let _outcome = inbox.record(frame(vec![part(covered, &changes)]), at(0));
        }
        if let FeedStep::Apply(deltas) = next_step(&inbox, known, at(0)) {
            for delta in deltas {
                prop_assert!(delta.version > version(known));
                for change in delta.changes {
                    prop_assert!(change.version() > version(10));
                    prop_assert!(change.version() <= delta.version);
                }
            }
        }
    }
}
