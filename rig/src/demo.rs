//! The demo: stand-ins and three daemons in one program. A streamed answer survives the loss of a
//! stage and is compared with the reference.

use crate::engine::{EngineKnobs, EngineStandIn};
use crate::fleet::{
    HEAD_OFFICE_TOKEN, OPERATOR_TOKEN, free_address, sample_declaration, wait_until,
};
use crate::oracle::reference_text;
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::proxy::{FaultProxy, ProxyFaults};
use crate::site::{ModelKnobs, SiteFleet, SiteRequest, SiteSpec, StreamCut, send_site_request};
use crate::web::admin_send;
use arbutusmount::{
    AskRequest, ChatMessage, ChatRequest, DaemonSettings, InstanceRole, InstanceRow, InstanceState,
    OperatorClient, PlanRequest, digest_token, start_daemon,
};
use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Result of the demo; the error is a text for the operator.
type Result<T> = std::result::Result<T, String>;

/// Number of daemons.
const DAEMON_COUNT: usize = 3;
/// Number of engines: two replicas of the model on three stages each.
const ENGINE_COUNT: usize = 6;
/// Number of tokens to generate.
const MAX_TOKENS: u32 = 120;
/// Number of tokens after which a stage is cut off.
const TOKENS_BEFORE_CUT: usize = 40;
/// Number of layers of the model.
const MODEL_LAYERS: u32 = 24;
/// Accelerator memory of each engine in bytes: enough for a third of the model.
const ENGINE_BYTES: u64 = 8_000;
/// Sampling seed.
const SEED: u64 = 7;
/// Prompt.
const QUESTION: &str = "My coverall is torn at the elbow. What do I do?";
/// Longest wait for the fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Failure domains.
const DOMAINS: [&str; 3] = ["bangna", "lat-krabang", "rangsit"];

/// Platform, engines and daemons, which run in this program.
struct DemoFleet {
    platform: SocketAddr,
    daemons: Vec<SocketAddr>,
    engines: Vec<DemoEngine>,
}

/// An engine behind a proxy that can cut it off.
struct DemoEngine {
    name: String,
    engine: EngineStandIn,
    proxy: FaultProxy,
}

/// Prints each step with the time since the start of the demo.
struct DemoClock(Instant);

impl DemoClock {
    fn log(&self, step: &str) {
        println!("{:7.3} s  {step}", self.0.elapsed().as_secs_f64());
    }
}

/// Runs the demo and prints its steps.
///
/// # Errors
/// When a part does not start or an answer differs from the expected one; the cause as text.
pub async fn run_demo() -> Result<()> {
    let clock = DemoClock(Instant::now());
    let fleet = DemoFleet::start().await?;
    clock.log(&format!(
        "{DAEMON_COUNT} daemons, {ENGINE_COUNT} engines and the platform run on loopback"
    ));
    declare(&fleet, &clock).await?;
    let addresses = OperatorClient::new(HEAD_OFFICE_TOKEN)
        .addresses(fleet.daemons[0])
        .await;
    let addresses = addresses.map_err(|e| e.to_string())?;
    let daemon = addresses
        .addresses
        .first()
        .ok_or("the daemon returned no addresses")?;
    clock.log(&format!(
        "team head-office has received {} daemon addresses",
        addresses.addresses.len()
    ));
    let (text, finish) = ask(&fleet, daemon.address, &clock).await?;
    let reference = reference_text(("helpdesk", "v1", MODEL_LAYERS), SEED, QUESTION, MAX_TOKENS);
    clock.log(&format!("the answer ended with finish reason `{finish}`"));
    if text != reference {
        return Err("the answer differs from the reference".to_owned());
    }
    clock.log("the answer is complete and equal to the reference");
    task::spawn_blocking(move || run_site_demo(&clock)).await
}

