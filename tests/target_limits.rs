//! Rate limits of targets: what a daemon believes of them, and how the keeper hands out permits.

use arbutusmount::{
    KeeperTable, LimitCell, LimitChange, LimitStatement, MonoTime, PresenceRow, RequestRate,
    TakeOutcome, choose_keeper,
};
use std::time::Duration;
use test_case::test_case;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Target that the tests limit.
const TARGET: u64 = 7;

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn limited(rate: f64) -> LimitStatement {
    LimitStatement::Limited(RequestRate(rate))
}

fn daemons(count: usize) -> Vec<PresenceRow> {
    let row = |number: usize| PresenceRow {
        instance: format!("router-{number}").parse().expect("an identifier"),
        domain: "d0".parse().expect("an identifier"),
        callers: "127.0.0.1:9".parse().expect("an address"),
        peers: "127.0.0.1:9".parse().expect("an address"),
        relay: None,
    };
    (0..count).map(row).collect()
}

#[test_case("5.4", Some(5.4); "decimal")]
#[test_case("0", Some(0.0); "zero")]
#[test_case("1e300", Some(1e300); "huge")]
#[test_case("-1", None; "negative")]
#[test_case("inf", None; "infinite")]
#[test_case("1e999", None; "too large for a number")]
#[test_case("NaN", None; "not a number")]
#[test_case("", None; "empty")]
#[test_case("5,4", None; "with a comma")]
fn rates_are_finite_and_not_negative(text: &str, expected: Option<f64>) {
    let parsed = text.parse::<RequestRate>().ok();

    assert_eq!(parsed.map(|rate| rate.0), expected);
}

/// A limit that can no longer be read is not taken for its end, which would let all requests through.
#[test]
fn malformed_limit_leaves_the_known_one_in_force() {
    let cell = LimitCell::default();
    cell.observe(limited(5.0), at(0), at(10));

    let change = cell.observe(LimitStatement::Malformed, at(20), at(30));

    assert_eq!(change, LimitChange::None);
    assert_eq!(cell.rate(), Some(RequestRate(5.0)));
}

/// A response that was on its way when the limit was named does not end it.
#[test_case(5, Some(5.0); "sent before the limit was seen")]
#[test_case(10, Some(5.0); "sent at the same time")]
#[test_case(11, None; "sent after it")]
fn limit_ends_with_a_later_request_only(sent_ms: u64, expected: Option<f64>) {
    let cell = LimitCell::default();
    cell.observe(limited(5.0), at(0), at(10));

    cell.observe(LimitStatement::Unlimited, at(sent_ms), at(40));

    assert_eq!(cell.rate().map(|rate| rate.0), expected);
}

#[test]
fn limit_is_learned_changes_ends_and_is_learned_again() {
    let cell = LimitCell::default();
    let (five, nine) = (RequestRate(5.0), RequestRate(9.0));

    let changes = [
        cell.observe(limited(5.0), at(0), at(1)),
        cell.observe(limited(5.0), at(2), at(3)),
        cell.observe(limited(9.0), at(4), at(5)),
        cell.observe(LimitStatement::Unlimited, at(6), at(7)),
        cell.observe(LimitStatement::Unlimited, at(8), at(9)),
        cell.observe(limited(5.0), at(10), at(11)),
    ];

    let expected = [
        LimitChange::Learned(five),
        LimitChange::None,
        LimitChange::Changed(five, nine),
        LimitChange::Ended(nine),
        LimitChange::None,
        LimitChange::Learned(five),
    ];
    assert_eq!(changes, expected);
}

/// What another daemon saw earlier does not replace what is known, in either direction.
#[test_case(None, 9, Some(5.0); "end that was seen earlier")]
#[test_case(None, 11, None; "end that was seen later")]
#[test_case(Some(2.0), 9, Some(5.0); "limit that was seen earlier")]
#[test_case(Some(2.0), 11, Some(2.0); "limit that was seen later")]
fn later_observation_counts(peer: Option<f64>, seen_ms: u64, expected: Option<f64>) {
    let cell = LimitCell::default();
    cell.observe(limited(5.0), at(0), at(10));

    cell.merge(peer.map(RequestRate), at(seen_ms));

    assert_eq!(cell.rate().map(|rate| rate.0), expected);
}

