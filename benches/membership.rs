//! Cost of membership by number of daemons: bytes and processor time of one daemon in steady state,
//! and periods until a departure, a death and a healed partition are known everywhere.
//!
//! `cargo bench --bench membership` prints a table; sizes can be given as arguments.

#[path = "../tests/support/member_net.rs"]
mod member_net;

use member_net::{MemberNet, PERIOD, name_of};
use std::collections::BTreeSet;
use std::time::Instant;

/// Seed of the network.
const SEED: u64 = 7;
/// Periods over which the steady state is measured.
const STEADY_PERIODS: u32 = 50;
/// Periods after which a simultaneous start of all members has been spread.
const SETTLE_PERIODS: u32 = 600;
/// Longest wait for agreement, in periods.
const MAX_PERIODS: u32 = 400;
/// Framing of one message: length prefix and frame fields.
const FRAME_BYTES: f64 = 16.0;
/// Headers of one TCP segment and of its share of acknowledgements.
const SEGMENT_BYTES: f64 = 52.0 + 26.0;

fn periods_to_agreement(net: &mut MemberNet, members: std::ops::Range<usize>) -> String {
    let wanted: BTreeSet<_> = members.map(name_of).collect();
    for periods in 0..MAX_PERIODS {
        if net.agrees_on(&wanted) {
            return periods.to_string();
        }
        net.run_periods(1);
    }
    "not".to_owned()
}

fn measure(count: usize) {
    let mut net = MemberNet::new(count, SEED);
    let formed = periods_to_agreement(&mut net, 0..count);
    let joining = steady_cost(&mut net, count);
    net.run_periods(SETTLE_PERIODS);
    let steady = steady_cost(&mut net, count);
    net.leave(count - 1);
    let left = periods_to_agreement(&mut net, 0..count - 1);
    net.crash(count - 2);
    let dead = periods_to_agreement_without(&mut net, count - 2, count - 1);
    println!("{count:>5} {joining} {steady} {formed:>7} {left:>6} {dead:>6}");
}

/// Mean bytes of a message, bytes a second and per cent of a core of one daemon, over some periods.
fn steady_cost(net: &mut MemberNet, count: usize) -> String {
    let (messages, bytes) = net.sent;
    let start = Instant::now();
    net.run_periods(STEADY_PERIODS);
    let spent = start.elapsed().as_secs_f64();
    let daemon_seconds = PERIOD.as_secs_f64() * f64::from(STEADY_PERIODS) * count as f64;
    let messages = (net.sent.0 - messages) as f64;
    let payload = (net.sent.1 - bytes) as f64;
    // Each message is sent by one daemon and received by another.
    let wire = 2.0 * (payload + messages * (FRAME_BYTES + SEGMENT_BYTES)) / daemon_seconds;
    let core = 100.0 * spent / daemon_seconds;
    let mean = payload / messages;
    format!("{mean:>6.0} {wire:>6.0} {core:>7.4}")
}

/// Periods until all but the leaving member agree on the first `count` members.
fn periods_to_agreement_without(net: &mut MemberNet, count: usize, leaving: usize) -> String {
    let wanted: BTreeSet<_> = (0..count).map(name_of).collect();
    for periods in 0..MAX_PERIODS {
        if net.agrees_except(leaving, &wanted) {
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
