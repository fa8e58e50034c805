//! The evidence with its requests and runs found by identity.

use crate::soak::evidence::{ExchangeEnd, FaultSubject, ServerRun, SoakEvidence, SoakExchange};
use crate::soak::fault::SoakFault;
use crate::soak::message::HttpMessage;
use std::collections::HashMap;
use std::time::Duration;

/// Violations of one rule: what broke it, when, and what was seen.
pub type Findings = Vec<(String, Duration, String)>;

/// Evidence, indexed.
pub struct RuleFacts<'a> {
    /// Everything seen.
    pub evidence: &'a SoakEvidence,
    exchanges: HashMap<&'a str, &'a SoakExchange>,
    runs: HashMap<&'a str, Vec<&'a ServerRun>>,
}

impl<'a> RuleFacts<'a> {
    /// Indexes the evidence.
    pub fn new(evidence: &'a SoakEvidence) -> Self {
        let mut runs: HashMap<&str, Vec<&ServerRun>> = HashMap::new();
        for run in &evidence.runs {
            runs.entry(&run.attempt).or_default().push(run);
        }
        let exchanges = evidence.exchanges.iter();
        Self {
            evidence,
            exchanges: exchanges.map(|e| (e.attempt.as_str(), e)).collect(),
            runs,
        }
    }

    /// Request with this identity.
    pub fn exchange(&self, attempt: &str) -> Option<&'a SoakExchange> {
        self.exchanges.get(attempt).copied()
    }

    /// Requests at servers with this identity, by arrival.
    pub fn runs(&self, attempt: &str) -> &[&'a ServerRun] {
        self.runs.get(attempt).map_or(&[], Vec::as_slice)
    }

    /// Requests with the responses that arrived, complete or not.
    pub fn answers(&self) -> impl Iterator<Item = (&'a SoakExchange, &'a HttpMessage)> {
        let exchanges = self.evidence.exchanges.iter();
        exchanges.filter_map(|exchange| Some((exchange, arrived(exchange)?)))
    }

    /// True when a server or its link has had no fault of its own, other than silence, from the
    /// contact time before `from` to `to`. Requests that crash servers count for all servers.
    pub fn is_sound(&self, server: &str, from: Duration, to: Duration) -> bool {
        let name = base_name(server);
        !self
            .evidence
            .has_fault(from, to, |span| match &span.subject {
                FaultSubject::Server(id) => base_name(id) == name && !span.kind.is_silence(),
                _ => span.kind == SoakFault::PoisonRequest,
            })
    }

    /// True when the daemon of a request was in touch from its sending to its end.
    pub fn in_touch(&self, exchange: &SoakExchange) -> bool {
        let evidence = self.evidence;
        evidence.in_touch(exchange.daemon, exchange.sent, exchange.ended)
    }
}

/// What arrived of a response.
pub fn arrived(exchange: &SoakExchange) -> Option<&HttpMessage> {
    match &exchange.end {
        ExchangeEnd::Answered(answer) => Some(answer),
        ExchangeEnd::Broken(partial) | ExchangeEnd::TimedOut(partial) => partial.as_ref(),
        ExchangeEnd::Waiting | ExchangeEnd::Left | ExchangeEnd::Unsent => None,
    }
}

/// Name of a server without the number of its run.
fn base_name(server: &str) -> &str {
    server.split('.').next().unwrap_or(server)
}
