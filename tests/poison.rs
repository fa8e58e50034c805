//! Requests that crash the engines that run them, with real engine processes.

mod support;

use async_std::task;
use rig::{EngineKnobs, FleetSpec, ProcessFleet, reference_text, wait_until};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{MODEL, chat_request, ready_fleet, team_client};
use test_case::test_case;

/// Crashes after which a request is refused, as in the default settings.
const MAX_CRASHES: usize = 2;
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);
/// Longest time until a request is refused.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
const POISON: &str = "POISON pill";
const DAEMONS: usize = 3;
const ENGINES: usize = 12;
const TOKENS: u32 = 60;

async fn fleet(crash_stage: usize) -> ProcessFleet {
    let knobs = EngineKnobs {
        crash_marker: Arc::from("POISON"),
        crash_stage,
        layer_micros: 1_000,
        ..EngineKnobs::default()
    };
    let spec = FleetSpec {
        daemons: DAEMONS,
        engines: vec![(knobs, 8_000); ENGINES],
        services: 0,
        ..FleetSpec::default()
    };
    ready_fleet(spec, 4).await
}

type AskTask = task::JoinHandle<(Result<String, String>, String)>;

fn ask(
    fleet: &ProcessFleet,
    daemon: usize,
    message: &str,
    seed: u64,
) -> (AskTask, Arc<AtomicUsize>) {
    let daemon = fleet.daemons[daemon].addresses.listen;
    let wanted = chat_request(message, seed, TOKENS);
    let tokens = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&tokens);
    let asked = task::spawn(async move {
        let mut text = String::new();
        let client = team_client();
        let finish = client
            .ask(daemon, &wanted, |piece| {
                text.push_str(piece);
                counter.fetch_add(1, Ordering::AcqRel);
            })
            .await;
        (finish.map_err(|cause| format!("{cause:?}")), text)
    });
    (asked, tokens)
}

fn count_dead(fleet: &mut ProcessFleet) -> usize {
    let members = fleet.engines.iter_mut();
    members
        .filter_map(|m| (!m.process.is_running()).then_some(()))
        .count()
}

async fn assert_complete(asked: AskTask, message: &str, seed: u64) {
    let (finish, text) = asked.await;
    assert_eq!(finish, Ok("length".to_owned()), "{message}");
    assert_eq!(
        text,
        reference_text(MODEL, seed, message, TOKENS),
        "{message}"
    );
}

/// Harmless requests are in flight when the first poison request arrives, and more start with it.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn poison_crashes_few_engines_and_fails_no_other_request(crash_stage: usize) {
    task::block_on(async {
        // Arrange
        let mut fleet = fleet(crash_stage).await;
        let message = |index: u64| format!("Innocent question {index}");
        let mut harmless = Vec::new();
        for index in 0..6 {
            let (asked, tokens) = ask(&fleet, index as usize % DAEMONS, &message(index), index);
            harmless.push((asked, index));
            wait_until("the answer has begun", LIMIT, || async {
                tokens.load(Ordering::Acquire) > 0
            })
            .await;
        }

        // Act
        let (poison, _tokens) = ask(&fleet, 0, POISON, 1);
        for index in 6..12 {
            let (asked, _tokens) = ask(&fleet, index as usize % DAEMONS, &message(index), index);
            harmless.push((asked, index));
        }
        let (first, _text) = poison.await;

        // Assert
        let cause = first.expect_err("the request gets no answer");
        assert!(
            cause.contains("422") && cause.contains("unknown"),
            "{cause}"
        );
        for daemon in (0..DAEMONS).chain(0..DAEMONS) {
            let start = Instant::now();
            let (again, _tokens) = ask(&fleet, daemon, POISON, 2);
            let (again, _text) = again.await;
            let cause = again.expect_err("the request is refused");
            assert!(
                cause.contains("422") && cause.contains("not_run"),
                "{cause}"
            );
            assert!(start.elapsed() < REFUSAL_LIMIT, "{:?}", start.elapsed());
        }
        for (asked, index) in harmless {
            assert_complete(asked, &message(index), index).await;
        }
        let dead = count_dead(&mut fleet);
        assert!((1..=MAX_CRASHES).contains(&dead), "{dead} engines died");
    });
}

#[async_std::test]
async fn engine_that_crashes_on_its_own_poisons_no_request() {
    // Arrange
    let mut fleet = fleet(0).await;
    let message = |index: u64| format!("Innocent question {index}");
    let mut harmless = Vec::new();
    let mut counters = Vec::new();
    for index in 0..6 {
        let (asked, tokens) = ask(&fleet, index as usize % DAEMONS, &message(index), index);
        harmless.push((asked, index));
        counters.push(tokens);
    }

    // Act: the middle engines of three of the four replicas are killed one after another while the
    // same requests are in flight.
    for (step, count) in [5, 20, 35].into_iter().enumerate() {
        wait_until(
            "all answers have reached the token count",
            LIMIT,
            || async {
                counters
                    .iter()
                    .all(|tokens| tokens.load(Ordering::Acquire) >= count)
            },
        )
        .await;
        let middles: Vec<usize> = middle_engines(&fleet);
        fleet.engines[middles[step]].process.kill();
    }

    // Assert: all requests finish, and every daemon still accepts the same question.
    for (asked, index) in harmless {
        assert_complete(asked, &message(index), index).await;
    }
    for daemon in 0..DAEMONS {
        let (asked, _tokens) = ask(&fleet, daemon, &message(0), 9);
        assert_complete(asked, &message(0), 9).await;
    }
}

/// Engines that hold the middle layer range, by the order in which the placement fills each failure
/// domain.
fn middle_engines(fleet: &ProcessFleet) -> Vec<usize> {
    let replicas = ENGINES / 3;
    (0..replicas)
        .map(|replica| (replica * 3 + 1) % fleet.engines.len())
        .collect()
}
