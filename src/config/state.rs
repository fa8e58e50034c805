//! Adoption: which configuration is in force on this daemon, and what it tells its peers.
//!
//! No sockets, clocks or threads: the caller passes messages, records of the store and the time.
//! The newest revision wins and nothing goes back. That the store's revisions only grow is assumed;
//! a store restored from an older copy is ignored until its revision passes the one in force.

use crate::config::messages::{ConfigNotice, ConfigPull, ConfigReply, ConfigRequest};
use crate::config::sections::{BundleError, ConfigBundle, SectionDigest, SectionMap, read_head};
use crate::config::{AcceptedConfig, ConfigHead};
use crate::ids::ConfigRevision;
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Period of the exchange with one random peer.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Period of the exchange after an adoption, and while there is no configuration.
const FAST_PERIOD: Duration = Duration::from_millis(200);
/// Time after an adoption for which exchanges are fast.
const FAST_SPAN: Duration = Duration::from_secs(5);

/// Time until the next exchange with a random peer, by the time since the last adoption.
///
/// A daemon that has just adopted a configuration meets more peers for a while: a push alone dies
/// out early when messages are lost.
pub fn exchange_period(since_adoption: Option<Duration>) -> Duration {
    match since_adoption {
        Some(since) if since >= FAST_SPAN => EXCHANGE_PERIOD,
        _ => FAST_PERIOD,
    }
}

/// What became of an offered configuration.
#[derive(Debug, Clone)]
pub enum OfferOutcome {
    /// It is newer and in force now.
    Adopted(Arc<AcceptedConfig>),
    /// The configuration in force is the same or newer; nothing changed.
    Stale,
    /// It cannot be assembled; nothing changed.
    Invalid(BundleError),
}

/// What to do after a peer's notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeStep {
    /// The peer has a newer configuration: ask it for that.
    Pull,
    /// The peer has an older configuration: tell it so.
    PeerBehind,
    /// Both have the same.
    InSync,
}

/// What to do after the store has named its newest revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// The store has a newer configuration: read it.
    Fetch,
    /// The store confirms the one in force.
    UpToDate,
    /// The store answers with an older value, which is ignored.
    Behind,
}

/// The adoption state of one daemon.
#[derive(Debug, Default)]
pub struct AdoptionState {
    bundle: Option<Arc<ConfigBundle>>,
    store_seen: Option<MonoTime>,
    adopted: Option<MonoTime>,
    pulling: bool,
}

impl AdoptionState {
    /// Starts without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force, 0 for none.
    pub fn revision(&self) -> ConfigRevision {
        let bundle = self.bundle.as_ref();
        bundle.map_or(ConfigRevision(0), |bundle| bundle.revision)
    }

    /// The configuration in force, in the form in which it travels.
    pub fn bundle(&self) -> Option<&Arc<ConfigBundle>> {
        self.bundle.as_ref()
    }

    /// Adopts a bundle when it is newer than what is in force and complete.
    pub fn offer(&mut self, bundle: ConfigBundle, now: MonoTime) -> OfferOutcome {
        if bundle.revision <= self.revision() {
            return OfferOutcome::Stale;
        }
        match bundle.assemble() {
            Err(cause) => OfferOutcome::Invalid(cause),
            Ok(document) => {
                let config = AcceptedConfig::new(bundle.revision, document);
                self.bundle = Some(Arc::new(bundle));
                self.store_seen = None;
                self.adopted = Some(now);
                OfferOutcome::Adopted(Arc::new(config))
            }
        }
    }

    /// Takes the revision that the store has named; 0 when it holds no configuration.
    pub fn on_store_revision(&mut self, revision: ConfigRevision, now: MonoTime) -> StoreStep {
        let in_force = self.revision();
        if revision > in_force {
            return StoreStep::Fetch;
        }
        if revision < in_force {
            return StoreStep::Behind;
        }
        self.store_seen = Some(now);
        StoreStep::UpToDate
    }

    /// Age of the newest read of the store, by any daemon, that found the configuration in force to
    /// be the newest.
    pub fn store_age(&self, now: MonoTime) -> Duration {
        self.store_seen
            .map_or(Duration::MAX, |seen| now.since(seen))
    }

    /// Time until the next exchange with a random peer.
    pub fn exchange_period(&self, now: MonoTime) -> Duration {
        exchange_period(self.adopted.map(|adopted| now.since(adopted)))
    }

    /// What this daemon tells its peers.
    pub fn notice(&self, now: MonoTime) -> ConfigNotice {
        let age = |seen| now.since(seen).as_millis() as u64;
        ConfigNotice {
            revision: self.revision().0,
            store_age_ms: self.store_seen.map(age),
        }
    }

    /// Takes a peer's notice.
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
            self.store_seen = self.store_seen.max(Some(seen));
        }
        NoticeStep::InSync
    }

    /// Starts a pull; false when one is in progress already.
    pub fn start_pull(&mut self) -> bool {
        !std::mem::replace(&mut self.pulling, true)
    }

    /// Ends a pull.
    pub fn end_pull(&mut self) {
        self.pulling = false;
    }

    /// Request that tells a peer this daemon's state.
    pub fn notice_request(&self, now: MonoTime) -> ConfigRequest {
        ConfigRequest {
            notice: Some(self.notice(now)),
            ..ConfigRequest::default()
        }
    }

    /// Request that asks a peer for its configuration.
    pub fn pull_request(&self, now: MonoTime) -> ConfigRequest {
        let held = self.bundle.iter().flat_map(|bundle| bundle.sections.keys());
        let held = held.map(|digest| digest.0.to_vec()).collect();
        ConfigRequest {
            pull: Some(ConfigPull { held }),
            ..self.notice_request(now)
        }
    }

    /// Answers a request.
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

    /// The bundle that a peer's reply to a pull describes, together with the sections held here.
    ///
    /// # Errors
    /// [`BundleError`] when the reply holds no head or not all sections.
    pub fn bundle_from_reply(&self, reply: &ConfigReply) -> Result<ConfigBundle, BundleError> {
        let head = read_head(&reply.head)?;
        let revision = reply.notice.map_or(0, |notice| notice.revision);
        let sections = reply
            .sections
            .iter()
            .map(|content| Arc::from(content.as_slice()));
        self.complete_bundle(ConfigRevision(revision), head, sections)
    }

    /// Puts a head together with fetched sections and those held here.
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
        ConfigBundle::gather(revision, head, &known)
    }
}
