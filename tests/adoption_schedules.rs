//! Adoption and confirmation under random schedules, without sockets or clocks.

use arbutusmount::{
    AdoptionState, ChangeEntry, ConfigBundle, ConfigDocument, ConfigReply, ConfigRequest,
    ConfigRevision, FleetDeclaration, InstanceId, LayerRange, MonoTime, NoticeStep, OfferOutcome,
    PUSH_PEERS, PlanId, PlanVerdict, RankedRouter, StagePlacement, StoreDuty, TeamSpec, WATCHERS,
    digest_token, exchange_period, extend_recent, judge_plan, rank_routers, store_duty,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Daemons in a schedule.
const DAEMONS: usize = 4;

/// One step of a schedule; indexes are taken modulo what there is.
#[derive(Debug, Clone, Copy)]
enum ScheduleStep {
    /// A daemon tells another one its state.
    Notice(usize, usize),
    /// A pending message arrives.
    Deliver(usize),
    /// A pending message is lost.
    Lose(usize),
    /// A pending message arrives and stays pending.
    Double(usize),
    /// A daemon reads the store, which answers with its value of so many revisions ago.
    Read(usize, usize),
    /// An operator makes a plan through a daemon.
    Plan(usize),
    /// A plan's write reaches the store; its reply may be lost.
    Write(usize, bool),
    /// A daemon restarts with nothing.
    Crash(usize),
}

fn any_step() -> impl Strategy<Value = ScheduleStep> {
    let (daemon, index) = (0..DAEMONS, 0_usize..64);
    prop_oneof![
        4 => (daemon.clone(), daemon.clone()).prop_map(|(a, b)| ScheduleStep::Notice(a, b)),
        8 => index.clone().prop_map(ScheduleStep::Deliver),
        1 => index.clone().prop_map(ScheduleStep::Lose),
        1 => index.clone().prop_map(ScheduleStep::Double),
        3 => (daemon.clone(), 0_usize..3).prop_map(|(d, age)| ScheduleStep::Read(d, age)),
        2 => daemon.clone().prop_map(ScheduleStep::Plan),
        3 => (index, any::<bool>()).prop_map(|(i, lost)| ScheduleStep::Write(i, lost)),
        1 => daemon.prop_map(ScheduleStep::Crash),
    ]
}

#[derive(Debug, Clone)]
enum WorldMessage {
    Request(usize, usize, ConfigRequest),
    Reply(usize, ConfigReply),
}

/// A plan that an operator holds.
#[derive(Debug)]
struct HeldPlan {
    base: Option<Arc<ConfigBundle>>,
    document: ConfigDocument,
    verdict: Option<PlanVerdict>,
}

impl HeldPlan {
    fn base_revision(&self) -> ConfigRevision {
        let base = self.base.as_ref();
        base.map_or(ConfigRevision(0), |bundle| bundle.revision)
    }
}

/// Daemons, messages between them, operators and the store.
#[derive(Debug, Default)]
struct ScheduleWorld {
    daemons: Vec<AdoptionState>,
    messages: Vec<WorldMessage>,
    written: Vec<Arc<ConfigBundle>>,
    plans: Vec<HeldPlan>,
    now: MonoTime,
}

impl ScheduleWorld {
    fn new() -> Self {
        Self {
            daemons: (0..DAEMONS).map(|_| AdoptionState::new()).collect(),
            ..Self::default()
        }
    }

    fn run(&mut self, step: ScheduleStep) {
        self.now = self.now.after(Duration::from_millis(10));
        let pick = |index: usize, count: usize| (count > 0).then(|| index % count);
        match step {
            ScheduleStep::Notice(from, to) => self.send_notice(from, to),
            ScheduleStep::Deliver(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            ScheduleStep::Double(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    self.deliver(self.messages[index].clone());
                }
            }
            ScheduleStep::Lose(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    self.messages.swap_remove(index);
                }
            }
            ScheduleStep::Read(daemon, age) => self.read_store(daemon, age),
            ScheduleStep::Plan(daemon) => self.make_plan(daemon),
            ScheduleStep::Write(index, lost) => {
                if let Some(index) = pick(index, self.plans.len()) {
                    self.write(index, lost);
                }
            }
            ScheduleStep::Crash(daemon) => self.daemons[daemon] = AdoptionState::new(),
        }
    }

    fn send_notice(&mut self, from: usize, to: usize) {
        if from != to {
            let request = self.daemons[from].make_notice(self.now);
            self.messages.push(WorldMessage::Request(from, to, request));
        }
    }

    fn deliver(&mut self, message: WorldMessage) {
        let now = self.now;
        match message {
            WorldMessage::Request(from, to, request) => {
                let step = request.notice.map(|n| self.daemons[to].on_notice(n, now));
                let reply = self.daemons[to].answer(&request, now);
                self.messages.push(WorldMessage::Reply(from, reply));
                if step == Some(NoticeStep::Pull) {
                    let pull = self.daemons[to].make_pull(now);
                    self.messages.push(WorldMessage::Request(to, from, pull));
                }
            }
            WorldMessage::Reply(to, reply) => {
                if !reply.head.is_empty()
                    && let Ok(bundle) = self.daemons[to].read_reply(&reply)
                {
                    self.offer(to, bundle);
                }
            }
        }
    }

    fn read_store(&mut self, daemon: usize, age: usize) {
        let index = self.written.len().checked_sub(age + 1);
        let read = index.map(|index| Arc::clone(&self.written[index]));
        let revision = read.as_ref().map_or(ConfigRevision(0), |b| b.revision);
        self.daemons[daemon].on_store(revision, self.now);
        if let Some(bundle) = read {
            self.offer(daemon, (*bundle).clone());
        }
    }

    /// Offers a bundle; the revision in force must not fall and must be what was written.
    fn offer(&mut self, daemon: usize, bundle: ConfigBundle) {
        let before = self.daemons[daemon].revision();
        let outcome = self.daemons[daemon].offer(bundle, self.now);
        let after = self.daemons[daemon].revision();
        assert!(
            after >= before,
            "daemon {daemon} went from {before} to {after}"
        );
        if let OfferOutcome::Adopted(config) = outcome {
            let written = self.written.iter().find(|b| b.revision == after);
            let written = written.expect("only written revisions are adopted");
            let expected = written.assemble().expect("written bundles are complete");
            assert_eq!(*config.document(), expected, "revision {after} is mixed");
        }
    }

    fn make_plan(&mut self, daemon: usize) {
        let number = self.plans.len();
        let base = self.daemons[daemon].bundle().cloned();
        let plan: PlanId = format!("plan-{number}").parse().expect("a valid name");
        let author = Arc::from(format!("operator-{}", number % 2));
        let mut document = base.as_ref().map_or_else(empty_document, |bundle| {
            bundle.assemble().expect("bundles in force are complete")
        });
        document.declaration.teams.push(team(number));
        (document.plan, document.author) = (plan, author);
        self.plans.push(HeldPlan {
            base,
            document,
            verdict: None,
        });
    }

    /// The compare-and-swap of a plan reaches the store, perhaps not for the first time.
    fn write(&mut self, index: usize, reply_lost: bool) {
        let plan = &self.plans[index];
        let (name, base) = (&plan.document.plan, plan.base_revision());
        let present = self.written.last();
        let revision = present.map_or(ConfigRevision(0), |bundle| bundle.revision);
        let verdict = if revision == base {
            let recent = plan.base.as_ref().map_or(&[][..], |b| &b.head.recent);
            let entry = ChangeEntry::new(name, &plan.document.author, &[]);
            let next = ConfigRevision(revision.0 + 2);
            let recent = extend_recent(base, recent, entry);
            let bundle = ConfigBundle::split(next, &plan.document, recent);
            self.written.push(Arc::new(bundle));
            PlanVerdict::Effective {
                revision: next,
                superseded_by: None,
            }
        } else {
            let present = present.expect("a conflict has a present value");
            judge_plan(name, base, revision, &present.head)
        };
        if !reply_lost {
            self.plans[index].verdict = Some(verdict);
        }
    }

    /// What each plan's operator was told agrees with what was written.
    fn check_verdicts(&self) {
        let mut bases = BTreeSet::new();
        for bundle in &self.written {
            let wrote = |plan: &&HeldPlan| plan.document.plan == bundle.head.plan;
            let count = self.written.iter();
            let count = count.filter(|other| other.head.plan == bundle.head.plan);
            assert_eq!(count.count(), 1, "{} took effect twice", bundle.head.plan);
            let plan = self.plans.iter().find(wrote).expect("a plan wrote this");
            assert!(
                bases.insert(plan.base_revision()),
                "two plans won on one base"
            );
        }
        for plan in &self.plans {
            let name = &plan.document.plan;
            let written = self.written.iter().find(|b| b.head.plan == *name);
            let written = written.map(|bundle| bundle.revision);
            match &plan.verdict {
                Some(PlanVerdict::Effective { revision, .. }) => {
                    assert_eq!(written, Some(*revision), "{name}");
                }
                // Older changes than the head remembers are told as lost, and never repeated.
                Some(PlanVerdict::Lost { changes }) => assert!(
                    written.is_none() || changes.len() >= RECENT_LIMIT,
                    "{name} was told lost and took effect"
                ),
                Some(PlanVerdict::Open) => panic!("{name} was left open by a settled write"),
                None => {}
            }
        }
    }

    /// Lets every pair exchange notices over a loss-free network after one daemon has read.
    fn heal(&mut self) {
        self.read_store(0, 0);
        self.messages.clear();
        for _round in 0..2 {
            for from in 0..DAEMONS {
                for to in 0..DAEMONS {
                    self.send_notice(from, to);
                    while let Some(message) = self.messages.pop() {
                        self.deliver(message);
                    }
                }
            }
        }
    }
}

