//! RECOVER: requests at daemons that are cut off from all servers.

use crate::soak::evidence::{ExchangeEnd, FaultSpan, FaultSubject, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::spec::RuleBounds;
use std::collections::BTreeSet;
use std::time::Duration;

/// Requests that may fail at daemons that are cut off, and the share of all requests that may beside.
const FAILURES_ALLOWED: usize = 10;
const FAILURES_ONE_IN: usize = 50;

/// RECOVER: while daemons are cut off from all servers, from the contact time after the cut began, requests
/// at these daemons are served less than two thirds as often as those at the others, and more than ten and
/// one in fifty of all fail there. Daemons in touch only. Each cut is looked at by itself; while all daemons
/// are cut off there are no others, and nothing is compared.
pub fn worse_served(facts: &RuleFacts<'_>) -> Findings {
    let cuts = facts.evidence.faults.iter();
    let cuts = cuts.filter(|span| span.kind.is_path_loss());
    cuts.filter_map(|cut| check_cut(facts, cut)).collect()
}

/// True when a daemon has a path to the servers all the time of a request.
fn has_path(facts: &RuleFacts<'_>, daemon: usize, exchange: &SoakExchange) -> bool {
    let subject = FaultSubject::Daemon(daemon);
    let mut faults = facts.evidence.faults.iter();
    !faults.any(|span| {
        let is_loss = span.kind.is_path_loss() && span.subject == subject;
        is_loss && span.overlaps(exchange.sent, exchange.ended)
    })
}

fn check_cut(facts: &RuleFacts<'_>, cut: &FaultSpan) -> Option<(String, Duration, String)> {
    let from = cut.begin + RuleBounds::CONTACT;
    let until = cut.end.unwrap_or(facts.evidence.now);
    let exchanges = facts.evidence.exchanges.iter();
    let daemons: BTreeSet<usize> = exchanges.clone().map(|exchange| exchange.daemon).collect();
    let counted = exchanges.filter(|exchange| {
        let is_over = exchange.end != ExchangeEnd::Waiting && exchange.end != ExchangeEnd::Left;
        let has_others = daemons
            .iter()
            .any(|daemon| has_path(facts, *daemon, exchange));
        let is_inside = (from..until).contains(&exchange.sent);
        is_over && is_inside && has_others && facts.in_touch(exchange)
    });
    let (cut_off, others): (Vec<&SoakExchange>, Vec<&SoakExchange>) =
        counted.partition(|exchange| FaultSubject::Daemon(exchange.daemon) == cut.subject);
    let has_own_path = |exchange: &&SoakExchange| has_path(facts, exchange.daemon, exchange);
    let others: Vec<&SoakExchange> = others.into_iter().filter(has_own_path).collect();
    let served = count_served(&cut_off);
    let failed = cut_off.len() - served;
    let allowed = FAILURES_ALLOWED + (cut_off.len() + others.len()) / FAILURES_ONE_IN;
    let served_at_others = count_served(&others);
    // Shares compared without division: served / all < 2 / 3 * served_at_others / all_others.
    let is_worse = 3 * served * others.len() < 2 * served_at_others * cut_off.len();
    (is_worse && failed > allowed).then(|| {
        let detail = format!(
            "{served} of {} served at the daemon that is cut off, {served_at_others} of {} at the others",
            cut_off.len(),
            others.len()
        );
        (cut.subject.to_string(), from, detail)
    })
}

fn count_served(exchanges: &[&SoakExchange]) -> usize {
    let is_served = |exchange: &&&SoakExchange| matches!(&exchange.end, ExchangeEnd::Answered(answer) if answer.status() < 500);
    exchanges.iter().filter(is_served).count()
}
