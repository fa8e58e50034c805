//! When a target counts as shedding load, without sockets. The pattern: one server of a service turns all
//! requests away within a millisecond and names no time, while the others are sound and busy.

use arbutusmount::{MonoTime, SheddingCell};

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

/// Sends a request every 10 ms to a target that refuses all of them, unless it counts as shedding. Returns
/// the number of requests that it got in `ms` milliseconds.
fn requests_in(cell: &SheddingCell, ms: u64) -> usize {
    let mut count = 0;
    for now in (0..ms).step_by(10).map(at) {
        if !cell.is_shedding(now) {
            cell.on_send(now);
            cell.on_refusal(now);
            count += 1;
        }
    }
    count
}

/// Guards against retries and their budget being spent on a server that turns everything away.
#[test]
fn target_that_refuses_everything_gets_few_requests() {
    let cell = SheddingCell::default();

    let requests = requests_in(&cell, 20_000);

    assert!(requests <= 12, "{requests} of 2,000");
}

#[test]
fn requests_sent_at_the_same_time_count_as_one_refusal() {
    let cell = SheddingCell::default();
    for now in [100, 101, 102, 103] {
        cell.on_refusal(at(now));
    }

    assert!(cell.is_shedding(at(250)));
    assert!(!cell.is_shedding(at(301)));
}

#[test]
fn one_request_at_a_time_tries_the_target_again() {
    let cell = SheddingCell::default();
    cell.on_refusal(at(100));
    assert!(!cell.is_shedding(at(310)));

    cell.on_send(at(310));

    assert!(cell.is_shedding(at(320)), "a request is under way");
    assert!(
        !cell.is_shedding(at(420)),
        "it is late, so another one may try"
    );
}

#[test]
fn first_response_ends_the_series() {
    let cell = SheddingCell::default();
    cell.on_refusal(at(100));
    cell.on_refusal(at(400));

    cell.on_response();

    assert!(!cell.is_shedding(at(401)));
    cell.on_refusal(at(500));
    assert!(!cell.is_shedding(at(701)), "the time is the shortest again");
}
