//! Measures claims on idempotency keys against a store that limits writes: platform and daemons in
//! one program, an open loop of claims at a fixed rate.

use crate::fleet::{OPERATOR_TOKEN, free_address};
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::web::admin_send;
use arbutusmount::{
    CachedResponse, ClaimOutcome, ClaimRequest, DaemonHandle, DaemonSettings, InstanceRole,
    InstanceRow, InstanceState, MetricSet, digest_token, start_daemon,
};
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use hdrhistogram::Histogram;
use http_types::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Result of the bench.
type Result<T> = std::result::Result<T, String>;

/// Time for the daemons to read the instance list before the first claim.
const WARM_UP: Duration = Duration::from_secs(2);
/// Period of the load's pacing.
const PACE: Duration = Duration::from_millis(2);

/// What is measured.
#[derive(Debug, Clone)]
pub struct ClaimBench {
    /// Daemons.
    pub daemons: usize,
    /// Claims a second, one row of the table for each.
    pub rates: Vec<u32>,
    /// Length of each row's load.
    pub row_duration: Duration,
    /// Writes a second that the store allows.
    pub writes_per_second: u32,
    /// Delay of each call of the store, in milliseconds.
    pub delay_ms: u64,
    /// Shortest time between two writes of one shard, in milliseconds.
    pub write_spacing_ms: u64,
    /// Seed of keys and of the choice of daemons.
    pub seed: u64,
}

/// How claims reach the store in one row.
#[derive(Debug, Clone, Copy)]
struct BenchMode {
    name: &'static str,
    forward: bool,
    dated: bool,
}

const MODES: [BenchMode; 3] = [
    BenchMode {
        name: "home, dated keys",
        forward: true,
        dated: true,
    },
    BenchMode {
        name: "home, undated keys",
        forward: true,
        dated: false,
    },
    BenchMode {
        name: "no home, dated keys",
        forward: false,
        dated: true,
    },
];

/// Counts of the store's calls that a fleet has made for claims.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    writes: f64,
    conflicts: f64,
    failed: f64,
    reads: f64,
}

struct BenchFleet {
    daemons: Vec<DaemonHandle>,
}

/// Runs the bench and prints its table.
///
/// # Errors
/// What went wrong, as text.
pub async fn run_claims_bench(bench: ClaimBench) -> Result<()> {
    println!(
        "{} daemons, store limited to {} writes/s at {} ms, spacing {} ms, {} s a row, seed {}\n",
        bench.daemons,
        bench.writes_per_second,
        bench.delay_ms,
        bench.write_spacing_ms,
        bench.row_duration.as_secs(),
        bench.seed
    );
    println!(
        "| path | claims/s | granted | refused | writes/s | writes per claim | conflicts | failed \
         | reads | p50 ms | p99 ms |"
    );
    println!("| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |");
    for mode in MODES {
        for rate in &bench.rates {
            let fleet = BenchFleet::start(&bench, mode).await?;
            run_row(&bench, mode, *rate, &fleet).await;
            fleet.stop().await;
        }
    }
    Ok(())
}

async fn run_row(bench: &ClaimBench, mode: BenchMode, rate: u32, fleet: &BenchFleet) {
    let before = fleet.counts();
    let mut rng = fastrand::Rng::with_seed(bench.seed);
    let total = u64::from(rate) * bench.row_duration.as_secs();
    let start = Instant::now();
    let mut claims = Vec::new();
    while (claims.len() as u64) < total {
        let due = (start.elapsed().as_secs_f64() * f64::from(rate)) as u64;
        while (claims.len() as u64) < due.min(total) {
            claims.push(fleet.claim(mode, &mut rng));
        }
        task::sleep(PACE).await;
    }
    let mut latencies: Histogram<u64> = Histogram::new(3).expect("three digits are supported");
    let mut granted = 0_u64;
    for claim in claims {
        let (is_granted, took) = claim.await;
        granted += u64::from(is_granted);
        let recorded = latencies.record(took.as_micros() as u64);
        recorded.expect("the histogram grows as needed");
    }
    let seconds = start.elapsed().as_secs_f64();
    let counts = fleet.counts().since(before);
    let quantile = |share| latencies.value_at_quantile(share) as f64 / 1_000.0;
    println!(
        "| {} | {rate} | {granted} | {} | {:.0} | {:.3} | {} | {} | {} | {:.1} | {:.1} |",
        mode.name,
        total - granted,
        counts.writes / seconds,
        counts.writes / granted.max(1) as f64,
        counts.conflicts,
        counts.failed,
        counts.reads,
        quantile(0.5),
        quantile(0.99),
    );
}

impl CallCounts {
    fn read(metrics: &MetricSet) -> Self {
        let text = metrics.render();
        let value = |kind: &str| {
            let prefix = format!("arbutusmount_claim_store_calls_total{{kind=\"{kind}\"}} ");
            let found = text.lines().find_map(|line| line.strip_prefix(&prefix));
            found
                .and_then(|value| value.parse().ok())
                .unwrap_or_default()
        };
        Self {
            writes: value("write"),
            conflicts: value("conflict"),
            failed: value("failed"),
            reads: value("read"),
        }
    }

