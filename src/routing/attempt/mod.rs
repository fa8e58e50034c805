//! Asynchronous driver of the attempt state machine: connections, timers, spans and metrics of one
//! request.

mod notice;

use crate::config::ModelEntry;
use crate::engine::{CancelRequest, ChainStage, GenerateRequest, PipelineWork};
use crate::ids::{AttemptNumber, InstanceId, RequestId};
use crate::kernel::KernelContext;
use crate::poison::PoisonFingerprint;
use crate::routing::attempt_source::AttemptSource;
use crate::routing::isolation::EngineIsolation;
use crate::routing::stage_probe::{ProbeQuery, probe_stages};
use crate::routing::{
    AnswerEvent, AttemptEvent, AttemptLimits, AttemptMachine, AttemptStep, ChainChoice,
    ChainConstraints, ChainQuery, FinalAnswer, InFlightGuard, StageProbe, TargetState,
    choose_chain,
};
use crate::telemetry::{SpanGuard, TraceContext};
use crate::units::MonoTime;
use async_std::channel::Sender;
use async_std::task;
use futures_lite::future::{Boxed, FutureExt, or};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause before the retry when engines could not be reserved for an isolated run.
const MAX_ISOLATION_PAUSE: Duration = Duration::from_millis(20);
/// Retention time of a request's crash count while it is below the poison threshold.
const SUSPICION_TTL: Duration = Duration::from_secs(30);

/// One generation to run.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Request identifier.
    pub request: RequestId,
    /// Model and its placements, fixed for the whole request.
    pub entry: Arc<ModelEntry>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Sampling seed.
    pub seed: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Priority class.
    pub priority: u8,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
    /// Parent of the attempts' spans.
    pub trace: TraceContext,
    /// Callback with the wait for each token.
    pub meter: TokenMeter,
}

impl GenerationRequest {
    /// Fingerprint of the model and the prompt, the same for all teams.
    pub fn fingerprint(&self) -> PoisonFingerprint {
        let model = self.entry.spec.model.as_str();
        PoisonFingerprint::new(&[model.as_bytes(), self.prompt.as_bytes()])
    }
}

/// Callback with the time that an answer waited for each token except the first.
#[derive(Clone)]
pub struct TokenMeter(pub Arc<dyn Fn(Duration) + Send + Sync>);

impl fmt::Debug for TokenMeter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("TokenMeter").finish()
    }
}

/// Runs a generation to its final outcome and sends each token to `sink` as it arrives.
pub async fn run_generation(
    context: &Arc<KernelContext>,
    generation: &GenerationRequest,
    sink: &Sender<AnswerEvent>,
) -> FinalAnswer {
    let prior_crashes = recorded_crashes(context, generation);
    let mut machine = AttemptMachine::new(attempt_limits(context, generation, prior_crashes));
    let mut run = GenerationRun::new(context, generation);
    let mut step = machine.start();
    loop {
        for notice in machine.take_notices() {
            run.apply_notice(&notice);
        }
        let event = match step {
            AttemptStep::Finish(answer) => {
                run.finish(&answer).await;
                return answer;
            }
            AttemptStep::FindChain(constraints) => run.find_chain(&constraints).await,
            AttemptStep::Open { attempt, chain } => {
                run.open(attempt, chain, machine.delivered());
                run.wait(None).await
            }
            AttemptStep::Wait { until } => run.wait(Some(until)).await,
            AttemptStep::Probe {
                stages,
                timeout,
                until,
            } => {
                run.probe(stages, timeout);
                run.wait(Some(until)).await
            }
            AttemptStep::Deliver(text) => run.deliver(text, sink).await,
        };
        step = machine.handle(event, context.clock.now());
    }
}

fn attempt_limits(
    context: &KernelContext,
    generation: &GenerationRequest,
    prior_crashes: u32,
) -> AttemptLimits {
    let settings = &context.settings.routing;
    AttemptLimits {
        request: generation.request,
        max_tokens: generation.max_tokens,
        deadline: generation.deadline,
        token_floor: settings.token_floor(),
        token_ceiling: settings.token_ceiling(),
        first_token_limit: settings.first_token(),
        poison_crashes: settings.poison_crashes,
        prior_crashes,
    }
}

/// Crashes recorded for requests with the same model and prompt.
fn recorded_crashes(context: &KernelContext, generation: &GenerationRequest) -> u32 {
    let poison = &context.routing.poison;
    if poison.is_empty() {
        return 0;
    }
    poison.crashes(generation.fingerprint(), context.clock.now())
}

