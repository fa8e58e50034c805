//! Targets seen to be leaving, by the platform's list or by their own word, shared among daemons so
//! that one that cannot read the list learns of it too.

use crate::ids::InstanceId;
use crate::membership::wire::{MarkRecord, decode_address, encode_address};
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a mark counts after the last sighting.
const MARK_LIFETIME: Duration = Duration::from_secs(10);
/// Marks kept at once.
const MAX_MARKS: usize = 2_048;
/// Marks in one message.
const MESSAGE_MARKS: usize = 12;

/// A leaving target: its name and address, as a successor may reuse either.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeavingTarget {
    /// Engine or service instance.
    pub instance: InstanceId,
    /// Address.
    pub address: SocketAddr,
}

/// The leaving targets that one daemon knows of.
#[derive(Debug, Clone, Default)]
pub struct LeavingMarks {
    seen: BTreeMap<LeavingTarget, MonoTime>,
    list_read: MonoTime,
    cursor: usize,
}

impl LeavingMarks {
    /// Notes that a target was seen leaving at `time`.
    pub fn mark(&mut self, target: LeavingTarget, time: MonoTime) {
        if let Some(seen) = self.seen.get_mut(&target) {
            *seen = time.max(*seen);
        } else if self.seen.len() < MAX_MARKS {
            self.seen.insert(target, time);
        }
    }

    /// Notes that the platform's list was read at `now`. A mark outlives its lifetime only while
    /// the list read last is older than the mark.
    pub fn record_list_read(&mut self, now: MonoTime) {
        self.list_read = now;
    }

    /// Forgets marks that have expired.
    pub fn expire(&mut self, now: MonoTime) {
        let list_read = self.list_read;
        self.seen
            .retain(|_, seen| now.since(*seen) < MARK_LIFETIME || list_read < *seen);
    }

    /// True when the target is marked.
    pub fn contains(&self, target: &LeavingTarget) -> bool {
        self.seen.contains_key(target)
    }

    /// All marked targets.
    pub fn targets(&self) -> impl Iterator<Item = &LeavingTarget> {
        self.seen.keys()
    }

    /// The next marks to send, in turn, with the time since each sighting.
    pub(super) fn take_records(&mut self, now: MonoTime) -> Vec<MarkRecord> {
        let fresh = |(_, seen): &(&LeavingTarget, &MonoTime)| now.since(**seen) < MARK_LIFETIME;
        let marks: Vec<_> = self.seen.iter().filter(fresh).collect();
        if marks.is_empty() {
            return Vec::new();
        }
        let start = self.cursor % marks.len();
        let turned = marks[start..].iter().chain(&marks[..start]);
        let records = turned.take(MESSAGE_MARKS).map(|(target, seen)| MarkRecord {
            instance: target.instance.to_string(),
            address: encode_address(target.address),
            age_ms: now.since(**seen).as_millis() as u64,
        });
        let records: Vec<MarkRecord> = records.collect();
        self.cursor = start + records.len();
        records
    }

    /// Takes marks from another daemon.
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
