//! State of configuration adoption on one daemon: the configuration in force and the messages
//! exchanged with peers.
//!
//! This module uses no sockets, clocks or threads: the caller passes in messages, store revisions
//! and the time. The highest revision wins, and the revision in force never decreases. The store's
//! revisions are assumed to only increase: a store restored from an older backup is ignored until
//! its revision exceeds the one in force.

use crate::config::messages::{ConfigNotice, ConfigPull, ConfigReply, ConfigRequest};
use crate::config::sections::{BundleError, ConfigBundle, SectionDigest, SectionMap, read_head};
use crate::config::{AcceptedConfig, ConfigHead};
use crate::ids::ConfigRevision;
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Normal period of the exchange with one random peer.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Period of the exchange after an adoption, and while there is no configuration.
const FAST_EXCHANGE_PERIOD: Duration = Duration::from_millis(200);
/// Time after an adoption during which the shorter exchange period applies.
const FAST_EXCHANGE_DURATION: Duration = Duration::from_secs(5);

/// Returns the period of exchanges with a random peer, given the time since the last adoption
/// (`None` before the first one).
///
/// After an adoption the period is shorter for a while, because a push alone does not reach all
/// daemons when messages are lost.
pub fn exchange_period(since_adoption: Option<Duration>) -> Duration {
    match since_adoption {
        Some(since) if since >= FAST_EXCHANGE_DURATION => EXCHANGE_PERIOD,
        _ => FAST_EXCHANGE_PERIOD,
    }
}

/// Result of [`AdoptionState::offer`].
#[derive(Debug, Clone)]
pub enum OfferOutcome {
    /// The configuration is newer and now in force.
    Adopted(Arc<AcceptedConfig>),
    /// The configuration in force is the same or newer; nothing changed.
    Stale,
    /// The configuration cannot be assembled; nothing changed.
    Invalid(BundleError),
}

/// How the revision in a peer's notice compares with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeStep {
    /// The peer has a newer configuration, which has to be pulled.
    Pull,
    /// The peer has an older configuration.
    PeerBehind,
    /// Both daemons have the same revision.
    InSync,
}

/// How the newest revision in the store compares with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// The store has a newer configuration, which has to be fetched.
    Fetch,
    /// The store's newest revision is the one in force.
    UpToDate,
    /// The store returned an older revision, which is ignored.
    Behind,
}

/// State of configuration adoption on one daemon.
#[derive(Debug, Default)]
pub struct AdoptionState {
    bundle: Option<Arc<ConfigBundle>>,
    store_confirmed_at: Option<MonoTime>,
    adopted_at: Option<MonoTime>,
    pull_in_progress: bool,
}

impl AdoptionState {
    /// Creates the state of a daemon without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force; 0 when there is no configuration.
    pub fn revision(&self) -> ConfigRevision {
        let bundle = self.bundle.as_ref();
        bundle.map_or(ConfigRevision(0), |bundle| bundle.revision)
    }

    /// Returns the configuration in force as head and sections; `None` when there is none.
    pub fn bundle(&self) -> Option<&Arc<ConfigBundle>> {
        self.bundle.as_ref()
    }

    /// Adopts a bundle when it is newer than the one in force and can be assembled.
    pub fn offer(&mut self, bundle: ConfigBundle, now: MonoTime) -> OfferOutcome {
        if bundle.revision <= self.revision() {
            return OfferOutcome::Stale;
        }
        match bundle.assemble() {
            Err(cause) => OfferOutcome::Invalid(cause),
            Ok(document) => {
                let config = AcceptedConfig::new(bundle.revision, document);
                self.bundle = Some(Arc::new(bundle));
                self.store_confirmed_at = None;
                self.adopted_at = Some(now);
                OfferOutcome::Adopted(Arc::new(config))
            }
        }
    }

    /// Processes the newest revision read from the store; 0 when the store holds no configuration.
    pub fn on_store_revision(&mut self, revision: ConfigRevision, now: MonoTime) -> StoreStep {
        let in_force = self.revision();
        if revision > in_force {
            return StoreStep::Fetch;
        }
        if revision < in_force {
            return StoreStep::Behind;
        }
        self.store_confirmed_at = Some(now);
        StoreStep::UpToDate
    }

    /// Returns the time since any daemon last read the store and found the revision in force to be
    /// the newest; [`Duration::MAX`] when no such read is known.
    pub fn store_age(&self, now: MonoTime) -> Duration {
        self.store_confirmed_at
            .map_or(Duration::MAX, |seen| now.since(seen))
    }

