//! Requests of a run. All of them are drawn before the run starts, so that a seed gives the same
//! requests however the system behaves.

use crate::load::arrivals::{ArrivalSpec, plan_arrivals};
use crate::load::lengths::draw_length;
use crate::load::spec::RunSpec;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Kind and content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Chat completion with a streamed response.
    Chat {
        /// Text of the user message.
        prompt: Arc<str>,
        /// Number of tokens to generate.
        max_tokens: u32,
    },
    /// Service call that must not be executed more than once.
    Service {
        /// Idempotency key of the call.
        key: Arc<str>,
    },
}

/// Request before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number of the request within the run.
    pub number: u64,
    /// Intended start as an offset from the start of the run.
    pub start_offset: Duration,
    /// Index of the team in the run.
    pub team: usize,
    /// Seed for sampling at the engines and for the caller's choice of daemons.
    pub seed: u64,
    /// Kind and content.
    pub kind: RequestKind,
}

/// Number of random requests over which the mean lengths are computed.
const MEAN_SAMPLES: u32 = 20_000;
/// Mask on the run's seed for the random numbers of [`mean_lengths`], so that they are independent
/// of the requests.
const LENGTH_SEED_MASK: u64 = 0x6c65_6e67;
/// Mask on the run's seed for the random numbers of service calls, so that chat requests do not
/// depend on them.
const SERVICE_SEED_MASK: u64 = 0x7365_7276;
/// Number of requests planned for a closed loop, which has no arrival times.
const CLOSED_LOOP_REQUESTS: usize = 20_000;

/// Returns the mean number of tokens in a prompt and in an answer.
pub fn mean_lengths(spec: &RunSpec) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(spec.seed ^ LENGTH_SEED_MASK);
    let (mut prompt, mut answer) = (0, 0);
    for _ in 0..MEAN_SAMPLES {
        let (text, max_tokens) = draw_chat(spec, 0, &mut rng);
        prompt += count_prompt_tokens(&text);
        answer += u64::from(max_tokens);
    }
    let samples = f64::from(MEAN_SAMPLES);
    (prompt as f64 / samples, answer as f64 / samples)
}

/// Number of tokens in a user message as engines count them: one for each four bytes, including the
/// role before the message.
fn count_prompt_tokens(text: &str) -> u64 {
    ("user: ".len() + text.len()).div_ceil(4) as u64
}

/// Draws all requests of a run, in order of their intended start.
pub fn plan_workload(spec: &RunSpec, chats_per_second: f64) -> Vec<PlannedRequest> {
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let arrivals = if spec.closed_loop.is_some() {
        vec![Duration::ZERO; CLOSED_LOOP_REQUESTS]
    } else {
        plan_arrivals(&spec.arrivals, chats_per_second, spec.duration(), &mut rng)
    };
    let mut requests: Vec<PlannedRequest> = arrivals
        .into_iter()
        .map(|start_offset| plan_chat(spec, start_offset, &mut rng))
        .collect();
    requests.extend(plan_service_calls(spec));
    requests.sort_by_key(|request| request.start_offset);
    for (number, request) in requests.iter_mut().enumerate() {
        request.number = number as u64;
    }
    requests
}

fn plan_chat(spec: &RunSpec, start_offset: Duration, rng: &mut fastrand::Rng) -> PlannedRequest {
    let team = draw_team(spec, rng);
    let (prompt, max_tokens) = draw_chat(spec, team, rng);
    let prompt = Arc::from(prompt);
    PlannedRequest {
        number: 0,
        start_offset,
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
    let plan = |start_offset| {
        let team = draw_team(spec, &mut rng);
        let seed = rng.u64(..);
        let key = Arc::from(format!("{:x}-{seed:016x}", spec.seed));
        PlannedRequest {
            number: 0,
            start_offset,
            team,
            seed,
            kind: RequestKind::Service { key },
        }
    };
    arrivals.into_iter().map(plan).collect()
}

/// Draws the index of a team with the teams' shares as weights.
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

/// Draws a user message and the number of tokens to generate.
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

/// Appends a word of four bytes, the blank included, which engines count as one token.
fn push_token(text: &mut String, number: u64) {
    write!(text, "{:03x} ", number & 0xfff).expect("writing to a string does not fail");
}
