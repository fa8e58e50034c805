//! Summary of a run, which is written as one JSON line.

use crate::load::latency::{LatencyRecorder, RequestOutcome, RequestRecord};
use crate::load::spec::RunSpec;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Number and percentiles of recorded times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of recorded times.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Percentiles {
    /// Reads the percentiles of a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// Tokens that a team requested and got.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamSummary {
    /// Team name.
    pub team: Arc<str>,
    /// Tokens requested by chat requests whose intended start is in the measured time.
    pub offered: u64,
    /// Tokens of complete answers to these requests.
    pub completed: u64,
}

/// Recovery from a fault.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RecoverySummary {
    /// Kind and index of the fault.
    pub fault: String,
    /// Time of the fault, in milliseconds from the start of the run.
    pub at_ms: f64,
    /// Number of streams that the fault affected.
    pub hit: u64,
    /// Affected streams that got no further token.
    pub lost: u64,
    /// Affected streams that their callers retried.
    pub restarted: u64,
    /// Time from the fault to the next token of each affected stream.
    pub next_token: Percentiles,
    /// Throughput bound of the hardware that the fault left, in tokens per second.
    pub new_bound: f64,
    /// Time from the fault, in milliseconds, until throughput over one second is at least 95
    /// percent of the smaller of the new bound and the throughput before the fault; absent when
    /// that was not reached.
    pub throughput_ms: Option<f64>,
}

/// Measurements of a run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// Kind of the JSON line, always `summary`.
    pub line: Arc<str>,
    /// Name of the run.
    pub run: Arc<str>,
    /// Name of the variant; empty for a run outside an experiment.
    pub variant: Arc<str>,
    /// Seed of the random choices of the load.
    pub seed: u64,
    /// Load in percent of the throughput bound.
    pub load_percent: f64,
    /// Throughput bound: what the hardware allows, in tokens per second.
    pub bound: f64,
    /// Tokens per second requested by requests whose intended start is in the measured time.
    pub offered: f64,
    /// Tokens per second delivered within the measured time.
    pub throughput: f64,
    /// Tokens per second of complete answers to requests whose intended start is in the measured
    /// time.
    pub goodput: f64,
    /// Throughput divided by the bound.
    pub ratio: f64,
    /// Number of chat requests whose intended start is in the measured time, by outcome.
    pub outcomes: BTreeMap<RequestOutcome, u64>,
    /// Number of service calls of the whole run, by outcome.
    pub service_outcomes: BTreeMap<RequestOutcome, u64>,
    /// Service calls that were executed more than once, were executed although reported as refused,
    /// or were not executed although reported as completed.
    pub service_faults: u64,
    /// Number of retries by callers, that is attempts after the first one.
    pub retries: u64,
    /// Time from the intended start to the first token.
    pub first_token: Percentiles,
    /// Time between successive tokens.
    pub gap: Percentiles,
    /// Time from the intended start to the end of a completed request.
    pub whole: Percentiles,
    /// Tokens requested and got by each team.
    pub teams: Vec<TeamSummary>,
    /// Jain's fairness index over the fraction of its requested tokens that each team got.
    pub jain: f64,
    /// Smallest of these fractions divided by the largest.
    pub least_share: f64,
    /// Percentage of prompt tokens that engines found in their prefix caches; absent when engines
    /// do not count them.
    pub cache_hit_percent: Option<f64>,
    /// Mean number of cores that the processes of the run used.
    pub own_cores: f64,
    /// Mean number of cores that the daemons used; 0 when they run in the process of the load tool.
    #[serde(default)]
    pub daemon_cores: f64,
    /// Mean number of cores that the whole machine used during the run.
    pub machine_cores: f64,
    /// Longest delay between the intended and the actual start of a request, in milliseconds.
    pub sender_lag_ms: f64,
    /// Tokens per second in each quarter of a second of the run.
    pub timeline: Vec<f64>,
    /// Recovery from each fault.
    pub recovery: Vec<RecoverySummary>,
}

/// Length of one entry of [`RunSummary::timeline`], in microseconds.
pub(crate) const TIMELINE_STEP_MICROS: u64 = 250_000;

/// Jain's fairness index of n values: 1 when all are equal, 1/n when all but one are 0.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (values.len() as f64 * squares)
    }
}

/// Tokens per second in each quarter of a second up to `end`, which is in microseconds from the
/// start of the run.
pub(super) fn make_timeline(records: &[RequestRecord], end: u64) -> Vec<f64> {
    let mut counts = vec![0_u64; end.div_ceil(TIMELINE_STEP_MICROS) as usize];
    for time in records.iter().flat_map(|record| &record.tokens) {
        if let Some(count) = counts.get_mut((time / TIMELINE_STEP_MICROS) as usize) {
            *count += 1;
        }
    }
    let seconds = TIMELINE_STEP_MICROS as f64 / 1e6;
    counts.iter().map(|count| *count as f64 / seconds).collect()
}

fn count_outcomes<'a>(
    records: impl Iterator<Item = &'a RequestRecord>,
) -> BTreeMap<RequestOutcome, u64> {
    let mut outcomes = BTreeMap::new();
    for record in records {
        *outcomes.entry(record.outcome).or_default() += 1;
    }
    outcomes
}

