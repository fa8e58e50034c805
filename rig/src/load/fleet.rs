//! The fleet of a run: platform, engines, services and daemons, in this process or as processes.

use crate::engine::EngineStandIn;
use crate::fleet::{OPERATOR_TOKEN, ProcessHandle, ProgramPaths, free_address, wait_until};
use crate::load::declare::{LAYER_BYTES, make_declaration, make_row, with_context};
use crate::load::meters::{TrafficGroup, TrafficMeters};
use crate::load::spec::{RunMode, RunSpec, merge_json};
use crate::load::usage::{ProcessUsage, read_usage};
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::service::{RunRecord, ServiceKnobs, ServiceStandIn};
use crate::web::{admin_get, admin_send};
use arbutusmount::{
    DaemonSettings, InstanceRole, InstanceRow, OperatorClient, PlanRequest, RequestId,
    StagePlacement, digest_token, start_daemon,
};
use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Result of starting or steering a fleet.
pub(crate) type Result<T> = std::result::Result<T, String>;

/// Longest wait for a process to serve or the fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// One part of a fleet: its address, and its process unless it runs in this one.
struct FleetInstance {
    address: SocketAddr,
    process: Option<ProcessHandle>,
}

/// A running fleet; its processes end when it is dropped.
pub(crate) struct LoadFleet {
    platform: FleetInstance,
    engines: Vec<FleetInstance>,
    services: Vec<FleetInstance>,
    daemons: Vec<FleetInstance>,
    /// Programs, unless everything runs in this process.
    programs: Option<ProgramPaths>,
    mode: RunMode,
    folder: PathBuf,
    /// Meters of the daemons' traffic.
    pub(crate) meters: TrafficMeters,
    /// Placements of the declared model.
    pub(super) placements: Vec<StagePlacement>,
}

impl LoadFleet {
    /// Starts the fleet of a run and waits until every stage is ready.
    pub(super) async fn start(spec: &RunSpec, programs: Option<ProgramPaths>) -> Result<Self> {
        Self::start_metered(spec, programs, false).await
    }

