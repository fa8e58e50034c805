//! Configuration: confirmed once, in force on every daemon, never reverting.

mod support;

use arbutusmount::{
    ConfigRevision, ConnectionPool, FleetDeclaration, FleetPlan, HttpCall, InstanceId,
    OperatorClient, OperatorError, PlanRequest, RankedRouter, TeamSpec, WATCHERS, rank_routers,
};
use futures_lite::future::zip;
use http_types::Method;
use rig::{
    EngineKnobs, FaultProxy, FleetSpec, OPERATOR_TOKEN, ProcessFleet, ProxyFaults, free_address,
    reference_text, sample_declaration, wait_until,
};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{MODEL, chat_request, programs, team_client};

/// Time in which an accepted configuration is in force everywhere.
const ADOPTION_LIMIT: Duration = Duration::from_secs(7);
/// Store calls a second that 8 daemons may make in an outage: one each, so that 430 daemons stay far
/// below the two thousand reads a second that the store answers.
const MAX_CALLS_A_SECOND: f64 = 8.0;
/// Time allowed for processes to start and settle.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A fleet whose daemons reach the store through a proxy each.
struct ProxiedFleet {
    fleet: ProcessFleet,
    proxies: Vec<FaultProxy>,
}

impl ProxiedFleet {
    async fn start(daemons: usize, engines: usize) -> Self {
        let spec = FleetSpec {
            daemons: 0,
            engines: vec![(EngineKnobs::default(), 8_000); engines],
            services: 0,
            ..FleetSpec::default()
        };
        let fleet = ProcessFleet::start(spec, programs()).await;
        let mut proxied = Self {
            fleet,
            proxies: Vec::new(),
        };
        for _ in 0..daemons {
            proxied.add_daemon().await;
        }
        proxied
    }

    /// A fleet without engines, whose configuration is a list of teams.
    async fn declared(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 0).await;
        proxied.fleet.declare(&teams_only()).await;
        proxied
    }

    /// A fleet that serves the sample model.
    async fn serving(daemons: usize) -> Self {
        let proxied = Self::start(daemons, 3).await;
        proxied.fleet.declare(&sample_declaration(1)).await;
        proxied
    }

    async fn add_daemon(&mut self) {
        let proxy = FaultProxy::start(free_address(), self.fleet.platform)
            .await
            .expect("the proxy starts");
        let mut seat = self.fleet.plain_seat();
        seat.store = proxy.address();
        self.proxies.push(proxy);
        self.fleet.add_daemon(seat).await;
    }

    fn address(&self, daemon: usize) -> SocketAddr {
        self.fleet.daemons[daemon].seat.listen
    }

    /// Cuts a daemon off from the store, in both directions.
    fn cut_store(&self, daemon: usize) {
        self.proxies[daemon].set(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        self.proxies[daemon].cut();
    }

    async fn set_platform(&self, knobs: serde_json::Value) {
        self.fleet.set_knobs(self.fleet.platform, knobs).await;
    }

    async fn revision(&self, daemon: usize) -> Option<ConfigRevision> {
        let status = operator().status(self.address(daemon)).await;
        status.ok().map(|status| status.revision)
    }

    /// Waits until the daemons have `wanted` in force; the time that took.
    async fn wait_revision(&self, daemons: &[usize], wanted: ConfigRevision) -> Duration {
        let start = Instant::now();
        let what = format!("revision {wanted} is in force on daemons {daemons:?}");
        wait_until(&what, ADOPTION_LIMIT, || async {
            for daemon in daemons {
                if self.revision(*daemon).await != Some(wanted) {
                    return false;
                }
            }
            true
        })
        .await;
        start.elapsed()
    }

    async fn plan(&self, daemon: usize, author: &str, declaration: FleetDeclaration) -> FleetPlan {
        let wanted = PlanRequest {
            author: Arc::from(author),
            declaration,
        };
        let plan = operator().plan(self.address(daemon), &wanted).await;
        plan.expect("the daemon plans")
    }
}

fn operator() -> OperatorClient {
    OperatorClient::new(OPERATOR_TOKEN)
}

/// The sample declaration without models and services.
fn teams_only() -> FleetDeclaration {
    FleetDeclaration {
        teams: sample_declaration(1).teams,
        ..FleetDeclaration::default()
    }
}

