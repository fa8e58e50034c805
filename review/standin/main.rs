//! Cases of the review that are scripts: `standin CASE RECORD FOLDER`. The environment variable
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod daemon;
mod http;
mod json;
mod proxy;
mod record;
mod server;
mod site;
mod store;

mod case_extra;
mod case_hang;
mod case_head;
mod case_joined;
mod case_lost;
mod case_reuse;
mod case_silent;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    record::begin(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::say(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "extra" => case_extra::run(folder, trouble),
        "hang" => case_hang::run(folder, trouble),
        "head" => case_head::run(folder, trouble),
        "joined" => case_joined::run(folder, trouble),
        "lost" => case_lost::run(folder, trouble),
        "reuse" => case_reuse::run(folder, trouble),
        "silent" => case_silent::run(folder, trouble),
        _ => Verdict::NotRun,
    };
    record::say(&format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
