//! Measures what a daemon costs at several sizes and fits the growth, from which `docs/CAPACITY.md`
//! works out the target size.

mod daemons;
mod decisions;
mod fit;
mod state;

pub use daemons::{measure_daemons, measure_request_path};
pub use decisions::{measure_decisions, measure_memory};
pub use fit::{CapacityPoint, LinearFit, fit_line, render_points};
pub use state::measure_state;