/// Changes that a head remembers at least.
const RECENT_LIMIT: usize = 16;

fn empty_document() -> ConfigDocument {
    ConfigDocument {
        plan: "none".parse().expect("a valid name"),
        author: Arc::from("nobody"),
        declaration: FleetDeclaration::default(),
        placements: Vec::new(),
        serving: Vec::new(),
    }
}

fn team(number: usize) -> TeamSpec {
    let digest = digest_token(&number.to_string()).to_string();
    let text = serde_json::json!({ "team": format!("team-{number}"), "token_sha256": digest });
    serde_json::from_value(text).expect("a valid team")
}

/// Seed of the schedules, unless `PROPTEST_RNG_SEED` names another one.
const SEED: u64 = 20_261_203;

/// Runs this many cases, from a seed that is printed.
fn seeded(cases: u32) -> ProptestConfig {
    let config = ProptestConfig::with_cases(cases);
    let rng_seed = match config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        given @ RngSeed::Fixed(_) => given,
    };
    println!("{rng_seed:?}");
    ProptestConfig {
        rng_seed,
        failure_persistence: None,
        ..config
    }
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn any_schedule_adopts_forward_and_converges(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        // Arrange
        let mut world = ScheduleWorld::new();

        // Act
        for step in steps {
            world.run(step);
        }
        world.heal();

        // Assert: monotonic and unmixed all along, and now everyone has the newest.
        world.check_verdicts();
        let newest = world.written.last().map_or(ConfigRevision(0), |b| b.revision);
        for daemon in &world.daemons {
            prop_assert_eq!(daemon.revision(), newest);
        }
    }

    #[test]
    fn split_documents_assemble_to_the_same(teams in 0_usize..200, rows in 0_usize..60) {
        // Arrange
        let document = sized_document(teams, rows);

        // Act
        let bundle = ConfigBundle::split(ConfigRevision(7), &document, Vec::new());
        let assembled = bundle.assemble().expect("the bundle is complete");
        let again = ConfigBundle::split(ConfigRevision(7), &assembled, Vec::new());

        // Assert: the same items, whatever their order, and the same sections.
        let names = |document: &ConfigDocument| -> BTreeSet<String> {
            document.declaration.teams.iter().map(|team| team.team.to_string()).collect()
        };
        prop_assert_eq!(names(&assembled), names(&document));
        prop_assert_eq!(assembled.placements.len(), rows);
        prop_assert_eq!(again, bundle);
    }
}

