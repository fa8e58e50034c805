//! The requests of a run, all drawn before it starts, so that a seed gives the same requests
//! whatever the system does.

use crate::load::arrivals::{ArrivalSpec, plan_arrivals};
use crate::load::lengths::draw_length;
use crate::load::spec::RunSpec;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed answer of a model.
    Chat {
        /// User message.
        prompt: Arc<str>,
        /// Tokens wanted.
        max_tokens: u32,
    },
    /// A service call that must not run twice.
    Service {
        /// Idempotency key.
        key: Arc<str>,
    },
}

/// One request, before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number within the run.
    pub number: u64,
    /// Intended start, from the start of the run.
    pub at: Duration,
    /// Index of the team.
    pub team: usize,
    /// Sampling seed, also of the caller's own choices.
    pub seed: u64,
    /// What it asks for.
    pub kind: RequestKind,
}

/// Draws from which the mean lengths are taken.
const MEAN_SAMPLES: u32 = 20_000;
/// Separates the streams of random numbers of one seed.
const LENGTH_SEED_MASK: u64 = 0x6c65_6e67;
const SERVICE_SEED_MASK: u64 = 0x7365_7276;
/// Requests planned for a closed loop, in which arrival times do not matter.
const CLOSED_LOOP_REQUESTS: usize = 20_000;

/// Mean tokens of a prompt and of an answer.
pub fn mean_lengths(spec: &RunSpec) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(spec.seed ^ LENGTH_SEED_MASK);
    let (mut prompt, mut answer) = (0, 0);
    for _ in 0..MEAN_SAMPLES {
        let (text, max_tokens) = draw_chat(spec, 0, &mut rng);
        prompt += count_prompt_tokens(&text);
        answer += u64::from(max_tokens);
    }
    let draws = f64::from(MEAN_SAMPLES);
    (prompt as f64 / draws, answer as f64 / draws)
}

/// Tokens of a user message, as engines count them: four bytes each, with the role before it.
fn count_prompt_tokens(text: &str) -> u64 {
    ("user: ".len() + text.len()).div_ceil(4) as u64
}

/// Draws every request of a run, in order of intended start.
pub fn plan_workload(spec: &RunSpec, chats_per_second: f64) -> Vec<PlannedRequest> {
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let arrivals = if spec.closed_loop.is_some() {
        vec![Duration::ZERO; CLOSED_LOOP_REQUESTS]
    } else {
        plan_arrivals(&spec.arrivals, chats_per_second, spec.duration(), &mut rng)
    };
    let mut requests: Vec<PlannedRequest> = arrivals
        .into_iter()
        .map(|at| plan_chat(spec, at, &mut rng))
        .collect();
    requests.extend(plan_service_calls(spec));
    requests.sort_by_key(|request| request.at);
    for (number, request) in requests.iter_mut().enumerate() {
        request.number = number as u64;
    }
    requests
}

fn plan_chat(spec: &RunSpec, at: Duration, rng: &mut fastrand::Rng) -> PlannedRequest {
    let team = draw_team(spec, rng);
    let (prompt, max_tokens) = draw_chat(spec, team, rng);
    let prompt = Arc::from(prompt);
    PlannedRequest {
        number: 0,
        at,
        team,
        seed: rng.u64(..),
        kind: RequestKind::Chat { prompt, max_tokens },
    }
}

fn plan_service_calls(spec: &RunSpec) -> Vec<PlannedRequest> {
    if spec.service_calls_per_second <= 0.0 || spec.services == 0 {
        return Vec::new();
    }
    let mut rng = fastrand::Rng::with_seed(spec.seed ^ SERVICE_SEED_MASK);
    let rate = spec.service_calls_per_second;
    let arrivals = plan_arrivals(&ArrivalSpec::default(), rate, spec.duration(), &mut rng);
    let plan = |at| {
        let team = draw_team(spec, &mut rng);
        let seed = rng.u64(..);
        let key = Arc::from(format!("{:x}-{seed:016x}", spec.seed));
        PlannedRequest {
            number: 0,
            at,
            team,
            seed,
            kind: RequestKind::Service { key },
        }
    };
    arrivals.into_iter().map(plan).collect()
}

fn draw_team(spec: &RunSpec, rng: &mut fastrand::Rng) -> usize {
    let total: u32 = spec.teams.iter().map(|team| team.share).sum();
    let mut left = rng.u32(0..total.max(1));
    for (index, team) in spec.teams.iter().enumerate() {
        if left < team.share {
            return index;
        }
        left -= team.share;
    }
    0
}

/// Draws a user message and the number of tokens wanted.
fn draw_chat(spec: &RunSpec, team: usize, rng: &mut fastrand::Rng) -> (String, u32) {
    let length = draw_length(spec.prompt, rng);
    let mut text = String::new();
    let prefixes = spec.prefixes;
    if prefixes.count > 0 && rng.u32(0..100) < prefixes.percent {
        let number = rng.u32(0..prefixes.count);
        for token in 0..prefixes.tokens {
            push_token(
                &mut text,
                u64::from(number) * 31 + team as u64 * 7 + u64::from(token),
            );
        }
    }
    for _ in 0..length {
        push_token(&mut text, rng.u64(..));
    }
    (text, draw_length(spec.answer, rng))
}

/// Appends a word of four bytes, which engines count as one token.
fn push_token(text: &mut String, number: u64) {
    write!(text, "{:03x} ", number & 0xfff).expect("text grows");
}
