//! Plug-in that adopts the configuration held in the store.
//!
//! A few daemons watch the store; the others receive the configuration by gossip from their peers.
//! They read the store themselves only when no daemon has reported a recent read.

use crate::config::backoff::{BackoffLimits, RetryBackoff};
use crate::config::metrics::register_config_metrics;
use crate::config::sections::{BundleError, ConfigBundle, SectionDigest, read_head};
use crate::config::state::{OfferOutcome, StoreStep};
use crate::config::store_duty::{RouterCandidate, StoreDuty, rank_routers, store_duty};
use crate::config::{ConfigHead, gossip};
use crate::ids::ConfigRevision;
use crate::instances::InstanceRole;
use crate::kernel::{KernelContext, PluginEntry, PluginError, PluginHost, TimerSpec};
use crate::store::{StoreEvent, StoreRecord, StoreWatch};
use async_std::future::timeout;
use async_std::task;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Store key of the configuration head.
pub const CONFIG_KEY: &str = "arbutusmount/config";
/// Store key written in the same transaction as each head. Its value is empty, so reading it gives
/// the newest revision without transferring the head.
pub const REVISION_KEY: &str = "arbutusmount/config-mark";
/// Prefix of the store keys of sections.
const SECTION_PREFIX: &str = "arbutusmount/section/";
/// Period between checks of whether this daemon should watch or read the store.
const STORE_CHECK_PERIOD: Duration = Duration::from_millis(400);
/// Time without a watch event after which the revision is read directly, in case the watch has
/// stopped delivering events.
const WATCH_RECHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Most sections that are fetched one by one; for more, all sections are listed in one call.
const MAX_SINGLE_READS: usize = 4;
/// Back-off of a watching daemon while the store does not answer.
const WATCH_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_millis(500),
    max: Duration::from_secs(4),
};
/// Back-off of the other daemons while the store does not answer.
const READ_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_secs(2),
    max: Duration::from_secs(10),
};
/// Role name hashed into the ranking of daemons that watch the store.
const WATCH_ROLE: &str = "config watcher";

