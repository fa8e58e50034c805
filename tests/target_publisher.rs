//! Publication of the target list by several tasks at the same time.

use arbutusmount::{
    InstanceId, LeaseId, MirrorChange, MonoTime, StoreEra, StoreItem, StoreVersion, TargetEntry,
    TargetPhase, TargetPublisher, TargetRegistry, TargetView, ViewCell,
};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Time for which a slow task waits for the other one to publish.
const SLOW_TIME: Duration = Duration::from_millis(300);

/// Decodes an entry whose value is the start of the target, in milliseconds.
fn read_entry(id: &str, value: &[u8]) -> Result<TargetEntry, String> {
    let started_ms = String::from_utf8_lossy(value).parse();
    Ok(TargetEntry {
        id: id.parse().expect("an identifier"),
        started_ms: started_ms.map_err(|_cause| "not a number".to_owned())?,
        service: "desk".parse().expect("an identifier"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "d0".parse().expect("an identifier"),
        phase: TargetPhase::Ready,
        slots: 6,
        card: None,
        layers: None,
        stats: Arc::default(),
    })
}

fn written(key: &str, started_ms: u64) -> MirrorChange {
    MirrorChange::Written(StoreItem {
        key: Arc::from(key),
        value: Arc::from(started_ms.to_string().as_bytes()),
        version: StoreVersion::new(StoreEra(0), 1),
        created: StoreVersion::default(),
        lease: LeaseId(0),
    })
}

/// A task that took the entries before a change must not publish them after it. A daemon that got
/// its configuration and its first list at the same moment kept an empty view, and refused
/// everything until the next change of the list.
#[test]
fn earlier_entries_are_not_published_over_later_ones() {
    // Arrange
    let publisher = TargetPublisher::new(TargetRegistry::new("servers/", read_entry));
    let cell = ViewCell::default();
    let (began, has_begun) = mpsc::channel();
    let (published, has_published) = mpsc::channel();
    let build = |entries| TargetView::new(entries, None);

    // Act: the first task has taken the entries when the second one changes and publishes them.
    thread::scope(|scope| {
        let (publisher, cell) = (&publisher, &cell);
        scope.spawn(move || {
            publisher.publish(cell, |entries| {
                began.send(()).expect("the other task waits");
                let _ = has_published.recv_timeout(SLOW_TIME);
                build(entries)
            });
        });
        has_begun.recv().expect("the first task begins");
        publisher.update(|targets| targets.on_changes(&[written("servers/a", 1)], MonoTime(1)));
        publisher.publish(cell, build);
        // The first task may have ended.
        let _ = published.send(());
    });

    // Assert
    let id: InstanceId = "a".parse().expect("an identifier");
    assert!(cell.load().target(&id).is_some());
}

/// A target that starts again under its identity is not judged by what its run before did. Its
/// statistics were kept, so that marks of the old run kept requests from the new one.
#[test]
fn new_run_of_a_target_has_statistics_of_its_own() {
    let publisher = TargetPublisher::new(TargetRegistry::new("servers/", read_entry));
    let stats = |started_ms| {
        publisher.update(|targets| {
            targets.on_changes(&[written("servers/a", started_ms)], MonoTime(1));
            Arc::clone(&targets.entries()[0].stats)
        })
    };
    stats(1).mark_replaced();

    let same_run = stats(1).is_replaced();
    let next_run = stats(2).is_replaced();

    assert_eq!((same_run, next_run), (true, false));
}
