//! The mirror of a store prefix under gaps in the history, failed calls and replies out of order,
//! and the hold on keys whose lease expired in an outage.

use arbutusmount::{
    ExpiryHold, ItemPage, LeaseId, MirrorChange, MirrorStep, MonoTime, PrefixMirror, RemovalStep,
    StoreEra, StoreItem, StoreVersion, WatchChange, WatchOutcome, next_snapshot_delay,
};
use std::sync::Arc;
use std::time::Duration;

fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(StoreEra(1), revision)
}

fn item(key: &str, revision: u64) -> StoreItem {
    let value = Arc::from(format!("{key}@{revision}").into_bytes());
    StoreItem {
        key: Arc::from(key),
        value,
        version: version(revision),
        created: version(1),
        lease: LeaseId(0),
    }
}

fn page(items: Vec<StoreItem>, revision: u64) -> ItemPage {
    ItemPage {
        items,
        has_more: false,
        version: version(revision),
    }
}

fn synced(items: Vec<StoreItem>, revision: u64) -> PrefixMirror {
    let mut mirror = PrefixMirror::default();
    mirror.on_page(page(items, revision));
    mirror
}

fn keys(mirror: &PrefixMirror) -> Vec<(String, StoreVersion)> {
    mirror
        .items()
        .map(|item| (item.key.to_string(), item.version))
        .collect()
}

#[test]
fn watch_goes_on_from_the_first_page_of_a_list() {
    let mut mirror = PrefixMirror::default();
    assert_eq!(mirror.next_step(), MirrorStep::List(None));

    let first = ItemPage {
        items: vec![item("a", 3)],
        has_more: true,
        version: version(5),
    };
    mirror.on_page(first);
    assert_eq!(mirror.next_step(), MirrorStep::List(Some(Arc::from("a"))));

    mirror.on_page(page(vec![item("b", 8)], 9));
    assert_eq!(mirror.next_step(), MirrorStep::Watch(version(5)));
}

/// Guards against a missed change: a watch is cut while the store drops its history, and a new
/// watch from the last revision waits past the change.
#[test]
fn failed_watch_is_followed_by_a_list() {
    let mut mirror = synced(vec![item("config", 2)], 3);
    assert_eq!(mirror.next_step(), MirrorStep::Watch(version(3)));

    mirror.on_failure();

    assert_eq!(mirror.next_step(), MirrorStep::List(None));
    let changes = mirror.on_page(page(vec![item("config", 84)], 85));
    assert_eq!(
        changes,
        vec![
            MirrorChange::Written(item("config", 84)),
            MirrorChange::Synced
        ]
    );
    assert_eq!(mirror.next_step(), MirrorStep::Watch(version(85)));
}

#[test]
fn history_gap_is_followed_by_a_list_that_reports_removals() {
    let mut mirror = synced(vec![item("a", 2), item("b", 3)], 4);

    mirror.on_watch(WatchOutcome::Compacted);
    assert_eq!(mirror.next_step(), MirrorStep::List(None));
    let changes = mirror.on_page(page(vec![item("b", 3)], 20));

    assert_eq!(
        changes,
        vec![MirrorChange::Removed(Arc::from("a")), MirrorChange::Synced]
    );
}

#[test]
fn key_never_goes_back_to_an_older_revision() {
    let mut mirror = synced(vec![item("a", 7)], 7);

    let older = WatchChange::Written(item("a", 5));
    let changes = mirror.on_watch(WatchOutcome::Changes(vec![older], version(8)));
    mirror.on_failure();
    mirror.on_page(page(vec![item("a", 6)], 9));

    assert_eq!(changes, Vec::new());
    assert_eq!(keys(&mirror), vec![("a".to_owned(), version(7))]);
}

#[test]
fn removal_older_than_the_item_is_ignored() {
    let mut mirror = synced(vec![item("a", 7)], 7);

    let removed = WatchChange::Removed(Arc::from("a"), version(6));
    let changes = mirror.on_watch(WatchOutcome::Changes(vec![removed], version(8)));

    assert_eq!(changes, Vec::new());
    assert_eq!(keys(&mirror).len(), 1);
}

/// An item, a page and a mirror of a later era than the other fixtures.
fn restored(revision: u64) -> StoreVersion {
    StoreVersion::new(StoreEra(2), revision)
}

fn restored_item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        version: restored(revision),
        ..item(key, revision)
    }
}

