//! Reads summaries from JSON lines and groups the runs that differ only by seed.

use crate::load::RunSummary;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs of one variant at one load, with different seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct RunGroup {
    /// Variant, or the run's name when it is no variant.
    pub variant: Arc<str>,
    /// Load, in per cent of the bound.
    pub load_percent: f64,
    /// Runs.
    pub runs: Vec<RunSummary>,
}

impl RunGroup {
    /// Median of a figure over the runs.
    pub fn median(&self, figure: impl Fn(&RunSummary) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        match values.len() {
            0 => f64::NAN,
            count if count % 2 == 1 => values[middle],
            _ => f64::midpoint(values[middle - 1], values[middle]),
        }
    }
}

/// Reads the summaries of a results file; lines of other kinds are passed over.
///
/// # Errors
/// The number of a line that is not JSON, or of a summary that lacks fields.
pub fn read_summaries(text: &str) -> Result<Vec<RunSummary>, String> {
    let mut summaries = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let bad = |cause: serde_json::Error| format!("line {}: {cause}", index + 1);
        let value: serde_json::Value = serde_json::from_str(line).map_err(bad)?;
        if value["line"] == "summary" {
            summaries.push(serde_json::from_value(value).map_err(bad)?);
        }
    }
    Ok(summaries)
}

/// Groups runs by load, then variant, in the order in which variants first appear.
pub fn group_runs(summaries: Vec<RunSummary>) -> Vec<RunGroup> {
    let mut order: Vec<Arc<str>> = Vec::new();
    let mut groups: BTreeMap<(u64, usize), RunGroup> = BTreeMap::new();
    for run in summaries {
        let variant = if run.variant.is_empty() {
            Arc::clone(&run.run)
        } else {
            Arc::clone(&run.variant)
        };
        let place = order.iter().position(|known| *known == variant);
        let place = place.unwrap_or_else(|| {
            order.push(Arc::clone(&variant));
            order.len() - 1
        });
        let load = (run.load_percent * 1_000.0) as u64;
        let group = groups.entry((load, place)).or_insert_with(|| RunGroup {
            variant,
            load_percent: run.load_percent,
            runs: Vec::new(),
        });
        group.runs.push(run);
    }
    groups.into_values().collect()
}
