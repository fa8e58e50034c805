//! How soon an answer leaves a chain of which a stage has turned slow, by the gaps between tokens.

use arbutusmount::{
    AttemptEvent, AttemptLimits, AttemptMachine, AttemptNotice, AttemptNumber, AttemptStep,
    ChainStage, InstanceId, LayerRange, MonoTime, RequestId, StagePhase, StageProbe, StageProgress,
    StreamRecord, TokenPosition,
};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const REQUEST: RequestId = RequestId(7);
/// Gap between tokens when one of three stages takes ten times as long, in milliseconds.
const SLOW_GAP_MS: u64 = 146;
/// Most tokens that a slow engine may still work on after it has turned slow.
const SLOW_TOKENS: usize = 10;

fn limits() -> AttemptLimits {
    AttemptLimits {
        request: REQUEST,
        max_tokens: 1_000,
        deadline: MonoTime(600_000_000),
        token_floor: Duration::from_millis(40),
        token_ceiling: Duration::from_millis(1_500),
        first_token_limit: Duration::from_secs(1),
        poison_crashes: 2,
        prior_crashes: 0,
    }
}

/// A chain of `stages` engines with 24 layers in all.
fn chain(stages: usize) -> Vec<ChainStage> {
    let layers = 24 / stages as u32;
    let stage = |index: u32| ChainStage {
        instance: format!("engine-{index}").parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        layers: LayerRange::new(index * layers, (index + 1) * layers),
    };
    (0..stages as u32).map(stage).collect()
}

/// Opens an attempt at a chain of `stages` engines and returns its number and the time of its first
/// timer.
fn open(machine: &mut AttemptMachine, stages: usize, now: MonoTime) -> (AttemptNumber, MonoTime) {
    machine.start();
    let AttemptStep::Open { attempt, .. } = machine.handle(AttemptEvent::Chain(chain(stages)), now)
    else {
        panic!("the chain is opened");
    };
    let AttemptStep::Wait { until } = machine.handle(AttemptEvent::Opened, now) else {
        panic!("the first token is awaited");
    };
    (attempt, until)
}

/// Delivers a token and returns the time of the next timer.
fn deliver(
    machine: &mut AttemptMachine,
    attempt: AttemptNumber,
    position: usize,
    now: MonoTime,
) -> MonoTime {
    let token = StreamRecord::Token {
        request: REQUEST,
        attempt,
        position: TokenPosition(position as u32),
        text: Arc::from("x"),
    };
    let AttemptStep::Deliver(_text) = machine.handle(AttemptEvent::Record(token), now) else {
        panic!("the token is delivered");
    };
    let AttemptStep::Wait { until } = machine.handle(AttemptEvent::Delivered, now) else {
        panic!("the next token is awaited");
    };
    until
}

/// Number of slow tokens that arrive after tokens with these gaps before the timer for the next one
/// fires; `None` when it does not fire within [`SLOW_TOKENS`].
fn slow_tokens_until_timer(usual_gaps_ms: &[u64]) -> Option<usize> {
    let mut machine = AttemptMachine::new(limits());
    let mut now = MonoTime(1_000_000);
    let (attempt, mut until) = open(&mut machine, 1, now);
    let usual = [36].iter().chain(usual_gaps_ms);
    let mut position = 0;
    for gap in usual {
        now = now.after(Duration::from_millis(*gap));
        assert!(until >= now, "no timer fires before the stage turns slow");
        until = deliver(&mut machine, attempt, position, now);
        position += 1;
    }
    for count in 0..=SLOW_TOKENS {
        now = now.after(Duration::from_millis(SLOW_GAP_MS));
        if until < now {
            return Some(count);
        }
        until = deliver(&mut machine, attempt, position, now);
        position += 1;
    }
    None
}

/// A stage that turns slow is noticed when gaps before were even.
#[test]
fn slow_stage_is_noticed_after_even_gaps() {
    assert_eq!(slow_tokens_until_timer(&[36; 14]), Some(0));
}

