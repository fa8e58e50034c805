//! Starts the project's daemon as the deploy file says, with the settings of its template.

use crate::http::call;
use crate::record::note;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Ports that all daemons have in common, as on the platform.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    callers: u16,
    ready: u16,
    addresses: u16,
    peers: u16,
    relay: u16,
    metrics: u16,
}

impl Ports {
    /// Ports that are free on all these addresses.
    pub fn find(ips: &[IpAddr]) -> Self {
        let mut found = Vec::new();
        let mut port = 21_000 + (std::process::id() % 2_000) as u16 * 10;
        while found.len() < 6 {
            port += 1;
            let is_free = ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            });
            if is_free {
                found.push(port);
            }
        }
        Self {
            callers: found[0],
            ready: found[1],
            addresses: found[2],
            peers: found[3],
            relay: found[4],
            metrics: found[5],
        }
    }
}

/// A free address for a stand-in.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSpec {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub store: SocketAddr,
    pub seeds: Vec<IpAddr>,
}

/// A daemon in a process of its own.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub addresses: SocketAddr,
    ready: SocketAddr,
    child: Mutex<Child>,
}

impl Daemon {
    /// Starts a daemon; its settings and its log go to `folder`.
    pub fn start(spec: &DaemonSpec, ports: Ports, folder: &Path) -> Self {
        let at = |port: u16| SocketAddr::new(spec.ip, port);
        let seeds: Vec<String> = spec
            .seeds
            .iter()
            .map(|ip| format!("\"{}\"", SocketAddr::new(*ip, ports.ready)))
            .collect();
        // As `platform/settings.json` is filled in with the figures of a small site.
        let settings = format!(
            "{{\"instance\":\"{}\",\"failure_domain\":\"{}\",\"listen\":{{\"callers\":\"{}\",\"ready\":\"{}\",\"addresses\":\"{}\",\"peers\":\"{}\",\"relay\":\"{}\",\"metrics\":\"{}\"}},\"store\":{{\"address\":\"{}\",\"lease_floor_ms\":1000}},\"first_peers\":[{}],\"bounds\":{{\"grace_s\":8,\"address_keep_s\":5,\"retry_ratio\":0.2,\"retry_extra\":200,\"retry_window_s\":10}}}}",
            spec.name,
            spec.zone,
            at(ports.callers),
            at(ports.ready),
            at(ports.addresses),
            at(ports.peers),
            at(ports.relay),
            at(ports.metrics),
            spec.store,
            seeds.join(",")
        );
        let path: PathBuf = folder.join(format!("{}.json", spec.name));
        std::fs::write(&path, settings).expect("settings can be written");
        let log =
            File::create(folder.join(format!("{}.log", spec.name))).expect("a log can be written");
        let errors = log.try_clone().expect("a file can be shared");
        let child = Command::new("target/release/arbutusmount-platform")
            .env("ARBUTUSMOUNT_CONFIG", &path)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(child) = child else {
            println!("cannot start target/release/arbutusmount-platform");
            std::process::exit(2);
        };
        let ids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        if let Ok(mut ids) = ids {
            let _ = writeln!(ids, "{}", child.id());
        }
        note(&format!(
            "daemon {} starts at {}",
            spec.name,
            at(ports.callers)
        ));
        Self {
            name: spec.name.clone(),
            callers: at(ports.callers),
            addresses: at(ports.addresses),
            ready: at(ports.ready),
            child: Mutex::new(child),
        }
    }

    /// True when the readiness check answers 200 within a second.
    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        call(self.ready, request.as_bytes(), Duration::from_secs(1)).status() == 200
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                note(&format!("daemon {} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Addresses that the daemon names to a client of a zone, and how long they may be kept.
    pub fn resolve(&self, zone: &str) -> Option<(Vec<String>, f64)> {
        let request = format!(
            "GET /resolve?Name=desk.example&Region=r&Zone={zone} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.addresses
        );
        let crate::http::CallEnd::Answer(answer) =
            call(self.addresses, request.as_bytes(), Duration::from_secs(1))
        else {
            return None;
        };
        let body = crate::json::Json::parse(&String::from_utf8_lossy(&answer.body))?;
        let names = body.get("Addresses")?.list();
        let names = names
            .iter()
            .filter_map(|name| name.text().map(str::to_owned))
            .collect();
        Some((names, body.get("TtlS")?.number()?))
    }

    /// Sends the signal of this name to the process.
    pub fn signal(&self, name: &str) {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(child.try_wait(), Ok(Some(_))) {
            note(&format!("daemon {} has ended already", self.name));
            return;
        }
        let id = child.id();
        note(&format!("daemon {} gets SIG{name}", self.name));
        let command = format!("kill -{name} {id}");
        let _ = Command::new("sh").arg("-c").arg(command).status();
    }

    /// True once the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        matches!(child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = child.kill();
        let _ = child.wait();
    }
}
