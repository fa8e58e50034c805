//! Publication of the target list by several tasks at the same time.

use arbutusmount::{
    InstanceId, MirrorChange, MonoTime, StoreItem, TargetEntry, TargetPhase, TargetPublisher,
    TargetRegistry, TargetView, ViewCell,
};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Time for which a slow task waits for the other one to publish.
const SLOW_TIME: Duration = Duration::from_millis(300);

fn read_entry(id: &str, _value: &[u8]) -> Result<TargetEntry, String> {
    Ok(TargetEntry {
        id: id.parse().expect("an identifier"),
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

fn written(key: &str) -> MirrorChange {
    MirrorChange::Written(StoreItem {
        key: Arc::from(key),
        value: Arc::from(&b""[..]),
        revision: 1,
        create_revision: 1,
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
        publisher.update(|targets| targets.on_changes(&[written("servers/a")], MonoTime(1)));
        publisher.publish(cell, build);
        // The first task may have ended.
        let _ = published.send(());
    });

    // Assert
    let id: InstanceId = "a".parse().expect("an identifier");
    assert!(cell.load().target(&id).is_some());
}
