//! The engine's HTTP interface and state.

use crate::engine::batcher::{StepBatcher, StepCost};
use crate::engine::generate::{ActivationFailure, ActivationMessage, generate, run_stage};
use crate::engine::knobs::EngineKnobs;
use crate::engine::kv::KvCache;
use crate::engine::link::LinkQueues;
use crate::engine::session::SessionTable;
use crate::engine::stage_slot::StageSlot;
use crate::engine::stream_fault::StreamFault;
use crate::web::json_response;
use arbutusmount::{
    AttemptNumber, CancelRequest, ConnectionCount, ConnectionPool, EngineOrder, EngineReport,
    GenerateRequest, InstanceId, LayerRange, RequestId, StageProgress, StreamRecord, TokenPosition,
    encode_event, serve_http, sse_response,
};
use async_std::channel::{Receiver, bounded};
use async_std::net::TcpListener;
use async_std::task;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// Events of one stream that are buffered for the router.
const STREAM_BUFFER_EVENTS: usize = 64;
/// Ledger entries kept; the oldest are dropped first.
const MAX_LEDGER_ENTRIES: usize = 200_000;
/// Cancelled attempts kept; the oldest are dropped first.
const MAX_CANCELLED_ATTEMPTS: usize = 10_000;
/// Period of the load records from which lagged reports are served.
const LOAD_RECORD_PERIOD: Duration = Duration::from_millis(20);
/// Load records kept; the oldest are dropped first.
const MAX_LOAD_RECORDS: usize = 1_000;

/// One stage step that an engine has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Request that the step was run for.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: AttemptNumber,
    /// Position of the generated token in the answer.
    pub position: TokenPosition,
    /// Layers that the step ran.
    pub layers: LayerRange,
}

/// The last [`MAX_CANCELLED_ATTEMPTS`] cancelled attempts.
#[derive(Debug, Default)]
struct CancelledSet {
    attempts: HashSet<(RequestId, AttemptNumber)>,
    order: VecDeque<(RequestId, AttemptNumber)>,
}

struct EngineInner {
    instance: InstanceId,
    knobs: Mutex<EngineKnobs>,
    batcher: StepBatcher,
    slot: StageSlot,
    pool: Arc<ConnectionPool>,
    cache: Mutex<KvCache>,
    ledger: Mutex<VecDeque<LedgerEntry>>,
    cancelled: Mutex<CancelledSet>,
    links: LinkQueues,
    reports: Mutex<VecDeque<(Instant, EngineReport)>>,
    sessions: SessionTable,
    /// Random number drawn at start; tells a restarted engine from its previous process.
    incarnation: u64,
}

/// A stand-in engine; cheap to clone.
#[derive(Clone)]
pub struct EngineStandIn(Arc<EngineInner>);

impl std::fmt::Debug for EngineStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("EngineStandIn")
            .field(&self.0.instance)
            .finish()
    }
}

impl EngineStandIn {
    /// Creates an engine that loads its weights from the weight store at `weights`; without a
    /// store, stages are ready at once.
    pub fn new(instance: InstanceId, weights: Option<SocketAddr>, knobs: EngineKnobs) -> Self {
        let pool = ConnectionPool::new(Duration::from_millis(500), 256);
        let batcher = StepBatcher::start(StepCost {
            layer_micros: knobs.layer_micros,
            item_micros: knobs.item_micros,
            prefill_micros: knobs.prefill_micros,
            max_batch: knobs.max_batch,
        });
        batcher.set_slow_percent(knobs.slow_percent);
        Self(Arc::new(EngineInner {
            instance,
            batcher,
            slot: StageSlot::new(weights, Arc::clone(&pool)),
            pool,
            cache: Mutex::new(KvCache::new(knobs.kv_tokens)),
            knobs: Mutex::new(knobs),
            ledger: Mutex::default(),
            cancelled: Mutex::default(),
            links: LinkQueues::default(),
            reports: Mutex::default(),
            sessions: SessionTable::default(),
            incarnation: fastrand::u64(1..),
        }))
    }

