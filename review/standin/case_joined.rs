//! Some streams pause at their server and go on in a new run at another one, and two of these answers are
//! broken off: do callers get pieces of a first run after pieces of a second?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::http::{CallEnd, call};
use crate::record::{note, say};
use crate::server::{Card, RunPlan, RunStep, Server, ServerSpec};
use crate::site::{configuration, model_service, request, route};
use crate::store::Store;
use std::collections::HashMap;
use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LAYERS: u32 = 8;
/// Events of a whole stream.
const EVENTS: u64 = 30;
/// Events of a first run before its pause.
const FIRST_EVENTS: u64 = 6;
/// Pause of a first run: the request is preempted and read again.
const PAUSE: Duration = Duration::from_millis(900);
const GAP: Duration = Duration::from_millis(25);
/// Streams that are sent, one each [`SEND_GAP`].
const STREAMS: usize = 80;
const SEND_GAP: Duration = Duration::from_millis(150);
/// One in this many streams is preempted.
const PREEMPTED: u64 = 4;
/// Servers; half of them break answers off.
const SERVERS: usize = 4;
/// Answers that are broken off, at most; 80 streams and 20 second runs make 100 answers.
const BROKEN_OFF: usize = 2;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let kinds = [("a100", 72_000.0, 2.4, 3.2)];
    let routes = [route("/notice/", "streaming", "desk", 20_000, 2)];
    let services = [model_service("desk", LAYERS, 1_750.0, &kinds)];
    store.put("op/config", &configuration(7, &routes, &services));
    let begun: Mutex<HashMap<String, u64>> = Mutex::default();
    let faulty: Arc<Mutex<Vec<String>>> = Arc::default();
    let broken_off = Arc::new(AtomicUsize::new(0));
    let (known_faulty, counted) = (Arc::clone(&faulty), Arc::clone(&broken_off));
    let plan: Arc<RunPlan> = Arc::new(move |server: &Server, attempt: &str, last: u64| {
        let mut begun = begun.lock().expect("no thread panics");
        let number = begun.entry(attempt.to_owned()).or_default();
        *number += 1;
        let stream = u64::from_str_radix(attempt, 16).unwrap_or(0);
        let is_faulty = known_faulty
            .lock()
            .expect("no thread panics")
            .contains(&server.id);
        let breaks_off = trouble
            && *number == 2
            && is_faulty
            && counted
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                    (n < BROKEN_OFF).then_some(n + 1)
                })
                .is_ok();
        let mut steps = Vec::new();
        for event in last + 1..=EVENTS {
            if *number == 1 && stream % PREEMPTED == 0 && event == FIRST_EVENTS + 1 {
                steps.push(RunStep::Pause(PAUSE));
            }
            steps.push(RunStep::Pause(GAP));
            if breaks_off && event == last + 3 {
                steps.push(RunStep::BreakOff);
                break;
            }
            steps.push(RunStep::Event);
        }
        steps
    });
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|_| {
            let card = Card {
                kind: "a100",
                size_mb: 72_000.0,
                layer_mb: 1_750.0,
            };
            let spec = ServerSpec {
                service: "desk".to_owned(),
                address: free_address("127.0.0.31"),
                zone: "z1".to_owned(),
                card: Some(card),
                slots: 192,
                layers: None,
            };
            Server::start(&store, spec, Arc::clone(&plan))
        })
        .collect();
    let ids = servers
        .iter()
        .take(SERVERS / 2)
        .map(|server| server.id.clone());
    faulty.lock().expect("no thread panics").extend(ids);
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
    let holds = |server: &Arc<Server>| server.layers() == Some((0, LAYERS));
    let end = Instant::now() + Duration::from_secs(12);
    while !servers.iter().all(holds) && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    let holders = servers.iter().filter(|server| holds(server)).count();
    say(&format!(
        "servers that hold the whole model: {holders} of {SERVERS}"
    ));
    if holders < 2 {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let mut calls = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("{:016x}", 0x5100 + number);
        let target = daemons[number % daemons.len()].callers;
        let name = daemons[number % daemons.len()].name.clone();
        calls.push(thread::spawn(move || {
            let more = "X-Model: model-desk\r\nX-Token-Count: 100,90\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:60\r\n";
            let bytes = request("POST", "/notice/1", &attempt, Duration::from_secs(20), more);
            note(&format!("client sends {attempt} to {name}"));
            let end = call(target, &bytes, Duration::from_secs(20));
            note(&format!("client of {attempt}: {}", end.describe()));
            (attempt, end)
        }));
        thread::sleep(SEND_GAP);
    }
    let ends: Vec<(String, CallEnd)> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let whole = ends.iter().filter(|(_, end)| end.status() == 200).count();
    let mut broken = 0;
    for (attempt, end) in &ends {
        if let Some(fault) = judge(attempt, end) {
            broken += 1;
            say(&format!("stream {attempt}: {fault}"));
        }
    }
    say(&format!(
        "streams: {}, complete: {whole}; answers broken off: {}; streams with pieces of two runs joined: {broken}",
        ends.len(),
        broken_off.load(Ordering::SeqCst)
    ));
    if whole * 2 < ends.len() {
        return Verdict::NotRun;
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// What breaks ORDER in the pieces that the client got.
fn judge(attempt: &str, end: &CallEnd) -> Option<String> {
    let body = match end {
        CallEnd::Answer(answer) | CallEnd::Closed(_, answer) | CallEnd::Silent(answer) => {
            &answer.body
        }
        CallEnd::NotSent(_) => return None,
    };
    let text = String::from_utf8_lossy(body).into_owned();
    let pieces: Vec<(u64, String)> = text
        .split("\n\n")
        .filter_map(|event| {
            let id = event
                .lines()
                .find_map(|line| line.strip_prefix("id: "))?
                .parse()
                .ok()?;
            let run = event
                .lines()
                .find_map(|line| line.strip_prefix("data: run "))?;
            Some((id, run.split(' ').next()?.to_owned()))
        })
        .collect();
    let shown: Vec<String> = pieces
        .iter()
        .map(|(id, run)| format!("{id}@{run}"))
        .collect();
    note(&format!("client of {attempt} got {}", shown.join(" ")));
    let mut runs: Vec<&str> = Vec::new();
    for (index, (id, run)) in pieces.iter().enumerate() {
        if *id != index as u64 + 1 {
            return Some(format!("piece {} came as number {}", id, index + 1));
        }
        if runs.last() == Some(&run.as_str()) {
            continue;
        }
        if runs.contains(&run.as_str()) {
            let previous = runs.last().copied().unwrap_or_default();
            return Some(format!(
                "piece {id} is of run {run}, which has not gone on after piece {} of run {previous}",
                id - 1
            ));
        }
        runs.push(run);
    }
    None
}
