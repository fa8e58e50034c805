//! Callers of one team: they ask which daemons to use, keep the answer for its lifetime, and go on
//! through other kept addresses when one fails.

use crate::load::latency::{RequestOutcome, RequestRecord, to_micros};
use crate::load::workload::{PlannedRequest, RequestKind};
use crate::oracle::reference_text;
use arbutusmount::{
    AddressResponse, AddressRow, ChatMessage, ChatRequest, ChatResponse, ConnectionPool,
    ConnectionReuse, HttpCall, HttpResponse, SendError, SseReader,
};
use async_std::future::timeout;
use http_types::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time allowed for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections kept to each daemon.
const IDLE_LIMIT: usize = 256;
/// Time allowed for the address question.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time allowed until the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Tries of one request, the first one included.
const MAX_ATTEMPTS: u32 = 6;

/// What all requests of a run share.
#[derive(Debug, Clone)]
pub(super) struct CallerContext {
    /// Start of the run.
    pub(super) start: Instant,
    /// Time at which requests still running are given up.
    pub(super) close: Instant,
    /// Model name, version and layers.
    pub(super) model: (Arc<str>, Arc<str>, u32),
    /// Longest gap between tokens before the caller starts over elsewhere.
    pub(super) restart_gap: Option<Duration>,
}

impl CallerContext {
    fn now_micros(&self) -> u64 {
        to_micros(self.start.elapsed())
    }

    fn time_left(&self) -> Duration {
        self.close.saturating_duration_since(Instant::now())
    }
}

struct CachedAddresses {
    rows: Vec<AddressRow>,
    until: Instant,
}

/// Callers of one team.
pub(super) struct TeamCaller {
    token: Arc<str>,
    pool: Arc<ConnectionPool>,
    bootstrap: Vec<SocketAddr>,
    kept: Mutex<Option<CachedAddresses>>,
}

/// How one try ended.
enum AttemptEnd {
    Final(RequestOutcome),
    Failover,
}

impl TeamCaller {
    /// Creates callers that know these daemons before they have asked.
    pub(super) fn new(token: &str, bootstrap: Vec<SocketAddr>) -> Self {
        Self {
            token: Arc::from(token),
            pool: ConnectionPool::new(CONNECT_TIMEOUT, IDLE_LIMIT),
            bootstrap,
            kept: Mutex::new(None),
        }
    }

    fn call(&self, address: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall::new(address, method, path)
            .header("authorization", &format!("Bearer {}", self.token))
    }

    /// Addresses to use, those of an earlier answer when no daemon answers now.
    async fn current_addresses(&self) -> Vec<AddressRow> {
        let known = {
            let kept = self.kept.lock().expect("address lock is never poisoned");
            match &*kept {
                Some(answer) if Instant::now() < answer.until => return answer.rows.clone(),
                Some(answer) => answer.rows.clone(),
                None => Vec::new(),
            }
        };
        let kept = known.iter().map(|row| row.address);
        for address in kept.chain(self.bootstrap.iter().copied()) {
            let call = self.call(address, Method::Get, "/v1/addresses");
            let asked: Result<(u16, AddressResponse), SendError> =
                self.pool.fetch(&call.timeout(ADDRESS_TIMEOUT)).await;
            if let Ok((200, answer)) = asked
                && !answer.addresses.is_empty()
            {
                let rows = answer.addresses.clone();
                let until = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                let kept = CachedAddresses {
                    rows: answer.addresses,
                    until,
                };
                *self.kept.lock().expect("address lock is never poisoned") = Some(kept);
                return rows;
            }
        }
        known
    }