    /// Serves on `listener` until the task is cancelled.
    ///
    /// # Errors
    /// Only when the listener is closed.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        task::spawn(record_load(self.clone()));
        let mut app = tide::with_state(self);
        app.at("/v1/generate").post(handle_generate);
        app.at("/v1/activation").post(handle_activation);
        app.at("/v1/cancel").post(handle_cancel);
        app.at("/v1/orders").post(handle_order);
        app.at("/v1/report")
            .get(|request: Request<Self>| async move {
                Ok(json_response(
                    StatusCode::Ok,
                    &request.state().lagged_report(),
                ))
            });
        app.at("/v1/progress/:request").get(handle_progress);
        app.at("/v1/ledger")
            .get(|request: Request<Self>| async move {
                Ok(json_response(StatusCode::Ok, &request.state().ledger()))
            });
        app.at("/admin/knobs").post(handle_knobs);
        serve_http(listener, app, ConnectionCount::default()).await
    }

    /// Stage steps run so far, oldest first.
    ///
    /// # Panics
    /// Only after another thread has panicked while holding the ledger.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        let ledger = self.0.ledger.lock().expect("ledger lock is never poisoned");
        ledger.iter().copied().collect()
    }

    pub(super) fn instance(&self) -> &InstanceId {
        &self.0.instance
    }

    pub(super) fn batcher(&self) -> &StepBatcher {
        &self.0.batcher
    }

    pub(super) fn slot(&self) -> &StageSlot {
        &self.0.slot
    }

    pub(super) fn pool(&self) -> &Arc<ConnectionPool> {
        &self.0.pool
    }

    /// True when a prompt contains the crash marker.
    pub(super) fn is_marked(&self, prompt: &str) -> bool {
        let marker = self.knobs().crash_marker;
        !marker.is_empty() && prompt.contains(&*marker)
    }

    /// Index of the stage at which a marked prompt makes its engine exit.
    pub(super) fn crash_stage(&self) -> usize {
        self.knobs().crash_stage
    }

    pub(super) fn stream_fault(&self) -> StreamFault {
        self.knobs().stream_fault
    }

    /// Queues this many activations on the link to another engine and returns the time until they
    /// have arrived.
    pub(super) fn link_delay(&self, destination: &InstanceId, activations: u32) -> Duration {
        let (link, default) = self.with_knobs(|knobs| {
            (
                knobs.links.get(destination.as_str()).copied(),
                knobs.link_ms,
            )
        });
        link.map_or(Duration::from_millis(default), |link| {
            self.0
                .links
                .enqueue(destination.as_str(), link, activations)
        })
    }

    pub(super) fn failure(&self, cause: &str) -> ActivationFailure {
        ActivationFailure {
            instance: self.0.instance.clone(),
            cause: Arc::from(cause),
        }
    }

    pub(super) fn sessions(&self) -> &SessionTable {
        &self.0.sessions
    }

    pub(super) fn extend_cache(&self, request: RequestId, context_tokens: u32) -> u32 {
        let mut cache = self.0.cache.lock().expect("cache lock is never poisoned");
        cache.extend(request, context_tokens)
    }

    pub(super) fn record(&self, entry: LedgerEntry) {
        let mut ledger = self.0.ledger.lock().expect("ledger lock is never poisoned");
        if ledger.len() == MAX_LEDGER_ENTRIES {
            ledger.pop_front();
        }
        ledger.push_back(entry);
    }

    pub(super) fn is_cancelled(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let cancelled = self
            .0
            .cancelled
            .lock()
            .expect("cancel lock is never poisoned");
        cancelled.attempts.contains(&(request, attempt))
    }

    fn cancel(&self, cancel: CancelRequest) {
        let mut cancelled = self
            .0
            .cancelled
            .lock()
            .expect("cancel lock is never poisoned");
        let attempt = (cancel.request, cancel.attempt);
        if cancelled.attempts.insert(attempt) {
            cancelled.order.push_back(attempt);
        }
        if cancelled.order.len() > MAX_CANCELLED_ATTEMPTS
            && let Some(oldest) = cancelled.order.pop_front()
        {
            cancelled.attempts.remove(&oldest);
        }
    }

    fn knobs(&self) -> EngineKnobs {
        self.with_knobs(EngineKnobs::clone)
    }

    fn with_knobs<T>(&self, read: impl FnOnce(&EngineKnobs) -> T) -> T {
        read(&self.0.knobs.lock().expect("knob lock is never poisoned"))
    }

    /// Load report as of now.
    fn report(&self) -> EngineReport {
        let (queued, running) = self.0.batcher.load();
        let cost = self.0.batcher.cost();
        let stages = self.0.slot.stages();
        let layers = stages
            .first()
            .map_or(0, |stage| u64::from(stage.layers.len()));
        EngineReport {
            stages,
            queued,
            running,
            sessions: self.0.sessions.count(),
            step_micros: layers * cost.layer_micros,
            item_micros: layers * cost.item_micros,
            max_batch: cost.max_batch as u32,
            age_ms: 0,
            leaving: self.with_knobs(|knobs| knobs.leaving),
            incarnation: self.0.incarnation,
        }
    }

    /// Load report with the age that the knobs ask for, as far as records go back.
    fn lagged_report(&self) -> EngineReport {
        let lag = Duration::from_millis(self.with_knobs(|knobs| knobs.report_lag_ms));
        let reports = self
            .0
            .reports
            .lock()
            .expect("report lock is never poisoned");
        let old_enough = |(time, _): &&(Instant, EngineReport)| time.elapsed() >= lag;
        let found = reports
            .iter()
            .rev()
            .find(old_enough)
            .or_else(|| reports.front());
        match found {
            Some((time, report)) if !lag.is_zero() => EngineReport {
                age_ms: time.elapsed().as_millis() as u64,
                ..report.clone()
            },
            _ => {
                drop(reports);
                self.report()
            }
        }
    }
}

