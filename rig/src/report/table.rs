//! Tables of runs as Markdown, which reads well on a terminal too.

use crate::load::{RequestOutcome, RunSummary};
use crate::report::RunGroup;
use std::fmt::Write;

/// One column: its title and what it shows of a run.
type Column = (&'static str, fn(&RunSummary) -> f64, usize);

/// Share of the measured requests that were refused, in per cent.
fn refused_percent(run: &RunSummary) -> f64 {
    let total: u64 = run.outcomes.values().sum();
    let count = |outcome| run.outcomes.get(&outcome).copied().unwrap_or(0);
    let refused = count(RequestOutcome::Refused) + count(RequestOutcome::RefusedBare);
    100.0 * refused as f64 / total.max(1) as f64
}

/// Requests that got neither a complete answer nor a refusal.
fn count_failed(run: &RunSummary) -> f64 {
    let is_failed = |outcome: RequestOutcome| {
        !matches!(
            outcome,
            RequestOutcome::Completed | RequestOutcome::Refused | RequestOutcome::RefusedBare
        )
    };
    let failed = run
        .outcomes
        .iter()
        .filter(|(outcome, _)| is_failed(**outcome));
    failed.map(|(_, count)| *count).sum::<u64>() as f64
}

/// Columns with the digits after their point.
const COLUMNS: [Column; 13] = [
    ("ratio", |run| run.ratio, 3),
    ("goodput/bound", |run| run.goodput / run.bound, 3),
    ("TTFT p50", |run| run.first_token.p50, 0),
    ("p95", |run| run.first_token.p95, 0),
    ("p99", |run| run.first_token.p99, 0),
    ("gap p50", |run| run.gap.p50, 0),
    ("p95", |run| run.gap.p95, 0),
    ("p99", |run| run.gap.p99, 0),
    ("refused %", refused_percent, 1),
    ("failed", count_failed, 0),
    ("Jain", |run| run.jain, 3),
    ("least share", |run| run.least_share, 2),
    ("own cores", |run| run.own_cores, 2),
];

/// Runs by load and variant; medians over seeds, times in milliseconds.
pub fn render_runs(groups: &[RunGroup]) -> String {
    let mut text = String::from("| load % | variant | runs |");
    for (title, _, _) in COLUMNS {
        write!(text, " {title} |").expect("text grows");
    }
    text.push_str("\n|---|---|---|");
    text.push_str(&"---|".repeat(COLUMNS.len()));
    text.push('\n');
    for group in groups {
        let (load, variant, runs) = (group.load_percent, &group.variant, group.runs.len());
        write!(text, "| {load:.0} | {variant} | {runs} |").expect("text grows");
        for (_, figure, digits) in COLUMNS {
            write!(text, " {:.digits$} |", group.median(figure)).expect("text grows");
        }
        text.push('\n');
    }
    text
}

/// Recovery from each fault of each run; empty when no run had a fault.
pub fn render_recovery(groups: &[RunGroup]) -> String {
    let mut rows = String::new();
    for group in groups {
        for run in &group.runs {
            for fault in &run.recovery {
                let next = fault.next_token;
                let back = fault
                    .throughput_ms
                    .map_or_else(|| "not within the run".to_owned(), |ms| format!("{ms:.0}"));
                writeln!(
                    rows,
                    "| {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {back} |",
                    group.variant,
                    run.seed,
                    fault.fault,
                    fault.hit,
                    fault.lost,
                    fault.restarted,
                    next.p50,
                    next.p95,
                    next.max,
                )
                .expect("text grows");
            }
        }
    }
    if rows.is_empty() {
        return rows;
    }
    let head = "| variant | seed | fault | streams hit | lost | started over | next token p50 | p95 \
                | max | throughput back after |\n|---|---|---|---|---|---|---|---|---|---|\n";
    format!("{head}{rows}")
}
