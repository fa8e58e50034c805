//! GONE and DRAIN: no work for callers that have left, and none at servers that leave.

use crate::soak::evidence::{ExchangeEnd, ServerRun, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;

/// Requests that may reach a server after their caller has left.
const LATE_RUNS_ALLOWED: usize = 3;
/// Runs that may go on for callers that have left, however few there are in all.
const LASTING_RUNS_ALLOWED: usize = 3;

/// GONE: requests reach servers over half a second after their caller closed the connection, or
/// servers are still at work then on more than a quarter of the repeatable requests that would have
/// lasted so long. Narrower: of these, only the requests count that either still run or that the daemon
/// broke off.
pub fn work_for_nobody(facts: &RuleFacts<'_>) -> Findings {
    let mut late: Vec<&ServerRun> = Vec::new();
    let (mut lasting, mut dropped): (Vec<&ServerRun>, usize) = (Vec::new(), 0);
    for exchange in left_exchanges(facts) {
        let limit = exchange.ended + RuleBounds::HALF_SECOND;
        if !facts
            .evidence
            .in_touch(exchange.daemon, exchange.sent, limit)
        {
            continue;
        }
        for run in facts.runs(&exchange.attempt) {
            let end = run.ended.unwrap_or(facts.evidence.now);
            if run.at > limit {
                late.push(run);
            } else if exchange.kind.is_repeatable() && end > limit {
                lasting.push(run);
            } else if exchange.kind.is_repeatable() && run.dropped && end > exchange.ended {
                dropped += 1;
            }
        }
    }
    let mut findings = Vec::new();
    if late.len() > LATE_RUNS_ALLOWED {
        findings.extend(
            late.iter()
                .map(|run| finding(run, "sent after its caller had left")),
        );
    }
    if lasting.len() > LASTING_RUNS_ALLOWED && lasting.len() * 4 > lasting.len() + dropped {
        findings.extend(
            lasting
                .iter()
                .map(|run| finding(run, "still at work after its caller left")),
        );
    }
    findings
}

fn finding(run: &ServerRun, what: &str) -> (String, std::time::Duration, String) {
    (
        run.attempt.clone(),
        run.at,
        format!("{}: {what}", run.server),
    )
}

/// Requests whose caller closed the connection before the answer.
fn left_exchanges<'a>(facts: &RuleFacts<'a>) -> impl Iterator<Item = &'a SoakExchange> {
    let exchanges = facts.evidence.exchanges.iter();
    exchanges.filter(|e| matches!(e.end, ExchangeEnd::Left | ExchangeEnd::TimedOut(_)))
}

/// DRAIN: a request reaches a server later than the drain time after the store has acknowledged that
/// it leaves, from a daemon in touch all the while. Requests that get 421 don't count.
pub fn left_server(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = Vec::new();
    for departure in &facts.evidence.departures {
        let from = departure.acknowledged + RuleBounds::DRAIN;
        let runs = facts.evidence.runs.iter();
        let late = runs.filter(|run| {
            let is_within = run.at > from && departure.until.is_none_or(|until| run.at < until);
            let is_misdirected = run.answer().is_some_and(|answer| answer.status() == 421);
            is_within && run.server == departure.server && !is_misdirected
        });
        for run in late {
            let exchange = facts.exchange(&run.attempt);
            let was_in_touch = exchange.is_some_and(|exchange| {
                facts
                    .evidence
                    .in_touch(exchange.daemon, departure.acknowledged, run.at)
            });
            if was_in_touch {
                let after = run.at.saturating_sub(departure.acknowledged);
                findings.push(finding(run, &format!("reached {after:?} after it left")));
            }
        }
    }
    findings
}