fn restored_page(items: Vec<StoreItem>, revision: u64) -> ItemPage {
    ItemPage {
        version: restored(revision),
        ..page(items, revision)
    }
}

/// Guards against a mirror that holds back the writes after a restore, whose revisions are lower, and
/// that keeps keys which the restored state does not have.
#[test]
fn list_after_a_restore_replaces_later_revisions() {
    let mut mirror = synced(vec![item("a", 70), item("b", 80)], 90);

    mirror.on_restore();
    let changes = mirror.on_page(restored_page(vec![restored_item("a", 5)], 6));

    let expected = vec![
        MirrorChange::Written(restored_item("a", 5)),
        MirrorChange::Lost(Arc::from("b")),
        MirrorChange::Synced,
    ];
    assert_eq!(changes, expected);
    assert_eq!(mirror.next_step(), MirrorStep::Watch(restored(6)));
    assert!(mirror.is_current(StoreEra(2)));
}

/// Guards against late answers from before a restore, which have higher revisions.
#[test]
fn answers_of_an_earlier_era_change_nothing() {
    let mut mirror = PrefixMirror::default();
    mirror.on_page(restored_page(vec![restored_item("a", 5)], 6));

    let later = WatchChange::Written(item("a", 50));
    let watched = mirror.on_watch(WatchOutcome::Changes(vec![later], version(60)));
    let listed = mirror.on_page(page(vec![item("a", 70)], 70));

    assert_eq!((watched, listed), (Vec::new(), Vec::new()));
    assert_eq!(keys(&mirror), vec![("a".to_owned(), restored(5))]);
    assert_eq!(mirror.next_step(), MirrorStep::List(None));
}

/// Guards against a list that is put together from pages of before and after a restore.
#[test]
fn list_of_two_eras_begins_anew() {
    let mut mirror = PrefixMirror::default();
    let first = ItemPage {
        has_more: true,
        ..page(vec![item("a", 3)], 5)
    };
    mirror.on_page(first);

    let changes = mirror.on_page(restored_page(vec![restored_item("b", 2)], 2));

    assert_eq!(changes, Vec::new());
    assert!(!mirror.is_complete());
    assert_eq!(mirror.next_step(), MirrorStep::List(None));
}

#[test]
fn key_lost_in_a_restore_is_held_without_an_outage() {
    let mut hold = ExpiryHold::default();
    let key: Arc<str> = Arc::from("a");

    hold.on_lost(&key, at(5_000));

    assert_eq!(hold.take_expired(at(6_999)), Vec::<Arc<str>>::new());
    assert_eq!(hold.take_expired(at(7_000)), vec![key]);
}

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

#[test]
fn key_removed_in_steady_state_is_removed_at_once() {
    let mut hold = ExpiryHold::default();
    hold.on_reply(at(0));

    assert_eq!(hold.on_removed(&Arc::from("a")), RemovalStep::Remove);
}

#[test]
fn key_lapsed_in_an_outage_is_held_until_two_seconds_after_its_end() {
    let mut hold = ExpiryHold::default();
    let key: Arc<str> = Arc::from("a");
    hold.on_failure(at(1_000));
    hold.on_reply(at(5_000));

    let step = hold.on_removed(&key);

    assert_eq!(step, RemovalStep::HoldUntil(at(7_000)));
    assert_eq!(hold.take_expired(at(6_999)), Vec::<Arc<str>>::new());
    assert_eq!(hold.take_expired(at(7_000)), vec![key]);
}

#[test]
fn key_that_comes_back_is_no_longer_held() {
    let mut hold = ExpiryHold::default();
    let key: Arc<str> = Arc::from("a");
    hold.on_failure(at(1_000));
    hold.on_reply(at(5_000));
    hold.on_removed(&key);

    hold.on_written(&key);

    assert_eq!(hold.take_expired(at(9_000)), Vec::<Arc<str>>::new());
}

/// Guards against an overflow: the timeout used to double without a limit, which after a minute of
/// outage ended the task that follows the store.
#[test]
fn list_timeout_is_bounded_in_a_long_outage() {
    let mut list_timeout = Duration::from_millis(300);

    for _ in 0..500 {
        let next = next_snapshot_delay(list_timeout);
        assert!(next >= list_timeout, "{next:?} after {list_timeout:?}");
        list_timeout = next;
    }

    assert!(list_timeout <= Duration::from_secs(10), "{list_timeout:?}");
}
