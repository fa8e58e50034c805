//! Decisions about the rest that a target has asked for, without sockets.

use arbutusmount::{LimitCell, MonoTime, TakeOutcome};
use std::time::Duration;
use test_case::test_case;

const START: MonoTime = MonoTime(1_000_000);

fn after(millis: u64) -> MonoTime {
    START.after(Duration::from_millis(millis))
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn is_taken(limit: &LimitCell, now: MonoTime) -> bool {
    limit.take(now) == TakeOutcome::Taken
}

/// Nothing is sent during a rest, whether or not the target has a rate limit.
#[test]
fn nothing_is_sent_during_a_rest() {
    let limit = LimitCell::default();
    assert!(limit.begin_rest(seconds(3), START));

    for millis in [0, 1_500, 2_999] {
        assert!(limit.is_held_back(after(millis)));
        assert_eq!(
            limit.take(after(millis)),
            TakeOutcome::HeldBack(after(3_000))
        );
    }
}

/// Of several rests the one that ends last counts, in whatever order the answers come.
#[test_case(&[3, 1])]
#[test_case(&[1, 3])]
fn longest_rest_counts(rests: &[u64]) {
    let limit = LimitCell::default();
    for rest in rests {
        limit.begin_rest(seconds(*rest), START);
    }
    assert_eq!(limit.resting_until(after(1_500)), Some(after(3_000)));
}

/// A rest that is longer than any sensible one ends all the same.
#[test]
fn absurd_rest_is_shortened() {
    let limit = LimitCell::default();
    limit.begin_rest(Duration::MAX, START);
    assert_eq!(limit.resting_until(after(1)), Some(after(60_000)));
}

/// After the rest two requests are sent, and more once the target has responded, or half a second later.
#[test]
fn few_requests_are_sent_first_after_a_rest() {
    let limit = LimitCell::default();
    limit.begin_rest(seconds(1), START);

    let taken = (0..10).filter(|_| is_taken(&limit, after(1_000))).count();
    assert_eq!(taken, 2);
    assert!(limit.is_held_back(after(1_010)));
    limit.on_response(after(1_020));
    assert!(is_taken(&limit, after(1_030)) && !limit.is_held_back(after(1_030)));

    limit.begin_rest(seconds(1), after(2_000));
    let taken = (0..10).filter(|_| is_taken(&limit, after(3_000))).count();
    assert_eq!(taken, 2);
    assert!(is_taken(&limit, after(3_600)));
}

/// A right that was not used can be used by another request.
#[test]
fn unused_right_is_given_back() {
    let limit = LimitCell::default();
    limit.begin_rest(seconds(1), START);
    assert!(is_taken(&limit, after(1_000)) && is_taken(&limit, after(1_000)));

    limit.give_back(after(1_010));

    assert!(is_taken(&limit, after(1_020)) && !is_taken(&limit, after(1_020)));
}

/// A response to a request that was sent before the target asked for rest does not end the rest.
#[test]
fn response_during_a_rest_does_not_end_it() {
    let limit = LimitCell::default();
    limit.begin_rest(seconds(3), START);
    limit.on_response(after(500));
    assert!(limit.is_held_back(after(600)));
}
