//! A running fleet.

use crate::fleet::layout::{DaemonAddresses, FleetSpec, OPERATOR_TOKEN, ProgramPaths};
use crate::fleet::ports::free_address;
use crate::fleet::process::ProcessHandle;
use crate::proxy::FaultProxy;
use crate::service::{RunRecord, read_ledger};
use crate::web::{admin_get, admin_send};
use arbutusmount::{
    FleetDeclaration, InstanceRole, InstanceRow, InstanceState, OperatorClient, PlanRequest,
    digest_token,
};
use async_std::task;
use http_types::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for a process to serve or a fleet to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Period of checking a condition.
const WAIT_POLL: Duration = Duration::from_millis(20);
/// Key shared by the daemons of a fleet.
const PEER_KEY: &str = "peer-secret";

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold within `limit`.
pub async fn wait_until<F, R>(what: &str, limit: Duration, mut holds: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        task::sleep(WAIT_POLL).await;
    }
}

/// One engine or service of a fleet.
#[derive(Debug)]
pub struct FleetMember {
    /// Row of the instance list.
    pub row: InstanceRow,
    /// Process.
    pub process: ProcessHandle,
    arguments: Vec<String>,
}

/// One daemon of a fleet.
#[derive(Debug)]
pub struct FleetDaemon {
    /// Row of the instance list.
    pub row: InstanceRow,
    /// Addresses.
    pub addresses: DaemonAddresses,
    /// Process.
    pub process: ProcessHandle,
}

/// A running fleet; its processes end when it is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Daemons.
    pub daemons: Vec<FleetDaemon>,
    /// Engines.
    pub engines: Vec<FleetMember>,
    /// Instances of the service `stock`.
    pub services: Vec<FleetMember>,
    /// Process of the platform.
    pub platform_process: ProcessHandle,
    spec: FleetSpec,
    programs: ProgramPaths,
    folder: PathBuf,
}

/// A new folder for the settings and logs of a fleet.
fn make_folder() -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("arbutusmount-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    folder
}

async fn is_serving(address: SocketAddr) -> bool {
    async_std::net::TcpStream::connect(address).await.is_ok()
}

async fn wait_serving(address: SocketAddr) {
    wait_until(&format!("{address} serves"), START_LIMIT, || {
        is_serving(address)
    })
    .await;
}

impl ProcessFleet {
    /// Starts a fleet without a configuration.
    ///
    /// # Panics
    /// When a process does not start.
    pub async fn start(spec: FleetSpec, programs: ProgramPaths) -> Self {
        let folder = make_folder();
        let platform = free_address();
        let arguments = ["platform", "--listen", &platform.to_string()].map(str::to_owned);
        let log = folder.join("platform.log");
        let platform_process = ProcessHandle::start(&programs.rig, &arguments, &log)
            .expect("the platform stand-in starts");
        wait_serving(platform).await;
        let mut fleet = Self {
            platform,
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform_process,
            spec,
            programs,
            folder,
        };
        for index in 0..fleet.spec.engines.len() {
            fleet.add_engine(index).await;
        }
        for index in 0..fleet.spec.services {
            fleet.add_service(index).await;
        }
        for _ in 0..fleet.spec.daemons {
            let addresses = fleet.direct_addresses();
            fleet.add_daemon(addresses).await;
        }
        fleet
    }

    /// Seat of a daemon without any proxy.
    pub fn direct_addresses(&self) -> DaemonAddresses {
        let peer_listen = free_address();
        DaemonAddresses {
            listen: free_address(),
            peer_listen,
            store: self.platform,
            instances: self.platform,
            peer_advertised: peer_listen,
        }
    }

    /// Seat of a daemon that other daemons reach through the returned proxy only.
    ///
    /// # Panics
    /// When the proxy cannot listen.
    pub async fn proxied_addresses(&self) -> (DaemonAddresses, FaultProxy) {
        let addresses = self.direct_addresses();
        let proxy = FaultProxy::start(free_address(), addresses.peer_listen).await;
        let proxy = proxy.expect("a proxy listens on a free address");
        let peer_advertised = proxy.address();
        (
            DaemonAddresses {
                peer_advertised,
                ..addresses
            },
            proxy,
        )
    }

