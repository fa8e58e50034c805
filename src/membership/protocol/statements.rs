//! Statements about members: taking them from messages, refuting and spreading them.

use super::{MemberProtocol, read_sender};
use crate::ids::InstanceId;
use crate::membership::gossip::GossipQueue;
use crate::membership::row::{MemberRow, MemberState};
use crate::membership::table::MergeOutcome;
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;

/// Statements spread in one message.
const MESSAGE_UPDATES: usize = 6;
/// Further rows in one reply to a daemon whose table differs.
const REPAIR_ROWS: usize = 10;
/// A statement travels on this many messages for each doubling of the number of members.
const SPREAD_FACTOR: u32 = 1;

impl MemberProtocol {
    /// Takes a reply to a probe of `target`; false when it is not the target's acknowledgement.
    pub(super) fn take_reply(
        &mut self,
        target: &InstanceId,
        reply: &MemberMessage,
        now: MonoTime,
    ) -> bool {
        let Some((reply, from)) = read_sender(reply) else {
            return false;
        };
        self.take_statements(&from, reply, now);
        from.instance == *target && reply.kind == i32::from(MessageKind::Ack)
    }

    /// Takes the statements of a message; the sender's own one counts first.
    pub(super) fn take_statements(
        &mut self,
        from: &MemberRow,
        message: &MemberMessage,
        now: MonoTime,
    ) {
        self.end_isolation();
        self.take_statement(from, now);
        self.table.heard(&from.instance);
        let updates = message.updates.iter().filter_map(MemberRow::from_record);
        for row in updates {
            self.take_statement(&row, now);
        }
        self.marks.merge(&message.marks, now);
    }

    /// A daemon that reached nobody and now hears someone was itself cut off: its verdicts on the
    /// others are withdrawn before anybody has to refute them.
    pub(super) fn end_isolation(&mut self) {
        if self.is_isolated() {
            self.table.withdraw_deaths();
            self.gossip = GossipQueue::default();
        }
    }

    pub(super) fn take_statement(&mut self, row: &MemberRow, now: MonoTime) {
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
    pub(super) fn refute(&mut self, row: &MemberRow) {
        if row.supersedes(&self.own) {
            self.own.incarnation = row.incarnation.next();
            self.counts.refutations += 1;
        }
    }

    pub(super) fn spread(&mut self, instance: InstanceId) {
        let times = SPREAD_FACTOR * self.doublings();
        self.gossip.push(instance, times);
    }

    /// A message to a member. It begins with what is held against the receiver, so that the
    /// receiver can refute it, and goes on with what is to be spread.
    pub(super) fn message_to(
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

    pub(super) fn add_repairs(&mut self, reply: &mut MemberMessage, request: &MemberMessage) {
        let rows =
            self.table
                .differing_rows(&reply.digests, &request.digests, REPAIR_ROWS, &mut self.rng);
        let records = rows.iter().map(MemberRow::to_record);
        reply.updates.extend(records);
        // Only the daemon that asks is repaired, so that it needs no digests back.
        reply.digests.clear();
    }
}
