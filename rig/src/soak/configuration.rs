//! The operator of a run: writes configurations to the store and records what they allow.

use crate::site::{SiteStore, sample_config};
use crate::soak::evidence::ConfigState;
use crate::soak::fault::ConfigAction;
use crate::soak::front::SECOND_SERVICE;
use crate::soak::shared::SoakShared;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Key that is always held.
pub const FIRST_KEY: &str = "key-1";
/// Key that is removed at times.
pub const SECOND_KEY: &str = "key-2";
/// Timeouts while they are longer, in milliseconds. Callers leave before, at their own deadline.
const LONGER_TIMEOUT_MS: u64 = 6_000;
/// Idle limit while it is longer, in milliseconds.
const LONGER_IDLE_MS: u64 = 30_000;

/// What is in force apart from the sample configuration.
#[derive(Debug, Default)]
pub struct ConfigWriter {
    version: u64,
    /// Faults of the configuration that last, with the number of the route that was added.
    active: Vec<(ConfigAction, u64)>,
}

impl ConfigWriter {
    /// Begins a change and writes the configuration.
    pub fn begin(&mut self, action: ConfigAction, store: &SiteStore, shared: &SoakShared) {
        self.active.push((action, self.version));
        if action == ConfigAction::AddRoute {
            shared.added_paths().push(added_prefix(self.version));
        }
        self.write(store, shared);
    }

    /// Ends a change and writes the configuration.
    pub fn end(&mut self, action: ConfigAction, store: &SiteStore, shared: &SoakShared) {
        let position = self.active.iter().position(|(active, _)| *active == action);
        if let Some(position) = position {
            self.active.remove(position);
        }
        self.write(store, shared);
    }

    fn has(&self, action: ConfigAction) -> bool {
        self.active.iter().any(|(active, _)| *active == action)
    }

    /// Writes the present configuration and records it once the store has acknowledged it.
    pub fn write(&mut self, store: &SiteStore, shared: &SoakShared) {
        self.version += 3;
        let config = self.build();
        let mut evidence = shared.evidence();
        store.put("op/config", &config);
        let state = ConfigState {
            acknowledged: shared.now(),
            ..read_state(&config)
        };
        evidence.configs.push(state);
    }

    fn build(&self) -> Value {
        let mut config = sample_config(self.version);
        let mut second = config["Services"][0].clone();
        second["Name"] = SECOND_SERVICE.into();
        push(&mut config["Services"], second);
        if !self.has(ConfigAction::RemoveKey) {
            push(&mut config["Tenants"][0]["ApiKeys"], SECOND_KEY.into());
        }
        if self.has(ConfigAction::LongerIdle) {
            config["Limits"]["IdleTimeoutMs"] = LONGER_IDLE_MS.into();
        }
        if self.has(ConfigAction::MoveRoute) {
            config["Routes"][0]["Service"] = SECOND_SERVICE.into();
        } else if self.has(ConfigAction::ShareRoute) {
            config["Routes"][0]["Service"] = Value::Null;
            config["Routes"][0]["Split"] = json!([
                {"Service": "shop", "Weight": 1}, {"Service": SECOND_SERVICE, "Weight": 1}
            ]);
        }
        for (action, number) in &self.active {
            if *action == ConfigAction::AddRoute {
                let mut route = config["Routes"][0].clone();
                route["Name"] = format!("extra-{number}").into();
                route["Prefix"] = added_prefix(*number).into();
                push(&mut config["Routes"], route);
            }
        }
        if self.has(ConfigAction::LongerTimeout) {
            for route in config["Routes"].as_array_mut().into_iter().flatten() {
                route["TimeoutMs"] = LONGER_TIMEOUT_MS.into();
            }
        }
        config
    }
}

fn added_prefix(number: u64) -> String {
    format!("/extra-{number}/")
}

fn push(list: &mut Value, entry: Value) {
    let list = list.as_array_mut().expect("the sample has this list");
    list.push(entry);
}

/// What a configuration allows.
fn read_state(config: &Value) -> ConfigState {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let rows = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let services = |route: &Value| -> BTreeSet<String> {
        let split = rows(&route["Split"]);
        let shares = split.iter().map(|share| text(&share["Service"]));
        let single = route["Service"].as_str().map(str::to_owned);
        shares.chain(single).collect()
    };
    let routes = rows(&config["Routes"]);
    let routes = routes
        .iter()
        .map(|route| (text(&route["Prefix"]), services(route)));
    let keys = rows(&config["Tenants"][0]["ApiKeys"]);
    ConfigState {
        routes: routes.collect(),
        keys: keys.iter().map(text).collect(),
        ..ConfigState::default()
    }
}

/// Writes the first configuration.
pub fn write_first(store: &SiteStore, shared: &Arc<SoakShared>) -> ConfigWriter {
    let mut writer = ConfigWriter::default();
    writer.write(store, shared);
    writer
}