    /// Starts a fleet, with meters before what the daemons talk to when `metered`.
    pub(crate) async fn start_metered(
        spec: &RunSpec,
        programs: Option<ProgramPaths>,
        metered: bool,
    ) -> Result<Self> {
        let programs = match spec.mode {
            RunMode::InProcess => None,
            RunMode::Processes | RunMode::Daemons => {
                let missing = "processes need arbutusmountd beside rig";
                Some(programs.ok_or_else(|| missing.to_owned())?)
            }
        };
        let folder = std::env::temp_dir().join(format!("arbutusmount-load-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(with_context("temporary folder"))?;
        let stand_ins = programs
            .as_ref()
            .filter(|_| spec.mode == RunMode::Processes);
        let platform = start_platform(stand_ins, &folder).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            programs,
            mode: spec.mode,
            folder,
            meters: TrafficMeters::new(metered),
            placements: Vec::new(),
        };
        for index in 0..spec.engine_count() {
            fleet.add_engine(spec, index).await?;
        }
        for index in 0..spec.services {
            fleet.add_service(spec, index).await?;
        }
        for index in 0..spec.daemons {
            fleet.add_daemon(spec, index).await?;
        }
        fleet.apply_declaration(spec).await?;
        Ok(fleet)
    }

    fn start_stand_in(&self, name: &str, arguments: &[&str]) -> Result<Option<ProcessHandle>> {
        let own = self.mode == RunMode::Processes;
        let Some(programs) = self.programs.as_ref().filter(|_| own) else {
            return Ok(None);
        };
        let log = self.folder.join(format!("{name}.log"));
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let started = ProcessHandle::start(&programs.rig, &arguments, &log);
        started.map(Some).map_err(with_context(name))
    }

    async fn add_engine(&mut self, spec: &RunSpec, index: usize) -> Result<()> {
        let address = free_address();
        let name = RunSpec::engine_name(index);
        let knobs = spec.engine_knobs(index)?;
        let text = serde_json::to_string(&knobs).map_err(with_context(&name))?;
        let (listen, weights) = (address.to_string(), self.platform.address.to_string());
        let arguments = [
            "engine",
            "--listen",
            &listen,
            "--instance",
            &name,
            "--weights",
            &weights,
            "--knobs",
            &text,
        ];
        let process = self.start_stand_in(&name, &arguments)?;
        if process.is_none() {
            let instance = name.parse().map_err(with_context(&name))?;
            let engine = EngineStandIn::new(instance, Some(self.platform.address), knobs);
            let listener = TcpListener::bind(address)
                .await
                .map_err(with_context(&name))?;
            task::spawn(engine.serve(listener));
        }
        let bytes = u64::from(spec.engine_kind(index).layers) * LAYER_BYTES;
        let domain = spec.engine_domain(index);
        let listed = self
            .meters
            .metered_address(TrafficGroup::Engines, address)
            .await?;
        let row = make_row(&name, listed, InstanceRole::Engine, domain)?;
        let row = InstanceRow {
            memory_bytes: bytes,
            ..row
        };
        self.engines.push(FleetInstance { address, process });
        self.register(&row).await
    }

    async fn add_service(&mut self, spec: &RunSpec, index: usize) -> Result<()> {
        let address = free_address();
        let name = format!("stock-{index}");
        let listen = address.to_string();
        let process = self.start_stand_in(&name, &["service", "--listen", &listen])?;
        if process.is_none() {
            let listener = TcpListener::bind(address)
                .await
                .map_err(with_context(&name))?;
            task::spawn(ServiceStandIn::new(ServiceKnobs::default()).serve(listener));
        }
        let domain = &spec.domains[index % spec.domains.len()];
        let row = make_row(&name, address, InstanceRole::Service, domain)?;
        let service = "stock".parse().map_err(with_context(&name))?;
        let row = InstanceRow {
            service: Some(service),
            ..row
        };
        self.services.push(FleetInstance { address, process });
        self.register(&row).await
    }

    async fn add_daemon(&mut self, spec: &RunSpec, index: usize) -> Result<()> {
        let (listen, peer_listen) = (free_address(), free_address());
        let name = format!("router-{index}");
        let domain = &spec.domains[index % spec.domains.len()];
        let platform = self.platform.address;
        let platform = self
            .meters
            .metered_address(TrafficGroup::Platform, platform)
            .await?;
        let mut settings = json!({
            "instance": name,
            "failure_domain": domain,
            "listen": listen,
            "peer_listen": peer_listen,
            "platform": { "store": platform, "instances": platform },
            "peer_key": "load",
            "operator_token_sha256": digest_token(OPERATOR_TOKEN).to_string(),
        });
        merge_json(&mut settings, &Value::Object(spec.settings.clone()));
        let text = settings.to_string();
        let process = if let Some(programs) = &self.programs {
            let path = self.folder.join(format!("{name}.json"));
            std::fs::write(&path, &text).map_err(with_context(&name))?;
            let arguments = ["--settings".to_owned(), path.display().to_string()];
            let log = self.folder.join(format!("{name}.log"));
            let started = ProcessHandle::start(&programs.daemon, &arguments, &log);
            Some(started.map_err(with_context(&name))?)
        } else {
            let settings = DaemonSettings::parse(&text).map_err(|errors| {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                lines.join("\n")
            })?;
            start_daemon(settings).await.map_err(with_context(&name))?;
            None
        };
        let row = make_row(&name, listen, InstanceRole::Router, domain)?;
        let row = InstanceRow {
            peer_address: Some(
                self.meters
                    .metered_address(TrafficGroup::Peers, peer_listen)
                    .await?,
            ),
            ..row
        };
        self.daemons.push(FleetInstance {
            address: listen,
            process,
        });
        self.register(&row).await
    }

    async fn register(&self, row: &InstanceRow) -> Result<()> {
        wait_until_serving(row.address).await;
        let platform = self.platform.address;
        let sent = admin_send(platform, Method::Put, "/admin/instances", row).await;
        sent.map_err(with_context("instance list"))
    }

    async fn apply_declaration(&mut self, spec: &RunSpec) -> Result<()> {
        let client = OperatorClient::new(OPERATOR_TOKEN);
        let daemon = self.daemons[0].address;
        let wanted = PlanRequest {
            author: Arc::from("load"),
            declaration: make_declaration(spec)?,
        };
        wait_until("the fleet can be planned", READY_TIMEOUT, || async {
            client.plan(daemon, &wanted).await.is_ok()
        })
        .await;
        let plan = client
            .plan(daemon, &wanted)
            .await
            .map_err(with_context("plan"))?;
        let confirmed = client.confirm(daemon, &plan).await;
        confirmed.map_err(with_context("confirm"))?;
        let daemons = self.daemon_addresses();
        wait_until("all daemons see all stages", READY_TIMEOUT, || async {
            for daemon in &daemons {
                if !all_stages_ready(&client, *daemon).await {
                    return false;
                }
            }
            true
        })
        .await;
        self.placements = plan.document.placements;
        Ok(())
    }

    /// Addresses of the daemons.
    pub(crate) fn daemon_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|part| part.address).collect()
    }

    /// Ends an engine's process.
    pub(super) fn kill_engine(&mut self, index: usize) {
        kill(&mut self.engines[index]);
    }

    /// Stops an engine's process without ending it.
    pub(super) fn freeze_engine(&mut self, index: usize) {
        if let Some(process) = &self.engines[index].process {
            process.freeze();
        }
    }

    /// Ends a daemon's process.
    pub(super) fn kill_daemon(&mut self, index: usize) {
        kill(&mut self.daemons[index]);
    }

    /// Changes knobs of an engine.
    pub(super) async fn set_engine_knobs(&self, index: usize, knobs: &Value) -> Result<()> {
        send_knobs(self.engines[index].address, knobs).await
    }

    /// Changes knobs of the platform.
    pub(super) async fn set_platform_knobs(&self, knobs: &Value) -> Result<()> {
        send_knobs(self.platform.address, knobs).await
    }

    /// Requests of which an engine has run steps.
    pub(super) async fn engine_requests(&self, index: usize) -> HashSet<String> {
        #[derive(serde::Deserialize)]
        struct LedgerRow {
            request: RequestId,
        }
        let address = self.engines[index].address;
        let rows: std::result::Result<Vec<LedgerRow>, _> = admin_get(address, "/v1/ledger").await;
        let rows = rows.unwrap_or_default();
        rows.iter().map(|row| row.request.to_string()).collect()
    }

    /// Runs that all services have counted.
    pub(super) async fn service_executions(&self) -> Vec<RunRecord> {
        let mut runs = Vec::new();
        for part in &self.services {
            let ledger = admin_get(part.address, "/admin/ledger").await;
            runs.extend(ledger.unwrap_or_else(|_cause| Vec::<RunRecord>::new()));
        }
        runs
    }

    /// What each daemon's process has used; empty when they run in this one.
    pub(crate) fn daemon_usage(&self) -> Vec<ProcessUsage> {
        let processes = self.daemons.iter().filter_map(|part| part.process.as_ref());
        processes.map(|process| read_usage(process.id())).collect()
    }

    /// Calls that the platform has counted, by kind.
    pub(crate) async fn platform_calls(&self) -> BTreeMap<String, u64> {
        let calls = admin_get(self.platform.address, "/admin/calls").await;
        calls.unwrap_or_default()
    }

    /// What this process and those of the fleet have used.
    pub(super) fn usage(&self) -> ProcessUsage {
        let parts = [&self.engines, &self.services, &self.daemons];
        let parts = parts.into_iter().flatten().chain([&self.platform]);
        let mut total = read_usage(std::process::id());
        for process in parts.filter_map(|part| part.process.as_ref()) {
            let usage = read_usage(process.id());
            total.processor += usage.processor;
            total.resident_kib += usage.resident_kib;
        }
        total
    }
}

