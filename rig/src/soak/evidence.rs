//! What a run has seen: requests of callers, runs at servers, faults and configurations. Times count
//! from the start of the run.

use crate::soak::fault::{FaultScope, SoakFault};
use crate::soak::message::HttpMessage;
use crate::soak::spec::RuleBounds;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Kind of a request, by what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRule {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A stream that another server may resume.
    Stream,
}

impl RequestRule {
    /// True when a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// It is still waiting.
    Waiting,
    /// A complete response arrived.
    Answered(HttpMessage),
    /// The connection ended before a complete response; contains what had arrived.
    Broken(Option<HttpMessage>),
    /// No complete response arrived in time, so the caller closed the connection.
    TimedOut(Option<HttpMessage>),
    /// The caller closed the connection early.
    Left,
    /// The caller could not connect or send.
    Unsent,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct SoakExchange {
    /// Value of `X-Attempt-Id`.
    pub attempt: String,
    /// Number of the daemon that took it.
    pub daemon: usize,
    /// Kind of the request.
    pub kind: RequestRule,
    /// Method.
    pub method: String,
    /// Request target.
    pub target: String,
    /// API key.
    pub key: String,
    /// Body.
    pub body: Vec<u8>,
    /// Fields that servers must see as they were sent.
    pub fields: Vec<(String, String)>,
    /// True when the connection had served a request before.
    pub kept: bool,
    /// True when the caller shut down its sending side after the request.
    pub half_closed: bool,
    /// Time at which its last byte was sent.
    pub sent: Duration,
    /// Time at which it ended; the caller's patience while it waits.
    pub ended: Duration,
    /// How it ended.
    pub end: ExchangeEnd,
    /// Bytes that came although no request waited for them.
    pub stray: Vec<u8>,
}

/// One request that a server has received.
#[derive(Debug, Clone)]
pub struct ServerRun {
    /// Value of `X-Attempt-Id`.
    pub attempt: String,
    /// Identifier of the server in the store.
    pub server: Arc<str>,
    /// Service of the server.
    pub service: Arc<str>,
    /// Time at which the request had arrived.
    pub at: Duration,
    /// The request.
    pub request: HttpMessage,
    /// Responses that the server has sent since, in order.
    pub answers: Vec<HttpMessage>,
    /// Time at which the response was complete or the connection ended.
    pub ended: Option<Duration>,
    /// True when the daemon closed the connection before the response was complete.
    pub dropped: bool,
    /// True when the server closed or reset the connection before the response was complete.
    pub broke_off: bool,
}

impl ServerRun {
    /// The server's answer to this request: the one that names it, else the first.
    pub fn answer(&self) -> Option<&HttpMessage> {
        let named = |answer: &&HttpMessage| answer.field("x-attempt-id") == Some(&self.attempt);
        self.answers.iter().find(named).or(self.answers.first())
    }

    /// False when the server has said that it did not run the request.
    pub fn has_run(&self) -> bool {
        let refused = |answer: &HttpMessage| {
            answer.status() == 421 || answer.field("x-not-executed").is_some()
        };
        !self.answer().is_some_and(refused)
    }
}

/// What a fault strikes, by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultSubject {
    /// A daemon.
    Daemon(usize),
    /// The store.
    Store,
    /// A server.
    Server(Arc<str>),
    /// The configuration.
    Config,
    /// Callers.
    Callers,
}

impl fmt::Display for FaultSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Daemon(number) => write!(f, "router-{number}"),
            Self::Server(id) => write!(f, "{id}"),
            Self::Store => write!(f, "store"),
            Self::Config => write!(f, "configuration"),
            Self::Callers => write!(f, "callers"),
        }
    }
}

/// A fault that was played.
#[derive(Debug, Clone)]
pub struct FaultSpan {
    /// Fault.
    pub kind: SoakFault,
    /// Scope of the fault.
    pub scope: FaultScope,
    /// What it strikes.
    pub subject: FaultSubject,
    /// Its begin.
    pub begin: Duration,
    /// Its end; none while it lasts.
    pub end: Option<Duration>,
}

