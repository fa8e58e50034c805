//! Direct and indirect probes, and suspicion of members that do not answer.

use super::{DEAD_PROBE_PERIODS, MemberProtocol, PendingCall, RelayGroup, read_sender};
use crate::ids::InstanceId;
use crate::membership::actions::{CallNumber, MemberCall};
use crate::membership::row::{IncarnationNumber, MemberRow, MemberState};
use crate::membership::table::{MemberEntry, MergeOutcome};
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of members that are asked to probe a member indirectly.
const RELAY_COUNT: usize = 3;
/// Maximum number of calls in flight; further calls are not made.
const MAX_CALLS_IN_FLIGHT: usize = 256;

impl MemberProtocol {
    /// Starts an indirect probe of a member that did not answer, or suspects it at once when there
    /// is no other member to probe through.
    pub(super) fn start_indirect_probe(
        &mut self,
        target: InstanceId,
        incarnation: IncarnationNumber,
        now: MonoTime,
    ) -> Vec<MemberCall> {
        let relays = self.choose_members(RELAY_COUNT, |row| row.instance != target);
        if relays.is_empty() {
            self.suspect(&target, incarnation, now);
            return Vec::new();
        }
        let group = self.allocate_number();
        let pending_replies = relays.len();
        let mut calls = Vec::new();
        for relay in relays {
            let mut message = self.build_message(&relay.instance, MessageKind::Relay, now);
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
            incarnation,
            pending_replies,
        };
        self.relay_groups.insert(group, state);
        calls
    }

    /// Finishes one call of an indirect probe. The target becomes a suspect when the last call has
    /// ended without an acknowledgement.
    pub(super) fn finish_relay_call(
        &mut self,
        group: u64,
        reply: Option<&MemberMessage>,
        now: MonoTime,
    ) {
        let mut answered = false;
        if let Some((reply, from)) = reply.and_then(read_sender) {
            self.apply_updates(&from, reply, now);
            answered = reply.kind == i32::from(MessageKind::Ack);
        }
        let Some(state) = self.relay_groups.get_mut(&group) else {
            return;
        };
        state.pending_replies -= 1;
        if answered {
            self.relay_groups.remove(&group);
        } else if state.pending_replies == 0 {
            let (target, incarnation) = (state.target.clone(), state.incarnation);
            self.relay_groups.remove(&group);
            self.suspect(&target, incarnation, now);
        }
    }

    pub(super) fn suspect(
        &mut self,
        target: &InstanceId,
        incarnation: IncarnationNumber,
        now: MonoTime,
    ) {
        let deadline = now.after(self.suspicion_time());
        if self.table.suspect(target, incarnation, deadline) == MergeOutcome::Updated {
            self.counts.suspicions += 1;
            self.enqueue_gossip(target.clone());
        }
    }

    pub(super) fn probe_next(&mut self, now: MonoTime) -> Option<MemberCall> {
        let row = self.next_probe_target()?;
        self.counts.probes += 1;
        self.probe(&row, now)
    }

    /// Returns the next member to probe, in a random order that is reshuffled once all members have
    /// been probed.
    pub(super) fn next_probe_target(&mut self) -> Option<MemberRow> {
        let mut renewed = false;
        loop {
            let Some(instance) = self.probe_order.pop() else {
                if renewed {
                    return None;
                }
                renewed = true;
                let is_candidate = |row: &MemberRow| row.state != MemberState::Dead;
                let candidates = self
                    .table
                    .entries()
                    .filter(|entry| is_candidate(&entry.row));
                self.probe_order = candidates.map(|entry| entry.row.instance.clone()).collect();
                self.rng.shuffle(&mut self.probe_order);
                continue;
            };
            if let Some(entry) = self.table.get(&instance)
                && entry.row.state != MemberState::Dead
            {
                return Some(entry.row.clone());
            }
        }
    }

    /// Probes a dead member that the platform still lists, so that it can refute its death if it is
    /// alive.
    pub(super) fn probe_dead(&mut self, now: MonoTime) -> Option<MemberCall> {
        let is_listed_dead =
            |entry: &&MemberEntry| entry.row.state == MemberState::Dead && entry.listed;
        let dead: Vec<_> = self.table.entries().filter(is_listed_dead).collect();
        let turn = (self.ticks / DEAD_PROBE_PERIODS) as usize;
        let row = dead.get(turn % dead.len().max(1))?.row.clone();
        self.probe(&row, now)
    }

    pub(super) fn probe(&mut self, row: &MemberRow, now: MonoTime) -> Option<MemberCall> {
        let message = self.build_message(&row.instance, MessageKind::Probe, now);
        let pending = if row.state == MemberState::Dead {
            PendingCall::Announce
        } else {
            PendingCall::Probe {
                target: row.instance.clone(),
                incarnation: row.incarnation,
            }
        };
        self.call(
            row.peer_address,
            self.timing.probe_timeout,
            message,
            pending,
        )
    }

    /// Calls up to `count` random members at once; those that do not answer are not suspected.
    pub(super) fn call_random_members(&mut self, count: usize, now: MonoTime) -> Vec<MemberCall> {
        let members = self.choose_members(count, |_| true);
        let mut calls = Vec::new();
        for row in members {
            let message = self.build_message(&row.instance, MessageKind::Probe, now);
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
        if self.calls.len() >= MAX_CALLS_IN_FLIGHT {
            return None;
        }
        let number = CallNumber(self.allocate_number());
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
        let is_candidate = |row: &MemberRow| row.state <= MemberState::Suspect && fits(row);
        let rows = self.table.entries().map(|entry| &entry.row);
        let candidates: Vec<MemberRow> = rows.filter(|row| is_candidate(row)).cloned().collect();
        self.rng.choose_multiple(candidates, count)
    }

    pub(super) fn allocate_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
