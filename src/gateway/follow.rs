//! Keeps the mirrors of the store's prefixes in sync and publishes their contents to the request
//! path.

use crate::feed::{
    ChangeSource, FollowNotice, FollowSpec, SnapshotSource, count_readers, follow_prefix,
};
use crate::gateway::crashes::apply_crash_change;
use crate::gateway::feeding::list_rest;
use crate::gateway::run::GatewayState;
use crate::gateway::targets::TargetNotice;
use crate::mirror::{ExpiryHold, MirrorChange, RemovalStep, StoreItem};
use crate::presence::{PRESENCE_PREFIX, PresenceRow, leader_key};
use crate::snapshots::fetch_snapshot;
use crate::targets::TargetView;
use crate::telemetry::EventLine;
use crate::units::MonoTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a watch waits for a change. A watch that hangs is noticed only after this time,
/// and changes by operators and leaving targets must be noticed within seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Watch timeout for the presence of daemons, whose addresses may be out of date for longer.
const PRESENCE_WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which changes of the target list are collected into one batch.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Time for which presence changes are collected into one batch.
const PRESENCE_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Number of daemons that read the store up to which the batch delays above apply. If more do, changes
/// are collected for longer, so that the total number of store calls grows more slowly.
const FEW_READERS: usize = 20;
/// Largest factor on the batch delays: a change that marks a server as leaving must be applied
/// within one second of the previous change.
const MAX_BATCH_FACTOR: f64 = 2.0;

fn follow_spec(state: &Arc<GatewayState>, prefix: &str, delay: Duration) -> FollowSpec {
    let context = Arc::clone(&state.context);
    FollowSpec {
        prefix: Arc::from(prefix),
        watch_timeout: WATCH_TIMEOUT,
        batch_delay: Arc::new(move || {
            let rows = context.presence.rows();
            batch_delay(delay, count_readers(rows.values()))
        }),
        inbox: Arc::clone(&state.inbox),
        rest: list_rest(state, prefix),
        clock: state.context.clock,
    }
}

/// Batch delay of one daemon when so many read the store.
fn batch_delay(delay: Duration, readers: usize) -> Duration {
    let factor = readers as f64 / FEW_READERS as f64;
    delay.mul_f64(factor.clamp(1.0, MAX_BATCH_FACTOR))
}

