//! Stand-in for a plain service: runs calls and records each run in a ledger.

use crate::web::json_response;
use arbutusmount::{ConnectionCount, serve_http};
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::io::{BufReader, repeat};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tide::{Body, Request, Response, StatusCode};

/// Behaviour of a service; it can be changed while the service runs.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceKnobs {
    /// Time from the arrival of a call to its run, in milliseconds.
    pub before_ms: u64,
    /// Time from the run of a call to its reply, in milliseconds.
    pub after_ms: u64,
    /// Exit the process before running a call.
    pub die_before: bool,
    /// Exit the process after running a call, before its reply.
    pub die_after: bool,
    /// Refuse calls with status 503 without running them.
    pub refuse: bool,
    /// Run calls and reply with a body without end.
    pub endless: bool,
}

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// Idempotency key; empty when the call had none.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path of the URL.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

#[derive(Debug, Default)]
struct ServiceInner {
    knobs: Mutex<ServiceKnobs>,
    ledger: Mutex<Vec<RunRecord>>,
    /// Idempotency keys of all calls received, in order.
    arrivals: Mutex<Vec<String>>,
    /// Ledger file, if the ledger outlives the process.
    file: Option<Mutex<File>>,
}

/// A stand-in service; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandIn(Arc<ServiceInner>);

impl ServiceStandIn {
    /// Creates a service whose ledger ends with its process.
    pub fn new(knobs: ServiceKnobs) -> Self {
        let inner = ServiceInner {
            knobs: Mutex::new(knobs),
            ..ServiceInner::default()
        };
        Self(Arc::new(inner))
    }

    /// Creates a service with a ledger file, which outlives the process: one JSON line for each
    /// run, written before the reply.
    ///
    /// # Errors
    /// When the file cannot be opened or holds an invalid record.
    pub fn with_ledger(knobs: ServiceKnobs, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let inner = ServiceInner {
            knobs: Mutex::new(knobs),
            ledger: Mutex::new(read_ledger(path)?),
            file: Some(Mutex::new(file)),
            ..ServiceInner::default()
        };
        Ok(Self(Arc::new(inner)))
    }

    /// Serves on `listener` until the task is cancelled.
    ///
    /// # Errors
    /// Only when the listener is closed.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut app = tide::with_state(self);
        app.at("/admin/ledger")
            .get(|request: Request<Self>| async move {
                let ledger = request
                    .state()
                    .0
                    .ledger
                    .lock()
                    .expect("ledger lock is never poisoned");
                Ok(json_response(StatusCode::Ok, &*ledger))
            });
        app.at("/admin/arrivals")
            .get(|request: Request<Self>| async move {
                let arrivals = request.state().0.arrivals.lock();
                let arrivals = arrivals.expect("arrival lock is never poisoned");
                Ok(json_response(StatusCode::Ok, &*arrivals))
            });
        app.at("/admin/knobs")
            .post(|mut request: Request<Self>| async move {
                let knobs: ServiceKnobs = request.body_json().await?;
                *request
                    .state()
                    .0
                    .knobs
                    .lock()
                    .expect("knob lock is never poisoned") = knobs;
                Ok(json_response(StatusCode::Ok, &serde_json::json!({})))
            });
        app.at("/*path").all(run_call);
        serve_http(listener, app, ConnectionCount::default()).await
    }

    fn knobs(&self) -> ServiceKnobs {
        self.0
            .knobs
            .lock()
            .expect("knob lock is never poisoned")
            .clone()
    }

    /// Records that a call with this idempotency key has arrived, whether or not it will run.
    fn record_arrival(&self, key: &str) {
        let mut arrivals = self
            .0
            .arrivals
            .lock()
            .expect("arrival lock is never poisoned");
        arrivals.push(key.to_owned());
    }

    /// Adds a run to the ledger and returns its number, from 1.
    fn record_run(&self, record: RunRecord) -> usize {
        if let Some(file) = &self.0.file {
            let line = serde_json::to_string(&record).expect("run records serialize");
            let mut file = file.lock().expect("file lock is never poisoned");
            writeln!(file, "{line}").expect("the ledger is writable");
        }
        let mut ledger = self.0.ledger.lock().expect("ledger lock is never poisoned");
        ledger.push(record);
        ledger.len()
    }
}

/// Longest wait for a record that is being written.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Period of checking whether the record is complete.
const RECORD_POLL: Duration = Duration::from_millis(10);

/// Reads the ledger file of a service made by [`ServiceStandIn::with_ledger`]. The last record may
/// still be in writing: it is waited for up to 2 s, and is an error if it stays incomplete.
///
/// # Errors
/// When the file cannot be read or holds an invalid record.
pub fn read_ledger(path: &Path) -> io::Result<Vec<RunRecord>> {
    let started = Instant::now();
    let mut text = std::fs::read_to_string(path)?;
    while !text.is_empty() && !text.ends_with('\n') && started.elapsed() < RECORD_TIMEOUT {
        std::thread::sleep(RECORD_POLL);
        text = std::fs::read_to_string(path)?;
    }
    let parse = |line| serde_json::from_str(line).map_err(io::Error::other);
    text.lines().map(parse).collect()
}

async fn run_call(mut request: Request<ServiceStandIn>) -> tide::Result {
    let body = request.body_string().await?;
    let service = request.state().clone();
    let knobs = service.knobs();
    let key = request
        .header("idempotency-key")
        .map(|values| values.last().as_str().to_owned())
        .unwrap_or_default();
    service.record_arrival(&key);
    if knobs.refuse {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    task::sleep(Duration::from_millis(knobs.before_ms)).await;
    if knobs.die_before {
        std::process::exit(70);
    }
    let record = RunRecord {
        key,
        method: request.method().to_string(),
        path: request.url().path().to_owned(),
        body,
    };
    let reply = serde_json::json!({ "key": record.key, "path": record.path });
    let number = service.record_run(record);
    if knobs.die_after {
        std::process::exit(70);
    }
    task::sleep(Duration::from_millis(knobs.after_ms)).await;
    if knobs.endless {
        let body = BufReader::new(repeat(b'x'));
        return Ok(Response::builder(StatusCode::Ok)
            .body(Body::from_reader(body, None))
            .build());
    }
    let mut reply = reply;
    reply["run"] = number.into();
    Ok(json_response(StatusCode::Ok, &reply))
}
