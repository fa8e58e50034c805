//! LOST: no answer is lost by closing a connection.

use crate::soak::evidence::{ExchangeEnd, FaultSpan, FaultSubject, ServerRun, SoakExchange};
use crate::soak::fault::{FaultScope, SoakFault};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;
use std::time::Duration;

/// Requests from kept connections that may be lost.
const LOST_ALLOWED: usize = 3;
/// Time after the grace period for which a termination still counts as planned work.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Last part of the grace period in which a server may still be at work.
const LAST_OF_GRACE: Duration = Duration::from_millis(8_000 / 6);
/// Time after SIGTERM up to which a request that is still at work then is excused.
const EARLY_REQUEST: Duration = Duration::from_secs(3);
/// Share of its time after which a request isn't counted beside a configuration.
const TIME_USED: f64 = 0.7;

/// LOST: a daemon in touch passes requests from kept connections on to sound servers and closes these
/// connections without an answer, more than three times. Callers that shut down their sending side
/// are not counted.
pub fn kept_connection(facts: &RuleFacts<'_>) -> Findings {
    let exchanges = facts.evidence.exchanges.iter();
    let lost = exchanges.filter(|exchange| {
        let is_silent = matches!(exchange.end, ExchangeEnd::Broken(None));
        let runs = facts.runs(&exchange.attempt);
        exchange.kept
            && is_silent
            && !exchange.half_closed
            && facts.in_touch(exchange)
            && !runs.is_empty()
            && runs.iter().all(|run| is_sound_run(facts, run))
    });
    let lost: Vec<_> = lost
        .map(|e| finding(e, "closed without an answer"))
        .collect();
    if lost.len() > LOST_ALLOWED {
        lost
    } else {
        Vec::new()
    }
}

fn finding(exchange: &SoakExchange, what: &str) -> (String, Duration, String) {
    (
        exchange.attempt.clone(),
        exchange.ended,
        format!("{} {what}", exchange.target),
    )
}

fn is_sound_run(facts: &RuleFacts<'_>, run: &ServerRun) -> bool {
    let end = run.ended.unwrap_or(facts.evidence.now);
    !run.broke_off && facts.is_sound(&run.server, run.at, end)
}

/// LOST: around planned work and without other faults, a request that was passed on ends without a
/// complete answer. Narrower: requests that were not passed on are not counted, and beside a change of
/// the configuration only daemons count that lose over three times as many requests as at other times.
/// A server that pauses or is slow is no fault here.
pub fn planned_work(facts: &RuleFacts<'_>) -> Findings {
    let exchanges = facts.evidence.exchanges.iter();
    let lost: Vec<&SoakExchange> = exchanges.filter(|e| is_lost(facts, e)).collect();
    let beside = lost
        .iter()
        .filter(|e| beside_config(facts, e) && used_share(e) < TIME_USED);
    let config_lost = beside.count();
    let config_all = facts
        .evidence
        .exchanges
        .iter()
        .filter(|e| beside_config(facts, e))
        .count();
    let other_lost = lost.len() - config_lost;
    let other_all = facts.evidence.exchanges.len() - config_all;
    let config_counts = config_lost * other_all > 3 * other_lost * config_all;
    let counted = lost.iter().filter(|exchange| {
        let by_signal = beside_reload(facts, exchange) || beside_termination(facts, exchange);
        let by_config =
            config_counts && beside_config(facts, exchange) && used_share(exchange) < TIME_USED;
        by_signal || by_config
    });
    counted
        .map(|e| finding(e, "ended without a complete answer"))
        .collect()
}

/// True when a request was passed on to servers without a fault that cuts answers off, and its
/// connection ended without a complete answer before its time was over.
fn is_lost(facts: &RuleFacts<'_>, exchange: &SoakExchange) -> bool {
    let is_broken = matches!(exchange.end, ExchangeEnd::Broken(_));
    let waited = exchange.ended.saturating_sub(exchange.sent);
    let runs = facts.runs(&exchange.attempt);
    let is_unplanned = |span: &FaultSpan| {
        let is_daemon = span.subject == FaultSubject::Daemon(exchange.daemon);
        is_daemon && !matches!(span.kind, SoakFault::DaemonReload | SoakFault::DaemonTerm)
            || span.scope == FaultScope::Store
    };
    is_broken
        && !exchange.half_closed
        && waited < RuleBounds::ROUTE_TIMEOUT
        && !runs.is_empty()
        && runs.iter().all(|run| is_sound_run(facts, run))
        && !facts
            .evidence
            .has_fault(exchange.sent, exchange.ended, is_unplanned)
}

fn used_share(exchange: &SoakExchange) -> f64 {
    let waited = exchange.ended.saturating_sub(exchange.sent);
    waited.as_secs_f64() / RuleBounds::ROUTE_TIMEOUT.as_secs_f64()
}

fn beside_config(facts: &RuleFacts<'_>, exchange: &SoakExchange) -> bool {
    let after = RuleBounds::CONFIG + Duration::from_secs(1);
    let mut configs = facts.evidence.configs.iter().skip(1);
    configs.any(|config| {
        let is_after = exchange.ended >= config.acknowledged;
        is_after && exchange.sent <= config.acknowledged + after
    })
}

fn signals<'a>(
    facts: &RuleFacts<'a>,
    exchange: &SoakExchange,
    kind: SoakFault,
) -> impl Iterator<Item = &'a FaultSpan> {
    let subject = FaultSubject::Daemon(exchange.daemon);
    let spans = facts.evidence.faults.iter();
    spans.filter(move |span| span.kind == kind && span.subject == subject)
}

fn beside_reload(facts: &RuleFacts<'_>, exchange: &SoakExchange) -> bool {
    signals(facts, exchange, SoakFault::DaemonReload).any(|span| {
        exchange.ended >= span.begin && exchange.sent <= span.begin + RuleBounds::CONFIG
    })
}

fn beside_termination(facts: &RuleFacts<'_>, exchange: &SoakExchange) -> bool {
    let over = RuleBounds::GRACE + AFTER_GRACE;
    signals(facts, exchange, SoakFault::DaemonTerm).any(|span| {
        let is_during = exchange.ended >= span.begin && exchange.sent <= span.begin + over;
        // A request that crosses the end of its process is covered only by the slack.
        let has_slack = exchange.ended >= exchange.sent + RuleBounds::LOSS_SLACK
            || !facts.runs(&exchange.attempt).is_empty();
        let is_at_work_late = exchange.ended + LAST_OF_GRACE >= span.begin + RuleBounds::GRACE
            && exchange.sent <= span.begin + EARLY_REQUEST;
        is_during && has_slack && !is_at_work_late
    })
}