/// After uneven gaps, as on a busy machine, a stage that turned slow was never left: the deviation
/// of the gaps before keeps the timeout above the slow gaps, which then count as usual.
#[test_case(&[73, 57, 38, 50, 26, 86, 15, 37, 80, 107, 62, 80, 77, 0]; "first trace")]
#[test_case(&[37, 72, 37, 37, 86, 118, 37, 64, 89, 62, 65, 37, 60, 67]; "second trace")]
#[test_case(&[51, 23, 37, 58, 91, 74, 37, 38, 67, 38, 37, 98, 64, 53]; "third trace")]
fn slow_stage_is_noticed_after_uneven_gaps(usual_gaps_ms: &[u64]) {
    let noticed = slow_tokens_until_timer(usual_gaps_ms);

    assert!(noticed.is_some(), "no timer within {SLOW_TOKENS} tokens");
}

/// Stages of the simulated chain.
const STAGES: usize = 3;
/// Time of one step of a stage, in microseconds.
const STEP_MICROS: u64 = 12_000;
/// Step time by which a stage is judged, as reported by its engine, in microseconds.
const EXPECTED_MICROS: u64 = 14_000;
/// Time of one step of the slow stage, in microseconds.
const SLOW_STEP_MICROS: u64 = 120_000;
/// Tokens of a simulated answer.
const ANSWER_TOKENS: usize = 50;
/// Tokens before the stage turns slow.
const USUAL_TOKENS: usize = 15;
/// Simulated answers of each stage.
const ANSWERS: u64 = 300;

/// An engine that is stopped for 20 to 60 ms now and then, as a process on a busy machine is.
struct StoppedEngine {
    rng: fastrand::Rng,
    stop: Range<u64>,
}

impl StoppedEngine {
    fn new(rng: fastrand::Rng) -> Self {
        let mut engine = Self { rng, stop: 0..0 };
        engine.schedule_stop();
        engine
    }

    fn schedule_stop(&mut self) {
        let start = self.stop.end + self.rng.u64(20_000..240_000);
        self.stop = start..start + self.rng.u64(20_000..60_000);
    }

    /// Time at which the engine goes on with what is due at `at`.
    fn resume(&mut self, at: u64) -> u64 {
        while self.stop.end <= at {
            self.schedule_stop();
        }
        if self.stop.contains(&at) {
            self.stop.end
        } else {
            at
        }
    }
}

/// A chain of engines that are stopped now and then, and its steps for the token in progress.
struct StoppedChain {
    engines: Vec<StoppedEngine>,
    /// Times at which each stage holds the token in progress, in microseconds.
    held: Vec<Range<u64>>,
    /// Time for which each stage held the token before it.
    last_held: Vec<u64>,
}

impl StoppedChain {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let engines = (0..STAGES).map(|_stage| StoppedEngine::new(rng.fork()));
        Self {
            engines: engines.collect(),
            held: vec![0..0; STAGES],
            last_held: vec![0; STAGES],
        }
    }

    /// Runs the steps of a token from `start` on and returns the time at which it is sent.
    fn run_token(&mut self, start: u64, slow_stage: Option<usize>) -> u64 {
        self.last_held = self.held.iter().map(|held| held.end - held.start).collect();
        let mut now = start;
        for (stage, engine) in self.engines.iter_mut().enumerate() {
            let is_slow = slow_stage == Some(stage);
            let step = if is_slow {
                SLOW_STEP_MICROS
            } else {
                STEP_MICROS
            };
            let entered = engine.resume(now);
            now = engine.resume(entered + step);
            self.held[stage] = entered..now;
        }
        for engine in self.engines.iter_mut().rev() {
            now = engine.resume(now);
        }
        now
    }

    /// Progress that the engines report at `now` with the token at `position`.
    fn probe(&self, attempt: AttemptNumber, position: usize, now: u64) -> Vec<StageProbe> {
        let stages = self.held.iter().zip(&self.last_held);
        stages
            .map(|(held, last_held)| {
                let (position, phase, since, held_micros) = if now < held.start {
                    (position - 1, StagePhase::Done, held.start, *last_held)
                } else if now < held.end {
                    (position, StagePhase::Held, held.start, *last_held)
                } else {
                    (
                        position,
                        StagePhase::HandedOn,
                        held.end,
                        held.end - held.start,
                    )
                };
                StageProbe::Answered {
                    progress: StageProgress {
                        attempt,
                        position: TokenPosition(position as u32),
                        phase,
                        since_micros: now.saturating_sub(since),
                        held_micros,
                        ..StageProgress::UNKNOWN
                    },
                    expected: Duration::from_micros(EXPECTED_MICROS),
                }
            })
            .collect()
    }
}

