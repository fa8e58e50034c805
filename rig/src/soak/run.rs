//! One run: starts the site, plays the faults of a seed and checks the rules meanwhile.

use crate::site::{SiteFleet, SiteSpec};
use crate::soak::caller::SoakCaller;
use crate::soak::configuration::write_first;
use crate::soak::daemon::{MAX_DAEMONS, SoakDaemon};
use crate::soak::fault::{FaultPair, FaultRow, pairs_of_seed};
use crate::soak::front::ServerFronts;
use crate::soak::play::FaultPlayer;
use crate::soak::report::SoakReport;
use crate::soak::rules::{RuleViolation, check_rules};
use crate::soak::shared::SoakShared;
use crate::soak::spec::{RuleBounds, SoakSpec};
use async_std::task;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Result of a run that could be played.
type Result<T> = std::result::Result<T, String>;

/// Name of the daemon's program.
const PROGRAM_NAME: &str = "arbutusmount-platform";
/// Stand-ins of every run.
const SITE: SiteSpec = SiteSpec {
    daemons: 0,
    plain_servers: 6,
    models_per_domain: 3,
    domains: 2,
    is_linked: false,
    saves_calls: false,
};
/// Callers for each daemon, up to [`MAX_CALLERS`].
const CALLERS_PER_DAEMON: usize = 6;
const MAX_CALLERS: usize = 60;
/// Longest wait until all daemons are ready and the model servers hold their layers.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the end of the last faults.
const END_TIMEOUT: Duration = Duration::from_secs(25);
/// Time of traffic before the first fault, so that daemons are in touch.
const QUIET_TIME: Duration = Duration::from_millis(3_200);
/// Mean time from one pair of faults to the next.
const PAIR_PERIOD: Duration = Duration::from_secs(4);
/// Shortest and longest such time: some pairs overlap with the next one, and before some others daemons
/// come in touch again.
const PAIR_GAP_MS: std::ops::Range<u64> = 1_500..6_500;
/// Longest time from the first fault of a pair to the second.
const PAIR_OFFSET_MS: u64 = 900;
/// Calm time at the end of a run; long enough to check RECOVER in runs of [`LONG_SPAN`] or more.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Span from which on a run checks RECOVER.
const LONG_SPAN: Duration = Duration::from_secs(45);
/// Period of looking after faults and processes.
const TICK: Duration = Duration::from_millis(40);
/// Period of checking the rules.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// One run at a time, since the addresses of the daemons belong to the process.
static RUNNING: Mutex<()> = Mutex::new(());

/// Program of the daemon, beside this program or in the folder above it, as for tests.
pub fn find_daemon_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let folders = own.ancestors().skip(1).take(2);
    let programs = folders.map(|folder| folder.join(PROGRAM_NAME));
    programs.into_iter().find(|program| program.exists())
}

/// Plays one seed. Violations are also printed as they are found.
///
/// # Errors
/// When the daemons cannot be started or are not ready in time.
pub fn run_soak(spec: &SoakSpec) -> Result<SoakReport> {
    if spec.daemons == 0 || spec.daemons > MAX_DAEMONS {
        return Err(format!("the number of daemons is from 1 to {MAX_DAEMONS}"));
    }
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = spec.folder();
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let spec = &SoakSpec {
        out: folder.clone(),
        ..spec.clone()
    };
    let shared = Arc::new(SoakShared::default());
    let mut player = start_site(spec, &shared)?;
    let callers = start_callers(spec, &shared, &player);
    let pairs = play(spec, &shared, &mut player)?;
    shared.stop();
    for caller in callers {
        caller
            .join()
            .map_err(|_panic| "a caller panicked".to_owned())?;
    }
    let evidence = shared.snapshot();
    Ok(SoakReport {
        seed: spec.seed,
        daemons: spec.daemons,
        logs: folder,
        pairs,
        skipped: player.skipped().to_vec(),
        violations: check_rules(&evidence),
        evidence,
    })
}

/// Starts the store, the servers and the daemons, and waits until all are ready.
fn start_site(spec: &SoakSpec, shared: &Arc<SoakShared>) -> Result<FaultPlayer> {
    let fronts = ServerFronts::new(Arc::clone(shared));
    let filter = fronts.clone();
    let site = SiteFleet::without_daemons_filtered(SITE, move |key, entry| {
        filter.filter_entry(key, entry)
    });
    let operator = write_first(&site.store, shared);
    let mut daemons = Vec::new();
    for number in 0..spec.daemons {
        let started = SoakDaemon::start(spec, number, SITE.domains, &site);
        daemons.push(task::block_on(started)?);
    }
    let shared = Arc::clone(shared);
    let player = FaultPlayer::new(site, daemons, fronts, operator, shared, spec.seed);
    let start = Instant::now();
    while !is_ready(&player) {
        if start.elapsed() > START_TIMEOUT {
            return Err(format!("not ready in time; logs: {}", spec.out.display()));
        }
        thread::sleep(TICK);
    }
    Ok(player)
}