    /// Returns the current period of exchanges with a random peer.
    pub fn exchange_period(&self, now: MonoTime) -> Duration {
        exchange_period(self.adopted_at.map(|adopted_at| now.since(adopted_at)))
    }

    /// Returns the notice of this daemon's revision for peers.
    pub fn notice(&self, now: MonoTime) -> ConfigNotice {
        let age = |seen| now.since(seen).as_millis() as u64;
        ConfigNotice {
            revision: self.revision().0,
            store_age_ms: self.store_confirmed_at.map(age),
        }
    }

    /// Processes a peer's notice. At equal revisions, the more recent store read of the two daemons
    /// is kept.
    pub fn on_notice(&mut self, notice: ConfigNotice, now: MonoTime) -> NoticeStep {
        let in_force = self.revision().0;
        if notice.revision > in_force {
            return NoticeStep::Pull;
        }
        if notice.revision < in_force {
            return NoticeStep::PeerBehind;
        }
        if let Some(age) = notice.store_age_ms {
            let seen = MonoTime(now.0.saturating_sub(age.saturating_mul(1_000)));
            self.store_confirmed_at = self.store_confirmed_at.max(Some(seen));
        }
        NoticeStep::InSync
    }

    /// Marks a pull as in progress. Returns false when one already is.
    pub fn try_start_pull(&mut self) -> bool {
        !std::mem::replace(&mut self.pull_in_progress, true)
    }

    /// Marks the pull as finished.
    pub fn finish_pull(&mut self) {
        self.pull_in_progress = false;
    }

    /// Creates a request that carries only this daemon's notice.
    pub fn notice_request(&self, now: MonoTime) -> ConfigRequest {
        ConfigRequest {
            notice: Some(self.notice(now)),
            ..ConfigRequest::default()
        }
    }

    /// Creates a request for a peer's configuration, listing the sections held here.
    pub fn pull_request(&self, now: MonoTime) -> ConfigRequest {
        let held = self.bundle.iter().flat_map(|bundle| bundle.sections.keys());
        let held = held.map(|digest| digest.0.to_vec()).collect();
        ConfigRequest {
            pull: Some(ConfigPull { held }),
            ..self.notice_request(now)
        }
    }

    /// Creates the reply to a request, with the configuration when the request asks for it.
    pub fn answer_request(&self, request: &ConfigRequest, now: MonoTime) -> ConfigReply {
        let mut reply = ConfigReply {
            notice: Some(self.notice(now)),
            ..ConfigReply::default()
        };
        let (Some(pull), Some(bundle)) = (&request.pull, &self.bundle) else {
            return reply;
        };
        let is_held = |digest: &SectionDigest| pull.held.iter().any(|held| **held == digest.0);
        let wanted = bundle
            .sections
            .iter()
            .filter(|(digest, _)| !is_held(digest));
        reply.sections = wanted.map(|(_, content)| content.to_vec()).collect();
        reply.head = serde_json::to_vec(&bundle.head).expect("heads serialize");
        reply
    }

    /// Creates a bundle from a peer's reply to a pull and the sections held here.
    ///
    /// # Errors
    /// [`BundleError`] when the reply has no head, or when a section of the head is neither in the
    /// reply nor held here.
    pub fn bundle_from_reply(&self, reply: &ConfigReply) -> Result<ConfigBundle, BundleError> {
        let head = read_head(&reply.head)?;
        let revision = reply.notice.map_or(0, |notice| notice.revision);
        let sections = reply
            .sections
            .iter()
            .map(|content| Arc::from(content.as_slice()));
        self.complete_bundle(ConfigRevision(revision), head, sections)
    }

    /// Creates a bundle from a head, the fetched sections and the sections held here.
    ///
    /// # Errors
    /// [`BundleError::Missing`] with the digests to fetch.
    pub fn complete_bundle(
        &self,
        revision: ConfigRevision,
        head: ConfigHead,
        fetched: impl Iterator<Item = Arc<[u8]>>,
    ) -> Result<ConfigBundle, BundleError> {
        let held = self.bundle.as_ref().map(|bundle| bundle.sections.clone());
        let mut known: SectionMap = held.unwrap_or_default();
        known.extend(fetched.map(|content| (SectionDigest::of(&content), content)));
        ConfigBundle::from_sections(revision, head, &known)
    }
}
