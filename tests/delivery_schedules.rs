//! Random schedules of records, lost connections, timers and probes against the attempt machine.

use arbutusmount::{
    AttemptEvent, AttemptLimits, AttemptMachine, AttemptNumber, AttemptStep, ChainConstraints,
    ChainStage, ExecutionOutcome, FinalAnswer, FinishCause, LayerRange, MonoTime, RequestId,
    StagePhase, StageProbe, StageProgress, StreamRecord, TokenPosition,
};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const REQUEST: RequestId = RequestId(77);
const TOKENS: u32 = 12;
const REPLICAS: u32 = 3;
const STAGES: u32 = 3;
/// Most steps of a request.
const MAX_STEPS: usize = 2_000;

/// Next operation of the engines and the network.
#[derive(Debug, Clone, Copy)]
enum WorldOp {
    NextToken,
    RepeatToken(u32),
    SkipToken(u32),
    CrossedToken,
    OldToken,
    FalseFinish(u32),
    Broken(usize),
    Lost,
    Refuse,
    NotSent,
    Timer,
    Pause(u64),
    Probe(usize, u8),
    NoChain,
    Reserved,
    CallerGone,
}

fn world_op() -> impl Strategy<Value = WorldOp> {
    prop_oneof![
        12 => Just(WorldOp::NextToken),
        2 => (0..TOKENS).prop_map(WorldOp::RepeatToken),
        1 => (1..5_u32).prop_map(WorldOp::SkipToken),
        2 => Just(WorldOp::CrossedToken),
        2 => Just(WorldOp::OldToken),
        1 => (0..20_u32).prop_map(WorldOp::FalseFinish),
        2 => (0..STAGES as usize).prop_map(WorldOp::Broken),
        1 => Just(WorldOp::Lost),
        1 => Just(WorldOp::Refuse),
        1 => Just(WorldOp::NotSent),
        3 => Just(WorldOp::Timer),
        2 => (1..3_000_u64).prop_map(WorldOp::Pause),
        4 => (0..STAGES as usize, 0..6_u8).prop_map(|(at, kind)| WorldOp::Probe(at, kind)),
        1 => Just(WorldOp::NoChain),
        1 => Just(WorldOp::Reserved),
        1 => Just(WorldOp::CallerGone),
    ]
}

fn limits(prior_crashes: u32) -> AttemptLimits {
    AttemptLimits {
        request: REQUEST,
        max_tokens: TOKENS,
        deadline: MonoTime(600_000_000),
        token_floor: Duration::from_millis(40),
        token_ceiling: Duration::from_millis(1_500),
        first_token_limit: Duration::from_secs(1),
        poison_crashes: 2,
        prior_crashes,
    }
}

fn text(position: u32) -> Arc<str> {
    Arc::from(format!("t{position}"))
}

fn token(
    request: RequestId,
    attempt: AttemptNumber,
    position: u32,
    text: Arc<str>,
) -> AttemptEvent {
    AttemptEvent::Record(StreamRecord::Token {
        request,
        attempt,
        position: TokenPosition(position),
        text,
    })
}

/// Simulated engines and network around one machine, with a record of its steps.
struct World {
    attempt: AttemptNumber,
    chain: Vec<ChainStage>,
    now: MonoTime,
    delivered: Vec<Arc<str>>,
    opens: u32,
    opened: bool,
    crashes: u32,
    /// Number of stages in the probe that is in progress; 0 without one.
    probed: usize,
}

impl World {
    fn new() -> Self {
        Self {
            attempt: AttemptNumber(0),
            chain: Vec::new(),
            now: MonoTime(1_000_000),
            delivered: Vec::new(),
            opens: 0,
            opened: false,
            crashes: 0,
            probed: 0,
        }
    }

    fn find(wish: &ChainConstraints) -> AttemptEvent {
        let mut chain = Vec::new();
        for stage in 0..STAGES {
            let usable = (0..REPLICAS).map(|replica| format!("engine-{replica}-{stage}"));
            let allowed = |name: &String| !wish.excluded.iter().any(|id| id.as_str() == name);
            let Some(name) = usable.clone().find(allowed) else {
                return AttemptEvent::NoChain;
            };
            chain.push(ChainStage {
                instance: name.parse().expect("valid name"),
                address: "127.0.0.1:1".parse().expect("valid address"),
                layers: LayerRange::new(stage, stage + 1),
            });
        }
        AttemptEvent::Chain(chain)
    }

    fn progress(&self, kind: u8) -> StageProbe {
        let position = TokenPosition(self.delivered.len() as u32);
        let phase = match kind {
            0 => StagePhase::Unknown,
            1 => StagePhase::Held,
            2 => StagePhase::HandedOn,
            3 => StagePhase::Done,
            4 => return StageProbe::Silent,
            _ => return StageProbe::Refused,
        };
        StageProbe::Answered {
            progress: StageProgress {
                attempt: self.attempt,
                position,
                phase,
                since_micros: 2_000_000,
                ..StageProgress::default()
            },
            expected: Duration::from_millis(10),
        }
    }

