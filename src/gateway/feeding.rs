//! Which daemon's feed this one follows, and which feeds it serves.

use crate::feed::{
    FeedSource, LIST_REST, PRESENCE_REST, ReadingRole, RestSpec, SubscriberPorts, reading_role,
    saving_role, serve_copies, subscribe_feeds,
};
use crate::gateway::run::GatewayState;
use crate::presence::PRESENCE_PREFIX;
use std::sync::Arc;

impl GatewayState {
    /// How this daemon learns of changes of the store. A leader reads the store itself, as its orders
    /// depend on it.
    pub fn reading_role(&self) -> ReadingRole {
        if self.leads(self.context.clock.now()) {
            return ReadingRole::Reader;
        }
        let settings = &self.context.settings;
        let (instance, domain) = (&settings.instance, &settings.failure_domain);
        let rows = self.context.presence.rows();
        if !settings.store.save_calls {
            return reading_role(rows.values(), instance, domain);
        }
        // The daemon knows that it is listed before it has read so.
        let is_present = self.session.is_present_in(self.ports.store.era.current());
        let is_own_missing = is_present && !rows.contains_key(&self.presence_key);
        let own = is_own_missing.then(|| self.session.row());
        saving_role(rows.values().chain(own), instance, domain)
    }
}

/// Rest of a prefix after its first list, where the settings ask for few calls.
pub(super) fn list_rest(state: &Arc<GatewayState>, prefix: &str) -> Option<RestSpec> {
    if !state.context.settings.store.save_calls {
        return None;
    }
    let is_presence = prefix == PRESENCE_PREFIX;
    let resting = Arc::clone(state);
    let may_rest = move || {
        // Who reads the store is known once the presence of the others has been read again.
        let is_undecided = is_presence || resting.inbox.is_resting(PRESENCE_PREFIX);
        let leads = resting.leads(resting.context.clock.now());
        !leads && (is_undecided || resting.reading_role() != ReadingRole::Reader)
    };
    Some(RestSpec {
        limit: if is_presence {
            PRESENCE_REST
        } else {
            LIST_REST
        },
        may_rest: Arc::new(may_rest),
    })
}

/// Serves feeds and snapshots to other daemons. Never returns unless the address cannot be bound.
pub(super) async fn share_copies(state: Arc<GatewayState>) {
    let settings = &state.context.settings;
    let listen = settings.listen.peers;
    let (reading, listed) = (Arc::clone(&state), Arc::clone(&state));
    let source = FeedSource {
        mirrors: state.mirrors.clone(),
        contact: Arc::clone(&state.contact),
        upstream: settings.store.save_calls.then(|| Arc::clone(&state.inbox)),
        clock: state.context.clock,
        role: Arc::new(move || reading.reading_role()),
        is_listed: Arc::new(move |request| {
            let presence = &listed.context.presence;
            presence.knows_run(&request.sender, &request.token)
        }),
        packed: Arc::default(),
        served: Arc::default(),
    };
    if let Err(cause) = serve_copies(listen, source).await {
        log::error!("cannot serve snapshots on {listen}: {cause}");
    }
}

/// Follows the feeds of other daemons. Never returns.
pub(super) async fn follow_feeds(state: Arc<GatewayState>) {
    let deciding = Arc::clone(&state);
    let ports = SubscriberPorts {
        clock: state.context.clock,
        mirrors: state.mirrors.clone(),
        contact: Arc::clone(&state.contact),
        inbox: Arc::clone(&state.inbox),
        identity: (
            state.context.settings.instance.clone(),
            Arc::clone(&state.context.relay_token),
        ),
        role: Arc::new(move || deciding.reading_role()),
        keeps_ended: state.context.settings.store.save_calls,
        events: state.context.events.clone(),
        counts: state.context.metrics.feeds.clone(),
    };
    subscribe_feeds(ports).await;
}
