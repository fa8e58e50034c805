//! Settings of an engine stand-in.

use crate::engine::link::LinkKnobs;
use crate::engine::stream_fault::StreamFault;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Behaviour of an engine. All of it can be changed while the engine runs, except the step times,
/// `max_batch` and `kv_tokens`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EngineKnobs {
    /// Time of one layer for a batch of one, in microseconds.
    pub layer_micros: u64,
    /// Additional time of one layer for each further item of a batch, in microseconds.
    pub item_micros: u64,
    /// Time of one layer for each token to prefill, in microseconds.
    pub prefill_micros: u64,
    /// Largest number of items in one step.
    pub max_batch: usize,
    /// Tokens that the key-value cache holds.
    pub kv_tokens: u64,
    /// Factor on step times, in per cent; 100 is normal.
    pub slow_percent: u64,
    /// Delay of each transfer to the next stage, in milliseconds.
    pub link_ms: u64,
    /// Links to the engines named here; they replace `link_ms`.
    pub links: BTreeMap<Arc<str>, LinkKnobs>,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// True to refuse orders whose fencing number is lower than the highest one seen.
    pub honours_fencing: bool,
    /// True to refuse new requests.
    pub refuse: bool,
    /// True to report that the engine is leaving.
    pub leaving: bool,
    /// Text in a prompt that makes the engine of `crash_stage` exit at once; empty for none.
    pub crash_marker: Arc<str>,
    /// Index of the stage at which a marked prompt makes its engine exit.
    pub crash_stage: usize,
    /// Faults in the records that the engine streams.
    pub stream_fault: StreamFault,
}

impl Default for EngineKnobs {
    fn default() -> Self {
        Self {
            layer_micros: 300,
            item_micros: 20,
            prefill_micros: 2,
            max_batch: 32,
            kv_tokens: 1 << 20,
            slow_percent: 100,
            link_ms: 0,
            links: BTreeMap::new(),
            report_lag_ms: 0,
            honours_fencing: true,
            refuse: false,
            leaving: false,
            crash_marker: Arc::from(""),
            crash_stage: 0,
            stream_fault: StreamFault::None,
        }
    }
}
