//! Time and memory of routing decisions and the state behind them, from today's size up to the
//! target size, with a line fitted to each. `cargo bench --bench decisions` prints a table. The
//! numbers in docs/CAPACITY.md come from `rig capacity core`, which runs the same measurements.

use rig::{measure_decisions, measure_members, measure_memory, measure_state, render_points};

fn main() {
    // Cargo passes `--bench` to run benchmarks, and `--test` only to check that they start.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let mut points = measure_memory();
    points.extend(measure_decisions());
    points.extend(measure_state());
    points.extend(measure_members());
    print!("{}", render_points(&points));
}
