//! Measured points and the straight line through them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// One measured value at one size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityPoint {
    /// What was measured, with its unit.
    pub measure: Arc<str>,
    /// What the size counts.
    pub per: Arc<str>,
    /// Size.
    pub size: f64,
    /// Value.
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

/// Least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Growth for each unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl LinearFit {
    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line through `(size, value)` points; `None` when all sizes are equal.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (middle, level) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points
        .iter()
        .map(|(x, _)| (x - middle) * (x - middle))
        .sum();
    if spread == 0.0 || points.is_empty() {
        return None;
    }
    let common: f64 = points.iter().map(|(x, y)| (x - middle) * (y - level)).sum();
    let slope = common / spread;
    let intercept = level - slope * middle;
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

/// The points and their lines as a Markdown table.
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
        let shown: Vec<String> = points
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
            shown.join(", ")
        )
        .expect("text grows");
    }
    text
}

/// A number with about three significant digits.
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
