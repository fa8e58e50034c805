//! Callers of one team: they ask which daemons to use, keep the answer for its lifetime, and go on
//! through other kept addresses when one fails.

use crate::load::latency::{RequestOutcome, RequestRecord, micros};
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
const MAX_TRIES: u32 = 6;

/// What all requests of a run share.
#[derive(Debug, Clone)]
pub(super) struct CallerRules {
    /// Start of the run.
    pub(super) start: Instant,
    /// Time at which requests still running are given up.
    pub(super) close: Instant,
    /// Model name, version and layers.
    pub(super) model: (Arc<str>, Arc<str>, u32),
    /// Longest gap between tokens before the caller starts over elsewhere.
    pub(super) restart_gap: Option<Duration>,
}

impl CallerRules {
    fn now(&self) -> u64 {
        micros(self.start.elapsed())
    }

    fn left(&self) -> Duration {
        self.close.saturating_duration_since(Instant::now())
    }
}

struct KeptAnswer {
    rows: Vec<AddressRow>,
    until: Instant,
}

/// Callers of one team.
pub(super) struct TeamCaller {
    token: Arc<str>,
    pool: Arc<ConnectionPool>,
    entries: Vec<SocketAddr>,
    kept: Mutex<Option<KeptAnswer>>,
}

/// How one try ended.
enum TryEnd {
    Final(RequestOutcome),
    Elsewhere,
}

impl TeamCaller {
    /// Creates callers that know these daemons before they have asked.
    pub(super) fn new(token: &str, entries: Vec<SocketAddr>) -> Self {
        Self {
            token: Arc::from(token),
            pool: ConnectionPool::new(CONNECT_TIMEOUT, IDLE_LIMIT),
            entries,
            kept: Mutex::new(None),
        }
    }

    fn call(&self, address: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall::new(address, method, path)
            .header("authorization", &format!("Bearer {}", self.token))
    }

