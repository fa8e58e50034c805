//! When refused callers are asked to return, without sockets. The pattern: more requests than a service
//! has room for, for longer than the shortest time to return.

use arbutusmount::{MonoTime, RefusalPressure, ServiceId, return_delay};
use std::time::Duration;

/// Shortest time to return.
const BASE: Duration = Duration::from_millis(1_800);
/// Longest time that a caller waits.
const LIMIT: Duration = Duration::from_millis(6_400);

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn service() -> ServiceId {
    "desk".parse().expect("a service")
}

/// Counts a request every 10 ms from `from` to `to`, each `refused_every`th of which is refused.
fn play(pressure: &RefusalPressure, from: u64, to: u64, refused_every: usize) {
    for (number, now) in (from..to).step_by(10).map(at).enumerate() {
        pressure.on_request(&service(), now);
        if refused_every > 0 && number.is_multiple_of(refused_every) {
            pressure.on_refusal(&service(), now);
        }
    }
}

fn longest_delay(share: f64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(3);
    let delays = (0..1_000).map(|_| return_delay(BASE, LIMIT, share, &mut rng));
    delays.max().expect("there are delays")
}

/// Room for three in four requests for ten seconds: a caller that returned within 3.6 s was refused again.
#[test]
fn callers_are_spread_over_all_their_time_while_many_are_refused() {
    let pressure = RefusalPressure::default();
    play(&pressure, 0, 10_000, 4);

    let longest = longest_delay(pressure.share(&service(), at(10_000)));

    assert!(
        longest > LIMIT.mul_f64(0.9) && longest <= LIMIT,
        "{longest:?}"
    );
}

/// A server has gone and others take its part over: room is back soon, and so are the callers.
#[test]
fn callers_return_soon_after_single_refusals() {
    let pressure = RefusalPressure::default();
    play(&pressure, 0, 5_000, 200);

    let longest = longest_delay(pressure.share(&service(), at(5_000)));

    assert!(
        longest < BASE * 2 + Duration::from_millis(400),
        "{longest:?}"
    );
}

#[test]
fn refusals_are_forgotten_when_there_is_room_again() {
    let pressure = RefusalPressure::default();
    play(&pressure, 0, 5_000, 2);
    assert!(pressure.share(&service(), at(5_000)) > 0.4);

    play(&pressure, 5_000, 15_000, 0);

    assert!(pressure.share(&service(), at(15_000)) < 0.03);
}

#[test]
fn no_caller_is_asked_to_return_before_the_base_or_after_the_limit() {
    let mut rng = fastrand::Rng::with_seed(5);
    for share in [0.0, 0.1, 0.25, 0.9, 1.0] {
        for _ in 0..200 {
            let delay = return_delay(BASE, LIMIT, share, &mut rng);
            assert!(delay >= BASE && delay <= LIMIT);
        }
    }
}

/// A plain request with a second left: twice the base is more than its caller waits.
#[test]
fn limit_below_twice_the_base_is_no_longer_delay_than_before() {
    let mut rng = fastrand::Rng::with_seed(5);
    let base = Duration::from_millis(180);
    let delay = return_delay(base, Duration::from_millis(100), 1.0, &mut rng);

    assert!(delay >= base && delay <= base * 2);
}
