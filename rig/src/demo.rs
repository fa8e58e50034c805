//! The demo: stand-ins and three daemons in one program, a streamed answer that survives the loss
//! of a stage, and a comparison with the reference.

use crate::engine::{EngineKnobs, EngineStandIn};
use crate::fleet::{
    HEAD_OFFICE_TOKEN, OPERATOR_TOKEN, free_address, sample_declaration, wait_until,
};
use crate::oracle::reference_text;
use crate::platform::{PlatformKnobs, PlatformStandIn};
use crate::proxy::{FaultProxy, ProxyFaults};
use crate::site::{ModelKnobs, SiteFleet, SiteRequest, SiteSpec, send_site_request};
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

/// Result of the demo.
type Result<T> = std::result::Result<T, String>;

/// Number of daemons.
const DAEMONS: usize = 3;
/// Number of engines: two copies of the model on three stages each.
const ENGINES: usize = 6;
/// Tokens to generate.
const TOKENS: u32 = 120;
/// Tokens after which a stage is killed.
const KILL_AFTER: usize = 40;
/// Layers of the model.
const LAYERS: u32 = 24;
/// Accelerator memory of each engine, in bytes: a third of the model.
const ENGINE_BYTES: u64 = 8_000;
/// Sampling seed.
const SEED: u64 = 7;
/// Question asked.
const QUESTION: &str = "My coverall is torn at the elbow. What do I do?";
/// Longest wait for the fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Failure domains.
const DOMAINS: [&str; 3] = ["bangna", "lat-krabang", "rangsit"];

/// A fleet inside this program.
struct DemoFleet {
    platform: SocketAddr,
    daemons: Vec<SocketAddr>,
    engines: Vec<DemoEngine>,
}

/// An engine behind a proxy, through which it is cut off.
struct DemoEngine {
    name: String,
    engine: EngineStandIn,
    proxy: FaultProxy,
}

/// Prints what happens, with the time since the demo started.
struct DemoClock(Instant);

impl DemoClock {
    fn say(&self, what: &str) {
        println!("{:7.3} s  {what}", self.0.elapsed().as_secs_f64());
    }
}

/// Runs the demo.
///
/// # Errors
/// What went wrong, as text.
pub async fn run_demo() -> Result<()> {
    let clock = DemoClock(Instant::now());
    let fleet = DemoFleet::start().await?;
    clock.say(&format!(
        "{DAEMONS} daemons, {ENGINES} engines and the platform run on loopback"
    ));
    declare(&fleet, &clock).await?;
    let addresses = OperatorClient::new(HEAD_OFFICE_TOKEN)
        .addresses(fleet.daemons[0])
        .await;
    let addresses = addresses.map_err(|e| e.to_string())?;
    let daemon = addresses.addresses.first().ok_or("no address to use")?;
    clock.say(&format!(
        "team head-office is told to use {} addresses",
        addresses.addresses.len()
    ));
    let (text, finish) = ask(&fleet, daemon.address, &clock).await?;
    let reference = reference_text(("helpdesk", "v1", LAYERS), SEED, QUESTION, TOKENS);
    clock.say(&format!("the answer ended with finish reason `{finish}`"));
    if text != reference {
        return Err("the answer differs from the reference".to_owned());
    }
    clock.say("the answer is complete and equal to the reference");
    task::spawn_blocking(move || show_platform(&clock)).await
}

/// The same on the users' platform: a store, model servers, and a daemon that speaks its protocol.
fn show_platform(clock: &DemoClock) -> Result<()> {
    let site = SiteFleet::start(SiteSpec {
        plain_servers: 0,
        domains: 2,
        ..SiteSpec::default()
    });
    clock.say("a daemon on the users' platform has placed the layers of a model on four servers");
    let address = site.daemons[0].address;
    let call = SiteRequest::new("POST", "/stream/demo", "demo-1");
    let whole = send_site_request(address, &call).event_ids();
    let heads = site
        .model_servers
        .iter()
        .filter(|model| !model.runs().is_empty());
    for head in heads {
        head.set_knobs(ModelKnobs {
            reset_at_event: Some(7),
            ..ModelKnobs::default()
        });
    }
    let answer = send_site_request(address, &SiteRequest::new("POST", "/stream/demo", "demo-2"));
    if !answer.complete || answer.event_ids() != whole {
        return Err("the stream did not survive the loss of its chain".to_owned());
    }
    clock.say(&format!(
        "its chain was lost at event 7 of {}; the stream went on at another, longest pause {:?}",
        whole.len(),
        answer.longest_pause
    ));
    Ok(())
}

async fn declare(fleet: &DemoFleet, clock: &DemoClock) -> Result<()> {
    let client = OperatorClient::new(OPERATOR_TOKEN);
    let declaration = sample_declaration(2);
    let wanted = PlanRequest {
        author: Arc::from("demo"),
        declaration,
    };
    wait_until("the daemon sees the engines", READY_LIMIT, || async {
        client.plan(fleet.daemons[0], &wanted).await.is_ok()
    })
    .await;
    let plan = client
        .plan(fleet.daemons[0], &wanted)
        .await
        .map_err(|e| e.to_string())?;
    let bytes = plan.cost.weight_bytes;
    clock.say(&format!(
        "plan: {} changes, {bytes} bytes of weights to load",
        plan.changes.len()
    ));
    let reply = client
        .confirm(fleet.daemons[0], &plan)
        .await
        .map_err(|e| e.to_string())?;
    clock.say(&format!(
        "confirmed: revision {} is accepted",
        reply.revision
    ));
    wait_until("all stages are ready", READY_LIMIT, || async {
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
    clock.say("all daemons have it in force and all stages are loaded");
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
        max_tokens: Some(TOKENS),
        stream: true,
        seed: Some(SEED),
        ..ChatRequest::default()
    };
    let client = OperatorClient::new(HEAD_OFFICE_TOKEN);
    let mut text = String::new();
    let mut tokens = 0;
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    let finish = client
        .ask(daemon, &AskRequest { chat }, |piece| {
            tokens += 1;
            text.push_str(piece);
            if tokens > 1 {
                longest = longest.max(last.elapsed());
            }
            last = Instant::now();
            if tokens == 1 {
                clock.say("first token");
            }
            if tokens == KILL_AFTER {
                let killed = fleet.kill_busy_stage();
                clock.say(&format!(
                    "token {tokens}: killed {killed}, a middle stage of the chain"
                ));
            }
        })
        .await
        .map_err(|e| e.to_string())?;
    clock.say(&format!(
        "{tokens} tokens; longest gap between two {} ms",
        longest.as_millis()
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
        for index in 0..ENGINES {
            fleet.add_engine(index).await?;
        }
        for index in 0..DAEMONS {
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
        let listed = proxy.address();
        self.engines.push(DemoEngine {
            name: name.clone(),
            engine,
            proxy,
        });
        self.list(&name, index, listed, None, ENGINE_BYTES).await
    }

    /// Cuts off the engine that runs a middle stage of the answer; its name.
    fn kill_busy_stage(&self) -> String {
        let runs_middle = |member: &&DemoEngine| {
            let ledger = member.engine.ledger();
            ledger
                .last()
                .is_some_and(|entry| entry.layers.from > 0 && entry.layers.to < LAYERS)
        };
        let Some(member) = self.engines.iter().find(runs_middle) else {
            return "nothing".to_owned();
        };
        member.proxy.set_faults(ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        });
        member.proxy.close_connections();
        member.name.clone()
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
        self.list(&name, index, listen, Some(peer_listen), 0).await
    }

    async fn list(
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
