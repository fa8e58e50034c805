//! All model servers of a zone, of five kinds, crash and start again empty: do the daemons still answer?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::http::call;
use crate::record::{note, say};
use crate::server::{Card, RunPlan, RunStep, Server, ServerSpec};
use crate::site::{configuration, model_service, plain_service, request, route};
use crate::store::Store;
use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LAYER_MB: f64 = 1_750.0;
/// Five kinds of accelerators: name, memory, pace, read factor, number in zone z1.
const KINDS: [(&str, f64, f64, f64, u32); 5] = [
    ("h100", 80_000.0, 1.6, 2.1, 6),
    ("a100", 72_000.0, 2.4, 3.2, 7),
    ("l40s", 43_200.0, 5.6, 2.7, 6),
    ("v100", 32_000.0, 9.0, 6.0, 7),
    ("l4", 21_600.0, 16.0, 8.2, 7),
];
/// Time for which the servers are down: the default of the pages.
const DOWN: Duration = Duration::from_secs(5);
/// `TimeoutMs` of the route whose answers are judged.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after it by which the rule asks for an answer.
const SLACK: Duration = Duration::from_millis(500);
const OBSERVED: Duration = Duration::from_secs(30);

/// A request and when it was answered.
struct Sent {
    daemon: usize,
    at: Instant,
    after: Option<Duration>,
}

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let kinds: Vec<(&str, f64, f64, f64)> = KINDS
        .iter()
        .map(|(kind, size, pace, read, _)| (*kind, *size, *pace, *read))
        .collect();
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let routes = [
        route("/notice/", "streaming", "desk", 20_000, 2),
        route("/slip/", "idempotent", "ops", timeout_ms, 2),
    ];
    let services = [
        model_service("desk", 80, LAYER_MB, &kinds),
        plain_service("ops"),
    ];
    store.put("op/config", &configuration(7, &routes, &services));
    let plan: Arc<RunPlan> =
        Arc::new(|_: &Server, _: &str, _| vec![RunStep::Pause(Duration::from_millis(20))]);
    let model_spec = |kind: &(&'static str, f64, f64, f64, u32), zone: &str, number: u32| {
        let card = Card {
            kind: kind.0,
            size_mb: kind.1,
            layer_mb: LAYER_MB,
        };
        let part = number % 10;
        ServerSpec {
            service: "desk".to_owned(),
            address: free_address("127.0.0.41"),
            zone: zone.to_owned(),
            card: Some(card),
            slots: 192,
            layers: Some((part * 8, part * 8 + 8)),
        }
    };
    // The deployment runs already: each zone holds whole chains of ten parts.
    let mut number = 0;
    let mut zone_servers = Vec::new();
    for kind in &KINDS {
        for _ in 0..kind.4 {
            zone_servers.push(Server::start(
                &store,
                model_spec(kind, "z1", number),
                Arc::clone(&plan),
            ));
            number += 1;
        }
    }
    let others: Vec<Arc<Server>> = (0..10)
        .map(|number| {
            Server::start(
                &store,
                model_spec(&KINDS[1], "z2", number),
                Arc::clone(&plan),
            )
        })
        .collect();
    let plain: Vec<Arc<Server>> = ["z1", "z2"]
        .iter()
        .map(|zone| {
            let spec = ServerSpec {
                service: "ops".to_owned(),
                address: free_address("127.0.0.42"),
                zone: (*zone).to_owned(),
                card: None,
                slots: 6,
                layers: None,
            };
            Server::start(&store, spec, Arc::clone(&plan))
        })
        .collect();
    let ips: Vec<IpAddr> = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
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
                zone: if number < 2 { "z1" } else { "z2" }.to_owned(),
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
    let daemons = Arc::new(daemons);
    thread::sleep(Duration::from_secs(5));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stopped = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for daemon in 0..daemons.len() {
        let (daemons, sent, stopped) = (
            Arc::clone(&daemons),
            Arc::clone(&sent),
            Arc::clone(&stopped),
        );
        senders.push(thread::spawn(move || {
            let mut number = 0;
            let mut calls = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{:08x}{number:08x}", daemon + 1);
                let (daemons, sent) = (Arc::clone(&daemons), Arc::clone(&sent));
                calls.push(thread::spawn(move || {
                    let target = &daemons[daemon];
                    let bytes = request("GET", "/slip/1", &attempt, TIMEOUT, "");
                    let at = Instant::now();
                    note(&format!("client sends {attempt} to {}", target.name));
                    // The client waits until half a second after the time-out of the route, to see
                    // whether there is an answer by then.
                    let end = call(target.callers, &bytes, TIMEOUT + SLACK);
                    let after = at.elapsed();
                    note(&format!(
                        "client of {attempt} after {} ms: {}",
                        after.as_millis(),
                        end.describe()
                    ));
                    let after = (end.status() != 0).then_some(after);
                    sent.lock()
                        .expect("no thread panics")
                        .push(Sent { daemon, at, after });
                }));
                thread::sleep(Duration::from_millis(250));
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let trouble_at = Instant::now();
    let mut restarted = Vec::new();
    if trouble {
        note("disruption: all model servers of zone z1 crash");
        for server in &zone_servers {
            server.crash();
        }
        thread::sleep(DOWN);
        note("disruption: they start again, empty");
        for server in &zone_servers {
            let spec = ServerSpec {
                layers: None,
                ..server.spec.clone()
            };
            restarted.push(Server::start(&store, spec, Arc::clone(&plan)));
        }
    }
    let mut silent = 0;
    let end = Instant::now() + OBSERVED;
    while Instant::now() < end {
        thread::sleep(Duration::from_secs(2));
        let ready: Vec<bool> = daemons.iter().map(Daemon::is_ready).collect();
        note(&format!("readiness checks answered with 200: {ready:?}"));
        silent += ready.iter().filter(|ready| !**ready).count();
    }
    stopped.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let placed = restarted
        .iter()
        .filter(|server| server.layers().is_some())
        .count();
    let _ = (others.len(), plain.len());
    let sent = sent.lock().expect("no thread panics");
    // From ContactMs after the servers are back; nothing was done to the daemons or the store.
    let judged: Vec<&Sent> = sent.iter().filter(|sent| sent.at > trouble_at).collect();
    let is_late = |sent: &&&Sent| sent.after.is_none_or(|after| after >= TIMEOUT);
    let late: Vec<&&Sent> = judged.iter().filter(is_late).collect();
    let unanswered = late.iter().filter(|sent| sent.after.is_none()).count();
    for daemon in 0..daemons.len() {
        let own = judged.iter().filter(|sent| sent.daemon == daemon);
        let none = own.clone().filter(|sent| sent.after.is_none()).count();
        say(&format!(
            "{}: {} requests, {none} without an answer half a second after TimeoutMs",
            daemons[daemon].name,
            own.count()
        ));
    }
    say(&format!(
        "unanswered at TimeoutMs: {}, and half a second later: {unanswered}; readiness checks without 200: {silent}; servers placed again: {placed} of {}",
        late.len(),
        restarted.len()
    ));
    if late.len() >= 8 && unanswered * 2 > late.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
