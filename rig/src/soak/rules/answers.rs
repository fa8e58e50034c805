//! MIXED: callers get their own answers, whole, or none.

use crate::soak::evidence::{ExchangeEnd, RequestRule, ServerRun, SoakExchange};
use crate::soak::message::HttpMessage;
use crate::soak::rules::facts::{Findings, RuleFacts};

fn finding(exchange: &SoakExchange, detail: String) -> (String, std::time::Duration, String) {
    (exchange.attempt.clone(), exchange.ended, detail)
}

/// MIXED: a success without a server's signature, with a body that is no server's whole body for this
/// request, or with the identity of another request. The events of streams are checked by ORDER.
pub fn foreign_success(facts: &RuleFacts<'_>) -> Findings {
    let complete = facts.evidence.exchanges.iter().filter_map(|exchange| {
        let ExchangeEnd::Answered(answer) = &exchange.end else {
            return None;
        };
        (200..300)
            .contains(&answer.status())
            .then_some((exchange, answer))
    });
    let judged = complete.filter_map(|(exchange, answer)| {
        let cause = success_fault(facts, exchange, answer)?;
        Some(finding(exchange, cause))
    });
    judged.collect()
}

fn success_fault(
    facts: &RuleFacts<'_>,
    exchange: &SoakExchange,
    answer: &HttpMessage,
) -> Option<String> {
    if answer.field("x-server-stamp").is_none() {
        return Some("success without X-Server-Stamp".to_owned());
    }
    let echoed = answer.field("x-attempt-id");
    if echoed.is_some_and(|id| id != exchange.attempt) {
        return Some(format!("answer of request {echoed:?}"));
    }
    if exchange.kind == RequestRule::Stream {
        return None;
    }
    let is_source = |run: &&&ServerRun| {
        let sent = run.answer();
        sent.is_some_and(|sent| {
            sent.complete && sent.status() == answer.status() && sent.body == answer.body
        })
    };
    let runs = facts.runs(&exchange.attempt);
    let is_foreign = runs.iter().find(is_source).is_none();
    is_foreign.then(|| format!("no server sent this body: {:?}", lossy(&answer.body)))
}

/// MIXED: a failure with a server's signature and a status that no server gave for this request.
pub fn foreign_failure(facts: &RuleFacts<'_>) -> Findings {
    let failures = facts
        .answers()
        .filter(|(_, answer)| answer.status() >= 300 && answer.field("x-server-stamp").is_some());
    let judged = failures.filter(|(exchange, answer)| {
        let runs = facts.runs(&exchange.attempt);
        let mut statuses = runs.iter().filter_map(|run| run.answer());
        !statuses.any(|sent| sent.status() == answer.status())
    });
    judged
        .map(|(exchange, answer)| {
            finding(
                exchange,
                format!("no server gave status {}", answer.status()),
            )
        })
        .collect()
}

/// MIXED: bytes that are no answer, or that came while no request waited. Narrower: bytes after an
/// answer are seen only before the next request on the connection.
pub fn foreign_bytes(facts: &RuleFacts<'_>) -> Findings {
    let mut findings = Vec::new();
    for (exchange, answer) in facts.answers() {
        if answer.status() == 0 {
            findings.push(finding(exchange, "bytes that are no answer".to_owned()));
        }
    }
    for exchange in &facts.evidence.exchanges {
        // A daemon may say why it closes a connection on which nothing has come for too long.
        let is_timeout = exchange.stray.starts_with(b"HTTP/1.1 408");
        if !exchange.stray.is_empty() && !is_timeout {
            let text = lossy(&exchange.stray);
            findings.push(finding(
                exchange,
                format!("bytes before the request: {text:?}"),
            ));
        }
    }
    findings
}

/// The first bytes as text.
fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(80)]).into_owned()
}