/// Shows the same on the users' platform: a metadata store, model servers and a daemon that speaks
/// its protocol.
fn run_site_demo(clock: &DemoClock) -> Result<()> {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 0,
        domains: 2,
        ..SiteSpec::default()
    });
    clock.log("a daemon on the users' platform has placed the layers of a model on four servers");
    let address = site.daemons[0].address;
    let call = SiteRequest::new("POST", "/stream/demo", "demo-1");
    let expected_ids = send_site_request(address, &call).event_ids();
    let busy_servers = site
        .model_servers
        .iter()
        .filter(|server| !server.runs().is_empty());
    for server in busy_servers {
        server.set_knobs(ModelKnobs {
            cuts: vec![StreamCut::reset_at(7)],
            ..ModelKnobs::default()
        });
    }
    let response = send_site_request(address, &SiteRequest::new("POST", "/stream/demo", "demo-2"));
    if !response.complete || response.event_ids() != expected_ids {
        return Err("the stream is incomplete after the loss of its chain".to_owned());
    }
    clock.log(&format!(
        "the chain was lost at event 7 of {}; another chain resumed the stream, longest pause {:?}",
        expected_ids.len(),
        response.longest_pause
    ));
    Ok(())
}

async fn declare(fleet: &DemoFleet, clock: &DemoClock) -> Result<()> {
    let client = OperatorClient::new(OPERATOR_TOKEN);
    let declaration = sample_declaration(2);
    let request = PlanRequest {
        author: Arc::from("demo"),
        declaration,
    };
    wait_until(
        "the daemon to plan with the engines",
        READY_TIMEOUT,
        || async { client.plan(fleet.daemons[0], &request).await.is_ok() },
    )
    .await;
    let plan = client
        .plan(fleet.daemons[0], &request)
        .await
        .map_err(|e| e.to_string())?;
    let bytes = plan.cost.weight_bytes;
    clock.log(&format!(
        "plan: {} changes, {bytes} bytes of weights to load",
        plan.changes.len()
    ));
    let reply = client
        .confirm(fleet.daemons[0], &plan)
        .await
        .map_err(|e| e.to_string())?;
    clock.log(&format!(
        "confirmed: revision {} is accepted",
        reply.revision
    ));
    wait_until("all stages to be ready", READY_TIMEOUT, || async {
        for daemon in &fleet.daemons {
            let Ok(status) = client.status(*daemon).await else {
                return false;
            };
            let ready = status
                .models
                .iter()
                .all(|model| model.ready == model.stages);
            if status.models.is_empty() || !ready {
                return false;
            }
        }
        true
    })
    .await;
    clock.log("the revision is in force on all daemons and all stages are loaded");
    Ok(())
}

async fn ask(fleet: &DemoFleet, daemon: SocketAddr, clock: &DemoClock) -> Result<(String, String)> {
    let message = ChatMessage {
        role: Arc::from("user"),
        content: Arc::from(QUESTION),
    };
    let chat = ChatRequest {
        model: "helpdesk".to_owned(),
        messages: vec![message],
        max_tokens: Some(MAX_TOKENS),
        stream: true,
        seed: Some(SEED),
        ..ChatRequest::default()
    };
    let client = OperatorClient::new(HEAD_OFFICE_TOKEN);
    let mut text = String::new();
    let mut tokens = 0;
    let mut last_token = Instant::now();
    let mut longest_gap = Duration::ZERO;
    let finish = client
        .ask(daemon, &AskRequest { chat }, |piece| {
            tokens += 1;
            text.push_str(piece);
            if tokens > 1 {
                longest_gap = longest_gap.max(last_token.elapsed());
            }
            last_token = Instant::now();
            if tokens == 1 {
                clock.log("first token");
            }
            if tokens == TOKENS_BEFORE_CUT {
                let name = fleet.cut_off_busy_stage();
                clock.log(&format!(
                    "token {tokens}: cut off {name}, a middle stage of the chain"
                ));
            }
        })
        .await
        .map_err(|e| e.to_string())?;
    clock.log(&format!(
        "{tokens} tokens; longest gap between two tokens {} ms",
        longest_gap.as_millis()
    ));
    Ok((text, finish))
}

