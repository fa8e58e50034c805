//! Priority classes of a service, the demand that daemons announce by class, and the choice of a chain
//! with headroom for higher classes, without sockets.

#[path = "support/shapes.rs"]
mod shapes;

use arbutusmount::{
    CallerLimits, ChainPart, ChainRequirement, DemandTotals, DomainId, InstanceId, LayerChain,
    LayerRange, LoadTable, MAX_RESERVED_SHARE, MonoTime, PeerGroups, PeerOrigin, PresenceRow,
    PriorityClass, PriorityDemand, PriorityDemandRow, ReservationDigest, RetryRule, RouteEntry,
    RouteShare, RoutingCatalog, ServiceId, TeamEntry, demand_rows, pick_chain, priority_headroom,
    service_hash,
};
use prost::Message;
use shapes::{model_on, ready_target};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

/// Period of sending digests.
const PERIOD: Duration = Duration::from_millis(200);

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

fn service() -> ServiceId {
    "desk".parse().expect("an identifier")
}

fn route(name: &str, priority: u8) -> RouteEntry {
    RouteEntry {
        name: Arc::from(name),
        host: Arc::from("desk.test"),
        prefix: Arc::from(format!("/{name}/")),
        retry_rule: RetryRule::Stream { resumable: true },
        timeout: Duration::from_secs(20),
        latency_goal: Duration::from_millis(500),
        priority,
        shares: vec![RouteShare {
            service: service(),
            weight: 1,
        }],
        max_targets: 3,
        public: true,
        gap_goal: None,
    }
}

fn catalog(route_priorities: &[u8], team_priorities: &[Option<u8>]) -> RoutingCatalog {
    let routes = route_priorities.iter().enumerate();
    let routes = routes.map(|(number, priority)| route(&format!("r{number}"), *priority));
    let team = |(number, priority): (usize, &Option<u8>)| {
        let team = TeamEntry {
            name: format!("team-{number}").parse().expect("an identifier"),
            priority: *priority,
        };
        (Arc::from(format!("key-{number}")), Arc::new(team))
    };
    let keys = team_priorities.iter().enumerate().map(team).collect();
    let limits = CallerLimits::default();
    RoutingCatalog::new(1, limits, routes.collect(), Vec::new(), Some(keys))
}

/// Guards against a service of a single priority that is served by another rule than before: the
/// priorities of teams alone put no service under it.
#[test_case(&[1], &[None, Some(0)] => false)]
#[test_case(&[1, 1, 1], &[None] => false)]
#[test_case(&[0, 1], &[None] => true)]
#[test_case(&[0, 1, 2], &[Some(1), None] => true)]
fn service_is_served_by_priority_where_its_routes_differ(
    routes: &[u8],
    teams: &[Option<u8>],
) -> bool {
    catalog(routes, teams).has_priorities(&service())
}

/// Guards against requests of different routes that count as equal because most teams have the same
/// priority, which takes precedence.
#[test]
fn class_is_ordered_by_team_and_then_by_route() {
    let catalog = catalog(&[0, 1, 2], &[Some(1), None]);
    let rank = |route, team| catalog.class_rank(&service(), PriorityClass::new(route, team));

    let of_team = [rank(0, Some(1)), rank(1, Some(1)), rank(2, Some(1))];

    assert!(of_team[0] < of_team[1] && of_team[1] < of_team[2]);
    assert!(
        rank(0, None) < of_team[0],
        "the most urgent route comes first"
    );
    assert!(
        of_team[2] < rank(2, None),
        "the team's priority comes first"
    );
    assert_eq!(rank(0, None), 0);
    assert_eq!(rank(1, None), rank(1, Some(1)));
}

/// Guards against priorities beyond the known ones that wrap around to a high class.
#[test]
fn class_of_an_extreme_priority_is_the_last_one() {
    let last = PriorityClass::new(u8::MAX, Some(u8::MAX));

    assert_eq!(last, PriorityClass::new(200, Some(100)));
    assert!(PriorityClass::new(8, Some(9)) < last);
}

fn row(priority: u32, tokens_per_second: u32, waiting_tokens: u32) -> PriorityDemandRow {
    PriorityDemandRow {
        service: service_hash(&service()),
        priority,
        tokens_per_second,
        waiting_tokens,
    }
}

fn digest(sender: u64, sequence: u64, demand: Vec<PriorityDemandRow>) -> ReservationDigest {
    ReservationDigest {
        sender,
        sequence,
        demand,
        ..ReservationDigest::default()
    }
}

