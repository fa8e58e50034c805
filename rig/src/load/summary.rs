//! The figures of one run, written as one JSON line.

use crate::load::latency::{LatencyRecorder, RequestOutcome, RequestRecord};
use crate::load::spec::RunSpec;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Percentiles {
    /// Percentiles of a histogram of microseconds.
    pub fn read(histogram: &Histogram<u64>) -> Self {
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

/// What one team asked for and got.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamSummary {
    /// Team name.
    pub team: Arc<str>,
    /// Tokens asked for within the measured time.
    pub offered: u64,
    /// Tokens of complete answers to those requests.
    pub completed: u64,
}

/// Recovery from one fault.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RecoverySummary {
    /// Fault.
    pub fault: String,
    /// Time of the fault, in milliseconds from the start of the run.
    pub at_ms: f64,
    /// Streams that the fault hit.
    pub hit: u64,
    /// Hit streams that got no further token.
    pub lost: u64,
    /// Hit streams that their callers started over.
    pub restarted: u64,
    /// Time from the fault to the first next token of each hit stream.
    pub next_token: Percentiles,
    /// The bound without what the fault took away, in tokens a second.
    pub new_bound: f64,
    /// Time from the fault until throughput over one second is back at 95 per cent of the smaller of
    /// the new bound and the throughput before the fault; absent when it was not.
    pub throughput_ms: Option<f64>,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// Always `summary`.
    pub line: Arc<str>,
    /// Name of the run.
    pub run: Arc<str>,
    /// Name of the variant, empty for a single run.
    pub variant: Arc<str>,
    /// Seed.
    pub seed: u64,
    /// Load as a share of the bound, in per cent.
    pub load_percent: f64,
    /// Throughput that the hardware allows, in tokens a second.
    pub bound: f64,
    /// Tokens a second asked for within the measured time.
    pub offered: f64,
    /// Tokens a second delivered within the measured time.
    pub throughput: f64,
    /// Tokens a second of complete answers to requests of the measured time.
    pub goodput: f64,
    /// Delivered over the bound.
    pub ratio: f64,
    /// Chat requests of the measured time by outcome.
    pub outcomes: BTreeMap<RequestOutcome, u64>,
    /// Service calls of the whole run by outcome.
    pub service_outcomes: BTreeMap<RequestOutcome, u64>,
    /// Service calls that ran more than once, ran although said not to have, or did not run
    /// although said to be completed.
    pub service_faults: u64,
    /// Tries after the first one.
    pub retries: u64,
    /// Time to first token from the intended start.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub gap: Percentiles,
    /// Time from the intended start to the whole answer.
    pub whole: Percentiles,
    /// Teams.
    pub teams: Vec<TeamSummary>,
    /// Jain's index over the teams' shares of what they asked for.
    pub jain: f64,
    /// Smallest over largest of those shares.
    pub least_share: f64,
    /// Prompt tokens that engines took from their prefix caches, in per cent; absent when engines
    /// do not count them.
    pub cache_hit_percent: Option<f64>,
    /// Cores that the run's own processes used.
    pub own_cores: f64,
    /// Cores that the daemons used; 0 when they run in this process.
    #[serde(default)]
    pub daemon_cores: f64,
    /// Cores that the whole machine used meanwhile.
    pub machine_cores: f64,
    /// Longest delay of a request behind its intended start, in milliseconds.
    pub sender_lag_ms: f64,
    /// Tokens a second in each quarter of a second of the run.
    pub timeline: Vec<f64>,
    /// Recovery from each fault.
    pub recovery: Vec<RecoverySummary>,
}

/// Length of one entry of the timeline, in microseconds.
pub(crate) const TIMELINE_MICROS: u64 = 250_000;

/// Jain's fairness index: 1 when all values are equal, 1/n when one has everything.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (values.len() as f64 * squares)
    }
}

/// Tokens a second in each quarter of a second up to `end`, in microseconds.
pub(super) fn make_timeline(records: &[RequestRecord], end: u64) -> Vec<f64> {
    let mut counts = vec![0_u64; end.div_ceil(TIMELINE_MICROS) as usize];
    for time in records.iter().flat_map(|record| &record.tokens) {
        if let Some(count) = counts.get_mut((time / TIMELINE_MICROS) as usize) {
            *count += 1;
        }
    }
    let seconds = TIMELINE_MICROS as f64 / 1e6;
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
        let own = records.iter().filter(|record| record.team == index);
        let is_done = |record: &&&RequestRecord| record.outcome == RequestOutcome::Completed;
        TeamSummary {
            team: Arc::clone(&load.team),
            offered: own.clone().map(|record| u64::from(record.wanted)).sum(),
            completed: own
                .filter(is_done)
                .map(|record| record.tokens.len() as u64)
                .sum(),
        }
    };
    spec.teams.iter().enumerate().map(summarise).collect()
}

/// Shares of what each team asked for that it got.
fn team_shares(teams: &[TeamSummary]) -> Vec<f64> {
    let asked = teams.iter().filter(|team| team.offered > 0);
    asked
        .map(|team| team.completed as f64 / team.offered as f64)
        .collect()
}

/// The part of the figures that follows from the requests alone.
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
        first_token: Percentiles::read(&recorder.first_token),
        gap: Percentiles::read(&recorder.gap),
        whole: Percentiles::read(&recorder.whole),
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
