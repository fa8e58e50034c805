//! Exchange of load reports among daemons: which daemon reads which engine, and the compact rows in
//! which daemons send reports to each other.

use crate::engine::EngineReport;
use crate::ids::InstanceId;
use prost::Message;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of an engine's name, which identifies the engine in rows.
pub fn hash_engine_name(instance: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    instance.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Chooses the daemon that reads an engine's reports by rendezvous hashing: the one with the
/// highest hash of both names. When daemons join or leave, only their engines move.
pub fn choose_report_reader<'a>(
    engine: &InstanceId,
    daemons: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let weight = |daemon: &InstanceId| {
        let mut hasher = DefaultHasher::new();
        (daemon.as_str(), engine.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    daemons.max_by_key(|daemon| weight(daemon))
}

/// Load of one engine on the wire between daemons.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LoadRow {
    /// Hash of the engine's name.
    #[prost(fixed64, tag = "1")]
    pub engine_hash: u64,
    /// Age of the report when the row was sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Requests in progress on the engine.
    #[prost(uint32, tag = "3")]
    pub sessions: u32,
    /// Work items waiting for a batch.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Work items in the current batch.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Full report as JSON, when more than the load has changed.
    #[prost(bytes = "vec", optional, tag = "6")]
    pub full_report: Option<Vec<u8>>,
    /// Hash of the report without its load, by which a receiver detects that it missed a change.
    #[prost(fixed32, tag = "7")]
    pub base_digest: u32,
}

/// Rows that one daemon sends to another.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LoadDigest {
    /// Rows, in no particular order.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LoadRow>,
}

impl LoadRow {
    /// Creates the row of a report that is `age_ms` old. The full report is left out when `known`
    /// differs from it in the load only.
    pub fn new(
        instance: &InstanceId,
        report: &EngineReport,
        age_ms: u64,
        known: Option<&EngineReport>,
    ) -> Self {
        let is_same = known.is_some_and(|known| without_load(known) == without_load(report));
        let full_report = (!is_same).then(|| serde_json::to_vec(report).unwrap_or_default());
        Self {
            engine_hash: hash_engine_name(instance),
            age_ms,
            sessions: report.sessions,
            queued: report.queued,
            running: report.running,
            full_report,
            base_digest: hash_without_load(report),
        }
    }

    /// Rebuilds the report from the row and the `known` report. `None` when the row lacks the full
    /// report and `known` is missing or differs in more than the load.
    pub fn to_report(&self, known: Option<&EngineReport>) -> Option<EngineReport> {
        let full_report = self.full_report.as_ref();
        let base = match full_report.and_then(|json| serde_json::from_slice(json).ok()) {
            Some(report) => report,
            None => known?.clone(),
        };
        if hash_without_load(&base) != self.base_digest {
            return None;
        }
        Some(EngineReport {
            age_ms: self.age_ms,
            sessions: self.sessions,
            queued: self.queued,
            running: self.running,
            ..base
        })
    }
}

fn without_load(report: &EngineReport) -> EngineReport {
    EngineReport {
        age_ms: 0,
        sessions: 0,
        queued: 0,
        running: 0,
        ..report.clone()
    }
}

fn hash_without_load(report: &EngineReport) -> u32 {
    let mut hasher = DefaultHasher::new();
    let json = serde_json::to_vec(&without_load(report)).unwrap_or_default();
    json.hash(&mut hasher);
    hasher.finish() as u32
}
