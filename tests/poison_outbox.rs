//! Crashes that wait for the store: which calls they cost, and what other daemons are told.

use arbutusmount::{CrashOutbox, CrashState, CrashedRun, MonoTime, OutboxRow, PoisonFingerprint};
use std::time::Duration;

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

/// As if two runs were known for each fingerprint.
fn two_runs(_fingerprint: PoisonFingerprint) -> u32 {
    2
}

#[test]
fn crash_waits_until_it_is_due_and_then_until_it_is_stored() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), LATER);
    assert_eq!(outbox.take_due(32, NOW, two_runs), Vec::new());
    assert_eq!(outbox.rows(64, NOW, two_runs), vec![counted()]);

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![counted()]);
    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![counted()]);
    outbox.on_stored(counted());

    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());
}

/// A crash that is cleared before it was written costs no call; other daemons hear of both.
#[test]
fn crash_cleared_before_it_is_due_costs_no_call() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), LATER);

    outbox.add(cleared(), LATER);

    assert_eq!(outbox.rows(64, NOW, two_runs), vec![cleared()]);
    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());
    assert_eq!(outbox.rows(64, NOW, two_runs), Vec::new());
}

/// A crash that may have been written is removed, though the reply to the write was lost.
#[test]
fn crash_cleared_after_it_was_written_is_removed() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    outbox.take_due(32, NOW, two_runs);

    outbox.add(cleared(), LATER);

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![cleared()]);
    outbox.on_stored(counted());
    assert_eq!(outbox.rows(64, NOW, two_runs), vec![cleared()]);
}

/// A peer removes what it has written itself; all others would make the same call.
#[test]
fn crash_that_a_peer_has_cleared_is_left_to_it() {
    let outbox = CrashOutbox::default();

    outbox.add_from_peer(cleared(), NOW);

    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());
}

#[test]
fn cleared_crash_is_not_counted_again() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    outbox.add(cleared(), LATER);

    outbox.add_from_peer(counted(), NOW);

    assert_eq!(outbox.rows(64, NOW, two_runs), vec![cleared()]);
}

/// A crash that a peer tells of is passed on only when the store should have had it. In a large
/// fleet every daemon sent every crash in each message.
#[test]
fn crash_of_a_peer_is_passed_on_only_when_it_is_due() {
    let outbox = CrashOutbox::default();

    outbox.add_from_peer(counted(), LATER);

    assert_eq!(outbox.rows(64, NOW, two_runs), Vec::new());
    assert_eq!(outbox.rows(64, LATER, two_runs), vec![counted()]);
}

/// A fingerprint with a single run costs no call of the store, and other daemons hear of it for a
/// few seconds. A target that ends has a batch of requests on it, most of which never come again.
#[test]
fn single_crash_is_told_for_a_while_and_never_stored() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);

    assert_eq!(outbox.take_due(32, LATER, |_| 1), Vec::new());
    assert_eq!(outbox.rows(64, LATER, |_| 1), vec![counted()]);

    let much_later = LATER.after(Duration::from_secs(10));
    assert_eq!(outbox.take_due(32, much_later, |_| 1), Vec::new());
    assert_eq!(outbox.rows(64, much_later, |_| 1), Vec::new());
}

/// Other daemons hear first of the fingerprints with most crashes. A random choice of all those that
/// were beside a crash hid the one that mattered.
#[test]
fn fingerprints_with_most_runs_are_told_first() {
    let outbox = CrashOutbox::default();
    for beside in 0..500 {
        let fingerprint = PoisonFingerprint(beside);
        outbox.add(
            OutboxRow {
                fingerprint,
                ..counted()
            },
            LATER,
        );
    }
    let known_runs = |fingerprint| 1 + u32::from(fingerprint == PoisonFingerprint(250));

    let told = outbox.rows(32, NOW, known_runs);

    assert_eq!(told.len(), 32);
    assert_eq!(told[0].fingerprint, PoisonFingerprint(250));
}

/// Guards against a removal for each daemon that clears a crash which was never written: at 195 daemons
/// they were most of the calls to the store after a crash.
#[test]
fn clearing_a_crash_that_the_store_does_not_hold_costs_no_call() {
    let outbox = CrashOutbox::default();

    outbox.add(cleared(), NOW);

    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());
}

/// Guards against crashes that stay in the store: another daemon has written this one.
#[test]
fn crash_that_another_daemon_wrote_is_removed_once_cleared() {
    let outbox = CrashOutbox::default();
    outbox.on_stored(counted());

    outbox.add(cleared(), LATER);

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![cleared()]);
    outbox.on_stored(cleared());
    outbox.add(cleared(), LATER);
    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());
}

/// Guards against crashes that stay in the store: another daemon writes one after it was cleared here.
#[test]
fn crash_that_is_written_after_it_was_cleared_is_removed() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    outbox.add(cleared(), NOW);
    assert_eq!(outbox.take_due(32, LATER, two_runs), Vec::new());

    outbox.on_stored(counted());

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![cleared()]);
}

/// The same while the cleared crash is still told to others.
#[test]
fn crash_that_is_written_while_it_is_cleared_is_removed() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), LATER);
    outbox.add(cleared(), LATER);

    outbox.on_stored(counted());

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![cleared()]);
}

/// Guards against a removal by each daemon that clears a crash: one that the store holds is removed by
/// the first reader of the domain, which hears of it.
#[test]
fn stored_crash_that_another_daemon_cleared_is_removed() {
    let outbox = CrashOutbox::default();
    outbox.on_stored(counted());

    outbox.add_from_peer(cleared(), NOW);

    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![cleared()]);
}

/// Guards against a write by each daemon at the moment when a fingerprint gets its second run, as the
/// delay of the first one is over by then.
#[test]
fn second_run_begins_the_delay_of_the_first_one_anew() {
    let outbox = CrashOutbox::default();
    outbox.add(counted(), NOW);
    assert_eq!(outbox.take_due(32, NOW, |_| 1), Vec::new());

    outbox.add(counted(), LATER);

    let before = MonoTime(LATER.0 - 1);
    assert_eq!(outbox.take_due(32, before, two_runs), Vec::new());
    assert_eq!(outbox.take_due(32, LATER, two_runs), vec![counted()]);
}
