//! Follows the store's prefixes and publishes what they say.

use crate::gateway::run::GatewayState;
use crate::gateway::targets::TargetNote;
use crate::mirror::{
    CopySource, ExpiryHold, FollowNotice, FollowSpec, MirrorChange, RemovalStep, StoreItem,
    follow_prefix,
};
use crate::presence::{PRESENCE_PREFIX, PresenceRow, leader_key};
use crate::snapshots::fetch_snapshot;
use crate::targets::TargetView;
use crate::telemetry::EventLine;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time that a watch waits for a change. A call that hangs is noticed after it, and operators' changes
/// and leaving targets must be noticed within seconds.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The same for the daemons, whose addresses may be out of date for longer.
const PRESENCE_WAIT: Duration = Duration::from_secs(15);
/// Time for which changes of the list of targets are gathered.
const GATHER_TARGETS: Duration = Duration::from_millis(250);
/// Time for which changes of the daemons are gathered.
const GATHER_PRESENCE: Duration = Duration::from_millis(400);

/// Daemons up to which changes are gathered for the times above; more of them gather for longer, so that
/// the calls of all grow more slowly than the fleet.
const SMALL_FLEET: usize = 20;
/// Largest factor on the times above: news of a server that leaves is to be known within a second of
/// the last news.
const LONGEST_GATHER: f64 = 2.0;

fn spec(state: &Arc<GatewayState>, prefix: &str, gather: Duration) -> FollowSpec {
    let context = Arc::clone(&state.context);
    FollowSpec {
        prefix: Arc::from(prefix),
        wait: WATCH_WAIT,
        gather: Arc::new(move || gather_time(gather, context.presence.rows().len())),
    }
}

/// Time for which a daemon of a fleet of this size gathers changes.
fn gather_time(small: Duration, daemons: usize) -> Duration {
    let factor = daemons as f64 / SMALL_FLEET as f64;
    small.mul_f64(factor.clamp(1.0, LONGEST_GATHER))
}

/// Asks the daemons heard lately, or else the first peers, for their copy.
fn copy_source(state: &Arc<GatewayState>) -> CopySource {
    let state = Arc::clone(state);
    Arc::new(move |prefix| {
        let context = Arc::clone(&state.context);
        Box::pin(async move {
            let mut peers = context.recent_peers.addresses();
            if peers.is_empty() {
                peers.clone_from(&context.settings.first_peers);
                peers.retain(|peer| *peer != context.settings.listen.peers);
            }
            fetch_snapshot(&peers, &prefix).await
        })
    })
}

/// Follows the operators' configuration.
pub(super) async fn follow_config(state: Arc<GatewayState>) {
    let fleet = state.ports.schema;
    let follow = spec(&state, fleet.config_prefix, Duration::ZERO);
    let mut contact = StoreContact::new("configuration");
    let adopt = |changes: &[MirrorChange]| {
        for change in changes {
            if let MirrorChange::Written(item) = change {
                adopt_config(&state, item);
            }
        }
    };
    let mirror = state.shelf.mirror(&follow.prefix);
    let store = state.ports.store.clone();
    follow_prefix(
        store,
        follow,
        mirror,
        copy_source(&state),
        |notice| match notice {
            FollowNotice::Failed(cause) => contact.on_failure(&state, cause),
            FollowNotice::Copied(changes) => {
                contact.on_copy(&state, changes);
                adopt(changes);
            }
            FollowNotice::Changed(_, changes) => {
                contact.on_answer(&state);
                adopt(changes);
            }
        },
    )
    .await;
}