impl DemoFleet {
    async fn start() -> Result<Self> {
        let platform = free_address();
        let listener = TcpListener::bind(platform)
            .await
            .map_err(|e| e.to_string())?;
        task::spawn(PlatformStandIn::new(PlatformKnobs::default()).serve(listener));
        let mut fleet = Self {
            platform,
            daemons: Vec::new(),
            engines: Vec::new(),
        };
        for index in 0..ENGINE_COUNT {
            fleet.add_engine(index).await?;
        }
        for index in 0..DAEMON_COUNT {
            fleet.add_daemon(index).await?;
        }
        Ok(fleet)
    }

    async fn add_engine(&mut self, index: usize) -> Result<()> {
        let address = free_address();
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| e.to_string())?;
        let name = format!("engine-{index}");
        let instance = name.parse().map_err(|e| format!("{e}"))?;
        let knobs = EngineKnobs {
            layer_micros: 500,
            ..EngineKnobs::default()
        };
        let engine = EngineStandIn::new(instance, Some(self.platform), knobs);
        let serving = engine.clone();
        task::spawn(async move {
            if let Err(cause) = serving.serve(listener).await {
                eprintln!("engine stand-in: {cause}");
            }
        });
        let proxy = FaultProxy::start(free_address(), address)
            .await
            .map_err(|e| e.to_string())?;
        let proxy_address = proxy.address();
        self.engines.push(DemoEngine {
            name: name.clone(),
            engine,
            proxy,
        });
        self.register_instance(&name, index, proxy_address, None, ENGINE_BYTES)
            .await
    }

    /// Cuts off the engine that runs a middle stage of the answer and returns its name.
    fn cut_off_busy_stage(&self) -> String {
        let runs_middle = |candidate: &&DemoEngine| {
            let ledger = candidate.engine.ledger();
            ledger
                .last()
                .is_some_and(|entry| entry.layers.from > 0 && entry.layers.to < MODEL_LAYERS)
        };
        let Some(cut) = self.engines.iter().find(runs_middle) else {
            return "nothing".to_owned();
        };
        cut.proxy.set_faults(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        cut.proxy.close_connections();
        cut.name.clone()
    }

    async fn add_daemon(&mut self, index: usize) -> Result<()> {
        let (listen, peer_listen) = (free_address(), free_address());
        let name = format!("router-{index}");
        let settings = serde_json::json!({
            "instance": name,
            "failure_domain": DOMAINS[index % DOMAINS.len()],
            "listen": listen,
            "peer_listen": peer_listen,
            "platform": { "store": self.platform, "instances": self.platform },
            "peer_key": "demo",
            "operator_token_sha256": digest_token(OPERATOR_TOKEN).to_string(),
        });
        let settings =
            DaemonSettings::parse(&settings.to_string()).map_err(|errors| format!("{errors:?}"))?;
        start_daemon(settings).await.map_err(|e| e.to_string())?;
        self.daemons.push(listen);
        self.register_instance(&name, index, listen, Some(peer_listen), 0)
            .await
    }

    async fn register_instance(
        &self,
        name: &str,
        index: usize,
        address: SocketAddr,
        peer_address: Option<SocketAddr>,
        memory_bytes: u64,
    ) -> Result<()> {
        let role = if peer_address.is_some() {
            InstanceRole::Router
        } else {
            InstanceRole::Engine
        };
        let row = InstanceRow {
            instance: name.parse().map_err(|e| format!("{e}"))?,
            address,
            peer_address,
            role,
            failure_domain: DOMAINS[index % DOMAINS.len()]
                .parse()
                .map_err(|e| format!("{e}"))?,
            state: InstanceState::Live,
            memory_bytes,
            service: None,
        };
        let sent = admin_send(self.platform, Method::Put, "/admin/instances", &row).await;
        sent.map_err(|e| e.to_string())
    }
}
