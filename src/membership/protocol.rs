//! The membership protocol of one daemon: probes, suspicion and the spread of statements.
//!
//! It follows SWIM: each period one other member is probed; one that does not answer is probed
//! through others; one that answers none of them is a suspect and dead after a time unless it
//! refutes this with a higher incarnation number. Statements travel on the probes.

use crate::ids::InstanceId;
use crate::membership::gossip::GossipQueue;
use crate::membership::marks::LeavingMarks;
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::membership::table::{MemberChange, MemberEntry, MemberTable, MergeOutcome};
use crate::membership::view::MemberView;
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members asked to probe one that did not answer.
const RELAY_COUNT: usize = 3;
/// Statements spread in one message.
const MESSAGE_UPDATES: usize = 6;
/// Further rows in one reply to a daemon whose table differs.
const REPAIR_ROWS: usize = 10;
/// Members called at once by a daemon that starts.
const JOIN_CALLS: usize = 8;
/// Members called at once by a daemon that starts to leave or to serve.
const ANNOUNCE_CALLS: usize = 32;
/// Periods between probes of dead members that the platform still lists.
const RETRY_PERIODS: u64 = 4;
/// Suspicion lasts this many periods for each doubling of the number of members.
const SUSPICION_FACTOR: u32 = 2;
/// A statement travels on this many messages for each doubling of the number of members.
const SPREAD_FACTOR: u32 = 3;
/// Without a tick for this many periods, the process was paused.
const PAUSE_PERIODS: u32 = 4;
/// Calls that wait for an answer at once.
const MAX_CALLS: usize = 256;

/// Number of a call that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// Periods of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolTiming {
    /// Time between probes.
    pub period: Duration,
    /// Time allowed for the answer to a probe.
    pub probe_limit: Duration,
}

impl ProtocolTiming {
    /// Timing for a heartbeat period: an answer may take as long as a period.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            probe_limit: period,
        }
    }
}

/// A call to another daemon that the protocol wants made. Its end is reported to
/// [`MemberProtocol::receive_reply`], also when there is no reply in time.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberCall {
    /// Number of the call.
    pub number: CallNumber,
    /// Peer address.
    pub address: SocketAddr,
    /// Time allowed for the reply.
    pub limit: Duration,
    /// Message.
    pub message: MemberMessage,
}

/// What to do with a request from another daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestStep {
    /// Send this reply.
    Reply(MemberMessage),
    /// Probe this address with the message, then reply with [`MemberProtocol::end_relay`].
    Relay {
        /// Peer address of the member to probe.
        address: SocketAddr,
        /// Member that must answer.
        target: InstanceId,
        /// Time allowed for its answer.
        limit: Duration,
        /// Probe.
        message: MemberMessage,
    },
    /// Send nothing: the request is malformed or the member to probe is not known.
    Ignore,
}

/// Counts of what the protocol has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProtocolCounts {
    /// Probes sent, relays not counted.
    pub probes: u64,
    /// Probes without an answer.
    pub failures: u64,
    /// Members suspected first by this daemon.
    pub suspicions: u64,
    /// Statements about this daemon that it has refuted.
    pub refutations: u64,
}

#[derive(Debug, Clone)]
enum PendingCall {
    Probe {
        target: InstanceId,
        seen: IncarnationNumber,
    },
    Relay {
        group: u64,
    },
    Announce,
}

#[derive(Debug, Clone)]
struct RelayGroup {
    target: InstanceId,
    seen: IncarnationNumber,
    waiting: usize,
}

/// Membership as one daemon takes part in it.
#[derive(Debug)]
pub struct MemberProtocol {
    own: MemberRow,
    timing: ProtocolTiming,
    table: MemberTable,
    gossip: GossipQueue,
    marks: LeavingMarks,
    order: Vec<InstanceId>,
    calls: BTreeMap<CallNumber, PendingCall>,
    groups: BTreeMap<u64, RelayGroup>,
    next_number: u64,
    ticks: u64,
    last_tick: Option<MonoTime>,
    was_isolated: bool,
    counts: ProtocolCounts,
    rng: fastrand::Rng,
}

