//! BUDGET and DRAIN: requests at servers that have asked a daemon for rest, or have told it that they leave.
//!
//! A request belongs to the daemon that took it from its caller. Requests that this daemon may have passed
//! on to another one, as it was cut off from the servers, are left out.

use crate::soak::evidence::{ServerRun, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests that may reach a server from one daemon during its rest.
const REQUESTS_IN_A_REST: usize = 2;

/// Requests of one daemon at one server, by arrival.
type DaemonRuns<'a> = HashMap<(usize, &'a Arc<str>), Vec<(&'a SoakExchange, &'a ServerRun)>>;

fn runs_by_daemon<'a>(facts: &RuleFacts<'a>) -> DaemonRuns<'a> {
    let mut runs: DaemonRuns<'a> = HashMap::new();
    for run in &facts.evidence.runs {
        let Some(exchange) = facts.exchange(&run.attempt) else {
            continue;
        };
        let is_passed_on = facts
            .evidence
            .has_fault(exchange.sent, run.at, |span| span.kind.is_path_loss());
        if !is_passed_on {
            let key = (exchange.daemon, &run.server);
            runs.entry(key).or_default().push((exchange, run));
        }
    }
    runs
}

/// BUDGET: more than two requests reach a server from a daemon in touch between half a second after it has
/// asked that daemon for rest and the end of the rest.
pub fn asked_in_a_rest(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = Vec::new();
    for ((daemon, server), runs) in runs_by_daemon(facts) {
        for (answered, rest) in runs.iter().filter_map(|(_, run)| rest_of(run)) {
            let from = answered + RuleBounds::HALF_SECOND;
            let until = answered + rest;
            let inside = runs
                .iter()
                .filter(|(_, run)| run.at > from && run.at < until);
            let count = inside.count();
            let in_touch = facts.evidence.in_touch(daemon, answered, until);
            if count > REQUESTS_IN_A_REST && in_touch {
                let detail = format!("{count} requests from router-{daemon} in a rest of {rest:?}");
                findings.push((server.to_string(), answered, detail));
            }
        }
    }
    findings
}

/// Time of the answer that asked for rest, and the rest.
fn rest_of(run: &ServerRun) -> Option<(Duration, Duration)> {
    let answer = run.answer().filter(|answer| answer.status() == 503)?;
    let seconds: f64 = answer.field("retry-after")?.parse().ok()?;
    Some((run.ended?, Duration::try_from_secs_f64(seconds).ok()?))
}

/// DRAIN: a request that was sent later than the drain time after the daemon had passed on an answer that
/// said that the server leaves reaches that server.
pub fn asked_after_leaving(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = Vec::new();
    for ((daemon, server), runs) in runs_by_daemon(facts) {
        let told = runs.iter().filter_map(|(exchange, run)| {
            let answer = run.answer()?;
            let is_told = answer.field("server-leaving") == Some("1");
            is_told.then_some(exchange.ended)
        });
        let Some(told) = told.min() else {
            continue;
        };
        let from = told + RuleBounds::DRAIN;
        let late = runs.iter().filter(|(exchange, _)| exchange.sent > from);
        // A restart or a freeze of the daemon since then excuses it.
        let late = late.filter(|(_, run)| facts.evidence.in_touch(daemon, told, run.at));
        findings.extend(late.map(|(exchange, run)| {
            let after = run.at.saturating_sub(told);
            let detail = format!("{server}: reached {after:?} after it said that it leaves");
            (exchange.attempt.clone(), run.at, detail)
        }));
    }
    findings
}