fn sized_document(teams: usize, rows: usize) -> ConfigDocument {
    let mut document = empty_document();
    document.declaration.teams = (0..teams).map(team).collect();
    let row = |index: usize| StagePlacement {
        model: "helpdesk-assistant".parse().expect("a valid name"),
        version: "2026-12-01".parse().expect("a valid name"),
        instance: format!("engine-{index:04}").parse().expect("a valid name"),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into(),
        layers: LayerRange::new(0, 24),
    };
    document.placements = (0..rows).map(row).collect();
    document
}

/// Time in which an accepted configuration is in force everywhere.
const ADOPTION_LIMIT: Duration = Duration::from_secs(7);
/// Size of the large fleet.
const LARGE_DAEMONS: usize = 430;
const LARGE_TEAMS: usize = 2_400;
const LARGE_SERVERS: usize = 1_700;
const CHANGES_A_DAY: f64 = 8_100.0;
/// Bytes a second that a daemon may spend on all control.
const CONTROL_BYTES: f64 = 6_000.0;

#[test]
fn change_at_the_large_size_ships_a_small_part() {
    // Arrange
    let document = sized_document(LARGE_TEAMS, LARGE_SERVERS);
    let entry = |number: usize| {
        let plan: PlanId = format!("plan-{number:016x}").parse().expect("a valid name");
        ChangeEntry::new(
            &plan,
            &Arc::from("somchai"),
            &["modify  team team-7".to_owned()],
        )
    };
    let recent: Vec<ChangeEntry> = (0..RECENT_LIMIT).map(entry).collect();
    let before = ConfigBundle::split(ConfigRevision(5), &document, recent.clone());
    let mut state = AdoptionState::new();
    state.offer(before.clone(), MonoTime(0));
    let mut changed = document;
    changed.declaration.teams[7].priority = 3;
    let after = ConfigBundle::split(ConfigRevision(9), &changed, recent);
    let mut newer = AdoptionState::new();
    newer.offer(after, MonoTime(0));

    // Act
    let pull = state.make_pull(MonoTime(0));
    let reply = newer.answer(&pull, MonoTime(0));

    // Assert: a day's changes and the notices of every second fit into half of the budget, and no
    // value is near the store's limit of a megabyte.
    let whole: usize = before.sections.values().map(|content| content.len()).sum();
    let (asked, told) = (prost_len(&pull), prost_len(&reply));
    let rate = (asked + told) as f64 * 2.0 * CHANGES_A_DAY / 86_400.0;
    let largest = before.sections.values().map(|content| content.len()).max();
    println!("whole {whole} bytes, largest section {largest:?}, a change {asked} + {told} bytes");
    println!("{rate:.0} bytes a second, sent and received");
    assert!(rate < CONTROL_BYTES / 2.0, "{rate} bytes a second");
    assert!(largest < Some(1 << 20));
    assert_eq!(reply.sections.len(), 1);
}

