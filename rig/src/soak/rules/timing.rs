//! Rules on time: answers at the timeout, rate limits, recovery, and daemons that end by themselves.

use crate::soak::evidence::{ExchangeEnd, SoakExchange};
use crate::soak::fault::{FaultScope, SoakFault};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;
use std::time::Duration;

/// Requests over their timeout from which on the rule holds.
const OVERDUE_COUNTED: usize = 8;
/// Window in which requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window besides one and a half times what the limit allows.
const LIMIT_EXTRA: f64 = 5.0;

/// CONFIG: of eight or more requests that last longer than the timeout of their route, over a quarter
/// have no final answer half a second after it, at daemons in touch. Requests beside a longer timeout
/// are not counted.
pub fn unanswered(facts: &RuleFacts<'_>) -> Findings {
    let limit = RuleBounds::ROUTE_TIMEOUT;
    let waited = |e: &SoakExchange| e.ended.min(facts.evidence.now).saturating_sub(e.sent);
    let counted = facts.evidence.exchanges.iter().filter(|exchange| {
        let is_longer =
            |span: &crate::soak::evidence::FaultSpan| span.kind == SoakFault::TimeoutChanged;
        waited(exchange) > limit
            && !matches!(exchange.end, ExchangeEnd::Left | ExchangeEnd::Unsent)
            && facts.in_touch(exchange)
            && !facts
                .evidence
                .has_fault(exchange.sent, exchange.ended, is_longer)
    });
    let overdue: Vec<&SoakExchange> = counted.collect();
    let late = overdue
        .iter()
        .filter(|e| waited(e) > limit + RuleBounds::HALF_SECOND);
    let late: Vec<&&SoakExchange> = late.collect();
    if overdue.len() < OVERDUE_COUNTED || late.len() * 4 <= overdue.len() {
        return Vec::new();
    }
    let findings = late.iter().map(|exchange| {
        let detail = format!(
            "{} without an answer for {:?}",
            exchange.target,
            waited(exchange)
        );
        (exchange.attempt.clone(), exchange.ended, detail)
    });
    findings.collect()
}

/// LIMIT: a server gets more requests than the limit that it has named for the contact time allows.
/// Windows with a fault of a daemon or the store are not counted.
pub fn over_limit(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = Vec::new();
    for limit in &facts.evidence.limits {
        let from = limit.named + RuleBounds::CONTACT;
        let until = limit.until.unwrap_or(facts.evidence.now);
        let arrivals: Vec<Duration> = facts
            .evidence
            .runs
            .iter()
            .filter(|run| run.server == limit.server && (from..until).contains(&run.at))
            .map(|run| run.at)
            .collect();
        let allowed = limit.rate * LIMIT_WINDOW.as_secs_f64() * 1.5 + LIMIT_EXTRA;
        let broken = arrivals.iter().find_map(|start| {
            let end = *start + LIMIT_WINDOW;
            let count = arrivals
                .iter()
                .filter(|at| (*start..end).contains(*at))
                .count();
            let is_disturbed = facts.evidence.has_fault(*start, end, |span| {
                matches!(span.scope, FaultScope::Daemon | FaultScope::Store)
            });
            (count as f64 > allowed && !is_disturbed).then_some((*start, count))
        });
        if let Some((at, count)) = broken {
            let detail = format!("{count} requests in 4 s, {allowed:.0} allowed");
            findings.push((limit.server.to_string(), at, detail));
        }
    }
    findings
}

/// RECOVER: of the requests sent later than the recovery time after the last fault, less than a quarter
/// is served. Checked only by runs that are calm for so long.
pub fn not_recovered(facts: &RuleFacts<'_>) -> Findings {
    let Some(calm) = facts.evidence.calm_since else {
        return Vec::new();
    };
    let from = calm + RuleBounds::RECOVER;
    let exchanges = facts.evidence.exchanges.iter();
    let sent = exchanges.filter(|exchange| {
        exchange.sent > from && exchange.end != ExchangeEnd::Waiting && is_allowed(facts, exchange)
    });
    let sent: Vec<&SoakExchange> = sent.collect();
    let served = sent.iter().filter(|exchange| is_served(exchange)).count();
    if sent.is_empty() || served * 4 >= sent.len() {
        return Vec::new();
    }
    let detail = format!("{served} of {} requests served", sent.len());
    vec![("all".to_owned(), from, detail)]
}

fn is_allowed(facts: &RuleFacts<'_>, exchange: &SoakExchange) -> bool {
    let config = facts.evidence.configs.last();
    config.is_some_and(|config| config.services(&exchange.target).is_some())
}

fn is_served(exchange: &SoakExchange) -> bool {
    matches!(&exchange.end, ExchangeEnd::Answered(answer) if answer.status() == 200)
}

/// FAULT: a daemon ends by itself.
pub fn own_end(facts: &RuleFacts<'_>) -> Findings {
    let ends = facts.evidence.own_ends.iter();
    let findings = ends.map(|end| {
        (
            format!("router-{}", end.daemon),
            end.at,
            format!("ended by itself: {}", end.status),
        )
    });
    findings.collect()
}
