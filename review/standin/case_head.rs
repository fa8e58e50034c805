//! A key is taken away from a connected client that sends HEAD requests: are there bytes on its connection
//! that are no answer?

use crate::Verdict;
use crate::daemon::{Daemon, DaemonSpec, Ports, free_address};
use crate::http::{connect, read_head};
use crate::record::{note, say};
use crate::server::{RunPlan, RunStep, Server, ServerSpec};
use crate::site::{HOST, configuration_with_keys, plain_service, route};
use crate::store::Store;
use std::io::{BufReader, Read, Write};
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(free_address("127.0.0.1"));
    let routes = [route("/slip/", "idempotent", "ops", 3_000, 2)];
    let services = [plain_service("ops")];
    store.put(
        "op/config",
        &configuration_with_keys(7, &routes, &services, &["key-1", "key-2"]),
    );
    let plan: Arc<RunPlan> =
        Arc::new(|_: &Server, _: &str, _| vec![RunStep::Pause(Duration::from_millis(20))]);
    let spec = ServerSpec {
        service: "ops".to_owned(),
        address: free_address("127.0.0.42"),
        zone: "z1".to_owned(),
        card: None,
        slots: 6,
        layers: None,
    };
    let _server = Server::start(&store, spec, plan);
    let ip: IpAddr = "127.0.0.11".parse().expect("an address");
    let ports = Ports::find(&[ip]);
    let spec = DaemonSpec {
        name: "edge-0".to_owned(),
        ip,
        zone: "z1".to_owned(),
        store: store.address,
        seeds: vec![ip],
    };
    let daemon = Daemon::start(&spec, ports, folder);
    if !daemon.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    let Ok(stream) = connect(daemon.callers, Duration::from_secs(1)) else {
        return Verdict::NotRun;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let Ok(clone) = stream.try_clone() else {
        return Verdict::NotRun;
    };
    let mut reader = BufReader::new(clone);
    let mut number = 0;
    let mut send = |method: &str, key: &str| {
        number += 1;
        let bytes = format!(
            "{method} /slip/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {number:016x}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\n\r\n"
        );
        note(&format!(
            "client sends {method} with {key} on its connection"
        ));
        (&stream).write_all(bytes.as_bytes())
    };
    if send("HEAD", "key-2").is_err() {
        return Verdict::NotRun;
    }
    match read_head(&mut reader) {
        Ok(Some(answer)) => say(&format!("answer to HEAD: {}", answer.line)),
        _ => return Verdict::NotRun,
    }
    if trouble {
        note("disruption: key-2 is taken away");
        store.put(
            "op/config",
            &configuration_with_keys(9, &routes, &services, &["key-1"]),
        );
        thread::sleep(Duration::from_secs(3));
    }
    let _ = send("HEAD", "key-2");
    match read_head(&mut reader) {
        Ok(Some(answer)) => say(&format!("answer to HEAD: {}", answer.line)),
        _ => return Verdict::NotRun,
    }
    thread::sleep(Duration::from_millis(300));
    let _ = send("GET", "key-1");
    let mut next = [0; 7];
    if reader.read_exact(&mut next).is_err() {
        say("no answer to GET");
        return Verdict::NotRun;
    }
    let text = String::from_utf8_lossy(&next).into_owned();
    say(&format!("the answer to GET begins with {text:?}"));
    if text.starts_with("HTTP/1.") {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
