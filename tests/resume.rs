//! Answers that continue after a stage was lost, with real engine processes.

mod support;

use arbutusmount::{EngineReport, LayerRange, OperatorClient, PlanRequest, RequestId};
use async_std::task;
use rig::{
    EngineKnobs, FaultProxy, FleetSpec, LedgerEntry, OPERATOR_TOKEN, ProcessFleet, ProxyFaults,
    admin_get, free_address, reference_text, sample_declaration, wait_until,
};
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{MODEL, chat_request, programs, ready_fleet, team_client};
use test_case::test_case;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);
/// Step time of one layer, in microseconds; a token passes through three stages of eight layers.
const LAYER_MICROS: u64 = 1_500;
/// Most tokens that a slow engine may still work on after its fault.
const SLOW_TOKENS: u32 = 10;
/// Length of an answer, in tokens.
const TOKENS: u32 = 50;
/// Token after which a stage fails.
const FAULT_AT: usize = 15;
/// Longest accepted time from a fault to the next token. The router must recover before an engine's
/// own timeout of a stage; the limit is twice that timeout, as the test machine may be busy.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_200);

/// Fault of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StageTrouble {
    Kill,
    Freeze,
    Slow,
    Cut,
    SlowLink,
}

/// An answer in progress.
#[derive(Clone, Default)]
struct AnswerProbe {
    text: Arc<Mutex<String>>,
    times: Arc<Mutex<Vec<Instant>>>,
    tokens: Arc<AtomicUsize>,
}

impl AnswerProbe {
    fn take(&self, piece: &str) {
        self.text.lock().expect("not poisoned").push_str(piece);
        self.times
            .lock()
            .expect("not poisoned")
            .push(Instant::now());
        self.tokens.fetch_add(1, Ordering::AcqRel);
    }

    async fn wait_tokens(&self, count: usize) {
        wait_until("tokens arrive", LIMIT, || async {
            self.tokens.load(Ordering::Acquire) >= count
        })
        .await;
    }

    /// Time from `fault` to the end of the last gap that is longer than three times the median gap
    /// before the fault.
    fn settled(&self, fault: Instant) -> Duration {
        let times = self.times.lock().expect("not poisoned");
        let mut usual: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        usual.truncate(FAULT_AT);
        usual.sort_unstable();
        let late = usual[usual.len() / 2] * 3;
        let mut gaps = times.windows(2).filter(|pair| pair[1] > fault);
        let last = gaps.rfind(|pair| pair[1] - pair[0] > late);
        last.map_or(Duration::ZERO, |pair| pair[1] - fault)
    }

    /// Milliseconds between the tokens, for failure messages.
    fn gap_millis(&self) -> Vec<u128> {
        let times = self.times.lock().expect("not poisoned");
        let gaps = times.windows(2).map(|pair| (pair[1] - pair[0]).as_millis());
        gaps.collect()
    }

    /// Time from `fault` to the end of the longest gap that begins or ends after it.
    fn recovery(&self, fault: Instant) -> Duration {
        let times = self.times.lock().expect("not poisoned");
        let gaps = times.windows(2).filter(|pair| pair[1] > fault);
        let longest = gaps.max_by_key(|pair| pair[1] - pair[0]);
        longest.map_or(Duration::ZERO, |pair| pair[1] - pair[0].max(fault))
    }
}

fn engines(count: usize) -> Vec<(EngineKnobs, u64)> {
    let knobs = EngineKnobs {
        layer_micros: LAYER_MICROS,
        ..EngineKnobs::default()
    };
    vec![(knobs, 8_000); count]
}

fn spec(engine_count: usize) -> FleetSpec {
    FleetSpec {
        daemons: 1,
        engines: engines(engine_count),
        services: 0,
        ..FleetSpec::default()
    }
}

