//! SVG plots of several runs.

use crate::load::{RunSummary, TIMELINE_MICROS};
use crate::report::RunGroup;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Result of drawing.
type Result<T> = std::result::Result<T, String>;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 440);

/// One line of a plot.
struct PlotLine {
    name: Arc<str>,
    points: Vec<(f64, f64)>,
}

/// A figure by load: file name, title, and what it shows of a run.
type LoadPlot = (&'static str, &'static str, fn(&RunSummary) -> f64);

/// Plots against the load.
const LOAD_PLOTS: [LoadPlot; 4] = [
    ("throughput.svg", "tokens/s over the bound", |run| run.ratio),
    (
        "goodput.svg",
        "tokens/s of complete answers over the bound",
        |run| run.goodput / run.bound,
    ),
    ("first-token.svg", "time to first token, p95, ms", |run| {
        run.first_token.p95
    }),
    ("gap.svg", "time between tokens, p95, ms", |run| run.gap.p95),
];

/// Draws the plots of these runs into a folder; the files written.
///
/// # Errors
/// When the folder cannot be written or a plot cannot be drawn.
pub fn write_plots(groups: &[RunGroup], folder: &Path) -> Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut written = Vec::new();
    for (file, title, figure) in LOAD_PLOTS {
        let path = folder.join(file);
        draw_lines(
            &path,
            title,
            "load, % of the bound",
            &plot_lines_by_load(groups, figure),
        )?;
        written.push(path);
    }
    let timelines = throughput_timelines(groups);
    if !timelines.is_empty() {
        let path = folder.join("recovery.svg");
        let title = "tokens/s over the bound; faults as in the table";
        draw_lines(&path, title, "time, s", &timelines)?;
        written.push(path);
    }
    Ok(written)
}

fn plot_lines_by_load(groups: &[RunGroup], figure: fn(&RunSummary) -> f64) -> Vec<PlotLine> {
    let mut lines: BTreeMap<Arc<str>, Vec<(f64, f64)>> = BTreeMap::new();
    for group in groups {
        let line = lines.entry(Arc::clone(&group.variant)).or_default();
        line.push((group.load_percent, group.median(figure)));
    }
    let lines = lines.into_iter();
    lines
        .map(|(name, points)| PlotLine { name, points })
        .collect()
}

/// Throughput over time of each run that had a fault.
fn throughput_timelines(groups: &[RunGroup]) -> Vec<PlotLine> {
    let runs = groups.iter().flat_map(|group| {
        let faulty = group.runs.iter().filter(|run| !run.recovery.is_empty());
        faulty.map(|run| (Arc::clone(&group.variant), run))
    });
    let line = |(name, run): (Arc<str>, &RunSummary)| {
        let step = TIMELINE_MICROS as f64 / 1e6;
        let rates = run.timeline.iter().enumerate();
        let points = rates.map(|(index, rate)| (index as f64 * step, rate / run.bound));
        PlotLine {
            name,
            points: points.collect(),
        }
    };
    runs.map(line).collect()
}

fn draw_lines(path: &Path, title: &str, axis: &str, lines: &[PlotLine]) -> Result<()> {
    let named = |cause: String| format!("{}: {cause}", path.display());
    try_draw(path, title, axis, lines).map_err(|cause| named(cause.to_string()))
}

fn try_draw(
    path: &Path,
    title: &str,
    axis: &str,
    lines: &[PlotLine],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let left = points().map(|point| point.0).fold(right, f64::min);
    let top = points().map(|point| point.1).fold(0.0, f64::max).max(1e-3);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(left..right.max(left + 1.0), 0.0..top * 1.08)?;
    chart.configure_mesh().x_desc(axis).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(&*line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        let dots = line.points.iter().filter(|_| line.points.len() <= 20);
        chart.draw_series(dots.map(|point| Circle::new(*point, 3, color.filled())))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