fn prost_len<T: prost::Message>(message: &T) -> usize {
    message.encoded_len()
}

/// Longest delay of an exchange that is due.
const EXCHANGE_TICK: Duration = Duration::from_millis(55);
/// Time that a message takes in the simulated spread.
const HOP: Duration = Duration::from_millis(50);

/// What goes wrong in a simulated spread, as shares.
#[derive(Debug, Clone, Copy)]
struct SpreadFaults {
    /// Messages lost, each on its own.
    loss: f64,
    /// Pairs of daemons that cannot reach each other all along.
    cut: f64,
}

/// True when two daemons cannot reach each other.
fn is_cut(pair: (usize, usize), cut: f64, seed: u64) -> bool {
    let (low, high) = (pair.0.min(pair.1) as u64, pair.0.max(pair.1) as u64);
    let mut rng = fastrand::Rng::with_seed(seed ^ (low << 32) ^ (high << 8));
    rng.f64() < cut
}

/// Spreads one change from one daemon to all; the time that takes.
fn spread_time(daemons: usize, faults: SpreadFaults, seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut adopted: Vec<Option<Duration>> = vec![None; daemons];
    let mut last: Vec<Duration> = (0..daemons)
        .map(|_| Duration::from_secs(1).mul_f64(rng.f64()))
        .collect();
    let mut arrivals: BTreeMap<Duration, Vec<usize>> = BTreeMap::from([(Duration::ZERO, vec![0])]);
    let mut now = Duration::ZERO;
    while adopted.iter().any(Option::is_none) {
        let due: Vec<usize> = {
            let later = arrivals.split_off(&(now + Duration::from_nanos(1)));
            std::mem::replace(&mut arrivals, later)
                .into_values()
                .flatten()
                .collect()
        };
        let mut meet = |from: usize, adopted: &[Option<Duration>], rng: &mut fastrand::Rng| {
            let to = rng.usize(..daemons);
            // Notice, then a pull and its reply, each of which may be lost.
            let (one, other) = (adopted[from].is_some(), adopted[to].is_some());
            let lost =
                (0..3).any(|_| rng.f64() < faults.loss) || is_cut((from, to), faults.cut, seed);
            if one != other && !lost {
                let behind = if one { to } else { from };
                arrivals.entry(now + HOP * 3).or_default().push(behind);
            }
        };
        for daemon in due {
            if adopted[daemon].is_none() {
                adopted[daemon] = Some(now);
                for _ in 0..PUSH_PEERS {
                    meet(daemon, &adopted, &mut rng);
                }
            }
        }
        for daemon in 0..daemons {
            let since =
                adopted[daemon].map_or(Duration::MAX, |adopted| now.saturating_sub(adopted));
            if now >= last[daemon] + exchange_period(Some(since)) {
                last[daemon] = now + EXCHANGE_TICK.mul_f64(rng.f64());
                meet(daemon, &adopted, &mut rng);
            }
        }
        now += Duration::from_millis(10);
    }
    now
}

