//! Crashes that wait for the store: which calls they cost, and what other daemons are told.

use arbutusmount::{CrashOutbox, CrashState, CrashedRun, MonoTime, OutboxRow, PoisonFingerprint};

const NOW: MonoTime = MonoTime(1_000);
const LATER: MonoTime = MonoTime(2_000);

fn row(state: CrashState) -> OutboxRow {
    OutboxRow {
        fingerprint: PoisonFingerprint(7),
        run: CrashedRun(1),
        state,
    }
}

fn counted() -> OutboxRow {
    row(CrashState::Counted)
}

fn cleared() -> OutboxRow {
    row(CrashState::Cleared)
}

#[test]
fn crash_waits_until_it_is_due_and_then_until_it_is_stored() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), LATER);
    assert_eq!(outbox.take_due(32, NOW), Vec::new());
    assert_eq!(outbox.rows(64, NOW), vec![counted()]);

    assert_eq!(outbox.take_due(32, LATER), vec![counted()]);
    assert_eq!(outbox.take_due(32, LATER), vec![counted()]);
    outbox.on_stored(counted());

    assert_eq!(outbox.take_due(32, LATER), Vec::new());
}

/// A crash that is cleared before it was written costs no call; other daemons hear of both.
#[test]
fn crash_cleared_before_it_is_due_costs_no_call() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), LATER);

    outbox.add(cleared(), LATER);

    assert_eq!(outbox.rows(64, NOW), vec![cleared()]);
    assert_eq!(outbox.take_due(32, LATER), Vec::new());
    assert_eq!(outbox.rows(64, NOW), Vec::new());
}

/// A crash that may have been written is removed, though the reply to the write was lost.
#[test]
fn crash_cleared_after_it_was_written_is_removed() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    outbox.take_due(32, NOW);

    outbox.add(cleared(), LATER);

    assert_eq!(outbox.take_due(32, LATER), vec![cleared()]);
    outbox.on_stored(counted());
    assert_eq!(outbox.rows(64, NOW), vec![cleared()]);
}

/// A peer removes what it has written itself; all others would make the same call.
#[test]
fn crash_that_a_peer_has_cleared_is_left_to_it() {
    let outbox = CrashOutbox::default();

    outbox.add_from_peer(cleared(), NOW);

    assert_eq!(outbox.take_due(32, LATER), Vec::new());
}

#[test]
fn cleared_crash_is_not_counted_again() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    outbox.add(cleared(), LATER);

    outbox.add_from_peer(counted(), NOW);

    assert_eq!(outbox.rows(64, NOW), vec![cleared()]);
}

/// A crash that a peer tells of is passed on only when the store should have had it. In a large
/// fleet every daemon sent every crash in each message.
#[test]
fn crash_of_a_peer_is_passed_on_only_when_it_is_due() {
    let outbox = CrashOutbox::default();

    outbox.add_from_peer(counted(), LATER);

    assert_eq!(outbox.rows(64, NOW), Vec::new());
    assert_eq!(outbox.rows(64, LATER), vec![counted()]);
}
