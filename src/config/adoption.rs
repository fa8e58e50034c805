//! Plug-in that brings the configuration in the store into force on this daemon.
//!
//! A few daemons watch the store; the others learn from their peers, and read the store themselves
//! only when nobody seems to have done so for some time.

use crate::config::backoff::{BackoffLimits, RetryBackoff};
use crate::config::metrics::config_metrics;
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

/// Key of the configuration's head.
pub const CONFIG_KEY: &str = "arbutusmount/config";
/// Key written together with each head, so that the newest revision can be read at little cost.
pub const REVISION_KEY: &str = "arbutusmount/config-mark";
/// Prefix of the keys of sections.
const SECTION_PREFIX: &str = "arbutusmount/section/";
/// Period of checking what this daemon should do about the store.
const DUTY_PERIOD: Duration = Duration::from_millis(400);
/// Longest time without an event before a watcher reads the revision, in case the watch is dead.
const WATCH_RECHECK: Duration = Duration::from_millis(1_500);
/// Sections that are read one by one; more are read together.
const SINGLE_READS: usize = 4;
/// Delays of a daemon that watches, while the store does not answer.
const WATCH_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_millis(500),
    max: Duration::from_secs(4),
};
/// Shortest and longest delay of the other daemons.
const READ_BACKOFF: BackoffLimits = BackoffLimits {
    initial: Duration::from_secs(2),
    max: Duration::from_secs(10),
};
/// Role for which daemons are ranked.
const WATCH_ROLE: &str = "config watcher";

inventory::submit! {
    PluginEntry { name: "config.adoption", install }
}

fn install(host: &mut PluginHost) -> Result<(), PluginError> {
    config_metrics(&host.context)?;
    let spec = TimerSpec::new("config duty", DUTY_PERIOD);
    let follower = Arc::new(async_std::sync::Mutex::new(StoreFollower::new()));
    host.add_timer(spec, move |context, _now| {
        let follower = Arc::clone(&follower);
        async move { follower.lock().await.step(&context).await }
    });
    gossip::install(host);
    Ok(())
}

/// Key of a section.
pub(super) fn section_key(digest: &SectionDigest) -> String {
    format!("{SECTION_PREFIX}{digest}")
}

/// Place in the line of readers of a daemon that is not listed, or not yet.
const UNLISTED_RANK: usize = 16;

/// Rank of this daemon for following the store.
fn watch_rank(context: &KernelContext) -> usize {
    local_rank(context, WATCH_ROLE).unwrap_or(UNLISTED_RANK)
}

/// Rank of this daemon for a role among the live daemons; `None` while it is not listed.
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

/// Follows the store with a delay after failures.
#[derive(Debug)]
struct StoreFollower {
    watching: RetryBackoff,
    reading: RetryBackoff,
    rng: fastrand::Rng,
}

impl StoreFollower {
    fn new() -> Self {
        Self {
            watching: RetryBackoff::new(WATCH_BACKOFF),
            reading: RetryBackoff::new(READ_BACKOFF),
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
                let reached = watch_store(context).await;
                self.watching.record_outcome(reached, &mut self.rng)
            }
            StoreDuty::Read => {
                let reached = refresh_from_store(context).await;
                self.reading.record_outcome(reached, &mut self.rng)
            }
        };
        if let Some(delay) = delay {
            task::sleep(delay).await;
        }
    }
}

/// Reads the store, then watches it until that fails or is another daemon's duty; true when the
/// store has answered.
async fn watch_store(context: &Arc<KernelContext>) -> bool {
    if !refresh_from_store(context).await {
        return false;
    }
    let next = context.config.revision().0 + 1;
    let Ok(mut watch) = context.store.watch(CONFIG_KEY, next).await else {
        return false;
    };
    while follow_watch(context, &mut watch).await {}
    true
}

/// Takes the next changes; false when the watch has to be opened again.
async fn follow_watch(context: &Arc<KernelContext>, watch: &mut StoreWatch) -> bool {
    let mut next = pin!(watch.next());
    let events = loop {
        match timeout(WATCH_RECHECK, &mut next).await {
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
            && !take_head(context, &record).await
        {
            return false;
        }
    }
    true
}

/// Reads the newest revision and, when it is newer than the one in force, the configuration; true
/// when the store has answered.
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
            Ok(Some(record)) => take_head(context, &record).await,
            Ok(None) => true,
            Err(_cause) => false,
        },
    }
}

/// Fetches what the head in `record` names and adopts it; true when the store has answered.
async fn take_head(context: &Arc<KernelContext>, record: &StoreRecord) -> bool {
    let revision = ConfigRevision(record.revision);
    if revision <= context.config.revision() {
        return true;
    }
    match read_head(&record.value) {
        Err(cause) => log::error!("configuration at revision {revision}: {cause}"),
        Ok(head) => match fetch_bundle(context, revision, head).await {
            Some(bundle) => offer_bundle(context, bundle),
            // Sections are gone when a newer head has replaced this one; it is read next.
            None => return false,
        },
    }
    let now = context.clock.now();
    context
        .config
        .with_state(|state| state.on_store_revision(revision, now));
    true
}

/// Completes a head with sections from the store.
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
    if digests.len() > SINGLE_READS {
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

/// Brings a bundle into force here when it is newer, and tells peers about it.
pub fn offer_bundle(context: &Arc<KernelContext>, bundle: ConfigBundle) {
    let revision = bundle.revision;
    match context.config.offer(bundle, context.clock.now()) {
        OfferOutcome::Stale => {}
        OfferOutcome::Invalid(cause) => {
            log::error!("configuration at revision {revision}: {cause}")
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
