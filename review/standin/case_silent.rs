//! The daemons' open connections to the store go silent; a server leaves. Do requests reach it later than
//! `DrainMs` after its leaving, from daemons that are in touch again?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::http::{CallEnd, call};
use crate::proxy::Proxy;
use crate::record::{note, say};
use crate::server::{RunPlan, RunStep, Server, ServerSpec};
use crate::site::{configuration, plain_service, request, route};
use crate::store::Store;
use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// With `KEEPALIVE=1` the silent connections end after this time: a daemon sends a keepalive probe after a
/// second of silence and gives up after two more without an answer, where the network drops them as well.
const KEEPALIVE: Duration = Duration::from_millis(3_100);
/// Time from the silence to the server's leaving.
const LEAVES_AFTER: Duration = Duration::from_millis(700);
/// The server serves on for `DrainMs` and longer, at times many seconds.
const SERVES_ON: Duration = Duration::from_millis(6_000);
const WORK: Duration = Duration::from_millis(400);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let routes = [route("/count/", "non_idempotent", "ops", 3_000, 1)];
    store.put(
        "op/config",
        &configuration(7, &routes, &[plain_service("ops")]),
    );
    let plan: Arc<RunPlan> = Arc::new(|_: &Server, _: &str, _| vec![RunStep::Pause(WORK)]);
    let servers: Vec<Arc<Server>> = (0..3)
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
    let proxies: Vec<Arc<Proxy>> = ips
        .iter()
        .map(|_| Proxy::start(free_address("127.0.0.51"), store.address))
        .collect();
    let daemons: Vec<Daemon> = ips
        .iter()
        .zip(&proxies)
        .enumerate()
        .map(|(number, (ip, proxy))| {
            let spec = DaemonSpec {
                name: format!("edge-{number}"),
                ip: *ip,
                zone: "z1".to_owned(),
                store: proxy.address,
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
    thread::sleep(Duration::from_secs(4));
    let daemons = Arc::new(daemons);
    let stopped = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut senders = Vec::new();
    for sender in 0..6 {
        let (daemons, stopped) = (Arc::clone(&daemons), Arc::clone(&stopped));
        let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
        senders.push(thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{:08x}{number:08x}", sender + 1);
                let bytes = request("POST", "/count/1", &attempt, Duration::from_secs(3), "");
                let daemon = &daemons[sender % 2];
                note(&format!("client sends {attempt} to {}", daemon.name));
                let end = call(daemon.callers, &bytes, Duration::from_secs(3));
                note(&format!("client of {attempt}: {}", end.describe()));
                match &end {
                    CallEnd::Answer(answer) if answer.status() == 200 => {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    _ => failed
                        .lock()
                        .expect("no thread panics")
                        .push(format!("{attempt}: {}", end.describe())),
                }
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let silent_at = Instant::now();
    let mut links = Vec::new();
    if trouble {
        note(
            "disruption: the open connections of all daemons to the store go silent, new ones work",
        );
        links = proxies.iter().map(|proxy| proxy.silence()).collect();
    }
    thread::sleep(LEAVES_AFTER);
    let left_at = Instant::now();
    servers[0].leave(SERVES_ON);
    if trouble && std::env::var("KEEPALIVE").is_ok_and(|value| value == "1") {
        thread::sleep(KEEPALIVE.saturating_sub(silent_at.elapsed()));
        note("the daemons' keepalive ends the silent connections");
        links.drain(..).for_each(crate::proxy::SilentLinks::end);
    }
    thread::sleep(Duration::from_secs(10).saturating_sub(silent_at.elapsed()));
    stopped.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    // The machines are in touch from ContactMs after their connections went silent.
    let arrivals = servers[0].arrivals.lock().expect("no thread panics");
    let is_late = |at: Instant| at > left_at + DRAIN && at > silent_at + CONTACT;
    let late: Vec<f64> = arrivals
        .iter()
        .filter(|(at, _)| is_late(*at))
        .map(|(at, _)| at.duration_since(left_at).as_secs_f64())
        .collect();
    let served = served.load(Ordering::SeqCst);
    for line in failed.lock().expect("no thread panics").iter() {
        say(&format!("not served: {line}"));
    }
    say(&format!(
        "served: {served}; requests that reached the server later than DrainMs after its leaving, sent by machines in touch: {}; the last one {:.2} s after it",
        late.len(),
        late.last().copied().unwrap_or_default()
    ));
    if served < 100 {
        return Verdict::NotRun;
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
