//! Some servers send bytes after a complete answer, late: does a caller get them for its own answer?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::http::{CallEnd, call};
use crate::record::{note, say};
use crate::server::{RunPlan, RunStep, Server, ServerSpec};
use crate::site::{configuration, plain_service, request, route};
use crate::store::Store;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Servers; half of them are faulty.
const SERVERS: usize = 4;
/// One in this many of their answers is followed by such bytes.
const EXTRA_EVERY: u64 = 50;
const CLIENTS: usize = 4;
/// Requests of each client, one after the other.
const REQUESTS: usize = 200;
/// What the body of every answer of a server is.
const BODY: &[u8] = b"whole body of the server";

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let routes = [route("/slip/", "idempotent", "ops", 3_000, 2)];
    store.put(
        "op/config",
        &configuration(7, &routes, &[plain_service("ops")]),
    );
    let plan: Arc<RunPlan> =
        Arc::new(|_: &Server, _: &str, _| vec![RunStep::Pause(Duration::from_millis(20))]);
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|_| {
            let spec = ServerSpec {
                service: "ops".to_owned(),
                address: free_address("127.0.0.42"),
                zone: "z1".to_owned(),
                card: None,
                slots: 6,
                layers: None,
            };
            Server::start(&store, spec, Arc::clone(&plan))
        })
        .collect();
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
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        note("disruption: half of the servers send bytes after some of their answers");
        for server in servers.iter().take(SERVERS / 2) {
            server.extra_every.store(EXTRA_EVERY, Ordering::SeqCst);
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let target = daemons[client % daemons.len()].callers;
            thread::spawn(move || {
                let mut ends = Vec::new();
                for number in 0..REQUESTS {
                    let attempt = format!("{:08x}{:08x}", client + 1, number + 1);
                    let bytes = request("GET", "/slip/1", &attempt, Duration::from_secs(3), "");
                    note(&format!("client sends {attempt}"));
                    let end = call(target, &bytes, Duration::from_secs(3));
                    note(&format!("client of {attempt}: {}", end.describe()));
                    ends.push((attempt, end));
                }
                ends
            })
        })
        .collect();
    let ends: Vec<(String, CallEnd)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    let mut served = 0;
    let mut mixed = 0;
    for (attempt, end) in &ends {
        let CallEnd::Answer(answer) = end else {
            continue;
        };
        if !(200..300).contains(&answer.status()) {
            continue;
        }
        served += 1;
        let stamp = answer.field("X-Server-Stamp");
        if stamp.is_none() || answer.body != BODY {
            mixed += 1;
            say(&format!(
                "request {attempt}: status {}, stamp {}, body {:?}",
                answer.status(),
                stamp.unwrap_or("none"),
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }
    let extras: u64 = servers
        .iter()
        .map(|server| server.extras.load(Ordering::SeqCst))
        .sum();
    say(&format!(
        "requests: {}, served: {served}; bytes after an answer: {extras} times; successes that are no server's answer to the request: {mixed}",
        ends.len()
    ));
    if served * 2 < ends.len() {
        return Verdict::NotRun;
    }
    if mixed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