/// A fleet whose engines are reached through proxies, by the daemons and by each other.
async fn proxied_fleet(engine_count: usize, replicas: u32) -> (ProcessFleet, Vec<FaultProxy>) {
    let mut fleet = ProcessFleet::start(spec(engine_count), programs()).await;
    let mut proxies = Vec::new();
    for index in 0..engine_count {
        let address = fleet.engines[index].row.address;
        let proxy = FaultProxy::start(free_address(), address)
            .await
            .expect("a proxy starts");
        fleet.engines[index].row.address = proxy.address();
        let row = fleet.engines[index].row.clone();
        fleet.register_instance(&row).await;
        proxies.push(proxy);
    }
    let wanted = PlanRequest {
        author: Arc::from("test"),
        declaration: sample_declaration(replicas),
    };
    let daemon = fleet.daemons[0].addresses.listen;
    let client = OperatorClient::new(OPERATOR_TOKEN);
    wait_until("the daemon lists the proxies", LIMIT, || async {
        let plan = client.plan(daemon, &wanted).await;
        plan.is_ok_and(|plan| {
            let mut rows = plan.document.placements.iter();
            rows.all(|row| proxies.iter().any(|proxy| proxy.address() == row.address))
        })
    })
    .await;
    fleet.declare(&sample_declaration(replicas)).await;
    (fleet, proxies)
}

/// The engine that runs `layers` of the request that is not in `known`.
async fn find_engine(
    fleet: &ProcessFleet,
    known: &HashSet<RequestId>,
    layers: LayerRange,
) -> usize {
    for (index, member) in fleet.engines.iter().enumerate() {
        let ledger: Vec<LedgerEntry> = admin_get(member.row.address, "/v1/ledger")
            .await
            .unwrap_or_default();
        let runs = |entry: &&LedgerEntry| !known.contains(&entry.request) && entry.layers == layers;
        if ledger.iter().rev().any(|entry| runs(&entry)) {
            return index;
        }
    }
    panic!("no engine runs layers {layers}");
}

/// Last position that an engine has run of the request that is not in `known`.
async fn last_position(fleet: &ProcessFleet, index: usize, known: &HashSet<RequestId>) -> u32 {
    let address = fleet.engines[index].row.address;
    let ledger: Vec<LedgerEntry> = admin_get(address, "/v1/ledger")
        .await
        .expect("the engine answers");
    let positions = ledger
        .iter()
        .filter(|entry| !known.contains(&entry.request))
        .map(|entry| entry.position.0);
    positions.max().unwrap_or(0)
}

async fn known_requests(fleet: &ProcessFleet) -> HashSet<RequestId> {
    let mut known = HashSet::new();
    for member in &fleet.engines {
        let ledger: Vec<LedgerEntry> = admin_get(member.row.address, "/v1/ledger")
            .await
            .unwrap_or_default();
        known.extend(ledger.iter().map(|entry| entry.request));
    }
    known
}

fn start_answer(
    fleet: &ProcessFleet,
    message: &str,
    tokens: u32,
) -> (AnswerProbe, task::JoinHandle<Result<String, String>>) {
    let probe = AnswerProbe::default();
    let ask = chat_request(message, 5, tokens);
    let daemon = fleet.daemons[0].addresses.listen;
    let sink = probe.clone();
    let asked = task::spawn(async move {
        let client = team_client();
        let asked = client.ask(daemon, &ask, |piece| sink.take(piece)).await;
        asked.map_err(|cause| format!("{cause:?}"))
    });
    (probe, asked)
}

async fn inject_fault(
    fleet: &mut ProcessFleet,
    proxies: &[FaultProxy],
    trouble: StageTrouble,
    index: usize,
) {
    let address = fleet.engines[index].row.address;
    match trouble {
        StageTrouble::Kill => fleet.engines[index].process.kill(),
        StageTrouble::Freeze => fleet.engines[index].process.freeze(),
        StageTrouble::Slow => {
            let knobs = serde_json::json!({ "slow_percent": 1_000 });
            fleet.set_knobs(address, knobs).await;
        }
        StageTrouble::SlowLink => {
            let knobs = serde_json::json!({ "link_ms": 1_500 });
            fleet.set_knobs(address, knobs).await;
        }
        StageTrouble::Cut => {
            proxies[index].set_faults(ProxyFaults {
                refuse: true,
                ..ProxyFaults::default()
            });
            proxies[index].close_connections();
        }
    }
}

