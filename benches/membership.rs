//! Cost of membership by number of daemons: traffic and CPU time of one daemon after the start and
//! in steady state, and protocol periods until all daemons agree after a start, a departure and a
//! crash.
//!
//! `cargo bench --bench membership` prints a table. Numbers of daemons can be given as arguments.

#[path = "../tests/support/member_net.rs"]
mod member_net;

use member_net::{MemberNet, PERIOD, name_of};
use std::collections::BTreeSet;
use std::time::Instant;

/// Seed of the simulated network.
const SEED: u64 = 7;
/// Number of periods over which traffic and CPU time are measured.
const STEADY_PERIODS: u32 = 50;
/// Number of periods that a simultaneous start of all members takes to spread; the steady state is
/// measured after them.
const SETTLE_PERIODS: u32 = 600;
/// Maximum number of periods to wait for agreement.
const MAX_PERIODS: u32 = 400;
/// Bytes of framing per message: length prefix and frame fields.
const FRAME_BYTES: f64 = 16.0;
/// Bytes of headers per message: those of one TCP segment and of its share of acknowledgements.
const SEGMENT_BYTES: f64 = 52.0 + 26.0;

/// Periods until all members agree on these members, or `not` when [`MAX_PERIODS`] are not enough.
fn periods_to_agreement(net: &mut MemberNet, members: std::ops::Range<usize>) -> String {
    let expected: BTreeSet<_> = members.map(name_of).collect();
    for periods in 0..MAX_PERIODS {
        if net.agrees_on(&expected) {
            return periods.to_string();
        }
        net.run_periods(1);
    }
    "not".to_owned()
}

fn measure(count: usize) {
    let mut net = MemberNet::new(count, SEED);
    let start = periods_to_agreement(&mut net, 0..count);
    let start_cost = measure_cost(&mut net, count);
    net.run_periods(SETTLE_PERIODS);
    let steady_cost = measure_cost(&mut net, count);
    net.leave(count - 1);
    let leave = periods_to_agreement(&mut net, 0..count - 1);
    net.crash(count - 2);
    let crash = periods_to_agreement_without(&mut net, count - 2, count - 1);
    println!("{count:>5} {start_cost} {steady_cost} {start:>7} {leave:>6} {crash:>6}");
}

/// Measures, over some periods, the mean bytes of a message, and the bytes per second and the
/// percentage of a core of one daemon.
fn measure_cost(net: &mut MemberNet, count: usize) -> String {
    let (messages, bytes) = net.sent;
    let start = Instant::now();
    net.run_periods(STEADY_PERIODS);
    let seconds = start.elapsed().as_secs_f64();
    let daemon_seconds = PERIOD.as_secs_f64() * f64::from(STEADY_PERIODS) * count as f64;
    let messages = (net.sent.0 - messages) as f64;
    let payload = (net.sent.1 - bytes) as f64;
    // Each message is sent by one daemon and received by another.
    let bytes_per_second =
        2.0 * (payload + messages * (FRAME_BYTES + SEGMENT_BYTES)) / daemon_seconds;
    let core_percent = 100.0 * seconds / daemon_seconds;
    let mean_bytes = payload / messages;
    format!("{mean_bytes:>6.0} {bytes_per_second:>6.0} {core_percent:>7.4}")
}

/// Periods until all members but `leaving` agree on the first `count` members.
fn periods_to_agreement_without(net: &mut MemberNet, count: usize, leaving: usize) -> String {
    let expected: BTreeSet<_> = (0..count).map(name_of).collect();
    for periods in 0..MAX_PERIODS {
        if net.agrees_except(leaving, &expected) {
            return periods.to_string();
        }
        net.run_periods(1);
    }
    "not".to_owned()
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|text| text.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![8, 64, 430, 1_000]
    } else {
        sizes
    };
    println!("period {PERIOD:?}; agreement in periods");
    println!("       after a start of all      steady state             periods until known");
    println!(" size  B/msg    B/s  core %   B/msg    B/s  core %   start  leave  crash");
    for count in sizes {
        measure(count);
    }
}
