//! What faults do to the store and to servers.

use crate::proxy::ProxyFaults;
use crate::site::{ModelKnobs, PlainServer, StreamCut, plain_server_entry};
use crate::soak::evidence::{FaultSubject, NamedLimit, ServerDeparture};
use crate::soak::fault::{
    DaemonLink, FaultAction, ModelAction, SILENT_LINK, ServerAction, StoreAction,
};
use crate::soak::front::{SECOND_SERVERS, SECOND_SERVICE};
use crate::soak::play::FaultPlayer;
use std::sync::Arc;
use std::time::Duration;

/// Events of each stream.
pub const STREAM_EVENTS: u64 = 20;
/// Time before each event of a sound stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Time that a sound plain server works on a request.
pub const WORK_TIME: Duration = Duration::from_millis(25);
/// Rate limit that a server names.
const NAMED_RATE: f64 = 5.4;

impl FaultPlayer {
    pub(super) fn set_store_links(&self, faults: ProxyFaults) {
        for daemon in &self.daemons {
            daemon.link(DaemonLink::Store).set_faults(faults);
        }
    }

    pub(super) fn change_store(&self, action: StoreAction) {
        match action {
            StoreAction::Compact => self.site.store.compact(),
            StoreAction::EndLeases => self.site.store.expire_all_leases(),
            StoreAction::LapseEntries => {
                for server in &self.site.plain_servers {
                    self.site.store.remove(&format!("servers/{}", server.id()));
                }
            }
        }
    }

    /// Lists the plain servers again that run and are not leaving.
    pub(super) fn list_servers(&self) {
        for server in &self.site.plain_servers {
            let is_leaving = self.active.iter().any(|fault| {
                fault.row.action == FaultAction::Server(ServerAction::Leave)
                    && fault.subject == FaultSubject::Server(Arc::from(server.id()))
            });
            if !is_leaving && self.site.crashes.is_live(server.address()) {
                self.list(server, "ready");
            }
        }
    }

    fn list(&self, server: &PlainServer, state: &str) {
        let entry = plain_server_entry(server, state);
        self.site
            .store
            .put(&format!("servers/{}", server.id()), &entry);
    }

    pub(super) fn plain(&self, id: &str) -> &PlainServer {
        let mut servers = self.site.plain_servers.iter();
        let server = servers.find(|server| server.id() == id);
        server.expect("plain servers are never removed")
    }

    pub(super) fn set_knobs(&self, id: &str, knobs: ModelKnobs) {
        let mut servers = self.site.model_servers.iter();
        let server = servers.find(|server| server.id() == id);
        server
            .expect("model servers are never removed")
            .set_knobs(knobs);
    }

    pub(super) fn set_all_knobs(&self, knobs: &ModelKnobs) {
        for server in &self.site.model_servers {
            server.set_knobs(knobs.clone());
        }
    }

    pub(super) fn strike(&mut self, action: ServerAction, id: &Arc<str>) {
        let server = self.plain(id).clone();
        let front = self.fronts.proxy(server.address());
        match (action, front) {
            (ServerAction::Crash, _) => self.site.crashes.crash(server.address(), ""),
            (ServerAction::CrashKeepingId, _) => {
                self.site.crashes.keep_ids();
                self.site.crashes.crash(server.address(), "");
                self.site.crashes.renew_ids();
            }
            (ServerAction::Dark, Some(front)) => front.set_faults(SILENT_LINK),
            (ServerAction::ResetConnections, Some(front)) => front.reset_connections(),
            (ServerAction::Work(millis), _) => {
                server.set_work_time(Duration::from_millis(millis));
            }
            (ServerAction::NameLimit, _) => self.name_limit(&server),
            (ServerAction::Leave, _) => {
                self.list(&server, "draining");
                let departure = ServerDeparture {
                    server: Arc::clone(id),
                    acknowledged: self.shared.now(),
                    until: None,
                };
                self.shared.evidence().departures.push(departure);
            }
            (ServerAction::SayLeaving, _) => server.notices().set_leaving(true),
            (ServerAction::Rest(text), _) => server.notices().set_rest(Some(text)),
            (ServerAction::ReuseAddress, _) => {
                let mut entry = plain_server_entry(&server, "ready");
                let is_second = SECOND_SERVERS.contains(&&**id);
                entry["Service"] = (if is_second { "shop" } else { SECOND_SERVICE }).into();
                self.site.store.put(&format!("servers/gone-{id}"), &entry);
            }
            (ServerAction::Dark | ServerAction::ResetConnections, None) => {}
        }
    }

    fn name_limit(&self, server: &PlainServer) {
        server.limits().set_limit(Some(&NAMED_RATE.to_string()));
        let limit = NamedLimit {
            server: Arc::from(server.id()),
            rate: NAMED_RATE,
            named: self.shared.now(),
            until: None,
        };
        self.shared.evidence().limits.push(limit);
    }

    pub(super) fn heal(&mut self, action: ServerAction, id: &Arc<str>) {
        let server = self.plain(id).clone();
        match action {
            ServerAction::Dark => {
                if let Some(front) = self.fronts.proxy(server.address()) {
                    front.set_faults(ProxyFaults::default());
                }
            }
            ServerAction::Work(_) => server.set_work_time(WORK_TIME),
            ServerAction::NameLimit => {
                server.limits().set_limit(None);
                let now = self.shared.now();
                for limit in &mut self.shared.evidence().limits {
                    if limit.server == *id {
                        limit.until.get_or_insert(now);
                    }
                }
            }
            ServerAction::Leave => {
                let now = self.shared.now();
                for departure in &mut self.shared.evidence().departures {
                    if departure.server == *id {
                        departure.until.get_or_insert(now);
                    }
                }
                self.list(&server, "ready");
            }
            ServerAction::SayLeaving => {
                server.notices().set_leaving(false);
                self.site.crashes.crash(server.address(), "");
            }
            ServerAction::Rest(_) => server.notices().set_rest(None),
            ServerAction::ReuseAddress => {
                self.site.store.remove(&format!("servers/gone-{id}"));
            }
            ServerAction::Crash | ServerAction::CrashKeepingId | ServerAction::ResetConnections => {
            }
        }
    }
}

/// Streams of a sound server.
pub(super) fn sound_knobs() -> ModelKnobs {
    ModelKnobs {
        events: STREAM_EVENTS,
        event_gap: EVENT_GAP,
        ..ModelKnobs::default()
    }
}

pub(super) fn struck_knobs(action: ModelAction, rng: &mut fastrand::Rng) -> ModelKnobs {
    let knobs = sound_knobs();
    let event = rng.u64(1..STREAM_EVENTS);
    match action {
        ModelAction::PauseFirst(millis) => ModelKnobs {
            pause_at_event: Some((0, Duration::from_millis(millis))),
            ..knobs
        },
        ModelAction::Pause(millis) => ModelKnobs {
            pause_at_event: Some((event, Duration::from_millis(millis))),
            ..knobs
        },
        ModelAction::Hang => ModelKnobs {
            hang_at_event: Some(event),
            ..knobs
        },
        ModelAction::Reset => ModelKnobs {
            cuts: vec![StreamCut::reset_at(event)],
            ..knobs
        },
        ModelAction::Gap(millis) => ModelKnobs {
            event_gap: Duration::from_millis(millis),
            ..knobs
        },
    }
}
