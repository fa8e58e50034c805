//! State machine of the membership protocol on one daemon: probing, suspicion and gossip.
//!
//! It follows SWIM. Each period, one other member is probed. A member that does not answer is
//! probed indirectly through others. If that fails too, it becomes a suspect, and is declared dead
//! after the suspicion time unless it refutes the suspicion with a higher incarnation number.
//! Updates are piggybacked on the probes. Like the configuration's adoption state, the protocol
//! uses no sockets, clocks or threads: the caller passes in messages and the time.

mod probing;
mod updates;

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

/// Number of random members that a starting daemon calls.
const JOIN_CALLS: usize = 8;
/// Number of random members that a daemon calls to announce a change of its own state, readiness or
/// addresses.
const ANNOUNCE_CALLS: usize = 32;
/// Periods between probes of dead members that the platform still lists.
const DEAD_PROBE_PERIODS: u64 = 4;
/// Suspicion time in periods per doubling of the number of members: gossip reaches all members in a
/// number of periods that grows with the logarithm of their number.
const SUSPICION_FACTOR: u32 = 2;
/// Number of periods without a tick after which the process is assumed to have been paused.
const PAUSE_PERIODS: u32 = 4;

/// Purpose of a call in flight.
#[derive(Debug, Clone)]
enum PendingCall {
    /// Direct probe of a member at the incarnation number known when the probe was sent.
    Probe {
        target: InstanceId,
        incarnation: IncarnationNumber,
    },
    /// Request to another member to take part in an indirect probe.
    Relay { group: u64 },
    /// Call whose failure does not make the member a suspect.
    Announce,
}

/// Indirect probe of a member through several others.
#[derive(Debug, Clone)]
struct RelayGroup {
    target: InstanceId,
    incarnation: IncarnationNumber,
    pending_replies: usize,
}

/// Membership protocol of one daemon.
#[derive(Debug)]
pub struct MemberProtocol {
    own: MemberRow,
    timing: ProtocolTiming,
    table: MemberTable,
    gossip: GossipQueue,
    marks: LeavingMarks,
    probe_order: Vec<InstanceId>,
    calls: BTreeMap<CallNumber, PendingCall>,
    relay_groups: BTreeMap<u64, RelayGroup>,
    next_number: u64,
    ticks: u64,
    last_tick: Option<MonoTime>,
    counts: ProtocolCounts,
    rng: fastrand::Rng,
}

