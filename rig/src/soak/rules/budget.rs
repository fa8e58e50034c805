//! BUDGET: repeats, servers for one request, time handed on, and requests that crash servers.

use crate::soak::evidence::{ServerRun, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that may run on more servers than their route allows.
const MORE_SERVERS_ALLOWED: usize = 3;
/// Requests that may be handed more time than is left.
const LATE_DEADLINES_ALLOWED: usize = 20;
/// Crashes after which a request is kept from servers.
const CRASHES_ALLOWED: usize = 3;
/// Retries of a request that crashes servers that may still come later.
const LATE_CRASHES_ALLOWED: usize = 3;

/// BUDGET: a service gets more repeats in a window than its requests allow, from all daemons together.
/// Windows end at arrivals. Requests are counted in the window, in the one before it or in the one half
/// a window before it, whichever has most.
pub fn retries(facts: &RuleFacts<'_>) -> Findings {
    let mut services: BTreeMap<&str, Vec<&ServerRun>> = BTreeMap::new();
    for run in &facts.evidence.runs {
        services.entry(&run.service).or_default().push(run);
    }
    let mut findings = Vec::new();
    for (service, runs) in services {
        let mut seen = BTreeSet::new();
        let mut repeats = Vec::new();
        for run in runs {
            if !seen.insert(&*run.attempt) {
                repeats.push(run.at);
            }
        }
        findings.extend(over_budget(facts, service, &repeats));
    }
    findings
}

fn over_budget(
    facts: &RuleFacts<'_>,
    service: &str,
    repeats: &[Duration],
) -> Option<(String, Duration, String)> {
    let sent: Vec<Duration> = facts
        .evidence
        .exchanges
        .iter()
        .filter(|exchange| may_go_to(facts, exchange, service))
        .map(|exchange| exchange.sent)
        .collect();
    let window = RuleBounds::RETRY_WINDOW;
    repeats.iter().find_map(|end| {
        let from = end.saturating_sub(window);
        let count = count_between(repeats, from, *end);
        let requests_before = |shift: Duration| {
            count_between(&sent, from.saturating_sub(shift), end.saturating_sub(shift))
        };
        let shifts = [Duration::ZERO, window / 2, window];
        let requests = shifts.map(requests_before).into_iter().max().unwrap_or(0);
        let allowed = RuleBounds::RETRY_RATIO * requests as f64 + RuleBounds::RETRY_EXTRA;
        let detail = format!("{count} repeats in 10 s, {allowed:.0} allowed");
        (count as f64 > allowed).then(|| (service.to_owned(), *end, detail))
    })
}

fn may_go_to(facts: &RuleFacts<'_>, exchange: &SoakExchange, service: &str) -> bool {
    let mut configs = facts.evidence.configs.iter();
    configs.any(|config| {
        let services = config.services(&exchange.target);
        services.is_some_and(|services| services.contains(service))
    })
}

fn count_between(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.iter().filter(|at| (from..=to).contains(*at)).count()
}

/// BUDGET: more than three requests run on more servers than their route allows. Runs whose server
/// broke off or was struck meanwhile don't count.
pub fn attempts(facts: &RuleFacts<'_>) -> Findings {
    let over: Vec<(&SoakExchange, usize)> = facts
        .evidence
        .exchanges
        .iter()
        .filter_map(|exchange| {
            let runs = facts.runs(&exchange.attempt).iter();
            let counted = runs.filter(|run| {
                let end = run.ended.unwrap_or(facts.evidence.now);
                run.has_run() && !run.broke_off && facts.is_sound(&run.server, run.at, end)
            });
            let servers: BTreeSet<&str> = counted.map(|run| &*run.server).collect();
            (servers.len() > RuleBounds::MAX_ATTEMPTS).then_some((exchange, servers.len()))
        })
        .collect();
    if over.len() <= MORE_SERVERS_ALLOWED {
        return Vec::new();
    }
    let findings = over.iter().map(|(exchange, servers)| {
        let detail = format!("ran on {servers} servers");
        (exchange.attempt.clone(), exchange.ended, detail)
    });
    findings.collect()
}

/// BUDGET: servers are handed no deadline, or one over half a second longer than the caller's, or one
/// that ends over half a second after it.
pub fn deadlines(facts: &RuleFacts<'_>) -> Findings {
    let mut counted = 0;
    let mut late = Vec::new();
    for run in &facts.evidence.runs {
        let Some(exchange) = facts.exchange(&run.attempt) else {
            continue;
        };
        if !facts.evidence.in_touch(exchange.daemon, run.at, run.at) {
            continue;
        }
        counted += 1;
        let field = run.request.field("x-deadline-ms");
        let given: Option<f64> = field.and_then(|text| text.parse().ok());
        let slack = RuleBounds::HALF_SECOND.as_secs_f64() * 1_000.0;
        let waited = run.at.saturating_sub(exchange.sent).as_secs_f64() * 1_000.0;
        let is_late = given.is_none_or(|given| {
            let exceeds = given > RuleBounds::DEADLINE_MS + slack;
            let ends_late = waited > slack && given + waited > RuleBounds::DEADLINE_MS + slack;
            exceeds || ends_late
        });
        if is_late {
            late.push((run, field.unwrap_or("none").to_owned()));
        }
    }
    if late.len() <= LATE_DEADLINES_ALLOWED || late.len() * 5 <= counted {
        return Vec::new();
    }
    let findings = late.iter().map(|(run, given)| {
        let detail = format!("handed a deadline of {given} ms");
        (run.attempt.clone(), run.at, detail)
    });
    findings.collect()
}

/// BUDGET: a request that crashes servers reaches them in more than three retries sent by daemons in
/// touch later than the contact time after its third crash.
pub fn crashes(facts: &RuleFacts<'_>) -> Findings {
    let mut by_target: BTreeMap<&str, Vec<&ServerRun>> = BTreeMap::new();
    let runs = facts.evidence.runs.iter().filter(|run| run.has_run());
    for run in runs.filter(|run| run.request.request().1.contains("/crash")) {
        by_target
            .entry(run.request.request().1)
            .or_default()
            .push(run);
    }
    let mut findings = Vec::new();
    for (target, runs) in by_target {
        let Some(third) = runs.get(CRASHES_ALLOWED - 1) else {
            continue;
        };
        let from = third.at + RuleBounds::CONTACT;
        let late = runs.iter().filter(|run| {
            let exchange = facts.exchange(&run.attempt);
            run.at > from
                && exchange.is_some_and(|e| facts.evidence.in_touch(e.daemon, run.at, run.at))
        });
        let late: Vec<&&ServerRun> = late.collect();
        if late.len() > LATE_CRASHES_ALLOWED {
            let last = late[late.len() - 1];
            let detail = format!("{target}: {} runs late, of {}", late.len(), runs.len());
            findings.push((last.attempt.clone(), last.at, detail));
        }
    }
    findings
}
