//! What membership and the address answer cost: the protocol of every daemon of a fleet, driven
//! without sockets over a network that loses nothing.

use crate::capacity::CapacityPoint;
use crate::capacity::decisions::time_operation;
use arbutusmount::{
    AddressPlan, IncarnationNumber, MemberCall, MemberMessage, MemberProtocol, MemberRow,
    MemberState, MonoTime, ProtocolTiming, RequestStep, TeamShare,
};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Daemons, up to the target's.
const DAEMON_COUNTS: [usize; 5] = [8, 32, 64, 200, 430];
/// Period of the protocol: the default heartbeat.
const PERIOD: Duration = Duration::from_millis(400);
/// Periods until the tables agree.
const SETTLE_PERIODS: u64 = 60;
/// Periods over which is measured.
const MEASURE_PERIODS: u64 = 50;
/// Daemons, teams and fewest daemons of a team for the address plan.
const PLAN_SIZES: [(usize, usize); 4] = [(8, 10), (64, 300), (200, 1_000), (430, 2_400)];
/// Fewest daemons that an address answer names.
const SUBSET_DAEMONS: usize = 4;

/// Times and bytes at several sizes.
pub fn measure_members() -> Vec<CapacityPoint> {
    let mut points = Vec::new();
    for members in DAEMON_COUNTS {
        measure_protocol(members, &mut points);
    }
    for (members, teams) in PLAN_SIZES {
        let rows: Vec<MemberRow> = (0..members).map(make_member).collect();
        let share = |index: usize| TeamShare {
            team: format!("team-{index:04}").parse().expect("valid name"),
            share: 1.0 / teams as f64,
        };
        let shares: Vec<TeamShare> = (0..teams).map(share).collect();
        let plan = || AddressPlan::new(shares.clone(), rows.clone(), SUBSET_DAEMONS);
        let millis = time_operation(plan) / 1e6;
        let measure = "plan addresses of all teams, ms";
        points.push(CapacityPoint::new(
            measure,
            "daemon, with teams",
            members as f64,
            millis,
        ));
    }
    points
}

fn make_member(index: usize) -> MemberRow {
    let address = |port| SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], port));
    MemberRow {
        instance: format!("router-{index:03}").parse().expect("valid name"),
        incarnation: IncarnationNumber(1),
        state: MemberState::Alive,
        ready: true,
        address: address(7_000),
        peer_address: address(7_100),
        failure_domain: format!("domain-{}", index % 15)
            .parse()
            .expect("valid name"),
    }
}

/// All daemons of a fleet, and what they have sent.
struct MemberFleet {
    members: Vec<MemberProtocol>,
    places: HashMap<SocketAddr, usize>,
    bytes: u64,
}

impl MemberFleet {
    fn new(count: usize) -> Self {
        let rows: Vec<MemberRow> = (0..count).map(make_member).collect();
        let listed: Vec<(MemberRow, bool)> = rows.iter().map(|row| (row.clone(), true)).collect();
        let places = rows.iter().enumerate();
        let places = places
            .map(|(place, row)| (row.peer_address, place))
            .collect();
        let start = |(index, row): (usize, &MemberRow)| {
            let timing = ProtocolTiming::new(PERIOD);
            let mut member = MemberProtocol::new(row.clone(), timing, index as u64);
            member.apply_platform_list(&listed, MonoTime(0));
            member
        };
        Self {
            members: rows.iter().enumerate().map(start).collect(),
            places,
            bytes: 0,
        }
    }

    /// One period of every daemon.
    fn run_period(&mut self, now: MonoTime) {
        for index in 0..self.members.len() {
            for call in self.members[index].tick(now) {
                self.deliver(index, &call, now);
            }
        }
    }

    fn deliver(&mut self, from: usize, call: &MemberCall, now: MonoTime) {
        let reply = self.handle_request(call.address, &call.message, now);
        for size in [Some(&call.message), reply.as_ref()].into_iter().flatten() {
            self.bytes += size.encode_to_vec().len() as u64;
        }
        for next in self.members[from].receive_reply(call.number, reply.as_ref(), now) {
            self.deliver(from, &next, now);
        }
    }

    fn handle_request(
        &mut self,
        address: SocketAddr,
        message: &MemberMessage,
        now: MonoTime,
    ) -> Option<MemberMessage> {
        let place = *self.places.get(&address)?;
        match self.members[place].receive_request(message, now) {
            RequestStep::Reply(reply) => Some(reply),
            RequestStep::Relay { .. } | RequestStep::Ignore => None,
        }
    }
}

fn measure_protocol(count: usize, points: &mut Vec<CapacityPoint>) {
    let mut fleet = MemberFleet::new(count);
    let at = |period: u64| MonoTime(0).after(PERIOD * period as u32);
    (1..=SETTLE_PERIODS).for_each(|period| fleet.run_period(at(period)));
    let (start, before) = (Instant::now(), fleet.bytes);
    for period in 1..=MEASURE_PERIODS {
        fleet.run_period(at(SETTLE_PERIODS + period));
    }
    let spans = count as f64 * MEASURE_PERIODS as f64;
    let micros = start.elapsed().as_secs_f64() * 1e6 / spans;
    let bytes = (fleet.bytes - before) as f64 / spans / PERIOD.as_secs_f64();
    let size = count as f64;
    points.push(CapacityPoint::new(
        "membership, us each period",
        "daemon",
        size,
        micros,
    ));
    points.push(CapacityPoint::new(
        "membership sent and answered, B/s",
        "daemon",
        size,
        bytes,
    ));
}