    /// Addresses in the order in which a request tries them: the first by weight, then the others.
    async fn attempt_order(&self, seed: u64) -> Vec<SocketAddr> {
        let mut rows = self.current_addresses().await;
        let mut rng = fastrand::Rng::with_seed(seed);
        rng.shuffle(&mut rows);
        let total: f64 = rows.iter().map(|row| row.weight).sum();
        let mut left = rng.f64() * total;
        let chosen = rows.iter().position(|row| {
            left -= row.weight;
            left < 0.0
        });
        if let Some(chosen) = chosen {
            rows.swap(0, chosen);
        }
        rows.into_iter().map(|row| row.address).collect()
    }

    /// Runs one request to its end.
    pub(super) async fn run_request(
        &self,
        plan: &PlannedRequest,
        context: &CallerContext,
    ) -> RequestRecord {
        let mut record = RequestRecord {
            number: plan.number,
            team: plan.team,
            service: matches!(plan.kind, RequestKind::Service { .. }),
            intended: to_micros(plan.at),
            sent: context.now_micros(),
            ended: 0,
            wanted: 0,
            tokens: Vec::new(),
            outcome: RequestOutcome::Unknown,
            retries: 0,
            identifiers: Vec::new(),
            key: None,
            daemon: None,
        };
        let addresses = self.attempt_order(plan.seed).await;
        for number in 0..MAX_ATTEMPTS {
            let Some(address) = addresses.get(number as usize % addresses.len().max(1)) else {
                record.outcome = RequestOutcome::RefusedBare;
                break;
            };
            record.daemon = Some(*address);
            record.retries = number;
            let end = match &plan.kind {
                RequestKind::Chat { prompt, max_tokens } => {
                    record.wanted = *max_tokens;
                    let ask = self.chat_call(*address, context, plan.seed, (prompt, *max_tokens));
                    let reference = expected_text(context, plan.seed, prompt, *max_tokens);
                    self.attempt_chat(ask, &reference, context, &mut record)
                        .await
                }
                RequestKind::Service { key } => {
                    record.key = Some(Arc::clone(key));
                    self.attempt_service_call(*address, key, context).await
                }
            };
            if let AttemptEnd::Final(outcome) = end {
                record.outcome = outcome;
                break;
            }
        }
        record.ended = context.now_micros();
        record
    }

    fn chat_call(
        &self,
        address: SocketAddr,
        context: &CallerContext,
        seed: u64,
        (prompt, max_tokens): (&Arc<str>, u32),
    ) -> HttpCall {
        let chat = ChatRequest {
            model: context.model.0.to_string(),
            messages: vec![ChatMessage {
                role: Arc::from("user"),
                content: Arc::clone(prompt),
            }],
            max_tokens: Some(max_tokens),
            stream: true,
            seed: Some(seed),
            ..ChatRequest::default()
        };
        self.call(address, Method::Post, "/v1/chat/completions")
            .json(&chat)
    }

    async fn attempt_chat(
        &self,
        call: HttpCall,
        reference: &str,
        context: &CallerContext,
        record: &mut RequestRecord,
    ) -> AttemptEnd {
        let left = context.time_left();
        if left.is_zero() {
            return AttemptEnd::Final(RequestOutcome::Unfinished);
        }
        let reply = match self.pool.send(&call.timeout(HEAD_TIMEOUT.min(left))).await {
            Ok(reply) if reply.status() == 200 => reply,
            Ok(reply) => return AttemptEnd::Final(error_outcome(&reply)),
            Err(SendError::TimedOut) if context.time_left().is_zero() => {
                return AttemptEnd::Final(RequestOutcome::Unfinished);
            }
            Err(_cause) => return AttemptEnd::Failover,
        };
        read_stream(SseReader::new(reply), reference, context, record).await
    }

