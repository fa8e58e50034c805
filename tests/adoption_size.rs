//! Adoption at the size that decides the design: bytes, spread and who watches the store.

mod support;

use arbutusmount::{
    AdoptionState, ChangeEntry, ConfigBundle, ConfigRevision, InstanceId, MonoTime, PUSH_FANOUT,
    PlanId, RouterCandidate, STORE_WATCHERS, StoreDuty, exchange_period, rank_routers, store_duty,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::documents::{RECENT_LIMIT, sized_document};

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
    let start = Instant::now();
    newer.offer(after, MonoTime(0));
    println!("adopting the whole takes {:?}", start.elapsed());

    // Act
    let pull = state.pull_request(MonoTime(0));
    let reply = newer.answer_request(&pull, MonoTime(0));

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
                for _ in 0..PUSH_FANOUT {
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
    let router = |index: usize| RouterCandidate {
        instance: format!("router-{index}").parse().expect("a valid name"),
        domain: format!("domain-{}", index % 15)
            .parse()
            .expect("a valid name"),
    };
    let routers: Vec<RouterCandidate> = (0..LARGE_DAEMONS).map(router).collect();

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
    let domains: BTreeSet<_> = ranked[..STORE_WATCHERS].iter().map(domain).collect();
    assert_eq!(domains.len(), STORE_WATCHERS);
    let reading = |age: u64| {
        let duty = |rank: &usize| store_duty(*rank, Duration::from_secs(age)) == StoreDuty::Read;
        (0..LARGE_DAEMONS).filter(duty).count()
    };
    assert_eq!((reading(1), reading(3)), (0, 4));
    assert!(reading(20) < LARGE_DAEMONS / 4);
}
