//! Overload by one team: effects on other teams, refusals, admitted requests and memory.

mod support;

use arbutusmount::{OperatorClient, OperatorError};
use async_std::task;
use rig::{
    DISPATCH_TOKEN, EngineKnobs, FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet, read_usage,
    reference_text, wait_until,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::{MODEL, chat_request, read_metric, ready_fleet};

/// Callers of the large team, each of which sends its next request as soon as the last one has
/// ended. The engines can serve about 80 answers at once with 58 ms between tokens.
const FLOOD_CALLERS: u64 = 240;
/// Requests of the small team.
const SMALL_REQUESTS: u64 = 20;
/// Longest time to the first token of the small team, at the 95th percentile.
const FIRST_TOKEN: Duration = Duration::from_millis(640);
/// Memory allowed for a daemon, in KiB.
const MEMORY_KIB: u64 = 128 << 10;
/// Longest time until a refusal, at the 95th percentile.
const REFUSAL: Duration = Duration::from_millis(640);

/// Step time of engines that have become slow, in percent of the usual one.
const SLOW_PERCENT: u32 = 400;
/// Longest time until the flood has filled the limit; it takes a second or two.
const LIMIT_REACHED: Duration = Duration::from_secs(20);
/// Gauge of the requests that wait for admission.
const WAITING: &str = "arbutusmount_admission_requests{model=\"helpdesk\",state=\"waiting\"}";

/// How one request ended.
#[derive(Debug, PartialEq)]
enum CallEnd {
    /// Complete and equal to the reference; time to the first token.
    Complete(Duration),
    /// Refused without execution; time to the refusal.
    Refused(Duration),
    /// Anything else.
    Wrong(String),
}

async fn call(daemon: SocketAddr, token: &str, seed: u64, tokens: u32) -> CallEnd {
    let message = format!("Question {seed}");
    let ask = chat_request(&message, seed, tokens);
    let start = Instant::now();
    let mut first = None;
    let mut text = String::new();
    let outcome = OperatorClient::new(token)
        .ask(daemon, &ask, |piece| {
            first.get_or_insert_with(|| start.elapsed());
            text.push_str(piece);
        })
        .await;
    match outcome {
        Ok(_) if text == reference_text(MODEL, seed, &message, tokens) => {
            CallEnd::Complete(first.unwrap_or_default())
        }
        Err(OperatorError::Problem { status: 503, body }) => match refusal_fault(&body) {
            None => CallEnd::Refused(start.elapsed()),
            Some(fault) => CallEnd::Wrong(fault),
        },
        other => CallEnd::Wrong(format!("{other:?}")),
    }
}

/// What is wrong with the body of a refusal, if anything.
fn refusal_fault(body: &str) -> Option<String> {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    let says_when = value["retry_after_ms"]
        .as_u64()
        .is_some_and(|millis| millis > 0);
    let right = value["outcome"] == "not_run" && says_when;
    (!right).then(|| body.to_owned())
}

fn resident_kib(fleet: &ProcessFleet, daemon: usize) -> u64 {
    read_usage(fleet.daemons[daemon].process.id()).resident_kib
}

async fn flood(daemons: Vec<SocketAddr>, caller: u64, stop: Arc<AtomicBool>) -> Vec<CallEnd> {
    let mut ends = Vec::new();
    let mut seed = caller * 10_000;
    while !stop.load(Ordering::Relaxed) {
        seed += 1;
        let daemon = daemons[(caller % daemons.len() as u64) as usize];
        let end = call(daemon, HEAD_OFFICE_TOKEN, seed, 40).await;
        if matches!(end, CallEnd::Refused(_)) {
            // The caller ignores Retry-After and retries much earlier.
            task::sleep(Duration::from_millis(50)).await;
        }
        ends.push(end);
    }
    ends
}

/// Sends the requests of the small team one after another.
async fn small_calls(daemons: &[SocketAddr]) -> Vec<CallEnd> {
    let mut ends = Vec::new();
    for request in 0..SMALL_REQUESTS {
        let daemon = daemons[(request % 2) as usize];
        ends.push(call(daemon, DISPATCH_TOKEN, request, 3).await);
    }
    ends
}

/// Fleet whose engines can serve few answers at once.
async fn small_fleet() -> ProcessFleet {
    let knobs = EngineKnobs {
        max_batch: 4,
        ..EngineKnobs::default()
    };
    let spec = FleetSpec {
        engines: vec![(knobs, 8_000); 3],
        ..FleetSpec::default()
    };
    ready_fleet(spec, 1).await
}

/// Starts the callers of the large team.
fn start_flood(
    daemons: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<task::JoinHandle<Vec<CallEnd>>> {
    (1..=FLOOD_CALLERS)
        .map(|caller| task::spawn(flood(daemons.to_vec(), caller, Arc::clone(stop))))
        .collect()
}

#[async_std::test]
async fn flood_of_one_team_leaves_the_others_their_share() {
    // Arrange
    let fleet = small_fleet().await;
    let daemons: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.addresses.listen).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let flood = start_flood(&daemons, &stop);
    task::sleep(Duration::from_secs(2)).await;

    // Act
    let small = small_calls(&daemons).await;
    let memory = [resident_kib(&fleet, 0), resident_kib(&fleet, 1)];
    stop.store(true, Ordering::Relaxed);
    let mut large = Vec::new();
    for caller in flood {
        large.extend(caller.await);
    }

    // Assert
    let mut first_tokens: Vec<Duration> = small
        .iter()
        .map(|end| match end {
            CallEnd::Complete(first) => *first,
            other => panic!("the small team got {other:?}"),
        })
        .collect();
    first_tokens.sort_unstable();
    let p95 = first_tokens[first_tokens.len() * 95 / 100];
    let complete = large
        .iter()
        .filter(|end| matches!(end, CallEnd::Complete(_)))
        .count();
    let mut refusals: Vec<Duration> = large
        .iter()
        .filter_map(|end| match end {
            CallEnd::Refused(after) => Some(*after),
            _ => None,
        })
        .collect();
    refusals.sort_unstable();
    let wrong: Vec<&CallEnd> = large
        .iter()
        .filter(|end| matches!(end, CallEnd::Wrong(_)))
        .collect();
    println!("small team first token p95 {p95:?}; large team {complete} complete");
    println!(
        "{} refusals, slowest {:?}; memory {memory:?} KiB",
        refusals.len(),
        refusals.last()
    );
    assert!(
        p95 <= FIRST_TOKEN,
        "first token of the small team after {p95:?}"
    );
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(complete > 0);
    assert!(!refusals.is_empty());
    let p95_refusal = refusals[refusals.len() * 95 / 100];
    assert!(p95_refusal <= REFUSAL, "refusals after {p95_refusal:?}");
    assert!(memory.iter().all(|kib| *kib <= MEMORY_KIB), "{memory:?}");
}

#[async_std::test]
async fn flood_on_engines_that_turn_slow_leaves_the_others_their_share() {
    // Arrange: the large team has filled the limit, which falls once the engines become slow.
    let fleet = small_fleet().await;
    let daemons: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.addresses.listen).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let flood = start_flood(&daemons, &stop);
    wait_until("the limit is reached", LIMIT_REACHED, || async {
        read_metric(daemons[0], WAITING).await > 0.0 && read_metric(daemons[1], WAITING).await > 0.0
    })
    .await;
    for engine in &fleet.engines {
        let knobs = serde_json::json!({ "slow_percent": SLOW_PERCENT });
        fleet.set_knobs(engine.row.address, knobs).await;
    }

    // Act
    let small = small_calls(&daemons).await;
    stop.store(true, Ordering::Relaxed);
    for caller in flood {
        caller.await;
    }

    // Assert
    let complete = |end: &&CallEnd| matches!(end, CallEnd::Complete(_));
    assert_eq!(
        small.iter().filter(complete).count() as u64,
        SMALL_REQUESTS,
        "{small:?}"
    );
}
