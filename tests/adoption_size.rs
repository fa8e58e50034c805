//! Configuration adoption at the largest supported fleet size: bytes transferred, time until all
//! daemons have adopted a change, and the choice of daemons that watch the store.

mod support;

use arbutusmount::{
    AdoptionState, ChangeEntry, ConfigBundle, ConfigRevision, InstanceId, MonoTime, PUSH_FANOUT,
    PlanId, RouterCandidate, STORE_WATCHERS, StoreDuty, exchange_period, rank_routers, store_duty,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::documents::{RECENT_LIMIT, sized_document};

/// Time within which an accepted configuration must be in force on all daemons.
const ADOPTION_LIMIT: Duration = Duration::from_secs(7);
/// Number of daemons in the large fleet.
const LARGE_DAEMONS: usize = 430;
/// Number of teams in the large fleet.
const LARGE_TEAMS: usize = 2_400;
/// Number of engines in the large fleet.
const LARGE_ENGINES: usize = 1_700;
/// Number of configuration changes per day in the large fleet.
const CHANGES_PER_DAY: f64 = 8_100.0;
/// Budget of a daemon for all control traffic, in bytes per second.
const CONTROL_BYTES: f64 = 6_000.0;

#[test]
fn change_at_the_large_size_ships_a_small_part() {
    // Arrange
    let document = sized_document(LARGE_TEAMS, LARGE_ENGINES);
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
    println!(
        "adopting the whole configuration takes {:?}",
        start.elapsed()
    );

    // Act
    let pull = state.pull_request(MonoTime(0));
    let reply = newer.answer_request(&pull, MonoTime(0));

    // Assert: the pulls of a day's changes fit into half of the budget, and no section exceeds the
    // store's value limit of 1 MiB.
    let whole: usize = before.sections.values().map(|content| content.len()).sum();
    let (pull_bytes, reply_bytes) = (encoded_len_of(&pull), encoded_len_of(&reply));
    let rate = (pull_bytes + reply_bytes) as f64 * 2.0 * CHANGES_PER_DAY / 86_400.0;
    let largest = before.sections.values().map(|content| content.len()).max();
    println!(
        "all {whole} bytes, largest section {largest:?}, per change {pull_bytes} + {reply_bytes} bytes"
    );
    println!("{rate:.0} bytes per second, sent and received");
    assert!(rate < CONTROL_BYTES / 2.0, "{rate} bytes per second");
    assert!(largest < Some(1 << 20));
    assert_eq!(reply.sections.len(), 1);
}

fn encoded_len_of<T: prost::Message>(message: &T) -> usize {
    message.encoded_len()
}

/// Maximum delay of an exchange that is due.
const MAX_EXCHANGE_DELAY: Duration = Duration::from_millis(55);
/// Delivery time of a message in the simulation.
const MESSAGE_DELAY: Duration = Duration::from_millis(50);

/// Fault rates of the simulation, from 0 to 1.
#[derive(Debug, Clone, Copy)]
struct GossipFaults {
    /// Share of messages lost, independently of each other.
    loss: f64,
    /// Share of pairs of daemons that cannot reach each other during the whole simulation.
    cut: f64,
}

/// Returns true when two daemons cannot reach each other.
fn is_cut(pair: (usize, usize), cut: f64, seed: u64) -> bool {
    let (low, high) = (pair.0.min(pair.1) as u64, pair.0.max(pair.1) as u64);
    let mut rng = fastrand::Rng::with_seed(seed ^ (low << 32) ^ (high << 8));
    rng.f64() < cut
}

/// Simulates the gossip of one change from one daemon to all; returns the time until all have it.
fn gossip_time(daemons: usize, faults: GossipFaults, seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut adopted: Vec<Option<Duration>> = vec![None; daemons];
    let mut last_exchange: Vec<Duration> = (0..daemons)
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
        let mut exchange = |from: usize, adopted: &[Option<Duration>], rng: &mut fastrand::Rng| {
            let to = rng.usize(..daemons);
            // The notice, the pull and its reply may each be lost.
            let (one, other) = (adopted[from].is_some(), adopted[to].is_some());
            let lost =
                (0..3).any(|_| rng.f64() < faults.loss) || is_cut((from, to), faults.cut, seed);
            if one != other && !lost {
                let behind = if one { to } else { from };
                arrivals
                    .entry(now + MESSAGE_DELAY * 3)
                    .or_default()
                    .push(behind);
            }
        };
        for daemon in due {
            if adopted[daemon].is_none() {
                adopted[daemon] = Some(now);
                for _ in 0..PUSH_FANOUT {
                    exchange(daemon, &adopted, &mut rng);
                }
            }
        }
        for daemon in 0..daemons {
            let since =
                adopted[daemon].map_or(Duration::MAX, |adopted| now.saturating_sub(adopted));
            if now >= last_exchange[daemon] + exchange_period(Some(since)) {
                last_exchange[daemon] = now + MAX_EXCHANGE_DELAY.mul_f64(rng.f64());
                exchange(daemon, &adopted, &mut rng);
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
        let faults = GossipFaults { loss, cut };
        let spread = |seed| gossip_time(LARGE_DAEMONS, faults, seed);
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

    // Assert: every daemon computes the same ranking, whatever the order of its list; the first
    // ones run in different domains.
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
