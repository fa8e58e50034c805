//! The membership protocol of one daemon: probes, suspicion and the spread of statements.
//!
//! It follows SWIM: each period one other member is probed; one that does not answer is probed
//! through others; one that answers none of them is a suspect and dead after a time unless it
//! refutes this with a higher incarnation number. Statements travel on the probes.

mod probing;
mod statements;

use crate::ids::InstanceId;
use crate::membership::actions::{
    CallNumber, MemberCall, ProtocolCounts, ProtocolTiming, RequestStep,
};
use crate::membership::gossip::GossipQueue;
use crate::membership::leaving::LeavingMarks;
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::membership::table::{MemberChange, MemberEntry, MemberTable};
use crate::membership::view::MemberView;
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members called at once by a daemon that starts.
const JOIN_CALLS: usize = 8;
/// Members called at once by a daemon that starts to leave or to serve.
const ANNOUNCE_CALLS: usize = 32;
/// Periods between probes of dead members that the platform still lists.
const RETRY_PERIODS: u64 = 4;
/// Suspicion lasts this many periods for each doubling of the number of members.
const SUSPICION_FACTOR: u32 = 2;
/// Without a tick for this many periods, the process was paused.
const PAUSE_PERIODS: u32 = 4;

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
            counts: ProtocolCounts::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes the platform's list of other daemons; each with whether it is listed as leaving.
    pub fn apply_platform_list(&mut self, listed: &[(MemberRow, bool)], now: MonoTime) {
        let others: Vec<_> = listed
            .iter()
            .filter(|(row, _)| row.instance != self.own.instance)
            .cloned()
            .collect();
        self.table.apply_platform_list(&others, now);
    }

    /// Does what is due, once each period; returns the calls to make.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MemberCall> {
        self.check_pause(now);
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
            timeout: self.timing.probe_timeout,
            message: self.message_to(&row.instance, MessageKind::Probe, now),
            target: row.instance,
        }
    }

    /// Ends a relay by the target's reply, if any; returns the reply to the daemon that asked.
    pub fn finish_relay(
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
                self.counts.failed_probes += 1;
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

    /// True when this daemon holds all others dead though the platform lists several.
    fn is_isolated(&self) -> bool {
        let is_dead = |entry: &MemberEntry| entry.row.state == MemberState::Dead;
        let listed = self.table.entries().filter(|entry| entry.listed).count();
        listed > 1 && self.table.entries().all(is_dead)
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
    pub fn leaving_marks_mut(&mut self) -> &mut LeavingMarks {
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