/// Fetches snapshots from the peers that sent a message recently, or else from the configured first
/// peers.
fn snapshot_source(state: &Arc<GatewayState>) -> SnapshotSource {
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

/// Follows the operators' configuration and puts new versions in force.
pub(super) async fn follow_config(state: Arc<GatewayState>) {
    let schema = state.ports.schema;
    let spec = follow_spec(&state, schema.config_prefix, Duration::ZERO);
    let mut contact = StoreContact::new("configuration");
    let adopt = |changes: &[MirrorChange]| {
        for change in changes {
            if let MirrorChange::Written(item) = change {
                adopt_config(&state, item);
            }
        }
    };
    let mirror = state.mirrors.mirror(&spec.prefix);
    let store = state.ports.store.clone();
    follow_prefix(
        store,
        spec,
        mirror,
        snapshot_source(&state),
        |notice| match notice {
            FollowNotice::Failed(cause) => contact.on_failure(&state, cause),
            FollowNotice::FeedFailed => pass_on_failure(&state),
            FollowNotice::Restored => {}
            FollowNotice::PeerSnapshot(changes) => {
                contact.on_snapshot(&state, changes);
                adopt(changes);
            }
            FollowNotice::Changed(_, changes, source) => {
                contact.on_changes(&state, source);
                adopt(changes);
            }
        },
    )
    .await;
}

fn adopt_config(state: &GatewayState, item: &StoreItem) {
    let context = &state.context;
    let line = EventLine::new("configuration").with("revision", u64::from(item.version.revision()));
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
    let by_priority = catalog.prioritized_services();
    let adopted = context.catalog.adopt(catalog);
    let outcome = if adopted { "in_force" } else { "older" };
    context.events.emit(
        line.with("version", version)
            .with("routes", routes)
            .with("by_priority", by_priority)
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

/// Follows the target list and publishes the targets.
pub(super) async fn follow_targets(state: Arc<GatewayState>) {
    let spec = follow_spec(&state, state.ports.schema.target_prefix, TARGET_BATCH_DELAY);
    let mut contact = StoreContact::new("targets");
    let mirror = state.mirrors.mirror(&spec.prefix);
    let store = state.ports.store.clone();
    follow_prefix(store, spec, mirror, snapshot_source(&state), |notice| {
        match notice {
            FollowNotice::Failed(cause) => {
                contact.on_failure(&state, cause);
                record_target_failure(&state);
            }
            FollowNotice::FeedFailed => {
                pass_on_failure(&state);
                record_target_failure(&state);
            }
            // Nothing is ordered until the servers have had time to write again.
            FollowNotice::Restored => state.record_target_sync(false),
            // The list does not count as in sync: the leader must not place orders by a snapshot, which
            // may be out of date.
            FollowNotice::PeerSnapshot(changes) => {
                contact.on_snapshot(&state, changes);
                apply_target_changes(&state, changes);
            }
            FollowNotice::Changed(_, changes, source) => {
                contact.on_changes(&state, source);
                apply_target_changes(&state, changes);
                state.record_target_sync(true);
            }
        }
    })
    .await;
}

/// Tells the followers of a daemon that stands by what its reader has told of the store.
fn pass_on_failure(state: &GatewayState) {
    if state.context.settings.store.save_calls {
        state.contact.on_failure();
    }
}

/// Records that the store does not answer: the list is out of sync, and entries may lapse.
fn record_target_failure(state: &GatewayState) {
    state.record_target_sync(false);
    state.with_targets(super::targets::TargetRegistry::on_failure);
}

fn apply_target_changes(state: &GatewayState, changes: &[MirrorChange]) {
    let notices = state.with_targets(|targets, now| targets.on_changes(changes, now));
    log_target_notices(state, notices);
    if !changes.is_empty() {
        publish_targets(state);
    }
    if changes.contains(&MirrorChange::Synced) {
        state.mark_targets_listed();
    }
}

pub(super) fn log_target_notices(state: &GatewayState, notices: Vec<TargetNotice>) {
    for notice in notices {
        let line = match notice {
            TargetNotice::Malformed(key, reason) => EventLine::new("target_malformed")
                .with_display("key", key)
                .with("reason", reason),
            TargetNotice::Gone(key) => EventLine::new("target_gone").with_display("key", key),
            TargetNotice::Held(key) => EventLine::new("target_held").with_display("key", key),
        };
        state.context.events.emit(line);
    }
}

/// Publishes the targets and the chains that they form.
pub(super) fn publish_targets(state: &GatewayState) {
    let context = &state.context;
    state.targets.publish(&context.targets, |entries| {
        let catalog = context.catalog.load();
        let view = TargetView::new(entries, catalog.as_deref());
        context.pool.sweep(|id| view.target(id).is_some());
        let known_state = &context.metrics.known_state;
        known_state
            .with_label_values(&["targets"])
            .set(gauge_value(view.targets().count()));
        known_state
            .with_label_values(&["chains"])
            .set(gauge_value(view.chain_count()));
        log_chains(state, &view);
        view
    });
    state.mark_ready();
}

/// Logs the chains of each failure domain if they have changed: their number, the token time of the
/// fastest chain in milliseconds, and the largest token capacity of a chain.
fn log_chains(state: &GatewayState, view: &TargetView) {
    let mut domains: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    for chain in view.all_chains() {
        let row = domains
            .entry(chain.domain.to_string())
            .or_insert((0, f64::INFINITY, 0.0));
        row.0 += 1;
        row.1 = row.1.min(chain.token_ms);
        row.2 = row.2.max(chain.token_capacity);
    }
    let describe = |(domain, (count, token_ms, capacity)): (&String, &(usize, f64, f64))| {
        format!("{domain}: {count} chains, {token_ms:.1} ms, {capacity:.0} tokens")
    };
    let text = domains.iter().map(describe).collect::<Vec<_>>().join("; ");
    if state.replace_logged("chains", &text) {
        state
            .context
            .events
            .emit(EventLine::new("chains").with("domains", text));
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Follows the presence of all daemons and the leader's key.
pub(super) async fn follow_presence(state: Arc<GatewayState>) {
    let spec = FollowSpec {
        watch_timeout: PRESENCE_WATCH_TIMEOUT,
        ..follow_spec(&state, PRESENCE_PREFIX, PRESENCE_BATCH_DELAY)
    };
    let mut contact = StoreContact::new("presence");
    let mut hold = ExpiryHold::default();
    let mirror = state.mirrors.mirror(&spec.prefix);
    let store = state.ports.store.clone();
    follow_prefix(store, spec, mirror, snapshot_source(&state), |notice| {
        let now = state.context.clock.now();
        match notice {
            FollowNotice::Failed(cause) => {
                contact.on_failure(&state, cause);
                hold.on_failure(now);
            }
            FollowNotice::FeedFailed => {
                pass_on_failure(&state);
                hold.on_failure(now);
            }
            FollowNotice::Restored => {}
            FollowNotice::PeerSnapshot(changes) => {
                contact.on_snapshot(&state, changes);
                let rows = apply_presence_changes(&state, changes, &mut hold);
                state.context.presence.publish(rows);
            }
            FollowNotice::Changed(mirror, changes, source) => {
                contact.on_changes(&state, source);
                hold.on_reply(now);
                let mut rows = apply_presence_changes(&state, changes, &mut hold);
                for key in hold.take_expired(now) {
                    rows.remove(&key);
                }
                let leader = mirror.items().find(|item| item.key == leader_key());
                state.session.observe_leader(leader);
                // A resting list may be from before the election: all daemons of a fleet that starts would
                // campaign by it. This daemon's own entry ends the watch after the rest.
                if leader.is_some() || !state.inbox.is_resting(PRESENCE_PREFIX) {
                    state.record_leader(leader.is_some());
                }
                if !rows.contains_key(&state.presence_key) {
                    state.session.mark_missing(mirror.version());
                }
                state.context.presence.publish(rows);
            }
        }
    })
    .await;
}

/// Returns the daemons known so far with `changes` applied.
fn apply_presence_changes(
    state: &GatewayState,
    changes: &[MirrorChange],
    hold: &mut ExpiryHold,
) -> BTreeMap<Arc<str>, PresenceRow> {
    let now = state.context.clock.now();
    let mut rows = (*state.context.presence.rows()).clone();
    for change in changes {
        apply_crash_change(&state.context, change);
        apply_presence_change(&mut rows, change, hold, now);
    }
    rows
}

fn apply_presence_change(
    rows: &mut BTreeMap<Arc<str>, PresenceRow>,
    change: &MirrorChange,
    hold: &mut ExpiryHold,
    now: MonoTime,
) {
    match change {
        MirrorChange::Written(item) => {
            hold.on_written(&item.key);
            if let Ok(row) = serde_json::from_slice::<PresenceRow>(&item.value) {
                rows.insert(Arc::clone(&item.key), row);
            }
        }
        MirrorChange::Removed(key) => {
            if rows.contains_key(key) && hold.on_removed(key) == RemovalStep::Remove {
                rows.remove(key);
            }
        }
        MirrorChange::Lost(key) => {
            if rows.contains_key(key) {
                hold.on_lost(key, now);
            }
        }
        MirrorChange::Synced => {}
    }
}

/// Logs when contact with the store is lost and regained, for one prefix.
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
        state.contact.on_failure();
        if !std::mem::replace(&mut self.lost, true) {
            let line = EventLine::new("store_lost").with("follows", self.prefix);
            state.context.events.emit(line.with_display("cause", cause));
        }
    }

    fn on_snapshot(&self, state: &GatewayState, changes: &[MirrorChange]) {
        let line = EventLine::new("copied_from_peer").with("follows", self.prefix);
        state
            .context
            .events
            .emit(line.with("changes", changes.len()));
    }

    fn on_changes(&mut self, state: &GatewayState, source: ChangeSource) {
        state.mirrors.notify_change();
        let outcome = match source {
            ChangeSource::Store => "answered",
            ChangeSource::Feed => "fed",
        };
        let calls = &state.context.metrics.store_calls;
        calls.with_label_values(&[self.prefix, outcome]).inc();
        if source == ChangeSource::Store {
            state.contact.on_reply(state.context.clock.now());
        }
        if std::mem::replace(&mut self.lost, false) {
            let line = EventLine::new("store_regained").with("follows", self.prefix);
            let is_fed = source == ChangeSource::Feed;
            state.context.events.emit(line.with("by_feed", is_fed));
        }
    }
}