fn tokens_per_second(totals: &DemandTotals, priority: u8) -> u64 {
    let sums = totals.with_local(&service(), &BTreeMap::new());
    sums.get(&priority)
        .map_or(0, |sum| sum.tokens_per_second.round() as u64)
}

/// The digest of one daemon is missing: its rows expire with its last digest, the others count on.
#[test]
fn demand_of_a_daemon_that_is_no_longer_heard_expires() {
    let mut table = LoadTable::default();
    table.record(
        digest(1, 1, vec![row(0, 1_000, 0)]),
        PeerOrigin::Local,
        at(0),
    );
    table.record(digest(2, 1, vec![row(0, 500, 0)]), PeerOrigin::Local, at(0));
    table.record(
        digest(2, 2, vec![row(0, 700, 0)]),
        PeerOrigin::Local,
        at(1_800),
    );

    assert_eq!(tokens_per_second(&table.demand(at(1_900)), 0), 1_700);
    assert_eq!(tokens_per_second(&table.demand(at(2_100)), 0), 700);
    assert_eq!(tokens_per_second(&table.demand(at(4_000)), 0), 0);
}

/// Guards against headroom for arrivals in other failure domains, which use other targets.
#[test]
fn demand_of_other_domains_and_unlisted_senders_does_not_count() {
    let mut table = LoadTable::default();
    table.record(
        digest(1, 1, vec![row(0, 1_000, 0)]),
        PeerOrigin::Remote,
        at(0),
    );
    table.record(
        digest(2, 1, vec![row(0, 1_000, 0)]),
        PeerOrigin::Unlisted,
        at(0),
    );

    assert_eq!(table.demand(at(0)), DemandTotals::default());
}

/// Digest as daemons of the previous version declare it, for the fields that matter here.
#[derive(Clone, PartialEq, Message)]
struct PreviousDigest {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

/// Two versions side by side: each reads the digests of the other.
#[test]
fn digests_of_two_versions_are_read_by_each_other() {
    let new = digest(7, 3, vec![row(0, 1_000, 20), row(2, 9, 0)]);

    let read = PreviousDigest::decode(&*new.encode_to_vec()).expect("unknown fields are ignored");
    let previous = read.encode_to_vec();
    let back = ReservationDigest::decode(&*previous).expect("absent fields are empty");

    assert_eq!((read.sender, read.sequence), (7, 3));
    assert_eq!(back, digest(7, 3, Vec::new()));
    let same = ReservationDigest::decode(&*new.encode_to_vec()).expect("a digest");
    assert_eq!(same, new);
}

/// Guards against a row of a later version that is counted at a wrong priority.
#[test]
fn row_with_an_unknown_priority_is_ignored() {
    let mut totals = DemandTotals::default();
    totals.add(&row(256, 1_000, 0));

    assert!(totals.with_local(&service(), &BTreeMap::new()).is_empty());
}

#[test]
fn announced_demand_is_read_as_it_was_and_added_to_the_local_one() {
    let demand = |tokens_per_second, waiting_tokens| PriorityDemand {
        tokens_per_second,
        waiting_tokens,
    };
    let local = BTreeMap::from([(0, demand(800.0, 100.0)), (2, demand(0.2, 0.0))]);
    let rows = demand_rows(&service(), &local);
    let mut totals = DemandTotals::default();
    for row in &rows {
        totals.add(row);
    }

    let sums = totals.with_local(&service(), &local);

    assert_eq!(rows.len(), 1, "rows without a whole token are left out");
    assert_eq!(sums[&0], demand(1_600.0, 200.0));
}

/// Any rows, also absurd ones of a faulty daemon: headroom is never negative and never above half.
#[test]
fn headroom_stays_between_nothing_and_half() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..2_000 {
        let mut totals = DemandTotals::default();
        for _ in 0..rng.usize(0..20) {
            totals.add(&row(rng.u32(0..4), rng.u32(..), rng.u32(..)));
        }
        let demand = totals.with_local(&service(), &BTreeMap::new());
        let capacity = [0.0, 1.0, 1e5, 1e12][rng.usize(0..4)];
        let age = Duration::from_millis(rng.u64(0..2_000));
        let shares: Vec<f64> = (0..4)
            .map(|priority| priority_headroom(&demand, priority, age, capacity))
            .collect();
        assert!(
            shares[0].abs() < f64::EPSILON,
            "the highest priority leaves nothing free"
        );
        assert!(shares.is_sorted() && shares[3] <= 0.5, "{shares:?}");
    }
}

