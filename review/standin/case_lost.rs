//! Two daemons get SIGTERM one after the other. A client that keeps an address as long as it may sends a
//! request that takes some seconds: is it answered?

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
use std::thread;
use std::time::{Duration, Instant};

/// What a request takes at the server.
const WORK: Duration = Duration::from_millis(5_000);
/// `TimeoutMs` of the route and the client's deadline.
const TIMEOUT: Duration = Duration::from_secs(10);
const GRACE: Duration = Duration::from_secs(8);
/// Time between the two signals.
const STEP: Duration = Duration::from_millis(120);
/// Requests that the client sends at once.
const REQUESTS: usize = 4;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let routes = [route("/count/", "non_idempotent", "ops", timeout_ms, 1)];
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
    thread::sleep(Duration::from_secs(5));
    let stopped = &daemons[0];
    let callers = stopped.callers.to_string();
    let names = |daemon: &Daemon| daemon.resolve("z1");
    if trouble {
        daemons[2].signal("TERM");
    }
    thread::sleep(STEP);
    let term_at = Instant::now();
    if trouble {
        stopped.signal("TERM");
    }
    // The client asks the third daemon again and again, as clients do, and keeps the last answer that names
    // the stopped one.
    let mut kept = None;
    while term_at.elapsed() < Duration::from_millis(700) {
        let asked_at = Instant::now();
        if let Some((addresses, ttl_s)) = names(&daemons[1]) {
            if addresses.contains(&callers) {
                kept = Some((asked_at, ttl_s));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let Some((asked_at, ttl_s)) = kept else {
        say("no answer named the daemon");
        return Verdict::NotRun;
    };
    note(&format!(
        "the last answer that names {} came {:.3} s after its SIGTERM, TtlS {ttl_s}",
        stopped.name,
        asked_at.duration_since(term_at.min(asked_at)).as_secs_f64()
    ));
    // Some clients keep an answer three times as long.
    let keep = Duration::from_secs_f64(ttl_s * 3.0);
    let send_at = asked_at + keep - Duration::from_millis(20);
    thread::sleep(send_at.saturating_duration_since(Instant::now()));
    let sent_after = term_at.elapsed();
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let attempt = format!("{:016x}", 0x7100 + number);
            let bytes = request("POST", "/count/1", &attempt, TIMEOUT, "");
            let target = stopped.callers;
            note(&format!(
                "client sends {attempt}, {:.3} s after the SIGTERM",
                sent_after.as_secs_f64()
            ));
            thread::spawn(move || {
                let end = call(target, &bytes, TIMEOUT);
                note(&format!("client of {attempt}: {}", end.describe()));
                (attempt, end)
            })
        })
        .collect();
    let limit = (term_at + GRACE).saturating_duration_since(Instant::now());
    thread::sleep(limit);
    if trouble {
        note(&format!(
            "GraceS is over; {} has ended by itself: {}",
            stopped.name,
            stopped.has_ended()
        ));
        stopped.signal("KILL");
        daemons[2].signal("KILL");
    }
    let ends: Vec<(String, CallEnd)> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let ran = |attempt: &str| {
        servers.iter().any(|server| {
            let arrivals = server.arrivals.lock().expect("no thread panics");
            arrivals.iter().any(|(_, known)| known == attempt)
        })
    };
    // Counted are requests that were sent later than 3 s after the SIGTERM, passed on to a server, and whose
    // connection ended without an answer before their deadline.
    let mut lost = 0;
    for (attempt, end) in &ends {
        let is_lost = matches!(end, CallEnd::Closed(..)) && ran(attempt);
        lost += usize::from(is_lost);
        say(&format!(
            "request {attempt}: {}, passed on: {}",
            end.describe(),
            ran(attempt)
        ));
    }
    let counts = sent_after > Duration::from_secs(3);
    say(&format!(
        "sent {:.3} s after the SIGTERM; lost: {lost} of {}",
        sent_after.as_secs_f64(),
        ends.len()
    ));
    if trouble && !counts {
        say("sent too early to be judged");
        return Verdict::NotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
