//! UNASKED, TWICE and REFUSED: servers run what callers sent, and at most as often as allowed.

use crate::soak::evidence::{ServerRun, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts, arrived};

/// Team that holds all keys of a run.
const TEAM: &str = "franchise";
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// UNASKED: a request at a server that no caller sent, or that differs from what the caller sent.
pub fn unasked(facts: &RuleFacts<'_>) -> Findings {
    let runs = facts.evidence.runs.iter();
    let judged = runs.filter_map(|run| {
        let cause = match facts.exchange(&run.attempt) {
            None => Some("no caller sent it".to_owned()),
            Some(exchange) => difference(exchange, run),
        };
        Some((
            run.attempt.clone(),
            run.at,
            format!("{}: {}", run.server, cause?),
        ))
    });
    judged.collect()
}

fn difference(exchange: &SoakExchange, run: &ServerRun) -> Option<String> {
    let (method, target) = run.request.request();
    if method != exchange.method || target != exchange.target {
        return Some(format!("{method} {target} in place of {}", exchange.target));
    }
    if run.request.body != exchange.body {
        return Some("another body".to_owned());
    }
    let mut fields = exchange.fields.iter();
    if let Some((name, _)) = fields.find(|(name, value)| run.request.field(name) != Some(value)) {
        return Some(format!("{name} differs"));
    }
    let tenant = run.request.field("x-tenant");
    if tenant != Some(TEAM) {
        return Some(format!("X-Tenant is {tenant:?}"));
    }
    let key = run.request.field("authorization");
    key.map(|_| "the key was passed on".to_owned())
}

/// TWICE: a request that is not idempotent runs more than once.
pub fn run_twice(facts: &RuleFacts<'_>) -> Findings {
    at_most_once(facts)
        .filter_map(|exchange| {
            let runs = facts.runs(&exchange.attempt).iter();
            let run: Vec<&&ServerRun> = runs.filter(|run| run.has_run()).collect();
            let second = run.get(1)?;
            let servers: Vec<&str> = run.iter().map(|run| &*run.server).collect();
            Some((
                exchange.attempt.clone(),
                second.at,
                format!("run by {servers:?}"),
            ))
        })
        .collect()
}

/// REFUSED: a request that is not idempotent is refused as not run, and has run or runs later.
pub fn refused_and_run(facts: &RuleFacts<'_>) -> Findings {
    at_most_once(facts)
        .filter_map(|exchange| {
            let status = arrived(exchange)?.status();
            let mut runs = facts.runs(&exchange.attempt).iter();
            let run = runs.find(|run| run.has_run())?;
            let detail = format!("status {status}, but {} ran it", run.server);
            NOT_RUN
                .contains(&status)
                .then(|| (exchange.attempt.clone(), exchange.ended, detail))
        })
        .collect()
}

fn at_most_once<'a>(facts: &RuleFacts<'a>) -> impl Iterator<Item = &'a SoakExchange> {
    let exchanges = facts.evidence.exchanges.iter();
    exchanges.filter(|exchange| !exchange.kind.is_repeatable())
}
