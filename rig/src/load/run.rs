//! Runs one run file: starts the fleet, sends the planned requests and sums up what became of them.

use crate::bound::{StageRate, TokenWork, flow_bound, link_rate};
use crate::fleet::ProgramPaths;
use crate::load::caller::{CallerContext, TeamCaller};
use crate::load::declare::{MODEL, VERSION, team_token};
use crate::load::faults::FaultSpec;
use crate::load::fleet::{LoadFleet, Result};
use crate::load::latency::{RequestOutcome, RequestRecord, to_micros};
use crate::load::recovery::{InjectedFault, summarise_recovery};
use crate::load::spec::RunSpec;
use crate::load::summary::{RunSummary, summarise};
use crate::load::usage::machine_cpu_time;
use crate::load::workload::{PlannedRequest, mean_lengths, plan_workload};
use crate::service::RunRecord;
use async_std::channel::{Sender, unbounded};
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after the last arrival for which requests may still end.
const COMPLETION_GRACE: Duration = Duration::from_secs(12);
/// Period of the progress line.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// What the load is sent to.
#[derive(Debug, Clone)]
pub enum RunTarget {
    /// A fleet that is started for the run; programs for the mode with processes.
    OwnFleet(Option<ProgramPaths>),
    /// Daemons that run already and know the run's model and teams. There is no bound then, and the
    /// run needs `requests_per_second` or `closed_loop`.
    Daemons(Vec<SocketAddr>),
}

/// Runs a run file; the figures and every request.
///
/// # Errors
/// What kept the run from starting, as text.
pub async fn run_load(
    spec: &RunSpec,
    target: &RunTarget,
) -> Result<(RunSummary, Vec<RequestRecord>)> {
    let mut fleet = match target {
        RunTarget::OwnFleet(programs) => Some(LoadFleet::start(spec, programs.clone()).await?),
        RunTarget::Daemons(_) => None,
    };
    let (prompt, answer) = mean_lengths(spec);
    let work = TokenWork {
        prompt_ratio: prompt / answer,
    };
    let bound = match &fleet {
        Some(fleet) => fleet_bound(spec, fleet, work, &[])?,
        None => f64::NAN,
    };
    let rate = match (spec.requests_per_second, &fleet) {
        (Some(rate), _) => rate,
        (None, Some(_)) => bound * spec.load_percent / 100.0 / answer,
        (None, None) if spec.closed_loop.is_some() => 0.0,
        (None, None) => {
            let missing =
                "$.requests_per_second: is needed against daemons of which no bound is known";
            return Err(missing.to_owned());
        }
    };
    let requests = plan_workload(spec, rate);
    eprintln!(
        "{}: bound {bound:.0} tokens/s, {} requests, {rate:.1} a second",
        spec.name,
        requests.len()
    );
    let daemons = match (target, &fleet) {
        (RunTarget::Daemons(addresses), _) => addresses.clone(),
        (RunTarget::OwnFleet(_), Some(fleet)) => fleet.daemon_addresses(),
        (RunTarget::OwnFleet(_), None) => Vec::new(),
    };
    let before = (fleet.as_ref().map(fleet_cpu_times), machine_cpu_time());
    let start = Instant::now();
    let sender = LoadSender::new(spec, &daemons, start);
    let faults = inject_faults(spec, fleet.as_mut(), start);
    let (mut records, moments) =
        futures_lite::future::zip(sender.send_all(spec, requests), faults).await;
    let elapsed = start.elapsed().as_secs_f64();
    records.sort_by_key(|record| record.number);
    let mut summary = summarise(spec, &records, bound);
    if let (Some(fleet), Some((own, daemons))) = (&fleet, before.0) {
        let (own_after, daemons_after) = fleet_cpu_times(fleet);
        summary.own_cores = own_after.saturating_sub(own).as_secs_f64() / elapsed;
        summary.daemon_cores = daemons_after.saturating_sub(daemons).as_secs_f64() / elapsed;
        summary.service_faults = count_service_faults(&records, &fleet.service_executions().await);
        for moment in moments? {
            let new_bound = fleet_bound(spec, fleet, work, std::slice::from_ref(&moment.fault))?;
            let recovery = summarise_recovery(spec, &records, &moment, new_bound);
            summary.recovery.push(recovery);
        }
    }
    let machine = machine_cpu_time().saturating_sub(before.1);
    summary.machine_cores = machine.as_secs_f64() / elapsed;
    Ok((summary, records))
}

