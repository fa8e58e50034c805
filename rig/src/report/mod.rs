//! Reports on several runs: tables and plots made from their summaries.

mod plots;
mod results;
mod table;

pub use plots::write_plots;
pub use results::{RunGroup, group_runs, read_summaries};
pub use table::{render_recovery, render_runs};
