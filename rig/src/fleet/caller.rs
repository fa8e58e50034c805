//! A caller that follows the address protocol: it asks which daemons to use, keeps the answer for
//! its lifetime and goes on through another kept address when one fails.

use crate::fleet::layout::HEAD_OFFICE_TOKEN;
use arbutusmount::{
    AddressResponse, AskRequest, ConnectionPool, HttpCall, OperatorClient, OperatorError, SendError,
};
use http_types::Method;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time allowed for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed until the head of a service's answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of a refusal that says the request was not run.
const UNAVAILABLE: u16 = 503;

/// How a request of a caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer, and the daemon that gave it.
    Completed(String, SocketAddr),
    /// Every kept address refused it without running it.
    Refused(String),
    /// It was cut off or its outcome is not known.
    Failed(String),
}

#[derive(Debug)]
struct KeptAnswer {
    answer: AddressResponse,
    since: Instant,
}

/// What to do after a try at one address.
enum TryStep {
    Done(CallOutcome),
    Next(String),
}

/// A caller of the team `head-office`; cheap to clone.
#[derive(Debug, Clone)]
pub struct AddressCaller {
    client: OperatorClient,
    pool: Arc<ConnectionPool>,
    seeds: Vec<SocketAddr>,
    kept: Arc<Mutex<Option<KeptAnswer>>>,
}

impl AddressCaller {
    /// Creates a caller that knows these daemons at first.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            client: OperatorClient::new(HEAD_OFFICE_TOKEN),
            pool: ConnectionPool::new(CONNECT_TIMEOUT, 4),
            seeds,
            kept: Arc::default(),
        }
    }

    /// Asks a model; tries the next address while none has run the request.
    pub async fn ask(&self, ask: &AskRequest) -> CallOutcome {
        let mut last = "no address".to_owned();
        for address in self.addresses().await {
            let mut text = String::new();
            let asked = self.client.ask(address, ask, |piece| text.push_str(piece));
            match judge_ask(asked.await, address, &text) {
                TryStep::Done(outcome) => return outcome,
                TryStep::Next(cause) => last = cause,
            }
        }
        CallOutcome::Refused(last)
    }

    /// Calls the service `stock` with an idempotency key, each address at most once.
    pub async fn call_service(&self, path: &str, key: &str) -> CallOutcome {
        let mut last = "no address".to_owned();
        for address in self.addresses().await {
            match self.call_service_at(address, path, key).await {
                TryStep::Done(outcome) => return outcome,
                TryStep::Next(cause) => last = cause,
            }
        }
        CallOutcome::Refused(last)
    }

    async fn call_service_at(&self, address: SocketAddr, path: &str, key: &str) -> TryStep {
        let call = HttpCall::new(address, Method::Post, format!("/services/stock/{path}"))
            .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
            .header("idempotency-key", key)
            .timeout(HEAD_TIMEOUT)
            .without_retry();
        let reply = match self.pool.send(&call).await {
            Ok(reply) => reply,
            Err(SendError::NotSent(cause)) => return TryStep::Next(cause),
            Err(cause) => return TryStep::Done(CallOutcome::Failed(cause.to_string())),
        };
        let status = reply.status();
        let body = match reply.bytes().await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(cause) => return TryStep::Done(CallOutcome::Failed(cause.to_string())),
        };
        match status {
            200 => TryStep::Done(CallOutcome::Completed(body, address)),
            UNAVAILABLE if body.contains("not_run") => TryStep::Next(body),
            _ => TryStep::Done(CallOutcome::Failed(format!("status {status}: {body}"))),
        }
    }

    /// Addresses to try, the chosen one first. The kept answer is used for its lifetime; when it
    /// has expired, any daemon known is asked for the next one.
    async fn addresses(&self) -> Vec<SocketAddr> {
        if let Some(addresses) = self.kept_addresses(false) {
            return addresses;
        }
        let known = self.kept_addresses(true).unwrap_or_default();
        for daemon in known.iter().chain(&self.seeds) {
            if let Ok(answer) = self.client.addresses(*daemon).await {
                let since = Instant::now();
                let mut kept = self.kept.lock().expect("answer lock is never poisoned");
                *kept = Some(KeptAnswer { answer, since });
                break;
            }
        }
        self.kept_addresses(true).unwrap_or_default()
    }

    fn kept_addresses(&self, also_expired: bool) -> Option<Vec<SocketAddr>> {
        let kept = self.kept.lock().expect("answer lock is never poisoned");
        let kept = kept.as_ref()?;
        let lifetime = Duration::from_millis(kept.answer.lifetime_ms);
        if !also_expired && kept.since.elapsed() >= lifetime {
            return None;
        }
        Some(kept.answer.weighted_shuffle(&mut fastrand::Rng::new()))
    }
}

fn judge_ask(asked: Result<String, OperatorError>, address: SocketAddr, text: &str) -> TryStep {
    match asked {
        Ok(_finish) => TryStep::Done(CallOutcome::Completed(text.to_owned(), address)),
        Err(OperatorError::Send(SendError::NotSent(cause))) => TryStep::Next(cause),
        Err(OperatorError::Problem { status, body })
            if status == UNAVAILABLE && body.contains("not_run") =>
        {
            TryStep::Next(body)
        }
        Err(cause) => TryStep::Done(CallOutcome::Failed(cause.to_string())),
    }
}