/// The declaration of teams with one more.
fn with_team(name: &str) -> FleetDeclaration {
    let mut declaration = teams_only();
    let digest = arbutusmount::digest_token(name).to_string();
    declaration.teams.push(TeamSpec {
        team: name.parse().expect("the team name is valid"),
        token_sha256: Arc::from(digest),
        ..declaration.teams[0].clone()
    });
    declaration
}

async fn ready_status(address: SocketAddr) -> Option<u16> {
    let pool = ConnectionPool::new(Duration::from_secs(1), 1);
    let call = HttpCall::new(address, Method::Get, "/readyz");
    let reply = pool.send(&call).await.ok()?;
    Some(reply.status())
}

#[async_std::test]
async fn configuration_reaches_daemons_that_only_see_their_peers() {
    // Arrange
    let proxied = ProxiedFleet::declared(4).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    for daemon in 1..4 {
        proxied.cut_store(daemon);
    }

    // Act
    let confirmed = operator().confirm(proxied.address(0), &plan).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Assert: the store fails straight after the accept, yet everyone has it in force.
    let revision = confirmed.expect("the plan is confirmed").revision;
    let elapsed = proxied.wait_revision(&[0, 1, 2, 3], revision).await;
    println!("in force on 4 daemons after {elapsed:?}, store out of reach for all");
}

#[async_std::test]
async fn daemon_started_in_an_outage_learns_from_its_peers() {
    // Arrange
    let mut proxied = ProxiedFleet::declared(2).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    let confirmed = operator().confirm(proxied.address(0), &plan).await;
    let revision = confirmed.expect("the plan is confirmed").revision;
    proxied.wait_revision(&[0, 1], revision).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Act
    proxied.add_daemon().await;

    // Assert
    proxied.wait_revision(&[2], revision).await;
    assert_eq!(ready_status(proxied.address(2)).await, Some(200));
}

#[async_std::test]
async fn daemon_started_alone_in_an_outage_is_not_ready() {
    // Arrange
    let mut proxied = ProxiedFleet::start(0, 0).await;
    proxied.set_platform(json!({ "outage": true })).await;

    // Act
    proxied.add_daemon().await;
    let in_outage = ready_status(proxied.address(0)).await;
    proxied.set_platform(json!({ "outage": false })).await;
    proxied.fleet.declare(&teams_only()).await;

    // Assert
    assert_eq!(in_outage, Some(503));
    assert_eq!(ready_status(proxied.address(0)).await, Some(200));
}

#[async_std::test]
async fn older_store_value_never_reverts_a_daemon() {
    // Arrange: two changes, so that the store's older value is a whole configuration.
    let mut proxied = ProxiedFleet::declared(3).await;
    let mut revision = ConfigRevision(0);
    for team in ["audit", "returns"] {
        let plan = proxied.plan(0, "somchai", with_team(team)).await;
        let confirmed = operator().confirm(proxied.address(0), &plan).await;
        revision = confirmed.expect("the plan is confirmed").revision;
        proxied.wait_revision(&[0, 1, 2], revision).await;
    }
    let before = proxied.fleet.platform_calls().await["range"].as_u64();

    // Act: the store answers with the older value to daemons that read again and to a new one.
    proxied.set_platform(json!({ "stale_reads": true })).await;
    for proxy in &proxied.proxies {
        proxy.cut();
    }
    proxied.fleet.restart_daemon(2).await;

    // Assert: observed until the daemons have read the older value several times.
    let observe = async || {
        let reads = proxied.fleet.platform_calls().await["range"].as_u64();
        for daemon in 0..2 {
            assert_eq!(proxied.revision(daemon).await, Some(revision));
        }
        reads >= before.map(|reads| reads + 6)
    };
    wait_until("older values were read", START_LIMIT, observe).await;
    proxied.wait_revision(&[0, 1, 2], revision).await;
}

#[async_std::test]
async fn lost_confirm_reply_is_settled_and_never_repeated() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;

    // Act: the write takes effect and its reply is lost; the operator confirms again.
    proxied.set_platform(json!({ "lose_replies": 1 })).await;
    let first = operator().confirm(proxied.address(0), &plan).await;
    let second = operator().confirm(proxied.address(1), &plan).await;

    // Assert
    let first = first.expect("the lost reply is settled");
    let second = second.expect("confirming is repeatable");
    assert_eq!(first.revision, second.revision);
    proxied.wait_revision(&[0, 1], first.revision).await;
}

