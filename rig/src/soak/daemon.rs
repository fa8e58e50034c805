//! One daemon as a process of its own, with proxies on its links.

use crate::fleet::{ProcessHandle, free_address};
use crate::proxy::FaultProxy;
use crate::site::{ServerLinks, SiteFleet};
use crate::soak::fault::DaemonLink;
use crate::soak::message::{HttpMessage, UnframedBody};
use crate::soak::spec::{RuleBounds, SoakSpec};
use rustix::process::{Signal, set_parent_process_death_signal};
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Result of starting a daemon.
type Result<T> = std::result::Result<T, String>;

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "ARBUTUSMOUNT_CONFIG";
/// Lowest second byte of the daemons' addresses; the proxies and other programs use lower ones.
const FIRST_NETWORK: usize = 128;
/// Most daemons that have an address of their own.
pub const MAX_DAEMONS: usize = 120;
/// Ports of every daemon: they have the same ones on different addresses.
const CALLERS_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const ADDRESSES_PORT: u16 = 8_224;
const PEERS_PORT: u16 = 8_229;
const RELAY_PORT: u16 = 8_230;
/// Timeout of a question whether a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// A daemon.
#[derive(Debug)]
pub struct SoakDaemon {
    number: usize,
    ip: IpAddr,
    domains: usize,
    first_peers: Vec<SocketAddr>,
    folder: PathBuf,
    program: PathBuf,
    callers: FaultProxy,
    store: FaultProxy,
    /// Links to the servers.
    server_links: ServerLinks,
    /// None while it is down.
    process: Option<ProcessHandle>,
    /// Repeats that the settings allow in any window; a reload changes it by one.
    retry_extra: f64,
}

/// Address of the daemon with this number, on a network of this process.
fn daemon_ip(number: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from(Ipv4Addr::new(
        127,
        (FIRST_NETWORK + number) as u8,
        high,
        low,
    ))
}

impl SoakDaemon {
    /// Starts a daemon and its proxies.
    ///
    /// # Errors
    /// When a proxy, the settings file or the process cannot be made.
    pub async fn start(
        spec: &SoakSpec,
        number: usize,
        domains: usize,
        site: &SiteFleet,
    ) -> Result<Self> {
        let server_links = ServerLinks::default();
        let store = site.add_linked_view(&server_links);
        let ip = daemon_ip(number);
        let callers = SocketAddr::new(ip, CALLERS_PORT);
        let link = |target| FaultProxy::start_faithful(free_address(), target, None);
        let seeds = (0..spec.daemons.min(3)).filter(|seed| *seed != number);
        let mut daemon = Self {
            number,
            ip,
            domains,
            first_peers: seeds
                .map(|seed| SocketAddr::new(daemon_ip(seed), PEERS_PORT))
                .collect(),
            folder: spec.out.clone(),
            program: spec.program.clone(),
            callers: link(callers).await.map_err(|e| e.to_string())?,
            store: link(store).await.map_err(|e| e.to_string())?,
            server_links,
            process: None,
            retry_extra: RuleBounds::RETRY_EXTRA,
        };
        daemon.start_process()?;
        Ok(daemon)
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Proxy on a link.
    pub fn link(&self, link: DaemonLink) -> &FaultProxy {
        match link {
            DaemonLink::Callers => &self.callers,
            DaemonLink::Store => &self.store,
        }
    }

    /// Its links to the servers.
    pub fn server_links(&self) -> &ServerLinks {
        &self.server_links
    }

    /// Process; none while it is down.
    pub fn process(&mut self) -> Option<&mut ProcessHandle> {
        self.process.as_mut()
    }

    /// Kills the process, if it runs, and forgets it.
    pub fn kill(&mut self) {
        self.process = None;
    }

    fn file(&self, extension: &str) -> PathBuf {
        self.folder
            .join(format!("router-{}.{extension}", self.number))
    }

    fn write_settings(&self) -> Result<()> {
        let at = |port| SocketAddr::new(self.ip, port).to_string();
        let settings = json!({
            "instance": format!("router-{}", self.number),
            "failure_domain": format!("d{}", self.number % self.domains),
            "listen": {
                "callers": at(CALLERS_PORT), "ready": at(READY_PORT),
                "addresses": at(ADDRESSES_PORT), "peers": at(PEERS_PORT),
                "relay": at(RELAY_PORT),
            },
            "store": {"address": self.store.address().to_string(), "lease_floor_ms": 1_000},
            "first_peers": self.first_peers,
            "bounds": {
                "grace_s": RuleBounds::GRACE.as_secs_f64(), "address_keep_s": 5.0,
                "retry_ratio": RuleBounds::RETRY_RATIO, "retry_extra": self.retry_extra,
                "retry_window_s": RuleBounds::RETRY_WINDOW.as_secs_f64(),
            },
        });
        std::fs::write(self.file("json"), settings.to_string()).map_err(|e| e.to_string())
    }

    fn open_log(&self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.create(true).append(true).open(self.file("log"))
    }

    /// Starts the process; its log goes on in the same file.
    ///
    /// # Errors
    /// When the settings file or the process cannot be made.
    pub fn start_process(&mut self) -> Result<()> {
        self.write_settings()?;
        let log = self.open_log().map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .env(SETTINGS_VARIABLE, self.file("json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log);
        // SAFETY: the closure only makes one system call, which is allowed between fork and exec.
        // The process then ends with the thread that started it, also when this program is killed.
        unsafe { command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?)) };
        let program = self.program.display();
        let process = ProcessHandle::spawn(&mut command);
        self.process = Some(process.map_err(|cause| format!("{program}: {cause}"))?);
        Ok(())
    }

    /// Changes the settings file and tells the process to read it.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn reload(&mut self) -> Result<()> {
        // Lower than before by one, so that the bound that is checked holds all the while.
        self.retry_extra -= 1.0;
        self.write_settings()?;
        if let Some(process) = &self.process {
            process.reload();
        }
        Ok(())
    }

    /// True when the daemon says that it serves.
    pub fn is_ready(&self) -> bool {
        self.ask_ready().unwrap_or(false)
    }

    fn ask_ready(&self) -> io::Result<bool> {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let mut stream = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer)?;
        let answer = HttpMessage::parse(&buffer[..count], UnframedBody::Open);
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    }
}