/// Guards against headroom for too short a time: from 8 to 430 daemons, each other daemon of the failure
/// domain gets a digest in any `report_interval`.
#[test_case(8, 3)]
#[test_case(71, 3)]
#[test_case(126, 3)]
#[test_case(430, 15)]
fn interval_covers_all_daemons_of_the_domain(daemons: usize, domains: usize) {
    let address = |number: usize| -> SocketAddr {
        let text = format!("127.0.0.1:{}", 10_000 + number);
        text.parse().expect("an address")
    };
    let rows: Vec<PresenceRow> = (0..daemons)
        .map(|number| PresenceRow {
            instance: format!("router-{number:03}")
                .parse()
                .expect("an identifier"),
            domain: format!("d{}", number % domains).parse().expect("a domain"),
            callers: address(number),
            peers: address(number),
            relay: None,
        })
        .collect();
    let peers = PeerGroups::new(rows.iter(), &rows[0].instance, &rows[0].domain);
    let is_local = |peer: &SocketAddr| peers.origin(*peer) == PeerOrigin::Local;
    let listed: HashSet<SocketAddr> = peers.all().filter(is_local).collect();

    for first in 0..50 {
        let interval = peers.report_interval(PERIOD).as_millis();
        let digests = interval.div_ceil(PERIOD.as_millis()) as u64;
        let sequences = first..first + digests;
        let told = sequences.flat_map(|sequence| peers.recipients(sequence));
        let told: HashSet<SocketAddr> = told.filter(is_local).collect();
        assert_eq!(told, listed);
    }
}

fn chain(name: &str) -> Arc<LayerChain> {
    let layers = LayerRange::new(0, 10);
    let target = ready_target(name, "here", "card", Some(layers));
    Arc::new(LayerChain {
        parts: vec![ChainPart { target, layers }],
        domain: "here".parse().expect("an identifier"),
        token_ms: 2.0,
        token_capacity: 1_000.0,
    })
}

fn pick(chains: &[Arc<LayerChain>], max_share: f64, resumed: bool) -> Option<&str> {
    let domain: DomainId = "here".parse().expect("an identifier");
    let requirement = ChainRequirement {
        domain: &domain,
        tokens: 100.0,
        is_resumed: resumed,
        max_share,
    };
    let model = model_on(10, &[("card", 2.0)]);
    let mut rng = fastrand::Rng::with_seed(7);
    let tried: &[InstanceId] = &[];
    let chosen = pick_chain(chains, &model, requirement, tried, at(1_000), &mut rng);
    chosen.map(|chain| chain.head().id.as_str())
}

/// A burst of the lowest class fills a chain only up to the headroom of the higher ones. Resumed streams,
/// whose tokens were admitted before, are not held back by it.
#[test]
fn lower_class_leaves_headroom_that_higher_and_resumed_requests_use() {
    let chains = [chain("only")];
    let _reserved = chains[0].head().stats.reserve(500);

    let lower = MAX_RESERVED_SHARE * 0.5;
    assert_eq!(pick(&chains, lower, false), None);
    assert_eq!(pick(&chains, lower, true), Some("only"));
    let highest = MAX_RESERVED_SHARE;
    assert_eq!(pick(&chains, highest, false), Some("only"));
}

/// Overload in which a part has just turned a request away for lack of capacity: it gets nothing for a
/// moment although its reservations look low, and is used again afterwards without a trial.
#[test]
fn saturated_chain_is_passed_over_for_a_moment_and_not_ejected() {
    let chains = [chain("saturated"), chain("slow")];
    let _reserved = chains[1].head().stats.reserve(700);
    chains[0].head().stats.record_saturation(at(900));

    assert_eq!(pick(&chains, MAX_RESERVED_SHARE, false), Some("slow"));
    assert!(!chains[0].is_ejected(at(1_000)) && !chains[0].is_degraded(at(1_000)));
    assert_eq!(pick(&chains[..1], MAX_RESERVED_SHARE, false), None);

    chains[0].head().stats.record_saturation(at(700));
    assert_eq!(pick(&chains, MAX_RESERVED_SHARE, false), Some("saturated"));
}

/// Overload while one chain is degraded: waiting for healthy ones kept requests from chains that serve
/// most of them.
#[test]
fn degraded_chain_is_used_while_the_others_are_full() {
    let chains = [chain("full"), chain("degraded")];
    let _reserved = chains[0].head().stats.reserve(950);
    chains[1].head().stats.shedding().on_refusal(at(990));
    assert!(chains[1].is_degraded(at(1_000)));

    assert_eq!(pick(&chains, MAX_RESERVED_SHARE, false), Some("degraded"));
}