/// Processor time of the whole run, and of its daemons where they are processes.
fn fleet_cpu_times(fleet: &LoadFleet) -> (Duration, Duration) {
    let daemons = fleet
        .daemon_usage()
        .iter()
        .map(|usage| usage.processor)
        .sum();
    (fleet.usage().processor, daemons)
}

/// The bound of a placed fleet, with these faults in force.
fn fleet_bound(
    spec: &RunSpec,
    fleet: &LoadFleet,
    work: TokenWork,
    faults: &[FaultSpec],
) -> Result<f64> {
    let mut stages = Vec::new();
    for row in &fleet.placements {
        let index = engine_index(row.instance.as_str())?;
        let mut knobs = spec.engine_knobs(index)?;
        if faults.iter().any(|fault| fault.removes_engine(spec, index)) {
            continue;
        }
        let slow = faults.iter().find_map(|fault| fault.step_slowdown(index));
        knobs.slow_percent *= slow.unwrap_or(1);
        stages.push(StageRate::new(
            row.instance.clone(),
            row.layers,
            &knobs,
            work,
        ));
    }
    let link = |from: &arbutusmount::InstanceId, to: &arbutusmount::InstanceId| {
        let ends = (engine_index(from.as_str()), engine_index(to.as_str()));
        let (Ok(from), Ok(to)) = ends else {
            return 0.0;
        };
        let factor = faults.iter().find_map(|fault| fault.link_slowdown(from));
        link_rate(spec.link(from, to), work) / factor.unwrap_or(1) as f64
    };
    Ok(flow_bound(spec.layers, &stages, link))
}

fn engine_index(name: &str) -> Result<usize> {
    let digits = name.strip_prefix("engine-").unwrap_or_default();
    digits
        .parse()
        .map_err(|_cause| format!("{name} is not an engine of the run"))
}

/// Waits for each fault's time and brings it about; what was running when it came.
async fn inject_faults(
    spec: &RunSpec,
    fleet: Option<&mut LoadFleet>,
    start: Instant,
) -> Result<Vec<InjectedFault>> {
    let Some(fleet) = fleet else {
        return Ok(Vec::new());
    };
    let mut faults = spec.faults.clone();
    faults.sort_by_key(FaultSpec::at);
    let mut moments = Vec::new();
    for fault in faults {
        task::sleep((start + fault.at()).saturating_duration_since(Instant::now())).await;
        let mut requests = std::collections::HashSet::new();
        for engine in fault.engines(spec) {
            requests.extend(fleet.engine_requests(engine).await);
        }
        let daemons = fleet.daemon_addresses();
        let at = to_micros(start.elapsed());
        fault.inject(spec, fleet).await?;
        eprintln!(
            "{:6.1} s  {:?} {}",
            at as f64 / 1e6,
            fault.fault,
            fault.index
        );
        moments.push(InjectedFault {
            fault,
            at,
            requests,
            daemons: fault
                .daemons(spec)
                .iter()
                .map(|index| daemons[*index])
                .collect(),
        });
    }
    Ok(moments)
}

/// Service calls whose ledger contradicts what their callers were told.
fn count_service_faults(records: &[RequestRecord], runs: &[RunRecord]) -> u64 {
    let mut counts: HashMap<&str, u64> = HashMap::new();
    for run in runs {
        *counts.entry(run.key.as_str()).or_default() += 1;
    }
    let contradicts = |record: &&RequestRecord| {
        let Some(key) = &record.key else { return false };
        let count = counts.get(&**key).copied().unwrap_or(0);
        match record.outcome {
            RequestOutcome::Completed => count != 1,
            RequestOutcome::Refused | RequestOutcome::RefusedBare => count != 0,
            _ => count > 1,
        }
    };
    records.iter().filter(contradicts).count() as u64
}

