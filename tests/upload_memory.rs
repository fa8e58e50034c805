//! Uncontrolled clients of the product's own interface: unfinished bodies and idle connections exhausted the
//! memory and the descriptors of a daemon.

mod support;

use async_std::sync::Mutex;
use rig::{FleetSpec, HEAD_OFFICE_TOKEN, ProcessFleet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use support::{peak_kib, ready_fleet};

/// Connections with an unfinished body, its size, and the bound on the daemon's memory in KiB.
const UPLOADS: usize = 120;
const BODY_BYTES: usize = 1 << 20;
const MEMORY_BOUND_KIB: u64 = 64 << 10;
/// Idle connections, and the bound on the daemon's descriptors.
const IDLE_CONNECTIONS: usize = 400;
const DESCRIPTOR_BOUND: usize = 250;
/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 16;
/// Longest wait of a client for the daemon.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without growth after which the memory of the daemon counts as settled.
const SETTLE_PERIOD: Duration = Duration::from_millis(500);

/// One test runs at a time: each opens many connections.
static TURN: Mutex<()> = Mutex::new(());

async fn start() -> ProcessFleet {
    let bounds = serde_json::json!({"body_total_bytes": 16 << 20, "connections": 100});
    let spec = FleetSpec {
        daemons: 1,
        settings: serde_json::json!({ "bounds": bounds }),
        ..FleetSpec::default()
    };
    ready_fleet(spec, 1).await
}

fn open_descriptors(fleet: &ProcessFleet) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{}/fd", fleet.daemons[0].process.id()));
    entries.expect("the daemon lives").count()
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {HEAD_OFFICE_TOKEN}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Sends a body that stops short of its end; returns the open connection.
fn send_part(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = connect(address)?;
    stream.write_all(head(BODY_BYTES).as_bytes()).ok()?;
    // The daemon may end the upload while it is sent.
    let _sent = stream.write_all(&vec![b'x'; BODY_BYTES - MISSING_BYTES]);
    Some(stream)
}

/// Status line of the response to a whole request with this body.
fn send_whole(address: SocketAddr, body: &[u8]) -> String {
    let mut stream = connect(address).expect("the daemon accepts");
    let sent = stream.write_all(head(body.len()).as_bytes());
    sent.and_then(|()| stream.write_all(body))
        .expect("the daemon reads");
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).expect("the daemon answers");
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

const CHAT: &[u8] =
    br#"{"model":"helpdesk","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"#;

#[async_std::test]
async fn unfinished_bodies_stay_within_memory() {
    let _turn = TURN.lock().await;
    let mut fleet = start().await;
    let address = fleet.daemons[0].addresses.listen;

    let clients: Vec<_> = (0..UPLOADS)
        .map(|_| thread::spawn(move || send_part(address)))
        .collect();
    let streams: Vec<_> = clients.into_iter().map(thread::JoinHandle::join).collect();
    let mut peak = 0;
    while peak != peak_kib(&fleet) {
        peak = peak_kib(&fleet);
        thread::sleep(SETTLE_PERIOD);
    }
    let answer = send_whole(address, CHAT);
    println!("{peak} KiB, {} descriptors", open_descriptors(&fleet));
    drop(streams);

    assert!(fleet.daemons[0].process.is_running());
    assert_eq!(answer, "HTTP/1.1 200 OK");
    assert!(peak <= MEMORY_BOUND_KIB, "{peak} KiB");
}

#[async_std::test]
async fn idle_connections_stay_within_descriptors() {
    let _turn = TURN.lock().await;
    let mut fleet = start().await;
    let address = fleet.daemons[0].addresses.listen;

    let streams: Vec<_> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| connect(address))
        .collect();
    let answer = send_whole(address, CHAT);
    let descriptors = open_descriptors(&fleet);
    println!("{descriptors} descriptors");
    drop(streams);

    assert!(fleet.daemons[0].process.is_running());
    assert_eq!(answer, "HTTP/1.1 200 OK");
    assert!(descriptors <= DESCRIPTOR_BOUND, "{descriptors}");
}
