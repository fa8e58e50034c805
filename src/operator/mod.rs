//! The command line for operators and callers.

mod client;
mod command;
mod report;
mod run;

pub use client::{AskRequest, OperatorClient, OperatorError};
pub use command::OperatorCommand;
pub use report::{format_plan, format_status};
pub use run::run_command;