/// Attempt in progress. Dropping it before it is complete cancels it on its engines.
struct RunningAttempt {
    source: AttemptSource,
    request: Arc<GenerateRequest>,
    context: Arc<KernelContext>,
    targets: Vec<Arc<TargetState>>,
    /// Incarnation of each engine when the attempt began; 0 if unknown.
    incarnations: Vec<(InstanceId, u64)>,
    span: SpanGuard,
    is_complete: bool,
    _guards: Vec<InFlightGuard>,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let work = &self.request.work;
        let cancel = CancelRequest {
            request: work.request,
            attempt: work.attempt,
        };
        for stage in &work.chain {
            let engines = self.context.engines.clone();
            let address = stage.address;
            task::spawn(async move {
                if engines.cancel(address, &cancel).await.is_err() {
                    // An engine that cannot be reached drops the attempt with its connection.
                }
            });
        }
    }
}

/// Connections, timers, spans and metrics of one request.
struct GenerationRun<'a> {
    context: &'a Arc<KernelContext>,
    generation: &'a GenerationRequest,
    attempt: Option<RunningAttempt>,
    isolation: Option<EngineIsolation>,
    /// Probe in progress.
    probe: Option<Boxed<Vec<StageProbe>>>,
    /// Time at which the last token was delivered.
    last_token: Option<MonoTime>,
    /// Start of the wait for the next token.
    wait_start: Option<MonoTime>,
    /// Span from the first fault after the last token to the next token.
    resume_span: Option<SpanGuard>,
    /// True when a stage was found at fault after the last token.
    has_fault: bool,
}

impl<'a> GenerationRun<'a> {
    fn new(context: &'a Arc<KernelContext>, generation: &'a GenerationRequest) -> Self {
        Self {
            context,
            generation,
            attempt: None,
            isolation: None,
            probe: None,
            last_token: None,
            wait_start: None,
            resume_span: None,
            has_fault: false,
        }
    }

    async fn find_chain(&mut self, constraints: &ChainConstraints) -> AttemptEvent {
        let context = self.context;
        // Cancels the previous attempt, so that it is no longer in flight on its engines.
        self.attempt = None;
        self.isolation = None;
        let mut span = context.traces.start_span("routing", self.generation.trace);
        span.set_attribute("policy", context.settings.routing.policy);
        if recorded_crashes(context, self.generation) >= context.settings.routing.poison_crashes {
            return AttemptEvent::Poisoned;
        }
        let graphs = &context.routing.graphs;
        let graph = graphs.graph(&self.generation.entry, &context.targets);
        let now = context.clock.now();
        let query = ChainQuery {
            excluded: &constraints.excluded,
            warm: &constraints.warm,
            ignore_health: constraints.ignore_health,
            isolated: constraints.isolated,
            now,
        };
        let policy = context.settings.routing.policy;
        match choose_chain(&graph, &query, policy, &mut fastrand::Rng::new()) {
            ChainChoice::NoChain { .. } => AttemptEvent::NoChain,
            ChainChoice::Reserved => AttemptEvent::Reserved,
            ChainChoice::Chain(chain) => {
                let edges: Vec<_> = chain.iter().map(|index| &graph.edges()[*index]).collect();
                let stages = edges.iter().map(|edge| edge.stage.clone()).collect();
                let targets = edges.iter().map(|edge| Arc::clone(&edge.target));
                if constraints.isolated && !self.isolate_engines(targets.collect()).await {
                    return AttemptEvent::Reserved;
                }
                AttemptEvent::Chain(stages)
            }
        }
    }

    async fn isolate_engines(&mut self, targets: Vec<Arc<TargetState>>) -> bool {
        self.isolation = EngineIsolation::begin(self.context, &targets).await;
        if self.isolation.is_none() {
            // Jitter: two daemons that refused each other must not retry at the same moment.
            task::sleep(MAX_ISOLATION_PAUSE.mul_f64(fastrand::f64())).await;
        }
        self.isolation.is_some()
    }

    fn open(&mut self, attempt: AttemptNumber, chain: Vec<ChainStage>, prefix: &[Arc<str>]) {
        let context = self.context;
        let is_resume = attempt.0 > 1;
        let mut span = context.traces.start_span("attempt", self.generation.trace);
        span.set_attribute("attempt", attempt);
        span.set_attribute("chain", describe_chain(&chain));
        let targets: Vec<_> = chain
            .iter()
            .filter_map(|stage| context.targets.get(&stage.instance))
            .collect();
        let now = context.clock.now();
        for target in &targets {
            target.health.record_request(now);
        }
        let request = Arc::new(self.make_request(attempt, chain, prefix));
        self.probe = None;
        self.attempt = Some(RunningAttempt {
            source: AttemptSource::open(context.engines.clone(), Arc::clone(&request)),
            request,
            context: Arc::clone(context),
            _guards: targets.iter().map(TargetState::start_request).collect(),
            incarnations: targets.iter().map(read_incarnation).collect(),
            targets,
            span,
            is_complete: false,
        });
        context
            .routing
            .with_metrics(|metrics| metrics.count_attempt(is_resume));
    }