    /// Event of a scheduled operation; `None` when the operation does not apply in this state.
    fn event(&mut self, op: WorldOp) -> Option<AttemptEvent> {
        let next = self.delivered.len() as u32;
        let (request, attempt) = (REQUEST, self.attempt);
        let current = |position, text| Some(token(request, attempt, position, text));
        match op {
            WorldOp::NextToken if next < TOKENS => current(next, text(next)),
            WorldOp::NextToken => Some(self.finish(next)),
            WorldOp::RepeatToken(position) if position < next => {
                current(position, Arc::from("wrong"))
            }
            WorldOp::SkipToken(by) => current(next + by, Arc::from("wrong")),
            WorldOp::CrossedToken => Some(token(RequestId(78), attempt, next, Arc::from("wrong"))),
            WorldOp::OldToken => {
                let old = AttemptNumber(attempt.0.saturating_sub(1));
                Some(token(request, old, next, Arc::from("wrong")))
            }
            WorldOp::FalseFinish(tokens) if tokens != TOKENS => Some(self.finish(tokens)),
            WorldOp::Broken(index) if !self.chain.is_empty() => {
                Some(AttemptEvent::Record(StreamRecord::Broken {
                    request,
                    attempt,
                    instance: self.chain[index].instance.clone(),
                    cause: Arc::from("broken"),
                }))
            }
            WorldOp::Lost => Some(AttemptEvent::Lost("cut".to_owned())),
            WorldOp::Refuse => Some(AttemptEvent::Refused(503)),
            WorldOp::NotSent => Some(AttemptEvent::NotSent),
            WorldOp::Timer => Some(AttemptEvent::Timer),
            WorldOp::Pause(millis) => {
                self.now = self.now.after(Duration::from_millis(millis));
                Some(AttemptEvent::Timer)
            }
            WorldOp::Probe(at, kind) if self.probed > 0 => {
                let mut probes = vec![self.progress(1); self.probed];
                probes[at % self.probed] = self.progress(kind);
                Some(AttemptEvent::Probed(probes))
            }
            WorldOp::CallerGone => Some(AttemptEvent::CallerGone),
            _ => None,
        }
    }

    fn finish(&self, tokens: u32) -> AttemptEvent {
        AttemptEvent::Record(StreamRecord::Finish {
            request: REQUEST,
            attempt: self.attempt,
            cause: FinishCause::Length,
            tokens,
        })
    }

    /// Checks the final answer against the recorded steps.
    fn check(&self, answer: &FinalAnswer) {
        match answer {
            FinalAnswer::Complete { tokens, .. } => {
                assert_eq!(*tokens, TOKENS);
                assert_eq!(self.delivered.len() as u32, TOKENS);
            }
            FinalAnswer::CallerGone => {}
            FinalAnswer::NoChain { outcome }
            | FinalAnswer::Exhausted { outcome, .. }
            | FinalAnswer::TimedOut { outcome }
            | FinalAnswer::Poisoned { outcome } => {
                let is_partial = !self.delivered.is_empty();
                assert_eq!(*outcome == ExecutionOutcome::Partial, is_partial);
                assert!(
                    *outcome != ExecutionOutcome::NotExecuted || !self.opened,
                    "the request may have been executed"
                );
            }
        }
    }
}

/// Runs a machine against a schedule; after the schedule, the engines work without faults.
fn run(ops: &[WorldOp], prior_crashes: u32) -> (FinalAnswer, World) {
    let mut machine = AttemptMachine::new(limits(prior_crashes));
    let mut world = World::new();
    let mut ops = ops.iter().copied();
    let mut step = machine.start();
    for _ in 0..MAX_STEPS {
        let event = match step {
            AttemptStep::Finish(answer) => {
                world.check(&answer);
                return (answer, world);
            }
            AttemptStep::FindChain(wish) => match ops.clone().next() {
                Some(WorldOp::NoChain) => {
                    ops.next();
                    AttemptEvent::NoChain
                }
                Some(WorldOp::Reserved) => {
                    ops.next();
                    AttemptEvent::Reserved
                }
                _ => World::find(&wish),
            },
            AttemptStep::Open { attempt, chain } => {
                assert_eq!(
                    attempt,
                    world.attempt.next(),
                    "attempt numbers increase by one"
                );
                world.attempt = attempt;
                world.chain = chain;
                world.probed = 0;
                world.opens += 1;
                if let Some(op @ (WorldOp::Refuse | WorldOp::NotSent)) = ops.clone().next() {
                    ops.next();
                    world.event(op).expect("the operation applies in any state")
                } else {
                    world.opened = true;
                    AttemptEvent::Opened
                }
            }
            AttemptStep::Deliver(piece) => {
                assert_eq!(
                    piece,
                    text(world.delivered.len() as u32),
                    "each token arrives once and in order"
                );
                world.delivered.push(piece);
                world.probed = 0;
                AttemptEvent::Delivered
            }
            AttemptStep::Wait { until } => next_event(&mut ops, &mut world, until),
            AttemptStep::Probe {
                until, ref stages, ..
            } => {
                if world.chain.is_empty() {
                    world.chain.clone_from(stages);
                }
                world.probed = stages.len();
                next_event(&mut ops, &mut world, until)
            }
        };
        if let AttemptEvent::Probed(probes) = &event {
            world.probed = 0;
            world.crashes += u32::from(probes.contains(&StageProbe::Refused));
        }
        step = machine.handle(event, world.now);
    }
    panic!(
        "the request has not ended after {MAX_STEPS} steps; rest of the schedule: {:?}",
        ops.collect::<Vec<_>>()
    );
}

