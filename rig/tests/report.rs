//! Reports made from a results file.

use rig::{group_runs, read_summaries, render_recovery, render_runs, write_plots};

const RESULTS: &str = include_str!("data/results.jsonl");

#[test]
fn runs_are_grouped_by_load_and_variant() {
    let groups = group_runs(read_summaries(RESULTS).unwrap());

    let found: Vec<(f64, &str, usize)> = groups
        .iter()
        .map(|group| (group.load_percent, &*group.variant, group.runs.len()))
        .collect();
    let wanted = [
        (50.0, "round_robin", 2),
        (50.0, "expected_time", 1),
        (80.0, "round_robin", 1),
        (80.0, "expected_time", 1),
        (80.0, "kill", 1),
    ];
    assert_eq!(found, wanted);
}

#[test]
fn table_shows_medians_over_seeds() {
    let groups = group_runs(read_summaries(RESULTS).unwrap());

    let text = render_runs(&groups);

    let middle = f64::midpoint(groups[0].runs[0].ratio, 0.53);
    let row = format!("| 50 | round_robin | 2 | {middle:.3} |");
    assert!(text.contains(&row), "{row} is not in\n{text}");
    let columns = |line: &str| line.matches('|').count();
    let counts: Vec<usize> = text.lines().map(columns).collect();
    assert!(counts.windows(2).all(|pair| pair[0] == pair[1]), "{text}");
}

#[test]
fn recovery_is_listed_by_fault() {
    let groups = group_runs(read_summaries(RESULTS).unwrap());

    let text = render_recovery(&groups);

    let row = "| KillEngine 2 | 4 | 0 | 1 | 120 | 300 | 300 | not within the run |";
    assert!(text.contains(row), "{text}");
}

#[test]
fn plots_name_every_variant() {
    let groups = group_runs(read_summaries(RESULTS).unwrap());
    let folder = std::env::temp_dir().join(format!("arbutusmount-report-{}", std::process::id()));

    let written = write_plots(&groups, &folder).unwrap();

    assert_eq!(written.len(), 5);
    for path in &written[..4] {
        let plot = std::fs::read_to_string(path).unwrap();
        assert!(plot.contains("round_robin") && plot.contains("expected_time"));
    }
    let recovery = std::fs::read_to_string(&written[4]).unwrap();
    assert!(recovery.contains("kill") && !recovery.contains("round_robin"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn errors_have_the_line_number() {
    let error = read_summaries("{\"line\":\"summary\"}").unwrap_err();

    assert!(error.starts_with("line 1: "), "{error}");
}