    fn make_request(
        &self,
        attempt: AttemptNumber,
        chain: Vec<ChainStage>,
        prefix: &[Arc<str>],
    ) -> GenerateRequest {
        let generation = self.generation;
        let spec = &generation.entry.spec;
        GenerateRequest {
            work: PipelineWork {
                request: generation.request,
                attempt,
                model: spec.model.clone(),
                version: spec.version.clone(),
                chain,
                priority: generation.priority,
            },
            prompt: Arc::clone(&generation.prompt),
            prefix: prefix.to_vec(),
            seed: generation.seed,
            max_tokens: generation.max_tokens,
        }
    }

    fn probe(&mut self, stages: Vec<ChainStage>, timeout: Duration) {
        let context = Arc::clone(self.context);
        let request = self.generation.request;
        let parent = self.attempt.as_ref().map(|attempt| attempt.span.context());
        let parent = parent.unwrap_or(self.generation.trace);
        let attempt = self.attempt.as_ref();
        let query = ProbeQuery {
            request,
            incarnations: attempt.map_or_else(Vec::new, |attempt| attempt.incarnations.clone()),
            stages,
            timeout,
            parent,
        };
        let probe = async move { probe_stages(&context, &query).await };
        self.probe = Some(probe.boxed());
    }

    /// Waits for the next record, for the results of a probe or for the time `until`, whichever
    /// comes first.
    async fn wait(&mut self, until: Option<MonoTime>) -> AttemptEvent {
        let now = self.context.clock.now();
        self.wait_start.get_or_insert(now);
        let attempt = &mut self.attempt;
        let record = async {
            match attempt {
                Some(attempt) => attempt.source.next().await,
                None => std::future::pending().await,
            }
        };
        let probe = &mut self.probe;
        let probed = async {
            match probe.as_mut() {
                Some(results) => AttemptEvent::Probed(results.await),
                None => std::future::pending().await,
            }
        };
        let timer = async {
            match until {
                Some(until) => task::sleep(until.since(now)).await,
                None => std::future::pending().await,
            }
            AttemptEvent::Timer
        };
        let event = or(record, or(probed, timer)).await;
        if matches!(event, AttemptEvent::Probed(_)) {
            self.probe = None;
        }
        event
    }

    async fn deliver(&mut self, text: Arc<str>, sink: &Sender<AnswerEvent>) -> AttemptEvent {
        let now = self.context.clock.now();
        self.probe = None;
        let waited = self.wait_start.take().map(|start| now.since(start));
        if let Some(waited) = waited
            && self.last_token.is_some()
            && !self.has_fault
        {
            (self.generation.meter.0)(waited);
        }
        if self.has_fault
            && let Some(last) = self.last_token
        {
            let span = now.since(last);
            self.context
                .routing
                .with_metrics(|metrics| metrics.observe_recovery(span));
        }
        self.has_fault = false;
        self.resume_span = None;
        self.last_token = Some(now);
        match sink.send(AnswerEvent::Token(text)).await {
            Ok(()) => AttemptEvent::Delivered,
            Err(_gone) => AttemptEvent::CallerGone,
        }
    }

    async fn finish(&mut self, answer: &FinalAnswer) {
        if let FinalAnswer::Poisoned { .. } = answer {
            let routing = &self.context.routing;
            routing.with_metrics(|metrics| metrics.count_suspect("refused"));
        }
        if let FinalAnswer::Complete { .. } = answer
            && let Some(mut attempt) = self.attempt.take()
        {
            attempt.is_complete = true;
            let done = AttemptSource::finished();
            std::mem::replace(&mut attempt.source, done).finish().await;
        }
    }
}

fn read_incarnation(target: &Arc<TargetState>) -> (InstanceId, u64) {
    let report = target.report();
    let incarnation = report.map_or(0, |report| report.incarnation);
    (target.instance.clone(), incarnation)
}

fn describe_chain(chain: &[ChainStage]) -> String {
    let stages = chain
        .iter()
        .map(|stage| format!("{}:{}", stage.instance, stage.layers));
    stages.collect::<Vec<_>>().join(" ")
}
