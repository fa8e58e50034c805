//! The copy of a store prefix under gaps, failures and answers out of order.

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

/// A watch was cut while the store dropped its history; a watch from the last revision then waited
/// past the change. Seen on shieldwear-bkk scale-1 and vkasa-rezerve scale-2.
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
    let mut lapses = ExpiryHold::default();
    lapses.on_answer(at(0));

    assert_eq!(lapses.on_removed(&Arc::from("a")), RemovalStep::Remove);
}

#[test]
fn key_lapsed_in_an_outage_is_held_until_two_seconds_after_its_end() {
    let mut lapses = ExpiryHold::default();
    let key: Arc<str> = Arc::from("a");
    lapses.on_failure(at(1_000));
    lapses.on_answer(at(5_000));

    let step = lapses.on_removed(&key);

    assert_eq!(step, RemovalStep::HoldUntil(at(7_000)));
    assert_eq!(lapses.take_expired(at(6_999)), Vec::<Arc<str>>::new());
    assert_eq!(lapses.take_expired(at(7_000)), vec![key]);
}

#[test]
fn key_that_comes_back_is_no_longer_held() {
    let mut lapses = ExpiryHold::default();
    let key: Arc<str> = Arc::from("a");
    lapses.on_failure(at(1_000));
    lapses.on_answer(at(5_000));
    lapses.on_removed(&key);

    lapses.on_written(&key);

    assert_eq!(lapses.take_expired(at(9_000)), Vec::<Arc<str>>::new());
}

/// The time doubled without a bound, and the task that follows the store would have ended with an
/// overflow after a minute without it.
#[test]
fn patience_with_a_store_that_stays_away_is_bounded() {
    let mut patience = Duration::from_millis(300);

    for _ in 0..500 {
        let next = next_list_timeout(patience);
        assert!(next >= patience, "{next:?} after {patience:?}");
        patience = next;
    }

    assert!(patience <= Duration::from_secs(10), "{patience:?}");
}