    /// Addresses to use, those of an earlier answer when no daemon answers now.
    async fn addresses(&self) -> Vec<AddressRow> {
        let known = {
            let kept = self.kept.lock().expect("address lock is never poisoned");
            match &*kept {
                Some(answer) if Instant::now() < answer.until => return answer.rows.clone(),
                Some(answer) => answer.rows.clone(),
                None => Vec::new(),
            }
        };
        let kept = known.iter().map(|row| row.address);
        for address in kept.chain(self.entries.iter().copied()) {
            let call = self.call(address, Method::Get, "/v1/addresses");
            let asked: Result<(u16, AddressResponse), SendError> =
                self.pool.fetch(&call.timeout(ADDRESS_TIMEOUT)).await;
            if let Ok((200, answer)) = asked
                && !answer.addresses.is_empty()
            {
                let rows = answer.addresses.clone();
                let until = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                let kept = KeptAnswer {
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
    async fn ordered(&self, seed: u64) -> Vec<SocketAddr> {
        let mut rows = self.addresses().await;
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
    pub(super) async fn run(&self, plan: &PlannedRequest, rules: &CallerRules) -> RequestRecord {
        let mut record = RequestRecord {
            number: plan.number,
            team: plan.team,
            service: matches!(plan.kind, RequestKind::Service { .. }),
            intended: micros(plan.at),
            sent: rules.now(),
            ended: 0,
            wanted: 0,
            tokens: Vec::new(),
            outcome: RequestOutcome::Unknown,
            retries: 0,
            identifiers: Vec::new(),
            key: None,
            daemon: None,
        };
        let addresses = self.ordered(plan.seed).await;
        for number in 0..MAX_TRIES {
            let Some(address) = addresses.get(number as usize % addresses.len().max(1)) else {
                record.outcome = RequestOutcome::RefusedBare;
                break;
            };
            record.daemon = Some(*address);
            record.retries = number;
            let end = match &plan.kind {
                RequestKind::Chat { prompt, max_tokens } => {
                    record.wanted = *max_tokens;
                    let ask = self.chat_call(*address, rules, plan.seed, (prompt, *max_tokens));
                    let reference = reference(rules, plan.seed, prompt, *max_tokens);
                    self.try_chat(ask, &reference, rules, &mut record).await
                }
                RequestKind::Service { key } => {
                    record.key = Some(Arc::clone(key));
                    self.try_service(*address, key, rules).await
                }
            };
            if let TryEnd::Final(outcome) = end {
                record.outcome = outcome;
                break;
            }
        }
        record.ended = rules.now();
        record
    }

    fn chat_call(
        &self,
        address: SocketAddr,
        rules: &CallerRules,
        seed: u64,
        (prompt, max_tokens): (&Arc<str>, u32),
    ) -> HttpCall {
        let chat = ChatRequest {
            model: rules.model.0.to_string(),
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

    async fn try_chat(
        &self,
        call: HttpCall,
        reference: &str,
        rules: &CallerRules,
        record: &mut RequestRecord,
    ) -> TryEnd {
        let left = rules.left();
        if left.is_zero() {
            return TryEnd::Final(RequestOutcome::Unfinished);
        }
        let reply = match self.pool.send(&call.timeout(HEAD_TIMEOUT.min(left))).await {
            Ok(reply) if reply.status() == 200 => reply,
            Ok(reply) => return TryEnd::Final(refusal(&reply)),
            Err(SendError::TimedOut) if rules.left().is_zero() => {
                return TryEnd::Final(RequestOutcome::Unfinished);
            }
            Err(_cause) => return TryEnd::Elsewhere,
        };
        read_answer(SseReader::new(reply), reference, rules, record).await
    }

    async fn try_service(&self, address: SocketAddr, key: &str, rules: &CallerRules) -> TryEnd {
        let mut call = self
            .call(address, Method::Post, "/services/stock/orders")
            .header("idempotency-key", key)
            .json(&serde_json::json!({ "order": key }))
            .timeout(HEAD_TIMEOUT.min(rules.left()));
        call.reuse = ConnectionReuse::NewConnection;
        match self.pool.send(&call).await {
            Ok(reply) if reply.status() == 200 => match reply.bytes().await {
                Ok(_body) => TryEnd::Final(RequestOutcome::Completed),
                Err(_cause) => TryEnd::Final(RequestOutcome::Unknown),
            },
            Ok(reply) => TryEnd::Final(refusal(&reply)),
            Err(SendError::NotSent(_)) => TryEnd::Elsewhere,
            Err(_cause) => TryEnd::Final(RequestOutcome::Unknown),
        }
    }
}

fn reference(rules: &CallerRules, seed: u64, prompt: &str, max_tokens: u32) -> String {
    let (model, version, layers) = &rules.model;
    reference_text((model, version, *layers), seed, prompt, max_tokens)
}

/// What an answer with an error status means.
fn refusal(reply: &HttpResponse) -> RequestOutcome {
    match (reply.header("x-outcome"), reply.header("retry-after")) {
        (Some("not_run"), Some(_)) => RequestOutcome::Refused,
        (Some("not_run"), None) => RequestOutcome::RefusedBare,
        (Some("partial"), _) => RequestOutcome::Partial,
        _ => RequestOutcome::Unknown,
    }
}

async fn read_answer(
    mut reader: SseReader,
    reference: &str,
    rules: &CallerRules,
    record: &mut RequestRecord,
) -> TryEnd {
    let mut text = String::new();
    let mut seen = 0;
    loop {
        let left = rules.left();
        let limit = rules.restart_gap.map_or(left, |gap| gap.min(left));
        let event = match timeout(limit, reader.next()).await {
            Err(_elapsed) if rules.left().is_zero() => {
                return TryEnd::Final(RequestOutcome::Unfinished);
            }
            Err(_) | Ok(Err(_) | Ok(None)) => return TryEnd::Elsewhere,
            Ok(Ok(Some(event))) => event,
        };
        match read_event(&event) {
            StreamStep::Role(identifier) => record.identifiers.push(identifier),
            StreamStep::Token(token) => {
                text.push_str(&token);
                seen += 1;
                if seen > record.tokens.len() {
                    record.tokens.push(rules.now());
                }
            }
            StreamStep::Finish => {}
            StreamStep::Problem(outcome) => return TryEnd::Final(outcome),
            StreamStep::End if text == reference => {
                reader.release();
                return TryEnd::Final(RequestOutcome::Completed);
            }
            StreamStep::End | StreamStep::Malformed => {
                return TryEnd::Final(RequestOutcome::Wrong);
            }
        }
    }
}

/// What one event of a streamed answer says.
enum StreamStep {
    Role(Arc<str>),
    Token(Arc<str>),
    Finish,
    End,
    Problem(RequestOutcome),
    Malformed,
}

fn read_event(event: &str) -> StreamStep {
    if event == "[DONE]" {
        return StreamStep::End;
    }
    if event.starts_with("{\"error\"") {
        return StreamStep::Problem(read_problem(event));
    }
    let Ok(chunk) = serde_json::from_str::<ChatResponse>(event) else {
        return StreamStep::Malformed;
    };
    let Some(choice) = chunk.choices.first() else {
        return StreamStep::Malformed;
    };
    match &choice.delta {
        Some(delta) if delta.role.is_some() => StreamStep::Role(Arc::from(chunk.id)),
        Some(delta) => match &delta.content {
            Some(text) => StreamStep::Token(Arc::clone(text)),
            None => StreamStep::Finish,
        },
        None => StreamStep::Finish,
    }
}

fn read_problem(event: &str) -> RequestOutcome {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    match value["error"]["outcome"].as_str() {
        Some("partial") => RequestOutcome::Partial,
        Some("not_run") => RequestOutcome::Refused,
        _ => RequestOutcome::Unknown,
    }
}