fn adopt_config(state: &GatewayState, item: &StoreItem) {
    let context = &state.context;
    let line = EventLine::new("configuration").with("revision", item.revision);
    let catalog = match (state.ports.schema.read_catalog)(&item.value) {
        Ok(catalog) => catalog,
        Err(reason) => {
            context
                .events
                .emit(line.with("outcome", "unusable").with("reason", reason));
            return;
        }
    };
    let version = catalog.version;
    let routes = catalog.route_count();
    let adopted = context.catalog.adopt(catalog);
    let outcome = if adopted { "in_force" } else { "older" };
    context.events.emit(
        line.with("version", version)
            .with("routes", routes)
            .with("outcome", outcome),
    );
    if adopted {
        context
            .metrics
            .known_state
            .with_label_values(&["configuration"])
            .set(version.cast_signed());
        publish_targets(state);
    }
}

/// Follows the list of targets.
pub(super) async fn follow_targets(state: Arc<GatewayState>) {
    let follow = spec(&state, state.ports.schema.target_prefix, GATHER_TARGETS);
    let mut contact = StoreContact::new("targets");
    let mirror = state.shelf.mirror(&follow.prefix);
    let store = state.ports.store.clone();
    follow_prefix(store, follow, mirror, copy_source(&state), |notice| {
        match notice {
            FollowNotice::Failed(cause) => {
                contact.on_failure(&state, cause);
                state.note_followed(false);
                state.with_targets(super::targets::TargetRegistry::on_failure);
            }
            // The leader orders nothing by a copy: the list counts as not followed.
            FollowNotice::Copied(changes) => {
                contact.on_copy(&state, changes);
                take_targets(&state, changes);
            }
            FollowNotice::Changed(_, changes) => {
                contact.on_answer(&state);
                take_targets(&state, changes);
                state.note_followed(true);
            }
        }
    })
    .await;
}

fn take_targets(state: &GatewayState, changes: &[MirrorChange]) {
    let notes = state.with_targets(|targets, now| targets.on_changes(changes, now));
    report_notes(state, notes);
    if !changes.is_empty() {
        publish_targets(state);
    }
    if changes.contains(&MirrorChange::Synced) {
        state.mark_listed();
    }
}

pub(super) fn report_notes(state: &GatewayState, notes: Vec<TargetNote>) {
    for note in notes {
        let line = match note {
            TargetNote::Malformed(key, reason) => EventLine::new("target_malformed")
                .show("key", key)
                .with("reason", reason),
            TargetNote::Gone(key) => EventLine::new("target_gone").show("key", key),
            TargetNote::Held(key) => EventLine::new("target_held").show("key", key),
        };
        state.context.events.emit(line);
    }
}

/// Publishes the targets and the chains that they form.
pub(super) fn publish_targets(state: &GatewayState) {
    let context = &state.context;
    let entries = state.with_targets(|targets, _now| targets.entries());
    let catalog = context.catalog.load();
    let view = TargetView::new(entries, catalog.as_deref());
    context.pool.sweep(|id| view.target(id).is_some());
    let beliefs = &context.metrics.known_state;
    beliefs
        .with_label_values(&["targets"])
        .set(gauge_value(view.targets().count()));
    beliefs
        .with_label_values(&["chains"])
        .set(gauge_value(view.chain_count()));
    report_chains(state, &view);
    context.targets.publish(view);
    state.mark_ready();
}

