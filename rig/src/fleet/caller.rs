//! A caller that follows the address protocol: it asks a daemon which addresses to use, caches the
//! response for its lifetime and fails over to another cached address.

use crate::fleet::layout::HEAD_OFFICE_TOKEN;
use arbutusmount::{
    AddressResponse, AskRequest, ConnectionPool, HttpCall, OperatorClient, OperatorError, SendError,
};
use http_types::Method;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of a connection to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a response head of a service.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of a refusal; its body says whether the request was not executed.
const UNAVAILABLE: u16 = 503;

/// How a request of a caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete text of the response, and the daemon that sent it.
    Completed(String, SocketAddr),
    /// Every cached address refused it as not executed; the last cause.
    Refused(String),
    /// It failed or its outcome is unknown; the cause.
    Failed(String),
}

#[derive(Debug)]
struct CachedAddresses {
    response: AddressResponse,
    received: Instant,
}

/// What follows an attempt at one address.
enum AttemptStep {
    /// The request has ended.
    Done(CallOutcome),
    /// The request was not executed, for this cause; the next address may be tried.
    Next(String),
}

/// A caller of the team `head-office`; cheap to clone.
#[derive(Debug, Clone)]
pub struct AddressCaller {
    client: OperatorClient,
    pool: Arc<ConnectionPool>,
    seeds: Vec<SocketAddr>,
    cached: Arc<Mutex<Option<CachedAddresses>>>,
}

impl AddressCaller {
    /// Creates a caller that first asks these daemons for addresses.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            client: OperatorClient::new(HEAD_OFFICE_TOKEN),
            pool: ConnectionPool::new(CONNECT_TIMEOUT, 4),
            seeds,
            cached: Arc::default(),
        }
    }

    /// Asks a model; tries the next address as long as the request was not executed.
    pub async fn ask(&self, ask: &AskRequest) -> CallOutcome {
        let mut last = "no address".to_owned();
        for address in self.addresses().await {
            let mut text = String::new();
            let asked = self.client.ask(address, ask, |piece| text.push_str(piece));
            match classify_ask(asked.await, address, &text) {
                AttemptStep::Done(outcome) => return outcome,
                AttemptStep::Next(cause) => last = cause,
            }
        }
        CallOutcome::Refused(last)
    }

    /// Calls the service `stock` with an idempotency key; tries the next address as long as the
    /// request was not executed.
    pub async fn call_service(&self, path: &str, key: &str) -> CallOutcome {
        let mut last = "no address".to_owned();
        for address in self.addresses().await {
            match self.call_service_at(address, path, key).await {
                AttemptStep::Done(outcome) => return outcome,
                AttemptStep::Next(cause) => last = cause,
            }
        }
        CallOutcome::Refused(last)
    }

    async fn call_service_at(&self, address: SocketAddr, path: &str, key: &str) -> AttemptStep {
        let call = HttpCall::new(address, Method::Post, format!("/services/stock/{path}"))
            .header("authorization", &format!("Bearer {HEAD_OFFICE_TOKEN}"))
            .header("idempotency-key", key)
            .timeout(HEAD_TIMEOUT)
            .without_retry();
        let response = match self.pool.send(&call).await {
            Ok(response) => response,
            Err(SendError::NotSent(cause)) => return AttemptStep::Next(cause),
            Err(cause) => return AttemptStep::Done(CallOutcome::Failed(cause.to_string())),
        };
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(cause) => return AttemptStep::Done(CallOutcome::Failed(cause.to_string())),
        };
        match status {
            200 => AttemptStep::Done(CallOutcome::Completed(body, address)),
            UNAVAILABLE if body.contains("not_run") => AttemptStep::Next(body),
            _ => AttemptStep::Done(CallOutcome::Failed(format!("status {status}: {body}"))),
        }
    }

    /// Addresses to try, in random order by weight. The cached response is used for its lifetime;
    /// after that, the daemons known so far are asked for a new one.
    async fn addresses(&self) -> Vec<SocketAddr> {
        if let Some(addresses) = self.cached_addresses(false) {
            return addresses;
        }
        let known = self.cached_addresses(true).unwrap_or_default();
        for daemon in known.iter().chain(&self.seeds) {
            if let Ok(response) = self.client.addresses(*daemon).await {
                let received = Instant::now();
                let mut cached = self.cached.lock().expect("cache lock is never poisoned");
                *cached = Some(CachedAddresses { response, received });
                break;
            }
        }
        self.cached_addresses(true).unwrap_or_default()
    }

    fn cached_addresses(&self, allows_expired: bool) -> Option<Vec<SocketAddr>> {
        let cached = self.cached.lock().expect("cache lock is never poisoned");
        let cached = cached.as_ref()?;
        let lifetime = Duration::from_millis(cached.response.lifetime_ms);
        if !allows_expired && cached.received.elapsed() >= lifetime {
            return None;
        }
        Some(cached.response.weighted_shuffle(&mut fastrand::Rng::new()))
    }
}

fn classify_ask(
    asked: Result<String, OperatorError>,
    address: SocketAddr,
    text: &str,
) -> AttemptStep {
    match asked {
        Ok(_finish) => AttemptStep::Done(CallOutcome::Completed(text.to_owned(), address)),
        Err(OperatorError::Send(SendError::NotSent(cause))) => AttemptStep::Next(cause),
        Err(OperatorError::Problem { status, body })
            if status == UNAVAILABLE && body.contains("not_run") =>
        {
            AttemptStep::Next(body)
        }
        Err(cause) => AttemptStep::Done(CallOutcome::Failed(cause.to_string())),
    }
}
