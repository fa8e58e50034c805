//! Capacity measurements: CPU time, memory and traffic of daemons at several sizes, with a line
//! fitted to each. `docs/CAPACITY.md` extrapolates them to the target size.

mod daemons;
mod decisions;
mod fit;
mod membership;
mod structures;

pub use daemons::{measure_idle_daemons, measure_request_path};
pub use decisions::{measure_decisions, measure_memory};
pub use fit::{CapacityPoint, LinearFit, fit_line, render_points};
pub use membership::measure_membership;
pub use structures::measure_data_structures;