/// Logs the chains of each failure domain when they have changed: how many there are, the time of a
/// token through the fastest, and the most tokens that one has room for.
fn report_chains(state: &GatewayState, view: &TargetView) {
    let mut domains: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    for chain in view.all_chains() {
        let row = domains
            .entry(chain.domain.to_string())
            .or_insert((0, f64::INFINITY, 0.0));
        row.0 += 1;
        row.1 = row.1.min(chain.token_ms);
        row.2 = row.2.max(chain.token_capacity);
    }
    let describe = |(domain, (count, token_ms, room)): (&String, &(usize, f64, f64))| {
        format!("{domain}: {count} chains, {token_ms:.1} ms, {room:.0} tokens")
    };
    let text = domains.iter().map(describe).collect::<Vec<_>>().join("; ");
    if state.is_new_belief("chains", &text) {
        state
            .context
            .events
            .emit(EventLine::new("chains").with("domains", text));
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Follows the daemons and the leader's key.
pub(super) async fn follow_presence(state: Arc<GatewayState>) {
    let follow = FollowSpec {
        wait: PRESENCE_WAIT,
        ..spec(&state, PRESENCE_PREFIX, GATHER_PRESENCE)
    };
    let mut contact = StoreContact::new("presence");
    let mut lapses = ExpiryHold::default();
    let shared = state.shelf.mirror(&follow.prefix);
    let store = state.ports.store.clone();
    follow_prefix(store, follow, shared, copy_source(&state), |notice| {
        let now = state.context.clock.now();
        match notice {
            FollowNotice::Failed(cause) => {
                contact.on_failure(&state, cause);
                lapses.on_failure(now);
            }
            FollowNotice::Copied(changes) => {
                contact.on_copy(&state, changes);
                let rows = changed_presence(&state, changes, &mut lapses);
                state.context.presence.publish(rows);
            }
            FollowNotice::Changed(mirror, changes) => {
                contact.on_answer(&state);
                lapses.on_answer(now);
                let mut rows = changed_presence(&state, changes, &mut lapses);
                for key in lapses.take_expired(now) {
                    rows.remove(&key);
                }
                let leader = mirror.items().find(|item| item.key == leader_key());
                let holder = leader.map(|item| &*item.value);
                state
                    .keeper
                    .observe_leader(holder, leader.map_or(0, |item| item.create_revision));
                state.note_leader(leader.is_some());
                if !rows.contains_key(&state.presence_key) {
                    state.keeper.mark_missing();
                }
                state.context.presence.publish(rows);
            }
        }
    })
    .await;
}

/// The daemons with changes taken in.
fn changed_presence(
    state: &GatewayState,
    changes: &[MirrorChange],
    lapses: &mut ExpiryHold,
) -> BTreeMap<Arc<str>, PresenceRow> {
    let mut rows = (*state.context.presence.rows()).clone();
    for change in changes {
        apply_presence(&mut rows, change, lapses);
    }
    rows
}

fn apply_presence(
    rows: &mut BTreeMap<Arc<str>, PresenceRow>,
    change: &MirrorChange,
    lapses: &mut ExpiryHold,
) {
    match change {
        MirrorChange::Written(item) => {
            lapses.on_written(&item.key);
            if let Ok(row) = serde_json::from_slice::<PresenceRow>(&item.value) {
                rows.insert(Arc::clone(&item.key), row);
            }
        }
        MirrorChange::Removed(key) => {
            if rows.contains_key(key) && lapses.on_removed(key) == RemovalStep::Remove {
                rows.remove(key);
            }
        }
        MirrorChange::Synced => {}
    }
}

/// Logs when the store is lost and regained, for one prefix.
struct StoreContact {
    prefix: &'static str,
    lost: bool,
}

impl StoreContact {
    fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            lost: false,
        }
    }

    fn on_failure(&mut self, state: &GatewayState, cause: &crate::mirror::PortError) {
        state
            .context
            .metrics
            .store_calls
            .with_label_values(&[self.prefix, "failed"])
            .inc();
        if !std::mem::replace(&mut self.lost, true) {
            let line = EventLine::new("store_lost").with("follows", self.prefix);
            state.context.events.emit(line.show("cause", cause));
        }
    }

    fn on_copy(&self, state: &GatewayState, changes: &[MirrorChange]) {
        let line = EventLine::new("copied_from_peer").with("follows", self.prefix);
        state
            .context
            .events
            .emit(line.with("changes", changes.len()));
    }

    fn on_answer(&mut self, state: &GatewayState) {
        state
            .context
            .metrics
            .store_calls
            .with_label_values(&[self.prefix, "answered"])
            .inc();
        if std::mem::replace(&mut self.lost, false) {
            let line = EventLine::new("store_regained").with("follows", self.prefix);
            state.context.events.emit(line);
        }
    }
}