    async fn attempt_service_call(
        &self,
        address: SocketAddr,
        key: &str,
        context: &CallerContext,
    ) -> AttemptEnd {
        let mut call = self
            .call(address, Method::Post, "/services/stock/orders")
            .header("idempotency-key", key)
            .json(&serde_json::json!({ "order": key }))
            .timeout(HEAD_TIMEOUT.min(context.time_left()));
        call.reuse = ConnectionReuse::NewConnection;
        match self.pool.send(&call).await {
            Ok(reply) if reply.status() == 200 => match reply.bytes().await {
                Ok(_body) => AttemptEnd::Final(RequestOutcome::Completed),
                Err(_cause) => AttemptEnd::Final(RequestOutcome::Unknown),
            },
            Ok(reply) => AttemptEnd::Final(error_outcome(&reply)),
            Err(SendError::NotSent(_)) => AttemptEnd::Failover,
            Err(_cause) => AttemptEnd::Final(RequestOutcome::Unknown),
        }
    }
}

fn expected_text(context: &CallerContext, seed: u64, prompt: &str, max_tokens: u32) -> String {
    let (model, version, layers) = &context.model;
    reference_text((model, version, *layers), seed, prompt, max_tokens)
}

/// What an answer with an error status means.
fn error_outcome(reply: &HttpResponse) -> RequestOutcome {
    match (reply.header("x-outcome"), reply.header("retry-after")) {
        (Some("not_run"), Some(_)) => RequestOutcome::Refused,
        (Some("not_run"), None) => RequestOutcome::RefusedBare,
        (Some("partial"), _) => RequestOutcome::Partial,
        _ => RequestOutcome::Unknown,
    }
}

async fn read_stream(
    mut reader: SseReader,
    reference: &str,
    context: &CallerContext,
    record: &mut RequestRecord,
) -> AttemptEnd {
    let mut text = String::new();
    let mut seen = 0;
    loop {
        let left = context.time_left();
        let limit = context.restart_gap.map_or(left, |gap| gap.min(left));
        let event = match timeout(limit, reader.next()).await {
            Err(_elapsed) if context.time_left().is_zero() => {
                return AttemptEnd::Final(RequestOutcome::Unfinished);
            }
            Err(_) | Ok(Err(_) | Ok(None)) => return AttemptEnd::Failover,
            Ok(Ok(Some(event))) => event,
        };
        match parse_event(&event) {
            StreamEvent::Role(identifier) => record.identifiers.push(identifier),
            StreamEvent::Token(token) => {
                text.push_str(&token);
                seen += 1;
                if seen > record.tokens.len() {
                    record.tokens.push(context.now_micros());
                }
            }
            StreamEvent::Finish => {}
            StreamEvent::Problem(outcome) => return AttemptEnd::Final(outcome),
            StreamEvent::End if text == reference => {
                reader.release();
                return AttemptEnd::Final(RequestOutcome::Completed);
            }
            StreamEvent::End | StreamEvent::Malformed => {
                return AttemptEnd::Final(RequestOutcome::Wrong);
            }
        }
    }
}

/// What one event of a streamed answer says.
enum StreamEvent {
    Role(Arc<str>),
    Token(Arc<str>),
    Finish,
    End,
    Problem(RequestOutcome),
    Malformed,
}

fn parse_event(event: &str) -> StreamEvent {
    if event == "[DONE]" {
        return StreamEvent::End;
    }
    if event.starts_with("{\"error\"") {
        return StreamEvent::Problem(parse_problem(event));
    }
    let Ok(chunk) = serde_json::from_str::<ChatResponse>(event) else {
        return StreamEvent::Malformed;
    };
    let Some(choice) = chunk.choices.first() else {
        return StreamEvent::Malformed;
    };
    match &choice.delta {
        Some(delta) if delta.role.is_some() => StreamEvent::Role(Arc::from(chunk.id)),
        Some(delta) => match &delta.content {
            Some(text) => StreamEvent::Token(Arc::clone(text)),
            None => StreamEvent::Finish,
        },
        None => StreamEvent::Finish,
    }
}

fn parse_problem(event: &str) -> RequestOutcome {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    match value["error"]["outcome"].as_str() {
        Some("partial") => RequestOutcome::Partial,
        Some("not_run") => RequestOutcome::Refused,
        _ => RequestOutcome::Unknown,
    }
}
