//! Sharing of load reports among daemons: which daemon reads which engine, and the compact rows in
//! which the daemons pass reports on.

use crate::engine::EngineReport;
use crate::ids::InstanceId;
use prost::Message;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Digest of an engine's name, which stands for it in rows.
pub fn hash_engine_name(instance: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    instance.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The daemon that reads an engine's reports: the one with the highest hash of both names, so that
/// a change of the set of daemons moves only the engines of those that came or went.
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

/// Load of one engine as it travels between daemons.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LoadRow {
    /// Digest of the engine's name.
    #[prost(fixed64, tag = "1")]
    pub engine_hash: u64,
    /// Age of the report when the row was sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Requests that the engine works for.
    #[prost(uint32, tag = "3")]
    pub sessions: u32,
    /// Work items waiting for a batch.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Work items in the current batch.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// The whole report as JSON, when more than the load has changed.
    #[prost(bytes = "vec", optional, tag = "6")]
    pub full_report: Option<Vec<u8>>,
    /// Digest of the report without its load, by which a receiver sees that it missed a change.
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
    /// The row of a report that is `age_ms` old; whole unless `known` says the same but for load.
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
            base_digest: digest_form(report),
        }
    }

    /// The report that the row stands for; `None` when the rest of it is not known or has changed.
    pub fn to_report(&self, known: Option<&EngineReport>) -> Option<EngineReport> {
        let full_report = self.full_report.as_ref();
        let base = match full_report.and_then(|json| serde_json::from_slice(json).ok()) {
            Some(report) => report,
            None => known?.clone(),
        };
        if digest_form(&base) != self.base_digest {
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

fn digest_form(report: &EngineReport) -> u32 {
    let mut hasher = DefaultHasher::new();
    let json = serde_json::to_vec(&without_load(report)).unwrap_or_default();
    json.hash(&mut hasher);
    hasher.finish() as u32
}
