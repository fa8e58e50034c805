//! Reads summaries from JSON lines and groups runs that differ only in their seed.

use crate::load::RunSummary;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs of one variant at one load with different seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct RunGroup {
    /// Name of the variant, or of the run when it is not part of an experiment.
    pub variant: Arc<str>,
    /// Load in percent of the throughput bound.
    pub load_percent: f64,
    /// Summaries of the runs.
    pub runs: Vec<RunSummary>,
}

impl RunGroup {
    /// Median of a value over the runs; NaN when there are none.
    pub fn median(&self, value: impl Fn(&RunSummary) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        match values.len() {
            0 => f64::NAN,
            count if count % 2 == 1 => values[middle],
            _ => f64::midpoint(values[middle - 1], values[middle]),
        }
    }
}

/// Reads the summaries of a results file and skips lines of other kinds.
///
/// # Errors
/// Returns the number of the first line that is not JSON or that is a summary with missing or
/// invalid fields.
pub fn read_summaries(text: &str) -> Result<Vec<RunSummary>, String> {
    let mut summaries = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line_error = |cause: serde_json::Error| format!("line {}: {cause}", index + 1);
        let value: serde_json::Value = serde_json::from_str(line).map_err(line_error)?;
        if value["line"] == "summary" {
            summaries.push(serde_json::from_value(value).map_err(line_error)?);
        }
    }
    Ok(summaries)
}

/// Groups runs by load and variant. Groups are in order of load, then of the first appearance of
/// their variant.
pub fn group_runs(summaries: Vec<RunSummary>) -> Vec<RunGroup> {
    let mut variants: Vec<Arc<str>> = Vec::new();
    let mut groups: BTreeMap<(u64, usize), RunGroup> = BTreeMap::new();
    for run in summaries {
        let variant = if run.variant.is_empty() {
            Arc::clone(&run.run)
        } else {
            Arc::clone(&run.variant)
        };
        let position = variants.iter().position(|seen| *seen == variant);
        let position = position.unwrap_or_else(|| {
            variants.push(Arc::clone(&variant));
            variants.len() - 1
        });
        let load = (run.load_percent * 1_000.0) as u64;
        let group = groups.entry((load, position)).or_insert_with(|| RunGroup {
            variant,
            load_percent: run.load_percent,
            runs: Vec::new(),
        });
        group.runs.push(run);
    }
    groups.into_values().collect()
}
