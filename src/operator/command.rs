//! Arguments of the command line.

use pico_args::Arguments;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Result of parsing arguments.
pub type Result<T> = std::result::Result<T, pico_args::Error>;

/// Help text.
const HELP: &str = "\
arbutusmount - command line for operators and callers

Usage:
  arbutusmount check settings FILE       check a daemon's settings
  arbutusmount check declaration FILE    check a declaration
  arbutusmount plan --daemon ADDR --author NAME FILE [--out PLAN]
                                         show what a declaration would change and cost
  arbutusmount confirm --daemon ADDR PLAN
                                         put a plan into effect
  arbutusmount status --daemon ADDR [--json]
                                         show the revision and what is loading
  arbutusmount addresses --daemon ADDR   show which daemons the team should use
  arbutusmount ask --daemon ADDR --model NAME [--max-tokens N] [--seed N] TEXT
                                         ask a question and stream the answer
  arbutusmount digest                    read a token from standard input, print its digest

The bearer token is taken from ARBUTUSMOUNT_TOKEN.
";

/// Command given on the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Print the help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Check a settings file.
    CheckSettings(PathBuf),
    /// Check a declaration file.
    CheckDeclaration(PathBuf),
    /// Make a plan for a declaration.
    Plan {
        /// Address of the daemon.
        daemon: SocketAddr,
        /// Name of the operator, recorded with the plan.
        author: String,
        /// Declaration file.
        file: PathBuf,
        /// File to write the plan to; standard output if `None`.
        out: Option<PathBuf>,
    },
    /// Confirm a plan.
    Confirm {
        /// Address of the daemon.
        daemon: SocketAddr,
        /// Plan file.
        file: PathBuf,
    },
    /// Show the status of a daemon.
    Status {
        /// Address of the daemon.
        daemon: SocketAddr,
        /// True to print JSON.
        json: bool,
    },
    /// Show the daemons that the team should use.
    Addresses {
        /// Address of the daemon.
        daemon: SocketAddr,
    },
    /// Send a question to a model and stream the answer.
    Ask {
        /// Address of a daemon that names the daemons to use.
        daemon: SocketAddr,
        /// Model name.
        model: String,
        /// Maximum number of tokens of the answer.
        max_tokens: Option<u32>,
        /// Sampling seed.
        seed: Option<u64>,
        /// Question.
        text: String,
    },
    /// Read a token from standard input and print its digest.
    Digest,
}

impl OperatorCommand {
    /// Parses the arguments of the process.
    ///
    /// # Errors
    /// If a command or argument is missing, unknown or malformed.
    pub fn from_args(mut arguments: Arguments) -> Result<Self> {
        if arguments.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        if arguments.contains(["-h", "--help"]) {
            return Ok(Self::Help(HELP));
        }
        let name = arguments.subcommand()?;
        let command = match name.as_deref() {
            None => Self::Help(HELP),
            Some("check") => parse_check(&mut arguments)?,
            Some("plan") => Self::Plan {
                daemon: arguments.value_from_str("--daemon")?,
                author: arguments.value_from_str("--author")?,
                out: arguments.opt_value_from_str("--out")?,
                file: arguments.free_from_str()?,
            },
            Some("confirm") => Self::Confirm {
                daemon: arguments.value_from_str("--daemon")?,
                file: arguments.free_from_str()?,
            },
            Some("status") => Self::Status {
                json: arguments.contains("--json"),
                daemon: arguments.value_from_str("--daemon")?,
            },
            Some("addresses") => Self::Addresses {
                daemon: arguments.value_from_str("--daemon")?,
            },
            Some("ask") => Self::Ask {
                daemon: arguments.value_from_str("--daemon")?,
                model: arguments.value_from_str("--model")?,
                max_tokens: arguments.opt_value_from_str("--max-tokens")?,
                seed: arguments.opt_value_from_str("--seed")?,
                text: arguments.free_from_str()?,
            },
            Some("digest") => Self::Digest,
            Some(other) => return Err(unknown(other)),
        };
        let rest = arguments.finish();
        match rest.first() {
            None => Ok(command),
            Some(extra) => Err(unknown(&extra.to_string_lossy())),
        }
    }
}

fn parse_check(arguments: &mut Arguments) -> Result<OperatorCommand> {
    let kind = arguments.subcommand()?;
    match kind.as_deref() {
        Some("settings") => Ok(OperatorCommand::CheckSettings(arguments.free_from_str()?)),
        Some("declaration") => Ok(OperatorCommand::CheckDeclaration(
            arguments.free_from_str()?,
        )),
        _ => Err(unknown("check: expected `settings` or `declaration`")),
    }
}

fn unknown(argument: &str) -> pico_args::Error {
    let cause = "unknown argument".to_owned();
    pico_args::Error::ArgumentParsingFailed {
        cause: format!("{cause}: {argument}"),
    }
}
