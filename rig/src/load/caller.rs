//! Callers of one team. They ask a daemon which addresses to use, cache them for the lifetime that
//! it gives, and fail over to another address when one fails.

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

/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to each daemon.
const IDLE_LIMIT: usize = 256;
/// Timeout for fetching the addresses of daemons.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of attempts of one request, the first one included.
const MAX_ATTEMPTS: u32 = 6;

/// Values that all requests of a run share.
#[derive(Debug, Clone)]
pub(super) struct CallerContext {
    /// Start of the run.
    pub(super) start: Instant,
    /// Time at which requests still in flight are abandoned.
    pub(super) close: Instant,
    /// Name, version and number of layers of the model.
    pub(super) model: (Arc<str>, Arc<str>, u32),
    /// Time without a token after which the caller restarts the stream at another daemon.
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

/// Addresses of daemons that a daemon has given.
struct CachedAddresses {
    rows: Vec<AddressRow>,
    expires: Instant,
}

/// Callers of one team, which share connections and cached addresses.
pub(super) struct TeamCaller {
    token: Arc<str>,
    pool: Arc<ConnectionPool>,
    bootstrap: Vec<SocketAddr>,
    cached: Mutex<Option<CachedAddresses>>,
}

/// Outcome of one attempt.
enum AttemptEnd {
    /// The request has this outcome.
    Final(RequestOutcome),
    /// The attempt failed, and the request may be sent to the next address.
    Failover,
}

impl TeamCaller {
    /// Creates callers that ask the daemons at `bootstrap` for addresses until they have cached
    /// some.
    pub(super) fn new(token: &str, bootstrap: Vec<SocketAddr>) -> Self {
        Self {
            token: Arc::from(token),
            pool: ConnectionPool::new(CONNECT_TIMEOUT, IDLE_LIMIT),
            bootstrap,
            cached: Mutex::new(None),
        }
    }

    fn call(&self, address: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall::new(address, method, path)
            .header("authorization", &format!("Bearer {}", self.token))
    }

    /// Returns the cached addresses or, when they have expired, fetches new ones. Expired ones are
    /// returned when no daemon responds.
    async fn current_addresses(&self) -> Vec<AddressRow> {
        let known = {
            let cached = self.cached.lock().expect("address lock is never poisoned");
            match &*cached {
                Some(cache) if Instant::now() < cache.expires => return cache.rows.clone(),
                Some(cache) => cache.rows.clone(),
                None => Vec::new(),
            }
        };
        let cached = known.iter().map(|row| row.address);
        for address in cached.chain(self.bootstrap.iter().copied()) {
            let call = self.call(address, Method::Get, "/v1/addresses");
            let fetched: Result<(u16, AddressResponse), SendError> =
                self.pool.fetch(&call.timeout(ADDRESS_TIMEOUT)).await;
            if let Ok((200, answer)) = fetched
                && !answer.addresses.is_empty()
            {
                let rows = answer.addresses.clone();
                let expires = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                let cached = CachedAddresses {
                    rows: answer.addresses,
                    expires,
                };
                *self.cached.lock().expect("address lock is never poisoned") = Some(cached);
                return rows;
            }
        }
        known
    }

    /// Addresses in the order of a request's attempts: the first is drawn by weight, the others
    /// follow in random order.
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

    /// Sends one request, with failover, until it has an outcome.
    pub(super) async fn run_request(
        &self,
        plan: &PlannedRequest,
        context: &CallerContext,
    ) -> RequestRecord {
        let mut record = RequestRecord {
            number: plan.number,
            team: plan.team,
            service: matches!(plan.kind, RequestKind::Service { .. }),
            intended: to_micros(plan.start_offset),
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
                    let call = self.chat_call(*address, context, plan.seed, (prompt, *max_tokens));
                    let reference = expected_text(context, plan.seed, prompt, *max_tokens);
                    self.attempt_chat(call, &reference, context, &mut record)
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
        let response = match self.pool.send(&call.timeout(HEAD_TIMEOUT.min(left))).await {
            Ok(response) if response.status() == 200 => response,
            Ok(response) => return AttemptEnd::Final(error_outcome(&response)),
            Err(SendError::TimedOut) if context.time_left().is_zero() => {
                return AttemptEnd::Final(RequestOutcome::Unfinished);
            }
            Err(_cause) => return AttemptEnd::Failover,
        };
        read_stream(SseReader::new(response), reference, context, record).await
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
            Ok(response) if response.status() == 200 => match response.bytes().await {
                Ok(_body) => AttemptEnd::Final(RequestOutcome::Completed),
                Err(_cause) => AttemptEnd::Final(RequestOutcome::Unknown),
            },
            Ok(response) => AttemptEnd::Final(error_outcome(&response)),
            Err(SendError::NotSent(_)) => AttemptEnd::Failover,
            Err(_cause) => AttemptEnd::Final(RequestOutcome::Unknown),
        }
    }
}

fn expected_text(context: &CallerContext, seed: u64, prompt: &str, max_tokens: u32) -> String {
    let (model, version, layers) = &context.model;
    reference_text((model, version, *layers), seed, prompt, max_tokens)
}

/// Outcome according to a response with an error status.
fn error_outcome(response: &HttpResponse) -> RequestOutcome {
    match (response.header("x-outcome"), response.header("retry-after")) {
        (Some("not_run"), Some(_)) => RequestOutcome::Refused,
        (Some("not_run"), None) => RequestOutcome::RefusedBare,
        (Some("partial"), _) => RequestOutcome::Partial,
        _ => RequestOutcome::Unknown,
    }
}

/// Reads a streamed answer to its end, and records the arrival of tokens that no earlier attempt
/// had delivered.
async fn read_stream(
    mut reader: SseReader,
    reference: &str,
    context: &CallerContext,
    record: &mut RequestRecord,
) -> AttemptEnd {
    let mut text = String::new();
    let mut received = 0;
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
                received += 1;
                if received > record.tokens.len() {
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

/// Event of a streamed chat response.
enum StreamEvent {
    /// First event, with the identifier of the request.
    Role(Arc<str>),
    /// Text of one token.
    Token(Arc<str>),
    /// Reason for the end of the answer.
    Finish,
    /// End of the stream.
    End,
    /// Error, with the outcome that it states.
    Problem(RequestOutcome),
    /// Event that is not a valid chunk of a chat response.
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