impl Drop for LoadFleet {
    fn drop(&mut self) {
        if std::fs::remove_dir_all(&self.folder).is_err() {
            // Only logs are left behind.
        }
    }
}

fn kill(part: &mut FleetInstance) {
    if let Some(process) = &mut part.process {
        process.kill();
    }
}

async fn start_platform(
    programs: Option<&ProgramPaths>,
    folder: &std::path::Path,
) -> Result<FleetInstance> {
    let address = free_address();
    let process = if let Some(programs) = programs {
        let arguments = ["platform", "--listen", &address.to_string()].map(str::to_owned);
        let log = folder.join("platform.log");
        let started = ProcessHandle::start(&programs.rig, &arguments, &log);
        Some(started.map_err(with_context("platform"))?)
    } else {
        let listener = TcpListener::bind(address)
            .await
            .map_err(with_context("platform"))?;
        task::spawn(PlatformStandIn::new(PlatformKnobs::default()).serve(listener));
        None
    };
    wait_until_serving(address).await;
    Ok(FleetInstance { address, process })
}

async fn wait_until_serving(address: SocketAddr) {
    let what = format!("{address} serves");
    wait_until(&what, READY_TIMEOUT, || async {
        async_std::net::TcpStream::connect(address).await.is_ok()
    })
    .await;
}

async fn all_stages_ready(client: &OperatorClient, daemon: SocketAddr) -> bool {
    let status = client.status(daemon).await;
    status.is_ok_and(|status| {
        let ready = status
            .models
            .iter()
            .all(|model| model.ready == model.stages);
        ready && !status.models.is_empty()
    })
}

async fn send_knobs<T: Serialize>(address: SocketAddr, knobs: &T) -> Result<()> {
    let sent = admin_send(address, Method::Post, "/admin/knobs", knobs).await;
    sent.map_err(with_context("knobs"))
}
