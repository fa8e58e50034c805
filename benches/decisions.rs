//! Time and memory of routing decisions and the state behind them, from today's size up to the
//! target size, with a line fitted to each. `cargo bench --bench decisions` prints a table. The
//! numbers in docs/CAPACITY.md come from `rig capacity core`, which runs the same measurements.

use rig::{
    measure_data_structures, measure_decisions, measure_membership, measure_memory, render_points,
};

fn main() {
    // Cargo passes `--bench` to run benchmarks, and `--test` only to check that they start.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let mut points = measure_memory();
    points.extend(measure_decisions());
    points.extend(measure_data_structures());
    points.extend(measure_membership());
    print!("{}", render_points(&points));
}