/// Sends planned requests at their times and collects what becomes of them.
struct LoadSender {
    callers: Vec<Arc<TeamCaller>>,
    context: Arc<CallerContext>,
    ended: Arc<AtomicU64>,
}

impl LoadSender {
    fn new(spec: &RunSpec, daemons: &[SocketAddr], start: Instant) -> Self {
        let caller = |team: &crate::load::TeamLoad| {
            Arc::new(TeamCaller::new(&team_token(&team.team), daemons.to_vec()))
        };
        let context = CallerContext {
            start,
            close: start + spec.duration() + COMPLETION_GRACE,
            model: (Arc::from(MODEL), Arc::from(VERSION), spec.layers),
            restart_gap: spec.restart_gap(),
        };
        Self {
            callers: spec.teams.iter().map(caller).collect(),
            context: Arc::new(context),
            ended: Arc::default(),
        }
    }

    async fn send_all(&self, spec: &RunSpec, requests: Vec<PlannedRequest>) -> Vec<RequestRecord> {
        let (sender, receiver) = unbounded();
        let progress = task::spawn(show_progress(self.context.start, Arc::clone(&self.ended)));
        match spec.closed_loop {
            Some(width) => self.send_closed_loop(spec, requests, width, &sender).await,
            None => self.send_open_loop(requests, &sender).await,
        }
        drop(sender);
        let mut records = Vec::new();
        while let Ok(record) = receiver.recv().await {
            records.push(record);
        }
        progress.cancel().await;
        eprintln!();
        records
    }

    /// Starts each request at its time, whatever became of those before it.
    async fn send_open_loop(&self, requests: Vec<PlannedRequest>, sender: &Sender<RequestRecord>) {
        for request in requests {
            let at = self.context.start + request.at;
            task::sleep(at.saturating_duration_since(Instant::now())).await;
            let caller = Arc::clone(&self.callers[request.team]);
            let (context, ended) = (Arc::clone(&self.context), Arc::clone(&self.ended));
            let sender = sender.clone();
            task::spawn(async move {
                let record = caller.run_request(&request, &context).await;
                ended.fetch_add(1, Ordering::Relaxed);
                if sender.send(record).await.is_err() {
                    // The run was closed.
                }
            });
        }
    }

    /// Keeps `width` requests in progress until the run's time is over.
    async fn send_closed_loop(
        &self,
        spec: &RunSpec,
        requests: Vec<PlannedRequest>,
        width: u32,
        sender: &Sender<RequestRecord>,
    ) {
        let queue = Arc::new(std::sync::Mutex::new(requests.into_iter()));
        let until = self.context.start + spec.duration();
        let lanes = (0..width).map(|_| {
            let queue = Arc::clone(&queue);
            let callers = self.callers.clone();
            let (context, ended) = (Arc::clone(&self.context), Arc::clone(&self.ended));
            let sender = sender.clone();
            task::spawn(async move {
                while Instant::now() < until {
                    let next = queue.lock().expect("queue lock is never poisoned").next();
                    let Some(mut request) = next else { return };
                    request.at = context.start.elapsed();
                    let record = callers[request.team].run_request(&request, &context).await;
                    ended.fetch_add(1, Ordering::Relaxed);
                    if sender.send(record).await.is_err() {
                        return;
                    }
                }
            })
        });
        for lane in lanes.collect::<Vec<_>>() {
            lane.await;
        }
    }
}

async fn show_progress(start: Instant, ended: Arc<AtomicU64>) {
    loop {
        task::sleep(PROGRESS_PERIOD).await;
        let seconds = start.elapsed().as_secs();
        eprint!(
            "\r{seconds:4} s  {} requests ended",
            ended.load(Ordering::Relaxed)
        );
    }
}

/// Programs beside this one, if they were built.
pub(crate) fn find_programs() -> Option<ProgramPaths> {
    let rig: PathBuf = std::env::current_exe().ok()?;
    let daemon = rig.with_file_name("arbutusmountd");
    daemon.exists().then_some(ProgramPaths { daemon, rig })
}
