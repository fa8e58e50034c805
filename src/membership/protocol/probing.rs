//! Whom to probe, through whom, and what an answer or its lack means.

use super::{MemberProtocol, PendingCall, RETRY_PERIODS, RelayGroup, read_sender};
use crate::ids::InstanceId;
use crate::membership::actions::{CallNumber, MemberCall};
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::membership::table::{MemberEntry, MergeOutcome};
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Members asked to probe one that did not answer.
const RELAY_COUNT: usize = 3;
/// Calls that wait for an answer at once.
const MAX_CALLS: usize = 256;

impl MemberProtocol {
    pub(super) fn ask_relays(
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
                self.timing.probe_timeout * 2,
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

    pub(super) fn end_relay_call(
        &mut self,
        group: u64,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) {
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

    pub(super) fn suspect(&mut self, target: &InstanceId, seen: IncarnationNumber, now: MonoTime) {
        let deadline = now.after(self.suspicion_time());
        if self.table.suspect(target, seen, deadline) == MergeOutcome::News {
            self.counts.suspicions += 1;
            self.spread(target.clone());
        }
    }

    pub(super) fn probe_next(&mut self, now: MonoTime) -> Option<MemberCall> {
        let row = self.next_in_order()?;
        self.counts.probes += 1;
        self.probe(&row, now)
    }

    /// The next member of a random order, renewed when all have had their turn.
    pub(super) fn next_in_order(&mut self) -> Option<MemberRow> {
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
    pub(super) fn retry_dead(&mut self, now: MonoTime) -> Option<MemberCall> {
        let is_listed_dead =
            |entry: &&MemberEntry| entry.row.state == MemberState::Dead && entry.listed;
        let dead: Vec<_> = self.table.entries().filter(is_listed_dead).collect();
        let turn = (self.ticks / RETRY_PERIODS) as usize;
        let row = dead.get(turn % dead.len().max(1))?.row.clone();
        self.probe(&row, now)
    }

    pub(super) fn probe(&mut self, row: &MemberRow, now: MonoTime) -> Option<MemberCall> {
        let message = self.message_to(&row.instance, MessageKind::Probe, now);
        let pending = if row.state == MemberState::Dead {
            PendingCall::Announce
        } else {
            PendingCall::Probe {
                target: row.instance.clone(),
                seen: row.incarnation,
            }
        };
        self.call(
            row.peer_address,
            self.timing.probe_timeout,
            message,
            pending,
        )
    }

    /// Calls up to `count` random members at once, without judging those that do not answer.
    pub(super) fn call_many(&mut self, count: usize, now: MonoTime) -> Vec<MemberCall> {
        let members = self.choose_members(count, |_| true);
        let mut calls = Vec::new();
        for row in members {
            let message = self.message_to(&row.instance, MessageKind::Probe, now);
            let timeout = self.timing.probe_timeout;
            calls.extend(self.call(row.peer_address, timeout, message, PendingCall::Announce));
        }
        calls
    }

    pub(super) fn call(
        &mut self,
        address: SocketAddr,
        timeout: Duration,
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
            timeout,
            message,
        })
    }

    pub(super) fn choose_members(
        &mut self,
        count: usize,
        fits: impl Fn(&MemberRow) -> bool,
    ) -> Vec<MemberRow> {
        let is_open = |row: &MemberRow| row.state <= MemberState::Suspect && fits(row);
        let rows = self.table.entries().map(|entry| &entry.row);
        let open: Vec<MemberRow> = rows.filter(|row| is_open(row)).cloned().collect();
        self.rng.choose_multiple(open, count)
    }

    pub(super) fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
