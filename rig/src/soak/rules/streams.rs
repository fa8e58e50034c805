//! ORDER and LAYERS: the events of a stream come whole, once and in order, from a path through all
//! layers.

use crate::site::{MODEL_LAYERS, event_text};
use crate::soak::evidence::{ExchangeEnd, RequestRule, ServerRun, SoakExchange};
use crate::soak::rules::facts::{Findings, RuleFacts};
use crate::soak::strike::STREAM_EVENTS;

/// ORDER: a piece of a stream is missing, comes twice or is not what servers send, or a stream ends as
/// complete before its last piece. All streams have the same events, so that pieces of two runs that
/// join in order are not told apart.
pub fn broken_order(facts: &RuleFacts<'_>) -> Findings {
    let streams = facts.answers().filter(|(exchange, answer)| {
        exchange.kind == RequestRule::Stream && answer.status() == 200
    });
    let judged = streams.filter_map(|(exchange, answer)| {
        let detail = order_fault(exchange, &answer.body)?;
        Some((exchange.attempt.clone(), exchange.ended, detail))
    });
    judged.collect()
}

fn order_fault(exchange: &SoakExchange, body: &[u8]) -> Option<String> {
    let whole: String = (0..STREAM_EVENTS).map(event_text).collect();
    if !whole.as_bytes().starts_with(body) {
        let same = whole.bytes().zip(body).take_while(|(a, b)| a == *b).count();
        return Some(format!("differs after {same} bytes of {}", body.len()));
    }
    let is_complete = matches!(exchange.end, ExchangeEnd::Answered(_));
    let is_short = is_complete && body.len() < whole.len();
    is_short.then(|| format!("complete after {} bytes of {}", body.len(), whole.len()))
}

/// LAYERS: a stream runs on a path that doesn't run every layer once and in order. Narrower: which layers
/// servers hold is not looked at, as they refuse other paths themselves.
pub fn broken_chain(facts: &RuleFacts<'_>) -> Findings {
    let runs = facts.evidence.runs.iter().filter(|run| run.has_run());
    let streams = runs.filter(|run| {
        let exchange = facts.exchange(&run.attempt);
        exchange.is_some_and(|exchange| exchange.kind == RequestRule::Stream)
    });
    let broken = streams.filter(|run| !runs_all_layers(run));
    broken
        .map(|run| {
            let hops = run.request.field("x-hops").unwrap_or("none");
            (run.attempt.clone(), run.at, format!("path {hops}"))
        })
        .collect()
}

fn runs_all_layers(run: &ServerRun) -> bool {
    let hops = run.request.field("x-hops").unwrap_or_default();
    let mut next = 0;
    for hop in hops.split(',') {
        let range = hop
            .split_once('=')
            .and_then(|(_, range)| range.split_once('-'));
        let ends = range.map(|(from, to)| (from.parse::<u64>(), to.parse::<u64>()));
        match ends {
            Some((Ok(from), Ok(to))) if from == next && to > from => next = to,
            _ => return false,
        }
    }
    next == MODEL_LAYERS
}