/// Position at which an answer left its chain, and the engines that were held to be at fault.
type Departure = (usize, Vec<InstanceId>);

/// Runs an answer on a chain of which a stage turns slow; `None` when it stays there to its end.
fn run_answer(seed: u64, slow_stage: usize) -> Option<Departure> {
    let mut machine = AttemptMachine::new(limits());
    let mut chain = StoppedChain::new(seed);
    let mut now = 1_000_000;
    let (attempt, mut until) = open(&mut machine, STAGES, MonoTime(now));
    for position in 0..ANSWER_TOKENS {
        let is_slow = position >= USUAL_TOKENS;
        let arrival = chain.run_token(now, is_slow.then_some(slow_stage));
        while until.0 < arrival {
            let step = match machine.handle(AttemptEvent::Timer, until) {
                AttemptStep::Probe { .. } => {
                    let probes = chain.probe(attempt, position, until.0);
                    machine.handle(AttemptEvent::Probed(probes), until)
                }
                other => other,
            };
            match step {
                AttemptStep::Wait { until: next } => until = next,
                AttemptStep::FindChain(_) => return Some((position, find_blamed(&mut machine))),
                other => panic!("unexpected step {other:?}"),
            }
        }
        now = arrival;
        until = deliver(&mut machine, attempt, position, MonoTime(now));
    }
    None
}

/// Engines that the machine has found at fault.
fn find_blamed(machine: &mut AttemptMachine) -> Vec<InstanceId> {
    let notices = machine.take_notices().into_iter();
    let faults = notices.filter_map(|notice| match notice {
        AttemptNotice::Fault { instance, .. } => Some(instance),
        _ => None,
    });
    faults.collect()
}

/// Engines that are stopped now and then by a busy machine make gaps uneven from the first one on;
/// an answer then stayed on a stage that had turned slow.
#[test_case(0; "first stage")]
#[test_case(1; "middle stage")]
#[test_case(2; "last stage")]
fn slow_stage_is_left_among_engines_that_are_stopped_now_and_then(slow_stage: usize) {
    let answers = (1..=ANSWERS).map(|seed| (seed, run_answer(seed, slow_stage)));

    let is_late = |departure: &Option<Departure>| {
        let position = departure.as_ref().map(|(position, _blamed)| *position);
        position.is_none_or(|position| position > USUAL_TOKENS + SLOW_TOKENS)
    };
    let late: Vec<_> = answers.filter(|(_seed, left)| is_late(left)).collect();

    assert!(late.is_empty(), "{} of {ANSWERS}: {late:?}", late.len());
}

/// An engine that had been stopped was taken for the slow one, so that the next chain had the slow
/// stage again.
#[test_case(0; "first stage")]
#[test_case(1; "middle stage")]
#[test_case(2; "last stage")]
fn slow_stage_is_told_from_engines_that_are_stopped_now_and_then(slow_stage: usize) {
    let slow_engine = chain(STAGES)[slow_stage].instance.clone();
    let answers = (1..=ANSWERS).map(|seed| (seed, run_answer(seed, slow_stage)));

    let is_missed = |(position, blamed): &Departure| {
        *position >= USUAL_TOKENS && !blamed.contains(&slow_engine)
    };
    let missed = answers.filter(|(_seed, left)| left.as_ref().is_some_and(is_missed));
    let missed: Vec<_> = missed.collect();

    assert!(
        missed.is_empty(),
        "{} of {ANSWERS}: {missed:?}",
        missed.len()
    );
}
