//! The command line for operators and callers.

mod client;
mod command;
mod run;

pub use client::{AskRequest, OperatorClient, OperatorError};
pub use command::OperatorCommand;
pub use run::run_command;