async fn repair_stage(
    fleet: &mut ProcessFleet,
    proxies: &[FaultProxy],
    trouble: StageTrouble,
    index: usize,
) {
    let address = fleet.engines[index].row.address;
    match trouble {
        StageTrouble::Kill => {
            fleet.restart_engine(index).await;
            fleet.wait_ready().await;
        }
        StageTrouble::Freeze => fleet.engines[index].process.thaw(),
        StageTrouble::Slow | StageTrouble::SlowLink => {
            let knobs = serde_json::json!({ "slow_percent": 100, "link_ms": 0 });
            fleet.set_knobs(address, knobs).await;
        }
        StageTrouble::Cut => proxies[index].set_faults(ProxyFaults::default()),
    }
}

/// Rounds of each fault, from the environment; more rounds give useful percentiles.
fn rounds() -> usize {
    let text = std::env::var("RESUME_ROUNDS").unwrap_or_default();
    text.parse().unwrap_or(1)
}

fn percentile(sorted: &[Duration], share: f64) -> u128 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1].as_millis()
}

const HEAD: LayerRange = LayerRange { from: 0, to: 8 };
const MIDDLE: LayerRange = LayerRange { from: 8, to: 16 };
const TAIL: LayerRange = LayerRange { from: 16, to: 24 };

#[test_case(StageTrouble::Kill, &[HEAD, MIDDLE, TAIL])]
#[test_case(StageTrouble::Freeze, &[HEAD, MIDDLE, TAIL])]
#[test_case(StageTrouble::Slow, &[HEAD, MIDDLE, TAIL])]
#[test_case(StageTrouble::Cut, &[HEAD, MIDDLE, TAIL])]
#[test_case(StageTrouble::SlowLink, &[HEAD, MIDDLE])]
fn answer_goes_on_within_a_few_gaps(trouble: StageTrouble, stages: &[LayerRange]) {
    task::block_on(async {
        // Arrange
        let (mut fleet, proxies) = if trouble == StageTrouble::Cut {
            proxied_fleet(9, 3).await
        } else {
            (ready_fleet(spec(9), 3).await, Vec::new())
        };
        for layers in stages {
            let (mut recoveries, mut settled) = (Vec::new(), Vec::new());
            for _ in 0..rounds() {
                let known = known_requests(&fleet).await;

                // Act
                let (probe, asked) = start_answer(&fleet, "My coverall is torn.", TOKENS);
                probe.wait_tokens(FAULT_AT).await;
                let index = find_engine(&fleet, &known, *layers).await;
                let fault = Instant::now();
                let before = probe.tokens.load(Ordering::Acquire) as u32;
                inject_fault(&mut fleet, &proxies, trouble, index).await;
                let finish = asked.await;

                // Assert
                let text = probe.text.lock().expect("not poisoned").clone();
                assert_eq!(finish, Ok("length".to_owned()), "{trouble:?} at {layers}");
                let reference = reference_text(MODEL, 5, "My coverall is torn.", TOKENS);
                assert_eq!(text, reference, "{trouble:?} at {layers}");
                recoveries.push(probe.recovery(fault));
                settled.push(probe.settled(fault));
                if trouble == StageTrouble::Slow {
                    let last = last_position(&fleet, index, &known).await;
                    assert!(
                        last <= before + SLOW_TOKENS,
                        "{layers}: ran {last} after {before}, gaps {:?} ms",
                        probe.gap_millis()
                    );
                }
                repair_stage(&mut fleet, &proxies, trouble, index).await;
            }
            recoveries.sort_unstable();
            settled.sort_unstable();
            println!(
                "recovery from {trouble:?} at {layers}: p50 {} p95 {} max {} ms, settled p50 {} max {} \
                 ms, of {}",
                percentile(&recoveries, 0.5),
                percentile(&recoveries, 0.95),
                percentile(&recoveries, 1.0),
                percentile(&settled, 0.5),
                percentile(&settled, 1.0),
                recoveries.len(),
            );
            let median = recoveries[recoveries.len() / 2];
            assert!(
                median < RECOVERY_LIMIT,
                "{trouble:?} at {layers}: {median:?}"
            );
        }
    });
}

