//! Memory and descriptors of connections under uncontrolled clients: which connection is ended for another one.

use arbutusmount::{ConnectionPhase, HoldStep, MonoTime, UploadLimits, UploadTable};

const ONE_REQUEST: usize = 100;

fn table(memory_bytes: usize, connections: usize) -> UploadTable {
    UploadTable::new(UploadLimits {
        memory_bytes,
        connections,
    })
}

/// Opens a connection that holds `bytes` of a body and made progress at `at`.
fn upload(table: &mut UploadTable, bytes: usize, at: u64) -> u64 {
    let (id, _) = table.open(true, MonoTime(at));
    table.enter(id, ConnectionPhase::Body, MonoTime(at));
    assert_eq!(table.hold(id, bytes, ONE_REQUEST), HoldStep::Granted);
    id
}

/// Slow uploads use up the memory: the one that pauses for longest is ended, and only as many as needed.
#[test]
fn upload_without_progress_for_longest_is_ended() {
    let mut table = table(300, 10);
    let first = upload(&mut table, 100, 1);
    let second = upload(&mut table, 100, 2);
    upload(&mut table, 100, 3);
    table.on_progress(first, MonoTime(4));
    let (new, _) = table.open(true, MonoTime(5));
    table.enter(new, ConnectionPhase::Body, MonoTime(5));

    let step = table.hold(new, 100, ONE_REQUEST);
    let again = table.hold(new, 100, ONE_REQUEST);
    let is_kept = table.enter(second, ConnectionPhase::Serving, MonoTime(6));
    table.close(second);
    let after = table.hold(new, 100, ONE_REQUEST);

    assert_eq!(step, HoldStep::Wait(vec![second]));
    assert_eq!(again, HoldStep::Wait(Vec::new()), "one is ending already");
    assert!(!is_kept, "an upload that is being ended was served");
    assert_eq!(after, HoldStep::Granted);
    assert_eq!(table.held(), 300);
}

/// Bodies of running requests use up the memory: none of them is ended, and a new body waits.
#[test]
fn running_request_is_never_ended() {
    let mut table = table(100, 10);
    let running = upload(&mut table, 100, 1);
    table.enter(running, ConnectionPhase::Serving, MonoTime(2));
    let (new, _) = table.open(true, MonoTime(3));

    let step = table.hold(new, 50, ONE_REQUEST);

    assert_eq!(step, HoldStep::Wait(Vec::new()));
}

/// A setting smaller than one legal body still serves one.
#[test]
fn one_request_of_the_size_limit_has_room() {
    let mut table = table(1, 10);

    let only = upload(&mut table, ONE_REQUEST, 1);

    table.close(only);
    assert_eq!(table.held(), 0);
}

/// Connections without requests use up the descriptors: the one that is idle for longest is closed, then
/// unfinished uploads; a new one when all are serving.
#[test]
fn longest_idle_connection_makes_room() {
    let mut table = table(1_000, 3);
    let slow = upload(&mut table, 10, 1);
    let (idle, _) = table.open(true, MonoTime(2));
    let serving = upload(&mut table, 10, 3);
    table.enter(serving, ConnectionPhase::Serving, MonoTime(3));

    let (fourth, for_fourth) = table.open(true, MonoTime(4));
    table.close(idle);
    table.enter(fourth, ConnectionPhase::Serving, MonoTime(4));
    let (fifth, for_fifth) = table.open(true, MonoTime(5));
    table.close(slow);
    table.enter(fifth, ConnectionPhase::Serving, MonoTime(5));
    let (sixth, for_sixth) = table.open(true, MonoTime(6));
    let (_, for_peer) = table.open(false, MonoTime(6));

    assert_eq!(for_fourth, Some(idle));
    assert_eq!(for_fifth, Some(slow));
    assert_eq!(for_sixth, Some(sixth));
    assert_eq!(for_peer, None, "connections of peers are not counted");
}

/// Without settings, no client within the limits meets one.
#[test]
fn limits_follow_the_settings() {
    let unset = UploadLimits::of_process(None, None);
    let smallest = UploadLimits::of_process(Some(112), Some(2_870));

    assert_eq!(
        (unset.memory_bytes, unset.connections),
        (1 << 30, usize::MAX)
    );
    assert_eq!(
        (smallest.memory_bytes, smallest.connections),
        (28 << 20, 1_335)
    );
}
