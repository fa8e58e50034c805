//! Capacity measurements: CPU time, memory and traffic of daemons at several sizes, with a line
//! fitted to each. `docs/CAPACITY.md` extrapolates them to the target size.

mod daemons;
mod decisions;
mod fit;
mod members;
mod state;

pub use daemons::{measure_daemons, measure_request_path};
pub use decisions::{measure_decisions, measure_memory};
pub use fit::{CapacityPoint, LinearFit, fit_line, render_points};
pub use members::measure_members;
pub use state::measure_state;
