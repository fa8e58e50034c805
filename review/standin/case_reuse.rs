//! A model server crashes before it has got layers, and its address goes to a server of another
//! service: does that one get the order that was meant for the first?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::record::{note, say};
use crate::server::{Card, RunPlan, RunStep, Server, ServerSpec};
use crate::site::{configuration, model_service, route};
use crate::store::Store;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// `ReuseAfterS`, and a little more.
const REUSE_AFTER: Duration = Duration::from_millis(2_050);
const LAYER_MB: f64 = 1_750.0;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let large = [("a100", 72_000.0, 2.4, 3.2)];
    let small = [("l4", 21_600.0, 16.0, 8.2)];
    let routes = [
        route("/notice/", "streaming", "large", 20_000, 2),
        route("/advice/", "streaming", "small", 20_000, 2),
    ];
    let services = [
        model_service("large", 60, LAYER_MB, &large),
        model_service("small", 8, LAYER_MB, &small),
    ];
    store.put("op/config", &configuration(7, &routes, &services));
    let plan: Arc<RunPlan> = Arc::new(|_: &Server, _: &str, _| vec![RunStep::Event]);
    let start = |service: &str, kind: &'static str, size_mb: f64, address| {
        let spec = ServerSpec {
            service: service.to_owned(),
            address,
            zone: "z1".to_owned(),
            card: Some(Card {
                kind,
                size_mb,
                layer_mb: LAYER_MB,
            }),
            slots: 192,
            layers: None,
        };
        Server::start(&store, spec, Arc::clone(&plan))
    };
    // Servers of the deployment, which has just started. One of the seven of the large model is lost.
    let mut servers: Vec<Arc<Server>> = Vec::new();
    for number in 0..6 {
        servers.push(start("large", "a100", 72_000.0, free_address("127.0.0.31")));
        if number < 3 {
            servers.push(start("small", "l4", 21_600.0, free_address("127.0.0.32")));
        }
    }
    thread::sleep(Duration::from_millis(400));
    let lost = start("large", "a100", 72_000.0, free_address("127.0.0.33"));
    thread::sleep(Duration::from_millis(100));
    let address = lost.spec.address;
    let (newcomer_address, crashed) = if trouble {
        note("disruption: a server crashes for good");
        lost.crash();
        (address, std::time::Instant::now())
    } else {
        (free_address("127.0.0.33"), std::time::Instant::now())
    };
    // Routers start together, as in a first start of the whole system.
    thread::sleep(Duration::from_millis(200));
    let ips: Vec<IpAddr> = ["127.0.0.11", "127.0.0.12"]
        .map(|ip| ip.parse().expect("an address"))
        .into();
    let ports = Ports::find(&ips);
    let daemons: Vec<Daemon> = ips
        .iter()
        .enumerate()
        .map(|(number, ip)| {
            let spec = DaemonSpec {
                name: format!("edge-{number}"),
                ip: *ip,
                zone: "z1".to_owned(),
                store: store.address,
                seeds: ips.clone(),
            };
            Daemon::start(&spec, ports, folder)
        })
        .collect();
    thread::sleep(REUSE_AFTER.saturating_sub(crashed.elapsed()));
    note("a server of another service starts, with an address that has been free for ReuseAfterS");
    let newcomer = start("small", "l4", 21_600.0, newcomer_address);
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(10));
    let placed = servers
        .iter()
        .filter(|server| server.layers().is_some())
        .count();
    say(&format!(
        "servers that hold layers: {placed} of {}",
        servers.len()
    ));
    say(&format!(
        "server {} of service small, {} at {}: layers {:?}, alive {}",
        newcomer.id,
        "l4",
        newcomer.spec.address,
        newcomer.layers(),
        newcomer.is_alive()
    ));
    if placed == 0 {
        return Verdict::NotRun;
    }
    let all = servers.iter().chain([&lost, &newcomer]);
    let overfull: Vec<&str> = all
        .filter(|server| server.overfull.load(Ordering::SeqCst))
        .map(|server| server.id.as_str())
        .collect();
    say(&format!(
        "servers that were ordered to hold more than their memory: {overfull:?}"
    ));
    if overfull.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
