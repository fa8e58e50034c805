//! ORDER: the events of a stream come whole, once and in order.

use crate::site::event_text;
use crate::soak::evidence::{ExchangeEnd, RequestRule, SoakExchange};
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
