//! Runs the commands of the command line.

use crate::api::{ChatMessage, ChatRequest, ConfirmResponse, PlanRequest};
use crate::check::CheckError;
use crate::config::{FleetDeclaration, FleetPlan, digest_token};
use crate::operator::client::Result;
use crate::operator::report::{format_plan, format_status};
use crate::operator::{AskRequest, OperatorClient, OperatorCommand, OperatorError};
use crate::settings::DaemonSettings;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Runs a command, writing its result to standard output. `token` authenticates it.
///
/// # Errors
/// [`OperatorError`], to be shown to the person who gave the command.
pub async fn run_command(command: OperatorCommand, token: &str) -> Result<()> {
    let client = OperatorClient::new(token);
    match command {
        OperatorCommand::Help(text) => print(text),
        OperatorCommand::Version => {
            print(concat!("arbutusmount ", env!("CARGO_PKG_VERSION"), "\n"))
        }
        OperatorCommand::CheckSettings(file) => {
            DaemonSettings::parse(&read_file(&file)?).map_err(|errors| list_errors(&errors))?;
            print("settings are valid\n")
        }
        OperatorCommand::CheckDeclaration(file) => {
            FleetDeclaration::parse(&read_file(&file)?).map_err(|errors| list_errors(&errors))?;
            print("declaration is valid\n")
        }
        OperatorCommand::Plan {
            daemon,
            author,
            file,
            out,
        } => {
            let plan = make_plan(&client, daemon, author, &file).await?;
            show_plan(&plan, out.as_deref())
        }
        OperatorCommand::Confirm { daemon, file } => {
            let plan: FleetPlan = serde_json::from_str(&read_file(&file)?)
                .map_err(|cause| OperatorError::Invalid(format!("not a plan: {cause}")))?;
            show_confirm(client.confirm(daemon, &plan).await?)
        }
        OperatorCommand::Status { daemon, json } => {
            let status = client.status(daemon).await?;
            if json {
                print_json(&status)
            } else {
                print(&format_status(&status))
            }
        }
        OperatorCommand::Addresses { daemon } => print_json(&client.addresses(daemon).await?),
        OperatorCommand::Ask {
            daemon,
            model,
            max_tokens,
            seed,
            text,
        } => {
            let message = ChatMessage {
                role: Arc::from("user"),
                content: Arc::from(text),
            };
            let chat = ChatRequest {
                model,
                messages: vec![message],
                max_tokens,
                stream: true,
                seed,
                ..ChatRequest::default()
            };
            ask(&client, daemon, &AskRequest { chat }).await
        }
        OperatorCommand::Digest => print_digest(),
    }
}

async fn make_plan(
    client: &OperatorClient,
    daemon: SocketAddr,
    author: String,
    file: &Path,
) -> Result<FleetPlan> {
    let declaration =
        FleetDeclaration::parse(&read_file(file)?).map_err(|errors| list_errors(&errors))?;
    client
        .plan(
            daemon,
            &PlanRequest {
                author: Arc::from(author),
                declaration,
            },
        )
        .await
}

/// Shows a plan to the person who asked, and writes it to the file or to standard output.
fn show_plan(plan: &FleetPlan, out: Option<&Path>) -> Result<()> {
    let Some(out) = out else {
        eprint!("{}", format_plan(plan));
        return print_json(plan);
    };
    let text = serde_json::to_string_pretty(plan).expect("plans serialize");
    std::fs::write(out, text).map_err(|cause| file_error(out, &cause))?;
    print(&format_plan(plan))
}

fn show_confirm(reply: ConfirmResponse) -> Result<()> {
    let ConfirmResponse {
        revision,
        superseded_by,
    } = reply;
    match superseded_by {
        None => print(&format!("in effect at revision {revision}\n")),
        Some(later) => print(&format!(
            "took effect at revision {revision}; superseded, revision {later} is in force\n"
        )),
    }
}

/// Asks for addresses first, then connects to one of them, trying the others if that fails.
async fn ask(client: &OperatorClient, daemon: SocketAddr, ask: &AskRequest) -> Result<()> {
    let answer = client.addresses(daemon).await?;
    let mut addresses = answer.weighted_shuffle(&mut fastrand::Rng::new());
    addresses.push(daemon);
    let mut outcome = Err(OperatorError::Incomplete("no daemon to ask".to_owned()));
    for address in addresses {
        let show = |text: &str| {
            // A closed standard output ends the command at its end, not in mid-answer.
            if print(text).is_err() {}
        };
        outcome = client.ask(address, ask, show).await;
        let not_sent = |cause: &OperatorError| {
            matches!(
                cause,
                OperatorError::Send(crate::http::SendError::NotSent(_))
            )
        };
        if !outcome.as_ref().is_err_and(not_sent) {
            break;
        }
    }
    outcome?;
    print("\n")
}

fn print_digest() -> Result<()> {
    let mut token = String::new();
    let read = std::io::stdin().read_line(&mut token);
    read.map_err(|cause| OperatorError::File(cause.to_string()))?;
    print(&format!("{}\n", digest_token(token.trim())))
}

fn print(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|cause| OperatorError::File(cause.to_string()))
}

fn print_json<T: serde::Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).expect("replies serialize");
    print(&format!("{text}\n"))
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|cause| file_error(path, &cause))
}

fn file_error(path: &Path, cause: &std::io::Error) -> OperatorError {
    OperatorError::File(format!("{}: {cause}", path.display()))
}

fn list_errors(errors: &[CheckError]) -> OperatorError {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    OperatorError::Invalid(lines.join("\n"))
}
