//! The mirror of a store prefix under gaps in the history, failed calls and replies out of order,
//! and the hold on keys whose lease expired in an outage.

use arbutusmount::{
    ExpiryHold, ItemPage, MirrorChange, MirrorStep, MonoTime, PrefixMirror, RemovalStep, StoreItem,
    WatchChange, WatchOutcome, next_list_timeout,
};
use std::sync::Arc;
use std::time::Duration;

fn item(key: &str, revision: u64) -> StoreItem {
    let value = Arc::from(format!("{key}@{revision}").into_bytes());
    StoreItem {
        key: Arc::from(key),
        value,
        revision,
        create_revision: 1,
    }
}

fn page(items: Vec<StoreItem>, revision: u64) -> ItemPage {
    ItemPage {
        items,
        has_more: false,
        revision,
    }
}

fn synced(items: Vec<StoreItem>, revision: u64) -> PrefixMirror {
    let mut mirror = PrefixMirror::default();
    mirror.on_page(page(items, revision));
    mirror
}

fn keys(mirror: &PrefixMirror) -> Vec<(String, u64)> {
    mirror
        .items()
        .map(|item| (item.key.to_string(), item.revision))
        .collect()
}

#[test]
fn watch_goes_on_from_the_first_page_of_a_list() {
    let mut mirror = PrefixMirror::default();
    assert_eq!(mirror.next_step(), MirrorStep::List(None));

    let first = ItemPage {
        items: vec![item("a", 3)],
        has_more: true,
        revision: 5,
    };
    mirror.on_page(first);
    assert_eq!(mirror.next_step(), MirrorStep::List(Some(Arc::from("a"))));

    mirror.on_page(page(vec![item("b", 8)], 9));
    assert_eq!(mirror.next_step(), MirrorStep::Watch(5));
}

/// Guards against a missed change: a watch is cut while the store drops its history, and a new
/// watch from the last revision waits past the change.
#[test]
fn failed_watch_is_followed_by_a_list() {
    let mut mirror = synced(vec![item("config", 2)], 3);
    assert_eq!(mirror.next_step(), MirrorStep::Watch(3));

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
    assert_eq!(mirror.next_step(), MirrorStep::Watch(85));
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
    let changes = mirror.on_watch(WatchOutcome::Changes(vec![older], 8));
    mirror.on_failure();
    mirror.on_page(page(vec![item("a", 6)], 9));

    assert_eq!(changes, Vec::new());
    assert_eq!(keys(&mirror), vec![("a".to_owned(), 7)]);
}

#[test]
fn removal_older_than_the_item_is_ignored() {
    let mut mirror = synced(vec![item("a", 7)], 7);

    let removed = WatchChange::Removed(Arc::from("a"), 6);
    let changes = mirror.on_watch(WatchOutcome::Changes(vec![removed], 8));

    assert_eq!(changes, Vec::new());
    assert_eq!(keys(&mirror).len(), 1);
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
        let next = next_list_timeout(list_timeout);
        assert!(next >= list_timeout, "{next:?} after {list_timeout:?}");
        list_timeout = next;
    }

    assert!(list_timeout <= Duration::from_secs(10), "{list_timeout:?}");
}
