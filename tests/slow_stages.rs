//! How soon an answer leaves a chain of which a stage has turned slow, by the gaps between tokens.

use arbutusmount::{
    AttemptEvent, AttemptLimits, AttemptMachine, AttemptNumber, AttemptStep, ChainStage,
    LayerRange, MonoTime, RequestId, StreamRecord, TokenPosition,
};
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

fn chain() -> Vec<ChainStage> {
    vec![ChainStage {
        instance: "engine-1".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        layers: LayerRange::new(0, 24),
    }]
}

/// Opens an attempt and returns its number and the time of its first timer.
fn open(machine: &mut AttemptMachine, now: MonoTime) -> (AttemptNumber, MonoTime) {
    machine.start();
    let AttemptStep::Open { attempt, .. } = machine.handle(AttemptEvent::Chain(chain()), now)
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
    let (attempt, mut until) = open(&mut machine, now);
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
