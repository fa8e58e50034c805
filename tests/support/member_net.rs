//! Simulated network of membership protocols in one thread, without sockets or clocks. It loses,
//! duplicates, delays and reorders messages, cuts links in one direction, and pauses, crashes and
//! restarts members.

#![allow(dead_code, reason = "each program uses a part of the network")]

use arbutusmount::{
    CallNumber, IncarnationNumber, InstanceId, MemberCall, MemberChange, MemberMessage,
    MemberProtocol, MemberRow, MemberState, MonoTime, ProtocolTiming, RequestStep,
};
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Protocol period in the simulation.
pub const PERIOD: Duration = Duration::from_millis(400);
/// Maximum delay of a message, in microseconds.
const MAX_DELAY_MICROS: u64 = 60_000;
/// Port of the first member; the others follow in order.
const FIRST_PORT: u16 = 10_000;
/// Periods between reads of the platform's list.
const LIST_PERIODS: u64 = 25;

/// Origin of a request, which waits for the reply: a member's own call, or an indirect probe on
/// behalf of another member.
#[derive(Debug, Clone)]
struct RequestOrigin {
    node: usize,
    epoch: u64,
    call: CallNumber,
    relayed_for: Option<Box<(RequestOrigin, InstanceId)>>,
}

#[derive(Debug, Clone)]
enum NetEvent {
    Tick(usize, u64),
    Request(usize, RequestOrigin, MemberMessage),
    Reply(RequestOrigin, Option<MemberMessage>),
}

#[derive(Debug)]
struct Node {
    protocol: Option<MemberProtocol>,
    epoch: u64,
    paused_until: MonoTime,
    ticks: u64,
}

/// Faults of the network.
#[derive(Debug, Clone, Default)]
pub struct NetFaults {
    /// Share of messages lost, in percent.
    pub loss_percent: u8,
    /// Share of messages delivered twice, in percent.
    pub duplicate_percent: u8,
    /// Links that lose all messages, each as sender and receiver.
    pub cuts: BTreeSet<(usize, usize)>,
}

/// Simulated network.
#[derive(Debug)]
pub struct MemberNet {
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: BTreeMap<u64, NetEvent>,
    next_event: u64,
    next_relay: u64,
    now: MonoTime,
    rng: fastrand::Rng,
    /// Members that the platform lists.
    pub listed: BTreeSet<usize>,
    /// Current faults.
    pub faults: NetFaults,
    /// Number of messages sent and their total bytes, over requests and replies.
    pub sent: (u64, u64),
}

pub fn name_of(node: usize) -> InstanceId {
    format!("router-{node}").parse().expect("names are valid")
}

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// Creates the update of a starting member about itself.
pub fn member_row(node: usize, incarnation: u64) -> MemberRow {
    MemberRow {
        instance: name_of(node),
        incarnation: IncarnationNumber(incarnation),
        state: MemberState::Alive,
        ready: false,
        address: address_of(node),
        peer_address: address_of(node),
        failure_domain: format!("domain-{}", node % 15)
            .parse()
            .expect("names are valid"),
    }
}