fn next_event(
    ops: &mut impl Iterator<Item = WorldOp>,
    world: &mut World,
    until: MonoTime,
) -> AttemptEvent {
    for op in ops {
        let applies_to_open_only = matches!(op, WorldOp::Refuse | WorldOp::NotSent);
        if !applies_to_open_only && let Some(event) = world.event(op) {
            world.now = MonoTime(world.now.0 + 5_000);
            return event;
        }
    }
    if world.probed > 0 {
        return AttemptEvent::Probed(vec![world.progress(1); world.probed]);
    }
    if world.chain.is_empty() || world.attempt.0 == 0 {
        world.now = world.now.max(until);
        return AttemptEvent::Timer;
    }
    world.now = MonoTime(world.now.0 + 20_000);
    world
        .event(WorldOp::NextToken)
        .expect("the next token or the end of the answer")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// No token is lost, repeated, out of order or taken from another request, and each request
    /// ends with an outcome that matches what happened.
    #[test]
    fn delivery_holds_over_random_schedules(
        ops in proptest::collection::vec(world_op(), 0..60),
        prior_crashes in 0..2_u32,
    ) {
        let (_answer, world) = run(&ops, prior_crashes);
        prop_assert!(world.opens <= 8, "{} attempts", world.opens);
    }

    /// A request that is already known as poison is sent to no engine.
    #[test]
    fn known_poison_request_is_never_opened(ops in proptest::collection::vec(world_op(), 0..20)) {
        let (answer, world) = run(&ops, 2);
        prop_assert_eq!(answer, FinalAnswer::Poisoned { outcome: ExecutionOutcome::NotExecuted });
        prop_assert_eq!(world.opens, 0);
    }
}

#[test]
fn well_behaved_engines_complete_the_answer() {
    // Arrange
    let ops: [WorldOp; 0] = [];

    // Act
    let (answer, world) = run(&ops, 0);

    // Assert
    let cause = FinishCause::Length;
    assert_eq!(
        answer,
        FinalAnswer::Complete {
            cause,
            tokens: TOKENS
        }
    );
    assert_eq!(world.opens, 1);
}

#[test]
fn crashes_without_progress_end_the_request_after_the_second() {
    // Arrange: the middle engine of each attempt crashes before the first token.
    let alive = WorldOp::Probe(0, 1);
    let crash = [WorldOp::Broken(1), WorldOp::Probe(0, 5)];
    let ops = [&crash[..], &[alive], &crash[..]].concat();

    // Act
    let (answer, world) = run(&ops, 0);

    // Assert
    let outcome = ExecutionOutcome::Unknown;
    assert_eq!(answer, FinalAnswer::Poisoned { outcome });
    assert_eq!((world.opens, world.crashes), (2, 2));
}

#[test]
fn crashes_with_tokens_in_between_do_not_poison_the_request() {
    // Arrange
    let alive = WorldOp::Probe(0, 1);
    let crash = [WorldOp::Broken(1), WorldOp::Probe(0, 5)];
    let token = [WorldOp::NextToken];
    let ops = [
        &token[..],
        &crash,
        &[alive],
        &token,
        &crash,
        &[alive],
        &token,
    ]
    .concat();

    // Act
    let (answer, _world) = run(&ops, 0);

    // Assert
    let cause = FinishCause::Length;
    assert_eq!(
        answer,
        FinalAnswer::Complete {
            cause,
            tokens: TOKENS
        }
    );
}

#[test]
fn engines_that_were_silent_once_are_used_again_when_nothing_else_is_left() {
    // Arrange: the first engine of each replica does not respond to one probe in time, before any
    // token.
    let silent = [WorldOp::Pause(1_500), WorldOp::Probe(0, 4)];
    let ops = [&silent[..], &silent, &silent].concat();

    // Act
    let (answer, world) = run(&ops, 0);

    // Assert
    let cause = FinishCause::Length;
    assert_eq!(
        answer,
        FinalAnswer::Complete {
            cause,
            tokens: TOKENS
        }
    );
    assert_eq!(world.opens, 4);
}