inventory::submit! {
    PluginEntry { name: "config.adoption", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    register_config_metrics(&host.context)?;
    let spec = TimerSpec::new("config duty", STORE_CHECK_PERIOD);
    let follower = Arc::new(async_std::sync::Mutex::new(StoreFollower::new()));
    host.add_timer(spec, move |context, _now| {
        let follower = Arc::clone(&follower);
        async move { follower.lock().await.step(&context).await }
    });
    gossip::install(host);
    Ok(())
}

/// Store key of a section.
pub(super) fn section_key(digest: &SectionDigest) -> String {
    format!("{SECTION_PREFIX}{digest}")
}

/// Rank of a daemon that is not, or not yet, in the instance list.
const UNLISTED_RANK: usize = 16;

/// Rank of this daemon for watching the store.
fn watch_rank(context: &KernelContext) -> usize {
    local_rank(context, WATCH_ROLE).unwrap_or(UNLISTED_RANK)
}

/// Returns the rank of this daemon for a role among the live daemons, starting at 0; `None` while
/// it is not in the instance list.
pub fn local_rank(context: &KernelContext, role: &str) -> Option<usize> {
    let list = context.instances.load();
    let routers: Vec<RouterCandidate> = list
        .live(InstanceRole::Router)
        .map(|row| RouterCandidate {
            instance: row.instance.clone(),
            domain: row.failure_domain.clone(),
        })
        .collect();
    let ranked = rank_routers(role, &routers);
    let own = &context.settings.instance;
    ranked.iter().position(|name| name == own)
}

/// Keeps this daemon up to date with the store, with back-off after failed store calls.
#[derive(Debug)]
struct StoreFollower {
    watch_backoff: RetryBackoff,
    read_backoff: RetryBackoff,
    rng: fastrand::Rng,
}

impl StoreFollower {
    fn new() -> Self {
        Self {
            watch_backoff: RetryBackoff::new(WATCH_BACKOFF),
            read_backoff: RetryBackoff::new(READ_BACKOFF),
            rng: fastrand::Rng::new(),
        }
    }

    async fn step(&mut self, context: &Arc<KernelContext>) {
        let rank = watch_rank(context);
        let now = context.clock.now();
        let age = context.config.with_state(|state| state.store_age(now));
        let delay = match store_duty(rank, age) {
            StoreDuty::Idle => return,
            StoreDuty::Watch => {
                let reached = read_and_watch_store(context).await;
                self.watch_backoff.record_outcome(reached, &mut self.rng)
            }
            StoreDuty::Read => {
                let reached = refresh_from_store(context).await;
                self.read_backoff.record_outcome(reached, &mut self.rng)
            }
        };
        if let Some(delay) = delay {
            task::sleep(delay).await;
        }
    }
}

/// Reads the store, then watches it until the watch fails or this daemon is no longer ranked as a
/// watcher. Returns true when the store has answered.
async fn read_and_watch_store(context: &Arc<KernelContext>) -> bool {
    if !refresh_from_store(context).await {
        return false;
    }
    let next = context.config.revision().0 + 1;
    let Ok(mut watch) = context.store.watch(CONFIG_KEY, next).await else {
        return false;
    };
    while adopt_watch_events(context, &mut watch).await {}
    true
}

/// Waits for the next watch events and adopts their heads. Returns false when the watch has to be
/// reopened.
async fn adopt_watch_events(context: &Arc<KernelContext>, watch: &mut StoreWatch) -> bool {
    let mut next = pin!(watch.next());
    let events = loop {
        match timeout(WATCH_RECHECK_DELAY, &mut next).await {
            Ok(Ok(events)) => break events,
            Ok(Err(_ended)) => return false,
            Err(_elapsed) => {
                let known = context.config.revision();
                let is_dead =
                    !refresh_from_store(context).await || context.config.revision() > known;
                if is_dead || watch_rank(context) >= crate::config::store_duty::STORE_WATCHERS {
                    return false;
                }
            }
        }
    };
    for event in events {
        if let StoreEvent::Put(record) = event
            && !adopt_head(context, &record).await
        {
            return false;
        }
    }
    true
}

/// Reads the newest revision from the store and adopts the configuration when it is newer than the
/// one in force. Returns true when the store has answered.
pub async fn refresh_from_store(context: &Arc<KernelContext>) -> bool {
    let Ok(mark) = context.store.get(REVISION_KEY).await else {
        return false;
    };
    let newest = ConfigRevision(mark.map_or(0, |record| record.revision));
    let now = context.clock.now();
    match context
        .config
        .with_state(|state| state.on_store_revision(newest, now))
    {
        StoreStep::UpToDate => true,
        StoreStep::Behind => {
            context.config.metrics().store_behind.inc();
            true
        }
        StoreStep::Fetch => match context.store.get(CONFIG_KEY).await {
            Ok(Some(record)) => adopt_head(context, &record).await,
            Ok(None) => true,
            Err(_cause) => false,
        },
    }
}

/// Fetches the sections named by the head in `record` and adopts the configuration. Returns false
/// when the sections could not be fetched.
async fn adopt_head(context: &Arc<KernelContext>, record: &StoreRecord) -> bool {
    let revision = ConfigRevision(record.revision);
    if revision <= context.config.revision() {
        return true;
    }
    match read_head(&record.value) {
        Err(cause) => log::error!("cannot read configuration head at revision {revision}: {cause}"),
        Ok(head) => match fetch_bundle(context, revision, head).await {
            Some(bundle) => offer_bundle(context, bundle),
            // A newer head may have replaced this one and deleted its sections; the next attempt
            // reads that newer head.
            None => return false,
        },
    }
    let now = context.clock.now();
    context
        .config
        .with_state(|state| state.on_store_revision(revision, now));
    true
}

/// Assembles the bundle of a head, fetching the sections not held locally from the store. Returns
/// `None` when a section cannot be fetched or the head is malformed.
pub async fn fetch_bundle(
    context: &KernelContext,
    revision: ConfigRevision,
    head: ConfigHead,
) -> Option<ConfigBundle> {
    let complete = |head: ConfigHead, fetched: Vec<Arc<[u8]>>| {
        context
            .config
            .with_state(|state| state.complete_bundle(revision, head, fetched.into_iter()))
    };
    match complete(head.clone(), Vec::new()) {
        Ok(bundle) => Some(bundle),
        Err(BundleError::Missing(digests)) => {
            let fetched = fetch_sections(context, &digests).await?;
            complete(head, fetched).ok()
        }
        Err(BundleError::Malformed(_)) => None,
    }
}

async fn fetch_sections(
    context: &KernelContext,
    digests: &[SectionDigest],
) -> Option<Vec<Arc<[u8]>>> {
    if digests.len() > MAX_SINGLE_READS {
        let records = context.store.list(SECTION_PREFIX).await.ok()?;
        return Some(
            records
                .into_iter()
                .map(|record| Arc::from(record.value))
                .collect(),
        );
    }
    let mut sections = Vec::new();
    for digest in digests {
        let record = context.store.get(&section_key(digest)).await.ok()??;
        sections.push(Arc::from(record.value));
    }
    Some(sections)
}

/// Adopts a bundle when it is newer than the configuration in force, and pushes a notice to peers.
pub fn offer_bundle(context: &Arc<KernelContext>, bundle: ConfigBundle) {
    let revision = bundle.revision;
    match context.config.offer(bundle, context.clock.now()) {
        OfferOutcome::Stale => {}
        OfferOutcome::Invalid(cause) => {
            log::error!("cannot assemble configuration at revision {revision}: {cause}");
        }
        OfferOutcome::Adopted(_) => {
            let metrics = context.config.metrics();
            metrics.revision.set(revision.0.cast_signed());
            metrics.adoptions.inc();
            log::info!("configuration revision {revision} is in force");
            context.lifecycle.mark_ready();
            task::spawn(gossip::push_notice(Arc::clone(context)));
        }
    }
}