#[test]
fn change_reaches_the_large_fleet_in_time_although_peers_are_out_of_reach() {
    for (loss, cut) in [(0.0, 0.0), (0.2, 0.0), (0.0, 0.5), (0.1, 0.3)] {
        // Act
        let faults = SpreadFaults { loss, cut };
        let spread = |seed| spread_time(LARGE_DAEMONS, faults, seed);
        let mut times: Vec<Duration> = (0..40).map(spread).collect();

        // Assert
        times.sort_unstable();
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{faults:?}: median {median:?}, longest {longest:?} of seeds 0 to 39");
        assert!(longest < ADOPTION_LIMIT, "{faults:?}: {longest:?}");
    }
}

#[test]
fn watchers_lie_in_different_domains_and_others_follow_in_turn() {
    // Arrange
    let router = |index: usize| RankedRouter {
        instance: format!("router-{index}").parse().expect("a valid name"),
        domain: format!("domain-{}", index % 15)
            .parse()
            .expect("a valid name"),
    };
    let routers: Vec<RankedRouter> = (0..LARGE_DAEMONS).map(router).collect();

    // Act
    let ranked = rank_routers("config watcher", &routers);
    let mut reversed = routers.clone();
    reversed.reverse();
    let same = rank_routers("config watcher", &reversed);

    // Assert: every daemon computes the same order; the first ones lie apart.
    assert_eq!(ranked, same);
    assert_eq!(ranked.len(), LARGE_DAEMONS);
    let domain = |name: &InstanceId| {
        let router = routers.iter().find(|router| router.instance == *name);
        router.map(|router| router.domain.clone())
    };
    let domains: BTreeSet<_> = ranked[..WATCHERS].iter().map(domain).collect();
    assert_eq!(domains.len(), WATCHERS);
    let reading = |age: u64| {
        let duty = |rank: &usize| store_duty(*rank, Duration::from_secs(age)) == StoreDuty::Read;
        (0..LARGE_DAEMONS).filter(duty).count()
    };
    assert_eq!((reading(1), reading(3)), (0, 4));
    assert!(reading(20) < LARGE_DAEMONS / 4);
}