/// Records the load periodically, for lagged reports.
async fn record_load(engine: EngineStandIn) {
    loop {
        let report = engine.report();
        {
            let mut reports = engine
                .0
                .reports
                .lock()
                .expect("report lock is never poisoned");
            if reports.len() == MAX_LOAD_RECORDS {
                reports.pop_front();
            }
            reports.push_back((Instant::now(), report));
        };
        task::sleep(LOAD_RECORD_PERIOD).await;
    }
}

async fn handle_generate(mut request: Request<EngineStandIn>) -> tide::Result {
    let generation: GenerateRequest = request.body_json().await?;
    let engine = request.state().clone();
    let knobs = engine.knobs();
    let layers = generation.work.chain.first().map(|stage| stage.layers);
    let can_run = layers.is_some_and(|layers| engine.slot().can_run(&generation.work, layers));
    if knobs.refuse || !can_run {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let (sender, receiver) = bounded(STREAM_BUFFER_EVENTS);
    task::spawn(generate(engine, generation, sender));
    Ok(sse_response(futures_lite::stream::unfold(receiver, next_event)).into())
}

async fn next_event(
    receiver: Receiver<StreamRecord>,
) -> Option<(io::Result<Vec<u8>>, Receiver<StreamRecord>)> {
    let record = receiver.recv().await.ok()?;
    let data = serde_json::to_string(&record).expect("records serialize");
    Some((Ok(encode_event(&data)), receiver))
}

async fn handle_activation(mut request: Request<EngineStandIn>) -> tide::Result {
    let message: ActivationMessage = request.body_json().await?;
    match run_stage(request.state(), message).await {
        Ok(reply) => Ok(json_response(StatusCode::Ok, &reply)),
        Err(failure) => Ok(json_response(StatusCode::BadGateway, &failure)),
    }
}

async fn handle_progress(request: Request<EngineStandIn>) -> tide::Result {
    let id: RequestId = request
        .param("request")?
        .parse()
        .map_err(|_cause| tide::Error::from_str(StatusCode::BadRequest, "malformed request id"))?;
    let engine = request.state();
    let (queued, running) = engine.0.batcher.load();
    let progress = StageProgress {
        queued,
        running,
        incarnation: engine.0.incarnation,
        ..engine.0.sessions.progress(id)
    };
    Ok(json_response(StatusCode::Ok, &progress))
}

async fn handle_cancel(mut request: Request<EngineStandIn>) -> tide::Result {
    let cancel: CancelRequest = request.body_json().await?;
    request.state().cancel(cancel);
    Ok(json_response(StatusCode::Ok, &serde_json::json!({})))
}

async fn handle_order(mut request: Request<EngineStandIn>) -> tide::Result {
    let order: EngineOrder = request.body_json().await?;
    let engine = request.state();
    let reply = engine
        .slot()
        .apply_order(&order, engine.knobs().honours_fencing);
    Ok(json_response(StatusCode::Ok, &reply))
}

async fn handle_knobs(mut request: Request<EngineStandIn>) -> tide::Result {
    let changes: serde_json::Map<String, serde_json::Value> = request.body_json().await?;
    let engine = request.state();
    let mut knobs = engine.0.knobs.lock().expect("knob lock is never poisoned");
    let mut value = serde_json::to_value(&*knobs)?;
    for (name, change) in changes {
        value[name] = change;
    }
    *knobs = serde_json::from_value(value)?;
    engine.0.batcher.set_slow_percent(knobs.slow_percent);
    Ok(json_response(StatusCode::Ok, &*knobs))
}