#[async_std::test]
async fn one_of_two_racing_confirms_wins_and_the_other_learns_what_changed() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let ours = proxied.plan(0, "somchai", with_team("audit")).await;
    let theirs = proxied.plan(1, "liga", with_team("customs")).await;

    // Act
    let (operator, client) = (operator(), operator());
    let (ours, theirs) = zip(
        Box::pin(operator.confirm(proxied.address(0), &ours)),
        Box::pin(client.confirm(proxied.address(1), &theirs)),
    )
    .await;

    // Assert
    let (winner, lost, author, team) = match (ours, theirs) {
        (Ok(winner), Err(lost)) => (winner, lost, "somchai", "audit"),
        (Err(lost), Ok(winner)) => (winner, lost, "liga", "customs"),
        both => panic!("exactly one confirm wins: {both:?}"),
    };
    let OperatorError::Problem { status, body } = lost else {
        panic!("the loser gets a problem: {lost}");
    };
    assert_eq!(status, 409);
    assert!(
        body.contains(author) && body.contains(&format!("team {team}")),
        "{body}"
    );
    assert!(body.contains("not_run"), "{body}");
    proxied.wait_revision(&[0, 1], winner.revision).await;
}

#[async_std::test]
async fn confirm_repeated_after_a_later_plan_changes_nothing() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let first = proxied.plan(0, "somchai", with_team("audit")).await;
    let confirmed = operator().confirm(proxied.address(0), &first).await;
    let confirmed = confirmed.expect("the first plan is confirmed");
    let second = proxied.plan(0, "liga", with_team("customs")).await;
    let latest = operator().confirm(proxied.address(0), &second).await;
    let latest = latest.expect("the second plan is confirmed");

    // Act
    let repeated = operator().confirm(proxied.address(1), &first).await;

    // Assert: it took effect once, and what is in force now is the later plan.
    let repeated = repeated.expect("the repeat says that the plan took effect");
    assert_eq!(repeated.revision, confirmed.revision);
    assert_eq!(repeated.superseded_by, Some(latest.revision));
    proxied.wait_revision(&[0, 1], latest.revision).await;
}

#[async_std::test]
async fn confirm_in_a_hanging_store_is_unknown_and_can_be_repeated() {
    // Arrange
    let proxied = ProxiedFleet::declared(1).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    proxied.set_platform(json!({ "hang": true })).await;

    // Act
    let hanging = operator().confirm(proxied.address(0), &plan).await;
    proxied.set_platform(json!({ "hang": false })).await;
    let repeated = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    let Err(OperatorError::Problem { body, .. }) = hanging else {
        panic!("nobody knows what became of the plan: {hanging:?}");
    };
    assert!(body.contains("\"unknown\""), "{body}");
    let revision = repeated.expect("the plan is confirmed").revision;
    proxied.wait_revision(&[0], revision).await;
}

/// Daemons in the order in which they take on the watch of the store.
fn watch_order(fleet: &ProcessFleet) -> Vec<usize> {
    let daemons = fleet.daemons.iter();
    let routers: Vec<RankedRouter> = daemons
        .map(|daemon| RankedRouter {
            instance: daemon.row.instance.clone(),
            domain: daemon.row.failure_domain.clone(),
        })
        .collect();
    let ranked = rank_routers("config watcher", &routers);
    let index = |name: &InstanceId| routers.iter().position(|r| r.instance == *name);
    ranked.iter().filter_map(index).collect()
}