    fn domain(&self, index: usize) -> &'static str {
        self.spec.domains[index % self.spec.domains.len()]
    }

    /// Starts a daemon and lists it.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn add_daemon(&mut self, addresses: DaemonAddresses) {
        let index = self.daemons.len();
        let name = format!("router-{index}");
        let process = self.start_daemon(&name, self.domain(index), addresses);
        wait_serving(addresses.listen).await;
        let row = InstanceRow {
            instance: name.parse().expect("generated names are valid"),
            address: addresses.listen,
            peer_address: Some(addresses.peer_advertised),
            role: InstanceRole::Router,
            failure_domain: self.domain(index).parse().expect("domain names are valid"),
            state: InstanceState::Live,
            memory_bytes: 0,
            service: None,
        };
        self.register_instance(&row).await;
        self.daemons.push(FleetDaemon {
            row,
            addresses,
            process,
        });
    }

    /// Starts the process of a daemon again, after it has ended.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn restart_daemon(&mut self, index: usize) {
        let (name, addresses) = (
            self.daemons[index].row.instance.to_string(),
            self.daemons[index].addresses,
        );
        self.daemons[index].process.kill();
        self.daemons[index].process = self.start_daemon(&name, self.domain(index), addresses);
        wait_serving(addresses.listen).await;
    }

    fn start_daemon(&self, name: &str, domain: &str, addresses: DaemonAddresses) -> ProcessHandle {
        let mut settings = serde_json::json!({
            "instance": name,
            "failure_domain": domain,
            "listen": addresses.listen,
            "peer_listen": addresses.peer_listen,
            "platform": { "store": addresses.store, "instances": addresses.instances },
            "peer_key": PEER_KEY,
            "operator_token_sha256": digest_token(OPERATOR_TOKEN).to_string(),
            "timing": self.spec.timing,
            "routing": self.spec.routing,
            "claims": self.spec.claims,
            "membership": self.spec.membership,
            "log": { "level": "debug" },
        });
        for (field, value) in self.spec.settings.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the fleet's folder is writable");
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let log = self
            .folder
            .join(format!("{name}-{}.log", fastrand::u32(..)));
        ProcessHandle::start(&self.programs.daemon, &arguments, &log).expect("the daemon starts")
    }

    async fn add_engine(&mut self, index: usize) {
        let (knobs, memory_bytes) = self.spec.engines[index].clone();
        let address = free_address();
        let name = format!("engine-{index}");
        let knobs = serde_json::to_string(&knobs).expect("knobs serialize");
        let platform = self.platform.to_string();
        let arguments = [
            "engine",
            "--listen",
            &address.to_string(),
            "--instance",
            &name,
            "--weights",
            &platform,
            "--knobs",
            &knobs,
        ];
        let arguments = arguments.map(str::to_owned).to_vec();
        let row = InstanceRow {
            instance: name.parse().expect("generated names are valid"),
            address,
            peer_address: None,
            role: InstanceRole::Engine,
            failure_domain: self.domain(index).parse().expect("domain names are valid"),
            state: InstanceState::Live,
            memory_bytes,
            service: None,
        };
        let member = self.start_member(row, arguments).await;
        self.engines.push(member);
    }

    async fn add_service(&mut self, index: usize) {
        let address = free_address();
        let name = format!("stock-{index}");
        let ledger = self.ledger_path(index).display().to_string();
        let arguments = [
            "service",
            "--listen",
            &address.to_string(),
            "--ledger",
            &ledger,
        ];
        let arguments = arguments.map(str::to_owned).to_vec();
        let row = InstanceRow {
            instance: name.parse().expect("generated names are valid"),
            address,
            peer_address: None,
            role: InstanceRole::Service,
            failure_domain: self.domain(index).parse().expect("domain names are valid"),
            state: InstanceState::Live,
            memory_bytes: 0,
            service: Some("stock".parse().expect("the service name is valid")),
        };
        let member = self.start_member(row, arguments).await;
        self.services.push(member);
    }

    async fn start_member(&self, row: InstanceRow, arguments: Vec<String>) -> FleetMember {
        let process = self.start_rig(&row, &arguments);
        wait_serving(row.address).await;
        self.register_instance(&row).await;
        FleetMember {
            row,
            process,
            arguments,
        }
    }

    fn start_rig(&self, row: &InstanceRow, arguments: &[String]) -> ProcessHandle {
        let log = self
            .folder
            .join(format!("{}-{}.log", row.instance, fastrand::u32(..)));
        ProcessHandle::start(&self.programs.rig, arguments, &log).expect("the stand-in starts")
    }

    /// Starts an engine's process again, empty, after it has ended.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn restart_engine(&mut self, index: usize) {
        self.engines[index].process.kill();
        let member = &self.engines[index];
        let process = self.start_rig(&member.row, &member.arguments);
        wait_serving(member.row.address).await;
        self.engines[index].process = process;
    }

    fn ledger_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("stock-{index}.ledger"))
    }

    /// Runs that a service has recorded, whether or not its process runs.
    ///
    /// # Panics
    /// When the ledger cannot be read.
    pub fn service_runs(&self, index: usize) -> Vec<RunRecord> {
        read_ledger(&self.ledger_path(index)).expect("the service wrote its ledger")
    }

    /// Starts a service's process again, with default knobs, after it has ended.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn restart_service(&mut self, index: usize) {
        self.services[index].process.kill();
        let member = &self.services[index];
        let process = self.start_rig(&member.row, &member.arguments);
        wait_serving(member.row.address).await;
        self.services[index].process = process;
    }

    /// Adds or replaces a row of the instance list.
    ///
    /// # Panics
    /// When the platform does not answer.
    pub async fn register_instance(&self, row: &InstanceRow) {
        let sent = admin_send(self.platform, Method::Put, "/admin/instances", row).await;
        sent.expect("the platform lists instances");
    }

    /// Removes a row of the instance list.
    ///
    /// # Panics
    /// When the platform does not answer.
    pub async fn deregister_instance(&self, row: &InstanceRow) {
        let path = format!("/admin/instances/{}", row.instance);
        let sent = admin_send(self.platform, Method::Delete, &path, &serde_json::json!({})).await;
        sent.expect("the platform lists instances");
    }

    /// Changes knobs of the platform, an engine or a service.
    ///
    /// # Panics
    /// When the stand-in does not answer.
    pub async fn set_knobs(&self, address: SocketAddr, knobs: Value) {
        let sent = admin_send(address, Method::Post, "/admin/knobs", &knobs).await;
        sent.expect("the stand-in takes knobs");
    }

    /// Calls that the platform has counted, by kind.
    ///
    /// # Panics
    /// When the platform does not answer.
    pub async fn platform_calls(&self) -> Value {
        let calls = admin_get(self.platform, "/admin/calls").await;
        calls.expect("the platform counts calls")
    }

    /// Plans and confirms a declaration through the first daemon, then waits until every daemon
    /// has it in force and sees every stage ready.
    ///
    /// # Panics
    /// When that does not come about.
    pub async fn declare(&self, declaration: &FleetDeclaration) {
        let client = OperatorClient::new(OPERATOR_TOKEN);
        let daemon = self.daemons[0].addresses.listen;
        let wanted = PlanRequest {
            author: Arc::from("rig"),
            declaration: declaration.clone(),
        };
        let engines = self.engines.len();
        wait_until(
            "the daemon plans with every engine",
            START_LIMIT,
            || async {
                let plan = client.plan(daemon, &wanted).await;
                match plan {
                    Ok(plan) => plan.document.placements.len() <= engines,
                    Err(_) => false,
                }
            },
        )
        .await;
        let plan = client
            .plan(daemon, &wanted)
            .await
            .expect("the daemon plans");
        client
            .confirm(daemon, &plan)
            .await
            .expect("the daemon confirms");
        self.wait_ready().await;
    }

    /// Waits until every daemon has the same revision in force and sees every stage ready.
    ///
    /// # Panics
    /// When that does not come about.
    pub async fn wait_ready(&self) {
        let client = OperatorClient::new(OPERATOR_TOKEN);
        wait_until(
            "every daemon sees every stage ready",
            START_LIMIT,
            || async {
                let mut revisions = Vec::new();
                for daemon in &self.daemons {
                    let Ok(status) = client.status(daemon.addresses.listen).await else {
                        return false;
                    };
                    if status.models.iter().any(|model| model.ready < model.stages) {
                        return false;
                    }
                    revisions.push(status.revision);
                }
                revisions.windows(2).all(|pair| pair[0] == pair[1])
            },
        )
        .await;
    }

    /// Folder with the settings and logs of the processes.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }
}
