//! The decisions alone, at today's size and up to the target's: times and bytes with their growth.
//! `cargo bench --bench decisions` prints a table; the figures of docs/CAPACITY.md come from
//! `rig capacity core`, which measures the same.

use rig::{measure_decisions, measure_memory, measure_state, render_points};

fn main() {
    // Cargo passes `--bench`, and `--test` when the benches are only to be tried.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let mut points = measure_memory();
    points.extend(measure_decisions());
    points.extend(measure_state());
    print!("{}", render_points(&points));
}