impl MemberNet {
    /// Creates a network of `count` members that start within the first period.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_relay: 0,
            now: MonoTime::default(),
            rng: fastrand::Rng::with_seed(seed),
            listed: (0..count).collect(),
            faults: NetFaults::default(),
            sent: (0, 0),
        };
        for node in 0..count {
            net.nodes.push(Node {
                protocol: None,
                epoch: 0,
                paused_until: MonoTime::default(),
                ticks: 0,
            });
            net.start(node, 1);
        }
        net
    }

    /// Starts or restarts a member at this incarnation number, ready to serve.
    pub fn start(&mut self, node: usize, incarnation: u64) {
        self.start_unready(node, incarnation);
        let now = self.now;
        if let Some(protocol) = &mut self.nodes[node].protocol {
            let calls = protocol.set_ready(now);
            self.make_calls(node, calls);
        }
    }

    /// Starts or restarts a member that is not ready to serve.
    pub fn start_unready(&mut self, node: usize, incarnation: u64) {
        let seed = self.rng.u64(..);
        let row = member_row(node, incarnation);
        let mut protocol = MemberProtocol::new(row, ProtocolTiming::new(PERIOD), seed);
        protocol.apply_platform_list(&self.platform_list(), self.now);
        let state = &mut self.nodes[node];
        state.protocol = Some(protocol);
        state.epoch += 1;
        state.ticks = 0;
        let epoch = state.epoch;
        let offset = Duration::from_micros(self.rng.u64(..PERIOD.as_micros() as u64));
        self.push(self.now.after(offset), NetEvent::Tick(node, epoch));
    }

    /// Stops a member without an announcement.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].protocol = None;
    }

    /// Pauses a member for `span`; messages to it are delivered afterwards.
    pub fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused_until = self.now.after(span);
    }

    /// Lets a member announce that it is leaving.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        if let Some(protocol) = &mut self.nodes[node].protocol {
            let calls = protocol.leave(now);
            self.make_calls(node, calls);
        }
    }

    /// Returns true while a member is running.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].protocol.is_some()
    }

    /// Clears the network faults and runs until all pauses have ended.
    pub fn heal(&mut self) {
        self.faults = NetFaults::default();
        while self.nodes.iter().any(|node| node.paused_until > self.now) {
            self.run_periods(1);
        }
    }

    pub fn protocol(&self, node: usize) -> Option<&MemberProtocol> {
        self.nodes[node].protocol.as_ref()
    }

    /// Removes and returns the state changes that a running member has recorded.
    pub fn take_changes(&mut self, node: usize) -> Vec<MemberChange> {
        let protocol = self.nodes[node].protocol.as_mut();
        protocol
            .map(MemberProtocol::take_changes)
            .unwrap_or_default()
    }

    /// Returns the members that a member lists to callers; empty when it is not running.
    pub fn serving_members(&self, node: usize) -> BTreeSet<InstanceId> {
        let view = self.nodes[node].protocol.as_ref().map(MemberProtocol::view);
        let view = view.unwrap_or_default();
        view.serving_daemons()
            .map(|row| row.instance.clone())
            .collect()
    }

    /// Returns the members that at least one running member considers dead.
    pub fn members_considered_dead(&self) -> BTreeSet<InstanceId> {
        let protocols = self.nodes.iter().filter_map(|node| node.protocol.as_ref());
        let rows = protocols.flat_map(|protocol| protocol.view().others);
        rows.filter(|row| row.state == MemberState::Dead)
            .map(|row| row.instance)
            .collect()
    }

    /// Returns true when every running member lists exactly `wanted` to callers.
    pub fn agrees_on(&self, wanted: &BTreeSet<InstanceId>) -> bool {
        (0..self.nodes.len())
            .filter(|node| self.is_running(*node))
            .all(|node| self.serving_members(node) == *wanted)
    }

    /// Returns true when every running member except `excluded` lists exactly `wanted` to callers.
    pub fn agrees_except(&self, excluded: usize, wanted: &BTreeSet<InstanceId>) -> bool {
        (0..self.nodes.len())
            .filter(|node| *node != excluded && self.is_running(*node))
            .all(|node| self.serving_members(node) == *wanted)
    }

    /// Runs the simulation for a number of periods.
    pub fn run_periods(&mut self, periods: u32) {
        let end = self.now.after(PERIOD * periods);
        while let Some(Reverse((time, number))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let event = self.events.remove(&number).expect("queued events exist");
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: NetEvent) {
        let node = match &event {
            NetEvent::Tick(node, _) | NetEvent::Request(node, ..) => *node,
            NetEvent::Reply(origin, _) => origin.node,
        };
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.push(paused_until, event);
            return;
        }
        match event {
            NetEvent::Tick(node, epoch) => self.tick(node, epoch),
            NetEvent::Request(node, origin, message) => self.request(node, origin, &message),
            NetEvent::Reply(origin, reply) => self.reply(origin, reply.as_ref()),
        }
    }

    fn tick(&mut self, node: usize, epoch: u64) {
        let now = self.now;
        let ticks = self.nodes[node].ticks + 1;
        let reads_list = ticks.is_multiple_of(LIST_PERIODS);
        let list = reads_list.then(|| self.platform_list());
        let state = &mut self.nodes[node];
        if state.epoch != epoch {
            return;
        }
        state.ticks = ticks;
        let Some(protocol) = &mut state.protocol else {
            return;
        };
        if let Some(list) = list {
            protocol.apply_platform_list(&list, now);
        }
        let calls = protocol.tick(now);
        self.make_calls(node, calls);
        self.push(now.after(PERIOD), NetEvent::Tick(node, epoch));
    }

    fn make_calls(&mut self, node: usize, calls: Vec<MemberCall>) {
        for call in calls {
            let origin = RequestOrigin {
                node,
                epoch: self.nodes[node].epoch,
                call: call.number,
                relayed_for: None,
            };
            self.send_request(&origin, call.address, call.timeout, &call.message);
        }
    }

    fn send_request(
        &mut self,
        origin: &RequestOrigin,
        address: SocketAddr,
        timeout: Duration,
        message: &MemberMessage,
    ) {
        let timeout_event = NetEvent::Reply(origin.clone(), None);
        self.push(self.now.after(timeout), timeout_event);
        let (from, to) = (origin.node, node_at(address));
        self.send(from, to, message, |message| {
            NetEvent::Request(to, origin.clone(), message)
        });
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        message: &MemberMessage,
        event: impl Fn(MemberMessage) -> NetEvent,
    ) {
        self.sent.0 += 1;
        self.sent.1 += message.encoded_len() as u64;
        let lost = self.rng.u8(..100) < self.faults.loss_percent;
        if lost || self.faults.cuts.contains(&(from, to)) {
            return;
        }
        let duplicated = self.rng.u8(..100) < self.faults.duplicate_percent;
        for _ in 0..=u8::from(duplicated) {
            let delay = Duration::from_micros(self.rng.u64(100..MAX_DELAY_MICROS));
            self.push(self.now.after(delay), event(message.clone()));
        }
    }

    fn request(&mut self, node: usize, origin: RequestOrigin, message: &MemberMessage) {
        let now = self.now;
        let Some(protocol) = &mut self.nodes[node].protocol else {
            return;
        };
        match protocol.receive_request(message, now) {
            RequestStep::Ignore => {}
            RequestStep::Reply(reply) => self.send_reply(node, &origin, &reply),
            RequestStep::Relay {
                address,
                target,
                timeout,
                message,
            } => {
                self.next_relay += 1;
                let relay = RequestOrigin {
                    node,
                    epoch: self.nodes[node].epoch,
                    call: CallNumber(u64::MAX - self.next_relay),
                    relayed_for: Some(Box::new((origin, target))),
                };
                self.send_request(&relay, address, timeout, &message);
            }
        }
    }

    fn send_reply(&mut self, from: usize, origin: &RequestOrigin, reply: &MemberMessage) {
        let to = origin.node;
        self.send(from, to, reply, |reply| {
            NetEvent::Reply(origin.clone(), Some(reply))
        });
    }

    fn reply(&mut self, origin: RequestOrigin, reply: Option<&MemberMessage>) {
        let now = self.now;
        let state = &mut self.nodes[origin.node];
        if state.epoch != origin.epoch {
            return;
        }
        let Some(protocol) = &mut state.protocol else {
            return;
        };
        if let Some(relayed) = origin.relayed_for {
            let (requester, target) = *relayed;
            let answer = protocol.finish_relay(&target, reply, now);
            self.send_reply(origin.node, &requester, &answer);
        } else {
            let calls = protocol.receive_reply(origin.call, reply, now);
            self.make_calls(origin.node, calls);
        }
    }

    fn platform_list(&self) -> Vec<(MemberRow, bool)> {
        let rows = self.listed.iter().map(|node| (member_row(*node, 0), false));
        rows.collect()
    }

    fn push(&mut self, time: MonoTime, event: NetEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, event);
    }
}