impl FaultSpan {
    /// True when the fault lasts at some time between `from` and `to`.
    pub fn overlaps(&self, from: Duration, to: Duration) -> bool {
        self.begin <= to && self.end.is_none_or(|end| end >= from)
    }
}

/// What a configuration allows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    /// Time at which the store acknowledged it.
    pub acknowledged: Duration,
    /// Services of each prefix.
    pub routes: BTreeMap<String, BTreeSet<String>>,
    /// API keys.
    pub keys: BTreeSet<String>,
}

impl ConfigState {
    /// Services to which a request may go; none without a route.
    pub fn services(&self, target: &str) -> Option<&BTreeSet<String>> {
        let matching = self
            .routes
            .iter()
            .filter(|(prefix, _)| target.starts_with(*prefix));
        let longest = matching.max_by_key(|(prefix, _)| prefix.len());
        longest.map(|(_, services)| services)
    }
}

/// The leaving of a server that the store has acknowledged.
#[derive(Debug, Clone)]
pub struct ServerDeparture {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Time of the acknowledgement.
    pub acknowledged: Duration,
    /// Time at which it was listed as ready again.
    pub until: Option<Duration>,
}

/// A rate limit that a server names in its responses.
#[derive(Debug, Clone)]
pub struct NamedLimit {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Requests a second.
    pub rate: f64,
    /// Time from which it names the limit.
    pub named: Duration,
    /// Time at which it names it no longer.
    pub until: Option<Duration>,
}

/// A daemon that ended without having been told to.
#[derive(Debug, Clone)]
pub struct OwnEnd {
    /// Number of the daemon.
    pub daemon: usize,
    /// Time at which it was noticed.
    pub at: Duration,
    /// Exit status.
    pub status: String,
}

/// Everything that a run has seen.
#[derive(Debug, Clone, Default)]
pub struct SoakEvidence {
    /// Time of this copy.
    pub now: Duration,
    /// Requests of callers.
    pub exchanges: Vec<SoakExchange>,
    /// Requests at servers.
    pub runs: Vec<ServerRun>,
    /// Faults played.
    pub faults: Vec<FaultSpan>,
    /// Configurations, oldest first.
    pub configs: Vec<ConfigState>,
    /// Servers that left.
    pub departures: Vec<ServerDeparture>,
    /// Limits that servers named.
    pub limits: Vec<NamedLimit>,
    /// Daemons that ended by themselves.
    pub own_ends: Vec<OwnEnd>,
    /// Time at which the last fault was over and daemons were back; none before.
    pub calm_since: Option<Duration>,
}

impl SoakEvidence {
    /// True when a daemon, its links and the store have had no fault between [`RuleBounds::CONTACT`]
    /// before `from` and `to`. Planned work counts as a fault here.
    pub fn in_touch(&self, daemon: usize, from: Duration, to: Duration) -> bool {
        let subject = FaultSubject::Daemon(daemon);
        let counts = |span: &FaultSpan| {
            let is_out_of_touch = span.kind != SoakFault::DaemonReload && !span.kind.is_path_loss();
            span.subject == subject && is_out_of_touch || span.scope == FaultScope::Store
        };
        from >= RuleBounds::CONTACT && !self.has_fault(from, to, counts)
    }

    /// True when a fault that `counts` lasts at some time from [`RuleBounds::CONTACT`] before `from`
    /// to `to`.
    pub fn has_fault(
        &self,
        from: Duration,
        to: Duration,
        counts: impl Fn(&FaultSpan) -> bool,
    ) -> bool {
        let from = from.saturating_sub(RuleBounds::CONTACT);
        let mut faults = self.faults.iter();
        faults.any(|span| counts(span) && span.overlaps(from, to))
    }

    /// Configurations that may be in force for a request sent at `sent` and answered at `ended`: the
    /// last one that must be in force, and all later ones.
    pub fn configs_between(&self, sent: Duration, ended: Duration) -> &[ConfigState] {
        let is_due = |config: &ConfigState| config.acknowledged + RuleBounds::CONFIG <= sent;
        let first = self.configs.iter().rposition(is_due).unwrap_or(0);
        let end = self
            .configs
            .partition_point(|config| config.acknowledged <= ended);
        &self.configs[first..end.max(first)]
    }
}
