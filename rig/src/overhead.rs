//! Measures what the daemon adds to a request, against the same request sent straight to an engine.

use crate::engine::EngineKnobs;
use crate::fleet::{
    FleetSpec, HEAD_OFFICE_TOKEN, OPERATOR_TOKEN, ProcessFleet, ProgramPaths, sample_declaration,
};
use crate::load::read_usage;
use arbutusmount::{
    AskRequest, AttemptNumber, ChainStage, ChatMessage, ChatRequest, ConnectionPool, EngineClient,
    EngineEvent, GenerateRequest, OperatorClient, PipelineWork, PlanRequest, RequestId,
    StreamRecord,
};
use async_std::task;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Result of the measurement.
type Result<T> = std::result::Result<T, String>;

/// Requests in progress at once.
const STREAMS: [usize; 3] = [1, 8, 64];
/// Length of one phase.
const PHASE: Duration = Duration::from_secs(2);
/// Phases of each kind, taken in turn.
const ROUNDS: usize = 3;
/// Tokens of each answer.
const TOKENS: u32 = 4;
/// Longest latency recorded, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// How requests are sent.
#[derive(Debug, Clone)]
enum RequestPath {
    /// Straight to the first engine of the chain.
    Direct(EngineClient, Vec<ChainStage>),
    /// Through the daemon.
    Routed(OperatorClient, SocketAddr),
}

/// Requests of one kind at one number of streams.
struct PathFigures {
    latency: Histogram<u64>,
    seconds: f64,
}

impl PathFigures {
    fn new() -> Result<Self> {
        let latency = Histogram::new_with_max(MAX_MICROS, 3).map_err(|e| e.to_string())?;
        let seconds = 0.0;
        Ok(Self { latency, seconds })
    }

    fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.seconds
    }

    fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Runs the measurement and prints it as a Markdown table.
///
/// # Errors
/// What went wrong, as text.
pub async fn measure_overhead(programs: ProgramPaths) -> Result<()> {
    let knobs = EngineKnobs {
        layer_micros: 20,
        item_micros: 0,
        prefill_micros: 0,
        max_batch: 256,
        ..EngineKnobs::default()
    };
    let spec = FleetSpec {
        daemons: 1,
        engines: vec![(knobs, 8_000); 3],
        services: 0,
        ..FleetSpec::default()
    };
    let fleet = ProcessFleet::start(spec, programs).await;
    fleet.declare(&sample_declaration(1)).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let direct = direct_path(daemon).await?;
    let routed = RequestPath::Routed(OperatorClient::new(HEAD_OFFICE_TOKEN), daemon);
    println!("| streams | direct/s | routed/s | added p50 ms | added p99 ms | daemon KiB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for streams in STREAMS {
        let (mut alone, mut through) = (PathFigures::new()?, PathFigures::new()?);
        for _ in 0..ROUNDS {
            run_phase(&direct, streams, &mut alone).await?;
            run_phase(&routed, streams, &mut through).await?;
        }
        let added = |quantile| through.millis(quantile) - alone.millis(quantile);
        println!(
            "| {streams} | {:.0} | {:.0} | {:.2} | {:.2} | {} |",
            alone.rate(),
            through.rate(),
            added(0.5),
            added(0.99),
            read_usage(fleet.daemons[0].process.id()).resident_kib,
        );
    }
    Ok(())
}

/// The chain that the daemon uses, read from its plan for what is declared already.
async fn direct_path(daemon: SocketAddr) -> Result<RequestPath> {
    let wanted = PlanRequest {
        author: Arc::from("overhead"),
        declaration: sample_declaration(1),
    };
    let client = OperatorClient::new(OPERATOR_TOKEN);
    let plan = client
        .plan(daemon, &wanted)
        .await
        .map_err(|e| e.to_string())?;
    let mut placements = plan.document.placements;
    placements.sort_by_key(|row| row.layers.from);
    let stage = |row: arbutusmount::StagePlacement| ChainStage {
        instance: row.instance,
        address: row.address,
        layers: row.layers,
    };
    let chain = placements.into_iter().map(stage).collect();
    let pool = ConnectionPool::new(Duration::from_secs(1), 128);
    Ok(RequestPath::Direct(EngineClient::new(pool, PHASE), chain))
}

async fn run_phase(path: &RequestPath, streams: usize, figures: &mut PathFigures) -> Result<()> {
    let start = Instant::now();
    let callers: Vec<_> = (0..streams)
        .map(|_| task::spawn(call_until(path.clone(), start + PHASE)))
        .collect();
    for caller in callers {
        for micros in caller.await? {
            figures.latency.saturating_record(micros);
        }
    }
    figures.seconds += start.elapsed().as_secs_f64();
    Ok(())
}

/// Sends requests one after another; the latency of each in microseconds.
async fn call_until(path: RequestPath, end: Instant) -> Result<Vec<u64>> {
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        match &path {
            RequestPath::Direct(engines, chain) => call_direct(engines, chain).await?,
            RequestPath::Routed(client, daemon) => call_routed(client, *daemon).await?,
        }
        latencies.push(start.elapsed().as_micros() as u64);
    }
    Ok(latencies)
}

async fn call_direct(engines: &EngineClient, chain: &[ChainStage]) -> Result<()> {
    let request = GenerateRequest {
        work: PipelineWork {
            request: RequestId::random(&mut fastrand::Rng::new()),
            attempt: AttemptNumber(1),
            model: "helpdesk".parse().map_err(|e| format!("{e}"))?,
            version: "v1".parse().map_err(|e| format!("{e}"))?,
            chain: chain.to_vec(),
            priority: 0,
        },
        prompt: Arc::from("user: hello"),
        prefix: Vec::new(),
        seed: 1,
        max_tokens: TOKENS,
    };
    let mut stream = engines
        .generate(&request)
        .await
        .map_err(|e| e.to_string())?;
    loop {
        match stream.next().await {
            EngineEvent::Record(StreamRecord::Token { .. }) => {}
            EngineEvent::Record(StreamRecord::Finish { .. }) => break,
            other => return Err(format!("the engine's stream broke: {other:?}")),
        }
    }
    stream.read_to_end().await;
    Ok(())
}

async fn call_routed(client: &OperatorClient, daemon: SocketAddr) -> Result<()> {
    let message = ChatMessage {
        role: Arc::from("user"),
        content: Arc::from("hello"),
    };
    let chat = ChatRequest {
        model: "helpdesk".to_owned(),
        messages: vec![message],
        max_tokens: Some(TOKENS),
        stream: true,
        seed: Some(1),
        ..ChatRequest::default()
    };
    let asked = client.ask(daemon, &AskRequest { chat }, |_piece| {}).await;
    asked.map(drop).map_err(|e| e.to_string())
}
