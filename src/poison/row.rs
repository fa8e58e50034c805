//! Crashes of one fingerprint as daemons tell them to each other.

use crate::poison::fingerprint::PoisonFingerprint;
use crate::poison::table::{CrashState, CrashedRun, PoisonEntry};
use crate::units::MonoTime;
use prost::Message;
use std::time::Duration;

/// Crashes of one fingerprint. Times are relative, as daemons share no clock.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PoisonRow {
    /// Fingerprint, upper half.
    #[prost(uint64, tag = "1")]
    pub high: u64,
    /// Fingerprint, lower half.
    #[prost(uint64, tag = "2")]
    pub low: u64,
    /// Number of crashes that count. Only daemons of earlier versions read it.
    #[prost(uint32, tag = "3")]
    pub crashes: u32,
    /// Time until the entry expires, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Runs that count.
    #[prost(fixed64, repeated, tag = "5")]
    pub counted: Vec<u64>,
    /// Runs that do not count any more.
    #[prost(fixed64, repeated, tag = "6")]
    pub cleared: Vec<u64>,
}

impl PoisonRow {
    /// The row of an entry.
    pub fn new(fingerprint: PoisonFingerprint, entry: &PoisonEntry, now: MonoTime) -> Self {
        Self {
            high: (fingerprint.0 >> 64) as u64,
            low: fingerprint.0 as u64,
            crashes: entry.crashes(),
            ttl_ms: entry.until.since(now).as_millis() as u64,
            counted: entry.counted().map(|run| run.0).collect(),
            cleared: entry.cleared().map(|run| run.0).collect(),
        }
    }

    /// Fingerprint of the request.
    pub fn fingerprint(&self) -> PoisonFingerprint {
        PoisonFingerprint(u128::from(self.high) << 64 | u128::from(self.low))
    }

    /// The entry that the row stands for; it expires after `max_ttl` at the latest.
    pub fn entry(&self, now: MonoTime, max_ttl: Duration) -> PoisonEntry {
        let ttl = Duration::from_millis(self.ttl_ms).min(max_ttl);
        let counted = self.counted.iter().map(|run| CrashedRun(*run));
        let mut entry = PoisonEntry::new(counted, CrashState::Counted, now.after(ttl));
        let cleared = self.cleared.iter().map(|run| CrashedRun(*run));
        entry
            .runs
            .extend(cleared.map(|run| (run, CrashState::Cleared)));
        entry
    }
}
