//! Updates about members: applying them from messages, refuting and gossiping them.

use super::{MemberProtocol, read_sender};
use crate::ids::InstanceId;
use crate::membership::gossip::GossipQueue;
use crate::membership::row::{MemberRow, MemberState};
use crate::membership::table::MergeOutcome;
use crate::membership::wire::{MemberMessage, MessageKind};
use crate::units::MonoTime;

/// Maximum number of gossiped updates in one message.
const MESSAGE_UPDATES: usize = 6;
/// Maximum number of additional rows in a reply to a daemon whose table differs (anti-entropy).
const REPAIR_ROWS: usize = 10;
/// Number of messages that carry an update, per doubling of the number of members.
const GOSSIP_FACTOR: u32 = 1;

impl MemberProtocol {
    /// Applies a reply to a probe of `target`. Returns true when it is the target's
    /// acknowledgement.
    pub(super) fn apply_reply(
        &mut self,
        target: &InstanceId,
        reply: &MemberMessage,
        now: MonoTime,
    ) -> bool {
        let Some((reply, from)) = read_sender(reply) else {
            return false;
        };
        self.apply_updates(&from, reply, now);
        from.instance == *target && reply.kind == i32::from(MessageKind::Ack)
    }

    /// Applies the updates of a message, first the one about its sender.
    pub(super) fn apply_updates(
        &mut self,
        from: &MemberRow,
        message: &MemberMessage,
        now: MonoTime,
    ) {
        self.end_isolation();
        self.apply_update(from, now);
        self.table.record_message_from(&from.instance);
        let updates = message.updates.iter().filter_map(MemberRow::from_record);
        for row in updates {
            self.apply_update(&row, now);
        }
        self.marks.merge(&message.marks, now);
    }

    /// Ends this daemon's isolation. A daemon that considered all others dead and receives a
    /// message was itself cut off, so the deaths that it declared are withdrawn before the others
    /// have to refute them.
    pub(super) fn end_isolation(&mut self) {
        if self.is_isolated() {
            self.table.withdraw_deaths();
            self.gossip = GossipQueue::default();
        }
    }

    pub(super) fn apply_update(&mut self, row: &MemberRow, now: MonoTime) {
        if row.instance == self.own.instance {
            self.refute(row);
            return;
        }
        let grace = self.suspicion_time();
        if self.table.merge(row, now, grace) == MergeOutcome::Updated {
            self.enqueue_gossip(row.instance.clone());
        }
    }

    /// Refutes an update about this daemon that supersedes its own, with a higher incarnation
    /// number.
    pub(super) fn refute(&mut self, row: &MemberRow) {
        if row.supersedes(&self.own) {
            self.own.incarnation = row.incarnation.next();
            self.counts.refutations += 1;
        }
    }

    pub(super) fn enqueue_gossip(&mut self, instance: InstanceId) {
        let messages = GOSSIP_FACTOR * self.log2_members();
        self.gossip.push(instance, messages);
    }

    /// Creates a message to a member. Its first update is the one about the receiver unless that is
    /// alive, so that the receiver can refute it; queued updates follow.
    pub(super) fn build_message(
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

    pub(super) fn add_differing_rows(
        &mut self,
        reply: &mut MemberMessage,
        request: &MemberMessage,
    ) {
        let rows =
            self.table
                .differing_rows(&reply.digests, &request.digests, REPAIR_ROWS, &mut self.rng);
        let records = rows.iter().map(MemberRow::to_record);
        reply.updates.extend(records);
        // Only the requester's table is repaired, so it needs no digests in the reply.
        reply.digests.clear();
    }
}