#[async_std::test]
async fn replacement_that_joins_in_mid_answer_is_used() {
    // Arrange: two replicas. The answer loses the last stage of one replica, which is replaced, and
    // then that of the other.
    let mut fleet = ready_fleet(spec(6), 2).await;
    let message = "When is the morning slip run?";
    let (probe, asked) = start_answer(&fleet, message, 250);
    probe.wait_tokens(FAULT_AT).await;
    let first = find_engine(&fleet, &HashSet::new(), TAIL).await;

    // Act
    fleet.engines[first].process.kill();
    probe.wait_tokens(FAULT_AT + 10).await;
    fleet.restart_engine(first).await;
    wait_until("the replacement holds its stage", LIMIT, || async {
        let report = admin_get(fleet.engines[first].row.address, "/v1/report").await;
        report.is_ok_and(|report: EngineReport| report.stages.iter().any(|stage| stage.ready))
    })
    .await;
    // Longer than the period of load reports.
    probe
        .wait_tokens(probe.tokens.load(Ordering::Acquire) + 30)
        .await;
    let second = find_second_tail(&fleet, first).await;
    fleet.engines[second].process.kill();
    let finish = asked.await;

    // Assert
    assert_eq!(finish, Ok("length".to_owned()));
    let text = probe.text.lock().expect("not poisoned").clone();
    assert_eq!(text, reference_text(MODEL, 5, message, 250));
}

/// The engine other than `first` that has run the last stage; `first` was restarted.
async fn find_second_tail(fleet: &ProcessFleet, first: usize) -> usize {
    for (index, member) in fleet.engines.iter().enumerate() {
        let ledger: Vec<LedgerEntry> = admin_get(member.row.address, "/v1/ledger")
            .await
            .expect("the engine answers");
        if index != first && ledger.iter().any(|entry| entry.layers == TAIL) {
            return index;
        }
    }
    panic!("no other engine has run the tail");
}

#[test_case(HEAD)]
#[test_case(TAIL)]
fn answer_ends_at_once_and_says_partial_when_no_chain_is_left(layers: LayerRange) {
    task::block_on(async {
        // Arrange
        let mut fleet = ready_fleet(spec(3), 1).await;
        let (probe, asked) = start_answer(&fleet, "Which bay is free?", TOKENS);
        probe.wait_tokens(FAULT_AT).await;
        let index = find_engine(&fleet, &HashSet::new(), layers).await;

        // Act
        let fault = Instant::now();
        fleet.engines[index].process.kill();
        let finish = asked.await;

        // Assert
        let cause = finish.expect_err("the answer is incomplete");
        assert!(fault.elapsed() < RECOVERY_LIMIT, "{:?}", fault.elapsed());
        assert!(
            cause.contains("Incomplete") && cause.contains("partial"),
            "{cause}"
        );
        let text = probe.text.lock().expect("not poisoned").clone();
        let reference = reference_text(MODEL, 5, "Which bay is free?", TOKENS);
        assert!(reference.starts_with(&text), "{text}");
    });
}

#[async_std::test]
async fn request_refused_by_every_engine_has_not_run() {
    // Arrange
    let fleet = ready_fleet(spec(3), 1).await;
    for member in &fleet.engines {
        let knobs = serde_json::json!({ "refuse": true });
        fleet.set_knobs(member.row.address, knobs).await;
    }

    // Act
    let (probe, asked) = start_answer(&fleet, "Which bay is free?", TOKENS);
    let cause = asked.await.expect_err("the request is refused");

    // Assert
    assert!(cause.contains("not_run"), "{cause}");
    assert_eq!(probe.tokens.load(Ordering::Acquire), 0);
    assert!(known_requests(&fleet).await.is_empty());
}
