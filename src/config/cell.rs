//! Holds the configuration in force; readers never wait and revisions never go back.

use crate::config::AcceptedConfig;
use crate::config::metrics::ConfigMetrics;
use crate::config::sections::ConfigBundle;
use crate::config::state::{AdoptionState, OfferOutcome};
use crate::ids::ConfigRevision;
use crate::units::MonoTime;
use arc_swap::ArcSwapOption;
use std::sync::{Arc, Mutex, OnceLock};

/// What became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is newer and in force now.
    Adopted,
    /// The configuration in force is the same or newer; nothing changed.
    Stale,
}

/// The configuration in force in this process.
#[derive(Debug, Default)]
pub struct ConfigCell {
    current: ArcSwapOption<AcceptedConfig>,
    state: Mutex<AdoptionState>,
    metrics: OnceLock<ConfigMetrics>,
}

impl ConfigCell {
    /// Creates a cell without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force, if one was adopted.
    pub fn load(&self) -> Option<Arc<AcceptedConfig>> {
        self.current.load_full()
    }

    /// Revision in force, 0 when there is none.
    pub fn revision(&self) -> ConfigRevision {
        let current = self.current.load();
        current
            .as_ref()
            .map_or(ConfigRevision(0), |config| config.revision())
    }

    /// Adopts `config` when its revision is higher than the one in force.
    pub fn adopt(&self, config: &Arc<AcceptedConfig>) -> AdoptOutcome {
        let mut outcome = AdoptOutcome::Stale;
        self.current.rcu(|current| {
            let in_force = current.as_ref().map_or(ConfigRevision(0), |c| c.revision());
            if config.revision() > in_force {
                outcome = AdoptOutcome::Adopted;
                Some(Arc::clone(config))
            } else {
                outcome = AdoptOutcome::Stale;
                current.clone()
            }
        });
        outcome
    }

    /// Adopts a bundle when it is newer than the one in force and complete.
    pub fn offer(&self, bundle: ConfigBundle, now: MonoTime) -> OfferOutcome {
        self.with_state(|state| {
            let outcome = state.offer(bundle, now);
            if let OfferOutcome::Adopted(config) = &outcome {
                self.adopt(config);
            }
            outcome
        })
    }

    /// Sets the metrics that adoption counts in; the first ones stay.
    pub(super) fn set_metrics(&self, metrics: ConfigMetrics) {
        self.metrics.get_or_init(|| metrics);
    }

    /// Metrics of adoption; present from the time that the plug-in is installed.
    pub(super) fn metrics(&self) -> &ConfigMetrics {
        self.metrics
            .get()
            .expect("the adoption plug-in sets its metrics first")
    }

    /// Counts a confirm by its outcome.
    pub fn count_confirm(&self, outcome: &str) {
        let confirms = &self.metrics().confirms;
        confirms.with_label_values(&[outcome]).inc();
    }

    /// Reads or changes the adoption state.
    pub fn with_state<T>(&self, act: impl FnOnce(&mut AdoptionState) -> T) -> T {
        let mut state = self.state.lock().expect("adoption lock is never poisoned");
        act(&mut state)
    }

    /// The configuration in force, in the form in which it travels.
    pub fn bundle(&self) -> Option<Arc<ConfigBundle>> {
        self.with_state(|state| state.bundle().cloned())
    }
}