#[test]
fn permits_are_used_once_and_expire() {
    let cell = LimitCell::default();
    cell.observe(limited(5.0), at(0), at(0));
    cell.add_permits(2, at(0));

    let outcomes = [cell.take(at(1)), cell.take(at(600))];

    assert_eq!(
        outcomes,
        [TakeOutcome::Taken, TakeOutcome::Ask(RequestRate(5.0))]
    );
}

#[test]
fn target_without_permits_is_held_back_until_its_keeper_has_one() {
    let cell = LimitCell::default();
    cell.observe(limited(5.0), at(0), at(0));
    cell.hold_back(at(200));

    let held_back = [cell.is_held_back(at(199)), cell.is_held_back(at(200))];

    assert_eq!(held_back, [true, false]);
    assert_eq!(cell.take(at(199)), TakeOutcome::HeldBack(at(200)));
}

/// Requests through a limited target, at the times that a keeper grants them to daemons that ask all
/// the time; the keeper changes every `handover` if there is one.
fn granted_times(rate: f64, handover: Option<Duration>) -> Vec<MonoTime> {
    let mut keeper = KeeperTable::default();
    let mut changed_at = MonoTime::default();
    let mut times = Vec::new();
    for ms in 0..30_000 {
        let now = at(ms);
        if handover.is_some_and(|period| now.since(changed_at) >= period) {
            keeper = KeeperTable::default();
            changed_at = now;
        }
        let grant = keeper.grant(TARGET, RequestRate(rate), 3, now);
        times.extend((0..grant.count).map(|_| now));
    }
    times
}

fn busiest_window(times: &[MonoTime]) -> usize {
    let from = |start: &MonoTime| {
        let window = times.iter().skip_while(|at| *at < start);
        window.take_while(|at| at.since(*start) < WINDOW).count()
    };
    times.iter().map(from).max().unwrap_or(0)
}

/// A target never gets more than its limit allows, also while its keepers follow each other quickly. Each
/// new one that began with a full bucket would add to what the former ones had handed out.
#[test_case(5.4, None; "one keeper")]
#[test_case(5.4, Some(Duration::from_secs(3)); "keepers in quick succession")]
#[test_case(0.0, None; "a target that takes nothing")]
#[test_case(300.0, Some(Duration::from_secs(2)); "high limit")]
#[test_case(0.3, None; "low limit")]
fn permits_stay_within_the_limit(rate: f64, handover: Option<Duration>) {
    let times = granted_times(rate, handover);

    let allowed = (rate * WINDOW.as_secs_f64() + 5.0) as usize;
    let most = busiest_window(&times);
    assert!(most <= allowed, "{most} permits in 4 s, {allowed} allowed");
}

/// What a target takes is handed out: equal shares of 83 daemons would serve nobody.
#[test]
fn permits_use_the_limit() {
    let times = granted_times(5.4, None);

    let least = (5.4 * 28.0) as usize;
    assert!(times.len() >= least, "{} permits in 30 s", times.len());
}

/// A target that takes nothing is still asked now and then, as only its response can end the limit.
#[test]
fn target_that_takes_nothing_is_still_asked() {
    let times = granted_times(0.0, None);

    assert!((4..=8).contains(&times.len()), "{} permits", times.len());
}

#[test]
fn daemons_that_list_the_same_choose_the_same_keeper() {
    let rows = daemons(83);
    let mut reversed = rows.clone();
    reversed.reverse();

    let keeper = choose_keeper(rows.iter(), TARGET);

    assert_eq!(keeper, choose_keeper(reversed.iter(), TARGET));
    assert_eq!(choose_keeper([].iter(), TARGET), None);
}

/// When a daemon leaves, only the targets that it kept get another keeper.
#[test]
fn keepers_stay_when_another_daemon_leaves() {
    let rows = daemons(8);
    let gone = rows[3].clone();
    let left = || rows.iter().filter(|row| row.instance != gone.instance);

    for target in 0..200 {
        let before = choose_keeper(rows.iter(), target).expect("a keeper");
        let after = choose_keeper(left(), target).expect("a keeper");
        assert!(before == after || before.instance == gone.instance);
    }
}