fn summarise_teams(spec: &RunSpec, records: &[&RequestRecord]) -> Vec<TeamSummary> {
    let summarise = |(index, load): (usize, &crate::load::TeamLoad)| {
        let of_team = records.iter().filter(|record| record.team == index);
        let is_completed = |record: &&&RequestRecord| record.outcome == RequestOutcome::Completed;
        TeamSummary {
            team: Arc::clone(&load.team),
            offered: of_team.clone().map(|record| u64::from(record.wanted)).sum(),
            completed: of_team
                .filter(is_completed)
                .map(|record| record.tokens.len() as u64)
                .sum(),
        }
    };
    spec.teams.iter().enumerate().map(summarise).collect()
}

/// Fraction of its requested tokens that each team got, for teams that requested any.
fn team_shares(teams: &[TeamSummary]) -> Vec<f64> {
    let active = teams.iter().filter(|team| team.offered > 0);
    active
        .map(|team| team.completed as f64 / team.offered as f64)
        .collect()
}

/// Summarises the records of a run. The fields that do not follow from records are left at zero or
/// empty.
pub(super) fn summarise(spec: &RunSpec, records: &[RequestRecord], bound: f64) -> RunSummary {
    let (from, to) = (spec.warmup_ms * 1_000, spec.duration_ms * 1_000);
    let window = (to - from) as f64 / 1e6;
    let measured: Vec<&RequestRecord> = records
        .iter()
        .filter(|record| !record.service && (from..to).contains(&record.intended))
        .collect();
    let mut recorder = LatencyRecorder::default();
    for record in &measured {
        recorder.add(record);
    }
    let tokens = records.iter().flat_map(|record| &record.tokens);
    let delivered = tokens.filter(|time| (from..to).contains(time)).count();
    let teams = summarise_teams(spec, &measured);
    let shares = team_shares(&teams);
    let lowest = shares.iter().copied().fold(f64::MAX, f64::min);
    let highest = shares.iter().copied().fold(0.0, f64::max);
    let lag = records
        .iter()
        .map(|record| record.sent.saturating_sub(record.intended));
    let throughput = delivered as f64 / window;
    RunSummary {
        line: Arc::from("summary"),
        run: Arc::clone(&spec.name),
        variant: Arc::from(""),
        seed: spec.seed,
        load_percent: spec.load_percent,
        bound,
        offered: teams.iter().map(|team| team.offered).sum::<u64>() as f64 / window,
        throughput,
        goodput: teams.iter().map(|team| team.completed).sum::<u64>() as f64 / window,
        ratio: throughput / bound,
        outcomes: count_outcomes(measured.iter().copied()),
        service_outcomes: count_outcomes(records.iter().filter(|record| record.service)),
        service_faults: 0,
        retries: records.iter().map(|record| u64::from(record.retries)).sum(),
        first_token: Percentiles::from_histogram(&recorder.first_token),
        gap: Percentiles::from_histogram(&recorder.gap),
        whole: Percentiles::from_histogram(&recorder.whole),
        jain: jain_index(&shares),
        least_share: if highest > 0.0 { lowest / highest } else { 1.0 },
        teams,
        cache_hit_percent: None,
        own_cores: 0.0,
        daemon_cores: 0.0,
        machine_cores: 0.0,
        sender_lag_ms: lag.max().unwrap_or(0) as f64 / 1_000.0,
        timeline: make_timeline(records, to),
        recovery: Vec::new(),
    }
}

impl fmt::Display for RunSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = if self.variant.is_empty() {
            &self.run
        } else {
            &self.variant
        };
        writeln!(
            f,
            "{name}, seed {}: {:.0} of {:.0} tokens/s, ratio {:.3}; goodput {:.0}, offered {:.0}",
            self.seed, self.throughput, self.bound, self.ratio, self.goodput, self.offered
        )?;
        let (first, gap) = (self.first_token, self.gap);
        writeln!(
            f,
            "  first token p50 {:.0} p95 {:.0} p99 {:.0} ms; between tokens p50 {:.0} p95 {:.0} \
             p99 {:.0} ms",
            first.p50, first.p95, first.p99, gap.p50, gap.p95, gap.p99
        )?;
        writeln!(
            f,
            "  outcomes {:?}; services {:?}, faults {}; retries {}; Jain {:.3}, least share {:.2}",
            self.outcomes,
            self.service_outcomes,
            self.service_faults,
            self.retries,
            self.jain,
            self.least_share
        )?;
        write!(
            f,
            "  own processes {:.2} cores, machine {:.2}; sender at most {:.0} ms late",
            self.own_cores, self.machine_cores, self.sender_lag_ms
        )?;
        for fault in &self.recovery {
            let next = fault.next_token;
            write!(
                f,
                "\n  {} at {:.1} s: hit {}, lost {}, restarted {}; next token p50 {:.0} p95 {:.0} \
                 max {:.0} ms; throughput back after {:?} ms",
                fault.fault,
                fault.at_ms / 1_000.0,
                fault.hit,
                fault.lost,
                fault.restarted,
                next.p50,
                next.p95,
                next.max,
                fault.throughput_ms
            )?;
        }
        Ok(())
    }
}