#[async_std::test]
async fn next_in_line_reads_the_store_when_no_watcher_reaches_it() {
    // Arrange: the watchers are cut off from the store, and the daemon that confirms is killed
    // before it has learned that its write took effect.
    let mut proxied = ProxiedFleet::declared(5).await;
    let order = watch_order(&proxied.fleet);
    let (watchers, confirming, next) = (&order[..WATCHERS], order[4], order[3]);
    let plan = proxied
        .plan(confirming, "somchai", with_team("audit"))
        .await;
    for watcher in watchers {
        proxied.cut_store(*watcher);
    }
    proxied.set_platform(json!({ "lose_replies": 1_000 })).await;
    let before = proxied.revision(next).await.expect("the daemon answers");

    // Act
    let address = proxied.address(confirming);
    let confirm = async_std::task::spawn(async move { operator().confirm(address, &plan).await });
    wait_until("the write has taken effect", START_LIMIT, || async {
        proxied.fleet.platform_calls().await["lost"].as_u64() > Some(0)
    })
    .await;
    proxied.fleet.daemons[confirming].process.kill();
    proxied.set_platform(json!({ "lose_replies": 0 })).await;

    // Assert
    let rest: Vec<usize> = order.iter().copied().filter(|d| *d != confirming).collect();
    let start = Instant::now();
    wait_until("the survivors have the change", ADOPTION_LIMIT, || async {
        for daemon in &rest {
            if proxied.revision(*daemon).await <= Some(before) {
                return false;
            }
        }
        true
    })
    .await;
    println!(
        "in force on {} survivors after {:?}",
        rest.len(),
        start.elapsed()
    );
    assert!(confirm.await.is_err(), "its daemon was killed");
}

#[async_std::test]
async fn plan_edited_into_an_invalid_declaration_is_refused() {
    // Arrange
    let proxied = ProxiedFleet::serving(1).await;
    let before = proxied.revision(0).await;
    let mut plan = proxied.plan(0, "somchai", sample_declaration(1)).await;
    plan.document.declaration.models[0].floor = 9;

    // Act
    let confirmed = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    let Err(OperatorError::Problem { status, body }) = confirmed else {
        panic!("the plan is refused: {confirmed:?}");
    };
    assert_eq!(status, 400);
    assert!(body.contains("$.models[0].floor"), "{body}");
    assert_eq!(proxied.revision(0).await, before);
}

/// Calls that daemons make to the store, those of the instance list left out.
async fn store_calls(fleet: &ProcessFleet) -> u64 {
    let calls = fleet.platform_calls().await;
    let kinds = calls.as_object().expect("calls are counted by kind");
    let is_store = |kind: &str| !["list", "weights", "lost", "refused"].contains(&kind);
    let counts = kinds.iter().filter(|(kind, _)| is_store(kind));
    counts.filter_map(|(_, count)| count.as_u64()).sum()
}

/// Store calls a second over a span.
async fn call_rate(fleet: &ProcessFleet, span: Duration) -> f64 {
    let (start, before) = (Instant::now(), store_calls(fleet).await);
    wait_until("the span has passed", span * 2, || async {
        start.elapsed() >= span
    })
    .await;
    (store_calls(fleet).await - before) as f64 / start.elapsed().as_secs_f64()
}

#[async_std::test]
async fn store_outage_leaves_traffic_alone_and_recovery_meets_no_stampede() {
    // Arrange
    let proxied = ProxiedFleet::serving(8).await;
    let steady = call_rate(&proxied.fleet, Duration::from_secs(4)).await;

    // Act
    proxied.set_platform(json!({ "outage": true })).await;
    let mut text = String::new();
    let ask = chat_request("Where is my delivery slip?", 3, 24);
    let finish = team_client()
        .ask(proxied.address(7), &ask, |piece| text.push_str(piece))
        .await;
    let in_outage = call_rate(&proxied.fleet, Duration::from_secs(8)).await;
    proxied.set_platform(json!({ "outage": false })).await;
    let recovering = call_rate(&proxied.fleet, Duration::from_secs(2)).await;
    let plan = proxied.plan(0, "somchai", sample_declaration(1)).await;
    let confirmed = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    println!(
        "store calls a second: {steady:.1} steady, {in_outage:.1} in the outage, {recovering:.1} recovering"
    );
    assert_eq!(finish, Ok("length".to_owned()));
    assert_eq!(
        text,
        reference_text(MODEL, 3, "Where is my delivery slip?", 24)
    );
    assert!(
        in_outage <= MAX_CALLS_A_SECOND,
        "{in_outage} calls a second in the outage"
    );
    assert!(
        recovering <= 2.0 * MAX_CALLS_A_SECOND,
        "{recovering} calls a second after it"
    );
    let revision = confirmed.expect("the plan is confirmed").revision;
    proxied
        .wait_revision(&[0, 1, 2, 3, 4, 5, 6, 7], revision)
        .await;
}