impl MemberProtocol {
    /// Starts the protocol for the daemon described by `own`, with random choices from `seed`.
    pub fn new(own: MemberRow, timing: ProtocolTiming, seed: u64) -> Self {
        Self {
            own,
            timing,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            marks: LeavingMarks::default(),
            order: Vec::new(),
            calls: BTreeMap::new(),
            groups: BTreeMap::new(),
            next_number: 0,
            ticks: 0,
            last_tick: None,
            was_isolated: false,
            counts: ProtocolCounts::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes the platform's list of other daemons; each with whether it is listed as leaving.
    pub fn read_list(&mut self, listed: &[(MemberRow, bool)], now: MonoTime) {
        let others: Vec<_> = listed
            .iter()
            .filter(|(row, _)| row.instance != self.own.instance)
            .cloned()
            .collect();
        self.table.read_list(&others, now);
    }

    /// Does what is due, once each period; returns the calls to make.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MemberCall> {
        self.check_pause(now);
        self.check_isolation();
        for instance in self.table.expire(now) {
            self.spread(instance);
        }
        self.marks.expire(now);
        self.ticks += 1;
        let mut calls = Vec::new();
        if self.ticks == 1 {
            calls.extend(self.call_many(JOIN_CALLS, now));
        }
        calls.extend(self.probe_next(now));
        if self.ticks.is_multiple_of(RETRY_PERIODS) {
            calls.extend(self.retry_dead(now));
        }
        calls
    }

    /// Says that this daemon serves callers from now on; returns the calls that announce it.
    pub fn set_ready(&mut self, now: MonoTime) -> Vec<MemberCall> {
        if self.own.ready {
            return Vec::new();
        }
        self.own.ready = true;
        self.restate(now)
    }

    /// Says that this daemon is leaving; returns the calls that announce it.
    pub fn leave(&mut self, now: MonoTime) -> Vec<MemberCall> {
        if self.own.state == MemberState::Leaving {
            return Vec::new();
        }
        self.own.state = MemberState::Leaving;
        self.restate(now)
    }

    /// Sets the addresses under which the platform lists this daemon; returns the calls that
    /// announce a change.
    pub fn set_addresses(
        &mut self,
        address: SocketAddr,
        peer_address: SocketAddr,
        now: MonoTime,
    ) -> Vec<MemberCall> {
        if (self.own.address, self.own.peer_address) == (address, peer_address) {
            return Vec::new();
        }
        self.own.address = address;
        self.own.peer_address = peer_address;
        self.restate(now)
    }

    /// Overrules this daemon's earlier statements. Its newest one is in each of its messages.
    fn restate(&mut self, now: MonoTime) -> Vec<MemberCall> {
        self.own.incarnation = self.own.incarnation.next();
        self.call_many(ANNOUNCE_CALLS, now)
    }

    /// Handles a request from another daemon.
    pub fn receive_request(&mut self, message: &MemberMessage, now: MonoTime) -> RequestStep {
        let Some(from) = message.from.as_ref().and_then(MemberRow::from_record) else {
            return RequestStep::Ignore;
        };
        self.take_statements(&from, message, now);
        match MessageKind::try_from(message.kind) {
            Ok(MessageKind::Probe) => {
                let mut reply = self.message_to(&from.instance, MessageKind::Ack, now);
                self.add_repairs(&mut reply, message);
                RequestStep::Reply(reply)
            }
            Ok(MessageKind::Relay) => self.plan_relay(message, now),
            _ => RequestStep::Ignore,
        }
    }

    fn plan_relay(&mut self, message: &MemberMessage, now: MonoTime) -> RequestStep {
        let target = message.target.parse::<InstanceId>().ok();
        let entry = target.and_then(|target| self.table.get(&target));
        let Some(row) = entry.map(|entry| entry.row.clone()) else {
            return RequestStep::Ignore;
        };
        RequestStep::Relay {
            address: row.peer_address,
            limit: self.timing.probe_limit,
            message: self.message_to(&row.instance, MessageKind::Probe, now),
            target: row.instance,
        }
    }

    /// Ends a relay by the target's reply, if any; returns the reply to the daemon that asked.
    pub fn end_relay(
        &mut self,
        target: &InstanceId,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) -> MemberMessage {
        let answered = reply.is_some_and(|reply| self.take_reply(target, reply, now));
        let kind = if answered {
            MessageKind::Ack
        } else {
            MessageKind::Nack
        };
        let mut message = self.message_to(target, kind, now);
        message.target = target.to_string();
        message
    }

    /// Ends a call by its reply, or `None` when there was none in time; returns further calls.
    pub fn receive_reply(
        &mut self,
        number: CallNumber,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) -> Vec<MemberCall> {
        match self.calls.remove(&number) {
            Some(PendingCall::Probe { target, seen }) => {
                if reply.is_some_and(|reply| self.take_reply(&target, reply, now)) {
                    return Vec::new();
                }
                self.counts.failures += 1;
                self.ask_relays(target, seen, now)
            }
            Some(PendingCall::Relay { group }) => {
                self.end_relay_call(group, reply, now);
                Vec::new()
            }
            Some(PendingCall::Announce) => {
                if let Some((reply, from)) = reply.and_then(read_sender) {
                    self.take_statements(&from, reply, now);
                }
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Takes a reply to a probe of `target`; false when it is not the target's acknowledgement.
    fn take_reply(&mut self, target: &InstanceId, reply: &MemberMessage, now: MonoTime) -> bool {
        let Some((reply, from)) = read_sender(reply) else {
            return false;
        };
        self.take_statements(&from, reply, now);
        from.instance == *target && reply.kind == i32::from(MessageKind::Ack)
    }

    fn ask_relays(
        &mut self,
        target: InstanceId,
        seen: IncarnationNumber,
        now: MonoTime,
    ) -> Vec<MemberCall> {
        let relays = self.choose_members(RELAY_COUNT, |row| row.instance != target);
        if relays.is_empty() {
            self.suspect(&target, seen, now);
            return Vec::new();
        }
        let group = self.take_number();
        let waiting = relays.len();
        let mut calls = Vec::new();
        for relay in relays {
            let mut message = self.message_to(&relay.instance, MessageKind::Relay, now);
            message.target = target.to_string();
            calls.extend(self.call(
                relay.peer_address,
                self.timing.probe_limit * 2,
                message,
                PendingCall::Relay { group },
            ));
        }
        let state = RelayGroup {
            target,
            seen,
            waiting,
        };
        self.groups.insert(group, state);
        calls
    }

    fn end_relay_call(&mut self, group: u64, reply: Option<&MemberMessage>, now: MonoTime) {
        let mut answered = false;
        if let Some((reply, from)) = reply.and_then(read_sender) {
            self.take_statements(&from, reply, now);
            answered = reply.kind == i32::from(MessageKind::Ack);
        }
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        state.waiting -= 1;
        if answered {
            self.groups.remove(&group);
        } else if state.waiting == 0 {
            let (target, seen) = (state.target.clone(), state.seen);
            self.groups.remove(&group);
            self.suspect(&target, seen, now);
        }
    }

    fn suspect(&mut self, target: &InstanceId, seen: IncarnationNumber, now: MonoTime) {
        let deadline = now.after(self.suspicion_time());
        if self.table.suspect(target, seen, deadline) == MergeOutcome::News {
            self.counts.suspicions += 1;
            self.spread(target.clone());
        }
    }

    /// Takes the statements of a message; the sender's own one counts first.
    fn take_statements(&mut self, from: &MemberRow, message: &MemberMessage, now: MonoTime) {
        self.take_statement(from, now);
        self.table.heard(&from.instance);
        let updates = message.updates.iter().filter_map(MemberRow::from_record);
        for row in updates {
            self.take_statement(&row, now);
        }
        self.marks.merge(&message.marks, now);
    }

    fn take_statement(&mut self, row: &MemberRow, now: MonoTime) {
        if row.instance == self.own.instance {
            self.refute(row);
            return;
        }
        let grace = self.suspicion_time();
        if self.table.merge(row, now, grace) == MergeOutcome::News {
            self.spread(row.instance.clone());
        }
    }

    /// Overrules a statement about this daemon that is newer than its own or worse.
    fn refute(&mut self, row: &MemberRow) {
        if row.overrules(&self.own) {
            self.own.incarnation = row.incarnation.next();
            self.counts.refutations += 1;
        }
    }

    fn spread(&mut self, instance: InstanceId) {
        let times = SPREAD_FACTOR * self.doublings();
        self.gossip.push(instance, times);
    }

    /// A message to a member. It begins with what is held against the receiver, so that the
    /// receiver can refute it, and goes on with what is to be spread.
    fn message_to(
        &mut self,
        receiver: &InstanceId,
        kind: MessageKind,
        now: MonoTime,
    ) -> MemberMessage {
        let mut updates = Vec::new();
        if let Some(entry) = self.table.get(receiver)
            && entry.row.state != MemberState::Alive
        {
            updates.push(entry.row.to_record());
        }
        for instance in self.gossip.take(MESSAGE_UPDATES) {
            if let Some(entry) = self.table.get(&instance) {
                updates.push(entry.row.to_record());
            }
        }
        MemberMessage {
            kind: kind.into(),
            from: Some(self.own.to_record()),
            target: String::new(),
            updates,
            digests: self.table.digests(&self.own),
            marks: self.marks.take_records(now),
        }
    }

    fn add_repairs(&mut self, reply: &mut MemberMessage, request: &MemberMessage) {
        let rows =
            self.table
                .differing_rows(&reply.digests, &request.digests, REPAIR_ROWS, &mut self.rng);
        let records = rows.iter().map(MemberRow::to_record);
        reply.updates.extend(records);
        // Only the daemon that asks is repaired, so that it needs no digests back.
        reply.digests.clear();
    }

    fn probe_next(&mut self, now: MonoTime) -> Option<MemberCall> {
        let row = self.next_in_order()?;
        self.counts.probes += 1;
        self.probe(&row, now)
    }

    /// The next member of a random order, renewed when all have had their turn.
    fn next_in_order(&mut self) -> Option<MemberRow> {
        let mut renewed = false;
        loop {
            let Some(instance) = self.order.pop() else {
                if renewed {
                    return None;
                }
                renewed = true;
                let is_open = |row: &MemberRow| row.state != MemberState::Dead;
                let open = self.table.entries().filter(|entry| is_open(&entry.row));
                self.order = open.map(|entry| entry.row.instance.clone()).collect();
                self.rng.shuffle(&mut self.order);
                continue;
            };
            if let Some(entry) = self.table.get(&instance)
                && entry.row.state != MemberState::Dead
            {
                return Some(entry.row.clone());
            }
        }
    }

    /// Probes a dead member that the platform still lists, so that one that lives can refute.
    fn retry_dead(&mut self, now: MonoTime) -> Option<MemberCall> {
        let is_listed_dead =
            |entry: &&MemberEntry| entry.row.state == MemberState::Dead && entry.listed;
        let dead: Vec<_> = self.table.entries().filter(is_listed_dead).collect();
        let turn = (self.ticks / RETRY_PERIODS) as usize;
        let row = dead.get(turn % dead.len().max(1))?.row.clone();
        self.probe(&row, now)
    }

    fn probe(&mut self, row: &MemberRow, now: MonoTime) -> Option<MemberCall> {
        let message = self.message_to(&row.instance, MessageKind::Probe, now);
        let pending = if row.state == MemberState::Dead {
            PendingCall::Announce
        } else {
            PendingCall::Probe {
                target: row.instance.clone(),
                seen: row.incarnation,
            }
        };
        self.call(row.peer_address, self.timing.probe_limit, message, pending)
    }

    /// Calls up to `count` random members at once, without judging those that do not answer.
    fn call_many(&mut self, count: usize, now: MonoTime) -> Vec<MemberCall> {
        let members = self.choose_members(count, |_| true);
        let mut calls = Vec::new();
        for row in members {
            let message = self.message_to(&row.instance, MessageKind::Probe, now);
            let limit = self.timing.probe_limit;
            calls.extend(self.call(row.peer_address, limit, message, PendingCall::Announce));
        }
        calls
    }

    fn call(
        &mut self,
        address: SocketAddr,
        limit: Duration,
        message: MemberMessage,
        pending: PendingCall,
    ) -> Option<MemberCall> {
        if self.calls.len() >= MAX_CALLS {
            return None;
        }
        let number = CallNumber(self.take_number());
        self.calls.insert(number, pending);
        Some(MemberCall {
            number,
            address,
            limit,
            message,
        })
    }

    fn choose_members(
        &mut self,
        count: usize,
        fits: impl Fn(&MemberRow) -> bool,
    ) -> Vec<MemberRow> {
        let is_open = |row: &MemberRow| row.state <= MemberState::Suspect && fits(row);
        let rows = self.table.entries().map(|entry| &entry.row);
        let open: Vec<MemberRow> = rows.filter(|row| is_open(row)).cloned().collect();
        self.rng.choose_multiple(open, count)
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// After a pause of this process, its own silence must not count against the others.
    fn check_pause(&mut self, now: MonoTime) {
        if let Some(last) = self.last_tick.replace(now) {
            let gap = now.since(last);
            if gap > self.timing.period * PAUSE_PERIODS {
                self.calls.clear();
                self.groups.clear();
                self.table.postpone(gap);
            }
        }
    }

    /// A daemon that reached nobody and now reaches someone was itself cut off: its verdicts on
    /// the others are withdrawn.
    fn check_isolation(&mut self) {
        let isolated = self.is_isolated();
        if self.was_isolated && !isolated {
            self.table.withdraw_deaths();
        }
        self.was_isolated = isolated;
    }

    /// True when no other daemon is alive to this one though the platform lists several.
    fn is_isolated(&self) -> bool {
        let listed = self.table.entries().filter(|entry| entry.listed);
        listed.count() > 1 && self.table.live_count() == 0
    }

    fn doublings(&self) -> u32 {
        let members = self.table.live_count().max(1) as u32 + 1;
        members.next_power_of_two().ilog2()
    }

    /// Time for which a suspect may refute.
    pub fn suspicion_time(&self) -> Duration {
        self.timing.period * (SUSPICION_FACTOR * self.doublings())
    }

    /// Time between probes.
    pub fn period(&self) -> Duration {
        self.timing.period
    }

    /// Targets seen to be leaving.
    pub fn marks_mut(&mut self) -> &mut LeavingMarks {
        &mut self.marks
    }

    /// Counts so far.
    pub fn counts(&self) -> ProtocolCounts {
        self.counts
    }

    /// Changes of members' states since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        self.table.take_changes()
    }

    /// The daemons as this one sees them; members known from the platform's list alone are left
    /// out until they or others have spoken.
    pub fn view(&self) -> MemberView {
        let vouched = self.table.entries().filter(|entry| entry.vouched);
        let leaving = self.table.entries().filter(|entry| entry.listed_leaving);
        MemberView {
            own: Some(self.own.clone()),
            others: vouched.map(|entry| entry.row.clone()).collect(),
            listed_leaving: leaving.map(|entry| entry.row.instance.clone()).collect(),
            isolated: self.is_isolated(),
        }
    }
}

/// A reply with its sender's statement; `None` when that is malformed.
fn read_sender(message: &MemberMessage) -> Option<(&MemberMessage, MemberRow)> {
    let from = message.from.as_ref().and_then(MemberRow::from_record)?;
    Some((message, from))
}