    fn add(self, other: Self) -> Self {
        Self {
            writes: self.writes + other.writes,
            conflicts: self.conflicts + other.conflicts,
            failed: self.failed + other.failed,
            reads: self.reads + other.reads,
        }
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            writes: self.writes - earlier.writes,
            conflicts: self.conflicts - earlier.conflicts,
            failed: self.failed - earlier.failed,
            reads: self.reads - earlier.reads,
        }
    }
}

impl BenchFleet {
    async fn start(bench: &ClaimBench, mode: BenchMode) -> Result<Self> {
        let platform = free_address();
        let listener = TcpListener::bind(platform)
            .await
            .map_err(|e| e.to_string())?;
        let knobs = PlatformKnobs {
            writes_per_second: bench.writes_per_second,
            delay_ms: bench.delay_ms,
            ..PlatformKnobs::default()
        };
        task::spawn(PlatformStandIn::new(knobs).serve(listener));
        let mut daemons = Vec::new();
        for index in 0..bench.daemons {
            daemons.push(start_one(bench, mode, platform, index).await?);
        }
        task::sleep(WARM_UP).await;
        Ok(Self { daemons })
    }

    /// Ends the daemons' listeners; their timers end with the program.
    async fn stop(self) {
        for daemon in self.daemons {
            if let Err(cause) = daemon.drain().await {
                eprintln!("a daemon did not drain: {cause}");
            }
        }
    }

    fn counts(&self) -> CallCounts {
        let daemons = self.daemons.iter();
        let counts = daemons.map(|daemon| CallCounts::read(&daemon.context().metrics));
        counts.fold(CallCounts::default(), CallCounts::add)
    }

    /// Starts one claim of a new key on a random daemon.
    fn claim(&self, mode: BenchMode, rng: &mut fastrand::Rng) -> JoinHandle<(bool, Duration)> {
        let daemon = &self.daemons[rng.usize(..self.daemons.len())];
        let claims = daemon.context().claims.get().map(Arc::clone);
        let request = make_claim(mode, rng);
        task::spawn(async move {
            let start = Instant::now();
            let Some(claims) = claims else {
                return (false, start.elapsed());
            };
            let outcome = claims.claim(request).await;
            let took = start.elapsed();
            let ClaimOutcome::Claimed(guard) = outcome else {
                return (false, took);
            };
            guard.finish_completed(CachedResponse {
                status: 200,
                content_type: None,
                body: Vec::new(),
            });
            (true, took)
        })
    }
}

fn make_claim(mode: BenchMode, rng: &mut fastrand::Rng) -> ClaimRequest {
    let (team, service) = (
        "head-office".parse().expect("the team name is valid"),
        "stock".parse().expect("the service name is valid"),
    );
    let key = if mode.dated {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = now.map_or(0, |span| span.as_millis() as u64);
        let (high, low) = (millis >> 16, millis & 0xffff);
        let tail = rng.u64(..) >> 16;
        format!(
            "{high:08x}-{low:04x}-7{:03x}-8{:03x}-{tail:012x}",
            rng.u16(..) & 0xfff,
            rng.u16(..) & 0xfff
        )
    } else {
        format!("order-{:016x}", rng.u64(..))
    };
    ClaimRequest::new(&team, &service, &key, 1)
}

async fn start_one(
    bench: &ClaimBench,
    mode: BenchMode,
    platform: SocketAddr,
    index: usize,
) -> Result<DaemonHandle> {
    let (listen, peer_listen) = (free_address(), free_address());
    let name = format!("router-{index}");
    let settings = serde_json::json!({
        "instance": name,
        "failure_domain": "bangna",
        "listen": listen,
        "peer_listen": peer_listen,
        "platform": { "store": platform, "instances": platform },
        "peer_key": "bench",
        "operator_token_sha256": digest_token(OPERATOR_TOKEN).to_string(),
        "timing": { "address_ms": 1 },
        "claims": { "forward": mode.forward, "write_spacing_ms": bench.write_spacing_ms },
    });
    let settings =
        DaemonSettings::parse(&settings.to_string()).map_err(|errors| format!("{errors:?}"))?;
    let handle = start_daemon(settings).await.map_err(|e| e.to_string())?;
    let row = InstanceRow {
        instance: name.parse().map_err(|e| format!("{e}"))?,
        address: listen,
        peer_address: Some(peer_listen),
        role: InstanceRole::Router,
        failure_domain: "bangna".parse().map_err(|e| format!("{e}"))?,
        state: InstanceState::Live,
        memory_bytes: 0,
        service: None,
    };
    let listed = admin_send(platform, Method::Put, "/admin/instances", &row).await;
    listed.map_err(|e| e.to_string())?;
    Ok(handle)
}
