//! DENIED, ROUTE and CONFIG: requests are handled as the configuration in force says.

use crate::soak::evidence::{ConfigState, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts, arrived};
use std::time::Duration;

/// Own refusals that are always allowed.
const DENIED_ALLOWANCE: usize = 5;
/// One in so many requests may be refused besides.
const DENIED_SHARE: usize = 500;
/// Refusals by daemons out of touch that are allowed.
const DENIED_OUT_OF_TOUCH: usize = 10;
/// Time by which the record of a configuration may lag behind the store.
const RECORD_SLACK: Duration = Duration::from_millis(50);

/// Configurations that may have been in force for a request.
fn possible<'a>(facts: &RuleFacts<'a>, exchange: &SoakExchange) -> &'a [ConfigState] {
    let evidence = facts.evidence;
    evidence.configs_between(exchange.sent, exchange.ended + RECORD_SLACK)
}

fn allows(config: &ConfigState, exchange: &SoakExchange) -> bool {
    config.services(&exchange.target).is_some() && config.keys.contains(&exchange.key)
}

/// Status of an own refusal: a 3xx or 4xx without a server's signature, other than 408, 421 and 429.
fn own_denial(exchange: &SoakExchange) -> Option<u16> {
    let answer = arrived(exchange)?;
    let status = answer.status();
    let is_own = answer.field("x-server-stamp").is_none();
    let is_denial = (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    (is_own && is_denial).then_some(status)
}

/// DENIED: too many requests are refused although all configurations that may be in force allow them.
pub fn denied(facts: &RuleFacts<'_>) -> Findings {
    let exchanges = &facts.evidence.exchanges;
    let denied: Vec<(&SoakExchange, u16)> = exchanges
        .iter()
        .filter_map(|exchange| Some((exchange, own_denial(exchange)?)))
        .filter(|(exchange, _)| {
            possible(facts, exchange)
                .iter()
                .all(|c| allows(c, exchange))
        })
        .collect();
    let always = |exchange: &SoakExchange| {
        facts
            .evidence
            .configs
            .iter()
            .all(|config| allows(config, exchange))
    };
    let (near, far): (Vec<_>, Vec<_>) = denied
        .into_iter()
        .partition(|(exchange, _)| facts.in_touch(exchange));
    let far: Vec<_> = far
        .into_iter()
        .filter(|(exchange, _)| always(exchange))
        .collect();
    let allowed = DENIED_ALLOWANCE + exchanges.len() / DENIED_SHARE;
    let mut findings = Vec::new();
    if near.len() > allowed {
        findings.extend(summary(&near));
    }
    if far.len() > DENIED_OUT_OF_TOUCH {
        findings.extend(summary(&far));
    }
    findings
}

/// One finding for many requests, under the identity of the last one.
fn summary(denied: &[(&SoakExchange, u16)]) -> Option<(String, Duration, String)> {
    let (last, status) = denied.last()?;
    let detail = format!("{} requests refused, this one with {status}", denied.len());
    Some((last.attempt.clone(), last.ended, detail))
}

/// ROUTE: a request runs at a service to which no configuration ever lets it go, or with a key that
/// none ever held.
pub fn never_allowed(facts: &RuleFacts<'_>) -> Findings {
    run_by(facts, |exchange, service| {
        facts
            .evidence
            .configs
            .iter()
            .any(|config| serves(config, exchange, service))
    })
}

/// CONFIG: a request is handled as only an outdated configuration allows, by a daemon in touch: run by
/// the old service or with a dropped route or key, or refused though route and key are there.
pub fn outdated(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = run_by(facts, |exchange, service| {
        !facts.in_touch(exchange)
            || possible(facts, exchange)
                .iter()
                .any(|config| serves(config, exchange, service))
    });
    for exchange in &facts.evidence.exchanges {
        let Some(status @ (401 | 403 | 404)) = own_denial(exchange) else {
            continue;
        };
        let is_allowed = possible(facts, exchange)
            .iter()
            .all(|config| allows(config, exchange));
        if is_allowed && facts.in_touch(exchange) {
            let detail = format!("{} refused with {status}", exchange.target);
            findings.push((exchange.attempt.clone(), exchange.ended, detail));
        }
    }
    findings
}

fn serves(config: &ConfigState, exchange: &SoakExchange, service: &str) -> bool {
    let services = config.services(&exchange.target);
    let is_routed = services.is_some_and(|services| services.contains(service));
    is_routed && config.keys.contains(&exchange.key)
}

/// Runs that `is_right` doesn't accept at their service.
fn run_by(facts: &RuleFacts<'_>, is_right: impl Fn(&SoakExchange, &str) -> bool) -> Findings {
    let runs = facts.evidence.runs.iter().filter(|run| run.has_run());
    let judged = runs.filter_map(|run| {
        let exchange = facts.exchange(&run.attempt)?;
        let detail = format!(
            "{} run by {} of {}",
            exchange.target, run.server, run.service
        );
        (!is_right(exchange, &run.service)).then(|| (run.attempt.clone(), run.at, detail))
    });
    judged.collect()
}
