//! Marks of targets that are leaving according to the platform's list or their own reports. Daemons
//! gossip the marks, so that a daemon that cannot read the list learns of them too.

use crate::ids::InstanceId;
use crate::membership::wire::{MarkRecord, decode_address, encode_address};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Lifetime of a mark after the target was last seen leaving.
const MARK_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of marks kept.
const MAX_MARKS: usize = 2_048;
/// Maximum number of marks in one message.
const MESSAGE_MARKS: usize = 12;

/// Leaving target, identified by both name and address, as a successor may reuse either of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeavingTarget {
    /// Engine or service instance.
    pub instance: InstanceId,
    /// Address for requests.
    pub address: SocketAddr,
}

/// Leaving targets known to one daemon, with the time each was last seen leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingMarks {
    seen: BTreeMap<LeavingTarget, MonoTime>,
    list_read_at: MonoTime,
    cursor: usize,
}

impl LeavingMarks {
    /// Records that a target was seen leaving at `time`. New marks beyond the maximum are dropped.
    pub fn mark(&mut self, target: LeavingTarget, time: MonoTime) {
        if let Some(seen) = self.seen.get_mut(&target) {
            *seen = time.max(*seen);
        } else if self.seen.len() < MAX_MARKS {
            self.seen.insert(target, time);
        }
    }

    /// Records that the platform's list was read at `now`. A mark is kept past its lifetime only
    /// while no list has been read since the target was last seen leaving.
    pub fn record_list_read(&mut self, now: MonoTime) {
        self.list_read_at = now;
    }

    /// Removes expired marks.
    pub fn expire(&mut self, now: MonoTime) {
        let list_read_at = self.list_read_at;
        self.seen
            .retain(|_, seen| now.since(*seen) < MARK_LIFETIME || list_read_at < *seen);
    }

    /// Returns true when the target is marked.
    pub fn contains(&self, target: &LeavingTarget) -> bool {
        self.seen.contains_key(target)
    }

    /// Iterates over all marked targets.
    pub fn targets(&self) -> impl Iterator<Item = &LeavingTarget> {
        self.seen.keys()
    }

    /// Returns the next marks to send, in rotation, each with the time since the target was last
    /// seen leaving.
    pub(super) fn take_records(&mut self, now: MonoTime) -> Vec<MarkRecord> {
        let fresh = |(_, seen): &(&LeavingTarget, &MonoTime)| now.since(**seen) < MARK_LIFETIME;
        let marks: Vec<_> = self.seen.iter().filter(fresh).collect();
        if marks.is_empty() {
            return Vec::new();
        }
        let start = self.cursor % marks.len();
        let rotated = marks[start..].iter().chain(&marks[..start]);
        let records = rotated
            .take(MESSAGE_MARKS)
            .map(|(target, seen)| MarkRecord {
                instance: target.instance.to_string(),
                address: encode_address(target.address),
                age_ms: now.since(**seen).as_millis() as u64,
            });
        let records: Vec<MarkRecord> = records.collect();
        self.cursor = start + records.len();
        records
    }

    /// Adds the marks received from another daemon; malformed and expired ones are ignored.
    pub(super) fn merge(&mut self, records: &[MarkRecord], now: MonoTime) {
        for record in records {
            let age = Duration::from_millis(record.age_ms);
            let instance = record.instance.parse();
            if let (Ok(instance), Some(address)) = (instance, decode_address(&record.address))
                && age < MARK_LIFETIME
            {
                let seen = MonoTime(now.0.saturating_sub(age.as_micros() as u64));
                self.mark(LeavingTarget { instance, address }, seen);
            }
        }
    }
}