impl MemberProtocol {
    /// Creates the protocol for the daemon described by `own`; `seed` seeds its random choices.
    pub fn new(own: MemberRow, timing: ProtocolTiming, seed: u64) -> Self {
        Self {
            own,
            timing,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            marks: LeavingMarks::default(),
            probe_order: Vec::new(),
            calls: BTreeMap::new(),
            relay_groups: BTreeMap::new(),
            next_number: 0,
            ticks: 0,
            last_tick: None,
            counts: ProtocolCounts::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies the platform's list of daemons; each row comes with a flag that is true when it is
    /// listed as leaving.
    pub fn apply_platform_list(&mut self, listed: &[(MemberRow, bool)], now: MonoTime) {
        let others: Vec<_> = listed
            .iter()
            .filter(|(row, _)| row.instance != self.own.instance)
            .cloned()
            .collect();
        self.table.apply_platform_list(&others, now);
    }

    /// Runs one protocol period: declares members dead whose deadline has passed, and probes the
    /// next member. Returns the calls to make.
    pub fn tick(&mut self, now: MonoTime) -> Vec<MemberCall> {
        self.detect_pause(now);
        for instance in self.table.declare_expired_dead(now) {
            self.enqueue_gossip(instance);
        }
        self.marks.expire(now);
        self.ticks += 1;
        let mut calls = Vec::new();
        if self.ticks == 1 {
            calls.extend(self.call_random_members(JOIN_CALLS, now));
        }
        calls.extend(self.probe_next(now));
        if self.ticks.is_multiple_of(DEAD_PROBE_PERIODS) {
            calls.extend(self.probe_dead(now));
        }
        calls
    }

    /// Sets this daemon ready to serve callers; returns the calls that announce it.
    pub fn set_ready(&mut self, now: MonoTime) -> Vec<MemberCall> {
        if self.own.ready {
            return Vec::new();
        }
        self.own.ready = true;
        self.announce_update(now)
    }

    /// Sets this daemon to leaving; returns the calls that announce it.
    pub fn leave(&mut self, now: MonoTime) -> Vec<MemberCall> {
        if self.own.state == MemberState::Leaving {
            return Vec::new();
        }
        self.own.state = MemberState::Leaving;
        self.announce_update(now)
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
        self.announce_update(now)
    }

    /// Supersedes earlier updates about this daemon with a higher incarnation number, and returns
    /// the calls that announce it. Every message carries the latest update about its sender.
    fn announce_update(&mut self, now: MonoTime) -> Vec<MemberCall> {
        self.own.incarnation = self.own.incarnation.next();
        self.call_random_members(ANNOUNCE_CALLS, now)
    }

    /// Processes a request from another daemon and returns how to respond.
    pub fn receive_request(&mut self, message: &MemberMessage, now: MonoTime) -> RequestStep {
        let Some(from) = message.from.as_ref().and_then(MemberRow::from_record) else {
            return RequestStep::Ignore;
        };
        self.apply_updates(&from, message, now);
        match MessageKind::try_from(message.kind) {
            Ok(MessageKind::Probe) => {
                let mut reply = self.build_message(&from.instance, MessageKind::Ack, now);
                self.add_differing_rows(&mut reply, message);
                RequestStep::Reply(reply)
            }
            Ok(MessageKind::Relay) => self.plan_relay(message, now),
            _ => RequestStep::Ignore,
        }
    }

    /// Returns how to carry out an indirect probe that another daemon has requested.
    fn plan_relay(&mut self, message: &MemberMessage, now: MonoTime) -> RequestStep {
        let target = message.target.parse::<InstanceId>().ok();
        let entry = target.and_then(|target| self.table.get(&target));
        let Some(row) = entry.map(|entry| entry.row.clone()) else {
            return RequestStep::Ignore;
        };
        RequestStep::Relay {
            address: row.peer_address,
            timeout: self.timing.probe_timeout,
            message: self.build_message(&row.instance, MessageKind::Probe, now),
            target: row.instance,
        }
    }

    /// Finishes an indirect probe with the target's reply, `None` if there was none in time.
    /// Returns the reply to the daemon that requested the probe.
    pub fn finish_relay(
        &mut self,
        target: &InstanceId,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) -> MemberMessage {
        let answered = reply.is_some_and(|reply| self.apply_reply(target, reply, now));
        let kind = if answered {
            MessageKind::Ack
        } else {
            MessageKind::Nack
        };
        let mut message = self.build_message(target, kind, now);
        message.target = target.to_string();
        message
    }

    /// Finishes a call with its reply, `None` if there was none in time; returns further calls to
    /// make.
    pub fn receive_reply(
        &mut self,
        number: CallNumber,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) -> Vec<MemberCall> {
        match self.calls.remove(&number) {
            Some(PendingCall::Probe {
                target,
                incarnation,
            }) => {
                if reply.is_some_and(|reply| self.apply_reply(&target, reply, now)) {
                    return Vec::new();
                }
                self.counts.failed_probes += 1;
                self.start_indirect_probe(target, incarnation, now)
            }
            Some(PendingCall::Relay { group }) => {
                self.finish_relay_call(group, reply, now);
                Vec::new()
            }
            Some(PendingCall::Announce) => {
                if let Some((reply, from)) = reply.and_then(read_sender) {
                    self.apply_updates(&from, reply, now);
                }
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Detects a pause of this process. Its own silence must not count against the others, so
    /// pending calls are dropped and the deadlines of suspects are extended by the length of the
    /// pause.
    fn detect_pause(&mut self, now: MonoTime) {
        if let Some(last) = self.last_tick.replace(now) {
            let gap = now.since(last);
            if gap > self.timing.period * PAUSE_PERIODS {
                self.calls.clear();
                self.relay_groups.clear();
                self.table.extend_deadlines(gap);
            }
        }
    }

    /// Returns true when this daemon considers all others dead although the platform lists several.
    fn is_isolated(&self) -> bool {
        let is_dead = |entry: &MemberEntry| entry.row.state == MemberState::Dead;
        let listed = self.table.entries().filter(|entry| entry.listed).count();
        listed > 1 && self.table.entries().all(is_dead)
    }

    /// Returns the binary logarithm of the number of members, rounded up.
    fn log2_members(&self) -> u32 {
        let members = self.table.live_count().max(1) as u32 + 1;
        members.next_power_of_two().ilog2()
    }

    /// Returns the time that a suspect has to refute the suspicion.
    pub fn suspicion_time(&self) -> Duration {
        self.timing.period * (SUSPICION_FACTOR * self.log2_members())
    }

    /// Returns the time between probes.
    pub fn period(&self) -> Duration {
        self.timing.period
    }

    /// Returns the marks of leaving targets.
    pub fn leaving_marks_mut(&mut self) -> &mut LeavingMarks {
        &mut self.marks
    }

    /// Returns the counters of protocol events.
    pub fn counts(&self) -> ProtocolCounts {
        self.counts
    }

    /// Removes and returns the state changes of members since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        self.table.take_changes()
    }

    /// Returns this daemon's view of the fleet. Members known only from the platform's list are
    /// left out until an update about them has been received.
    pub fn view(&self) -> MemberView {
        let confirmed = self.table.entries().filter(|entry| entry.confirmed);
        let leaving = self.table.entries().filter(|entry| entry.listed_leaving);
        MemberView {
            own: Some(self.own.clone()),
            others: confirmed.map(|entry| entry.row.clone()).collect(),
            listed_leaving: leaving.map(|entry| entry.row.instance.clone()).collect(),
            isolated: self.is_isolated(),
        }
    }
}

/// Returns a reply with the update about its sender; `None` when the latter is missing or
/// malformed.
fn read_sender(message: &MemberMessage) -> Option<(&MemberMessage, MemberRow)> {
    let from = message.from.as_ref().and_then(MemberRow::from_record)?;
    Some((message, from))
}
