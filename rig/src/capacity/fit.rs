//! Measured points and the line fitted to them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// Value that was measured at one size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityPoint {
    /// Name of the measured quantity, with its unit.
    pub measure: Arc<str>,
    /// What the size counts, such as `target` or `team`.
    pub per: Arc<str>,
    /// Size at which the value was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

impl CapacityPoint {
    /// Creates a point.
    pub fn new(measure: &str, per: &str, size: f64, value: f64) -> Self {
        Self {
            measure: Arc::from(measure),
            per: Arc::from(per),
            size,
            value,
        }
    }
}

/// Line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, as a fraction of the largest absolute
    /// value.
    pub residual: f64,
}

impl LinearFit {
    /// Value of the line at this size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line to `(size, value)` points; `None` when there are no points or all sizes are equal.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
    let size_variation: f64 = points
        .iter()
        .map(|(x, _)| (x - mean_size) * (x - mean_size))
        .sum();
    if size_variation == 0.0 || points.is_empty() {
        return None;
    }
    let covariation: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_size) * (y - mean_value))
        .sum();
    let slope = covariation / size_variation;
    let intercept = mean_value - slope * mean_size;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
    let distance = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs())
        .fold(0.0, f64::max);
    let residual = if largest > 0.0 {
        distance / largest
    } else {
        0.0
    };
    Some(LinearFit {
        slope,
        intercept,
        residual,
    })
}

/// Renders points as a Markdown table, one row for each quantity, with the line fitted to its
/// points.
pub fn render_points(points: &[CapacityPoint]) -> String {
    let mut groups: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    for point in points {
        let group = groups.entry((&point.measure, &point.per)).or_default();
        group.push((point.size, point.value));
    }
    let mut text = String::from(
        "| measure | per | points (size: value) | slope | at 0 | residual |\n|---|---|---|---|---|---|\n",
    );
    for ((measure, per), points) in groups {
        let entries: Vec<String> = points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {}", format_value(*value)))
            .collect();
        let line = fit_line(&points).map_or_else(
            || "- | - | -".to_owned(),
            |fit| {
                let residual = fit.residual * 100.0;
                format!(
                    "{} | {} | {residual:.0} %",
                    format_value(fit.slope),
                    format_value(fit.intercept)
                )
            },
        );
        writeln!(
            text,
            "| {measure} | {per} | {} | {line} |",
            entries.join(", ")
        )
        .expect("writing to a string does not fail");
    }
    text
}

/// Formats a number with about three significant digits.
fn format_value(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