fn is_ready(player: &FaultPlayer) -> bool {
    let mut models = player.site.model_servers.iter();
    let mut daemons = player.daemons.iter();
    models.all(|server| server.layers().is_some()) && daemons.all(SoakDaemon::is_ready)
}

fn start_callers(
    spec: &SoakSpec,
    shared: &Arc<SoakShared>,
    player: &FaultPlayer,
) -> Vec<thread::JoinHandle<()>> {
    let addresses: Arc<[SocketAddr]> = player.daemons.iter().map(SoakDaemon::address).collect();
    let count = (spec.daemons * CALLERS_PER_DAEMON).min(MAX_CALLERS);
    let callers = (0..count).map(|number| {
        let caller = SoakCaller::new(number, spec.seed, shared, &addresses);
        thread::spawn(move || caller.run())
    });
    callers.collect()
}

/// Begins of faults in the order of their times.
fn schedule(spec: &SoakSpec, start: Duration) -> (Vec<(Duration, FaultRow)>, Vec<FaultPair>) {
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let count = (spec.span.as_millis() / PAIR_PERIOD.as_millis()).max(1) as usize;
    let pairs = if spec.pairs.is_empty() {
        pairs_of_seed(spec.seed, count)
    } else {
        spec.pairs.clone()
    };
    let mut begins = Vec::new();
    let mut at = start;
    for [first, second] in pairs.iter().map(|pair| pair.rows()) {
        let offset = Duration::from_millis(rng.u64(0..PAIR_OFFSET_MS));
        let (earlier, later) = if rng.bool() {
            (first, second)
        } else {
            (second, first)
        };
        begins.push((at, earlier));
        begins.push((at + offset, later));
        at += Duration::from_millis(rng.u64(PAIR_GAP_MS));
    }
    (begins, pairs)
}

/// Plays the faults of the seed and returns their pairs.
fn play(spec: &SoakSpec, shared: &SoakShared, player: &mut FaultPlayer) -> Result<Vec<FaultPair>> {
    let (begins, pairs) = schedule(spec, shared.now() + QUIET_TIME);
    let mut begins = begins.into_iter().peekable();
    let mut checker = RuleChecker::new(spec.seed);
    let last = begins.clone().last().map_or(Duration::ZERO, |(at, _)| at);
    while begins.peek().is_some() || player.is_busy() {
        let now = shared.now();
        while let Some((_, row)) = begins.next_if(|(at, _)| *at <= now) {
            player.begin(row)?;
        }
        player.tick()?;
        checker.check_at_times(shared);
        if now > last + END_TIMEOUT {
            return Err(format!(
                "a daemon is not back; logs: {}",
                spec.out.display()
            ));
        }
        thread::sleep(TICK);
    }
    let calm = shared.now();
    shared.evidence().calm_since = Some(calm);
    let calm_time = if spec.span >= LONG_SPAN {
        RuleBounds::RECOVER + CALM_TIME
    } else {
        CALM_TIME
    };
    while shared.now() < calm + calm_time {
        player.tick()?;
        checker.check_at_times(shared);
        thread::sleep(TICK);
    }
    Ok(pairs)
}

/// Checks the rules while the run goes on and prints each violation once.
struct RuleChecker {
    seed: u64,
    printed: HashSet<(&'static str, String)>,
    next: Duration,
}

impl RuleChecker {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            printed: HashSet::new(),
            next: CHECK_PERIOD,
        }
    }

    fn check_at_times(&mut self, shared: &SoakShared) {
        if shared.now() < self.next {
            return;
        }
        for violation in check_rules(&shared.snapshot()) {
            self.print(&violation);
        }
        self.next = shared.now() + CHECK_PERIOD;
    }

    fn print(&mut self, violation: &RuleViolation) {
        let RuleViolation {
            rule,
            subject,
            at,
            detail,
        } = violation;
        if self.printed.insert((rule.0, subject.clone())) {
            println!(
                "seed {}: {rule}: request {subject}, at {at:.3?}: {detail}",
                self.seed
            );
        }
    }
}
