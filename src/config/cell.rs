//! Shared cell with the configuration in force. Reads are lock-free; the revision never decreases.

use crate::config::AcceptedConfig;
use crate::config::metrics::ConfigMetrics;
use crate::config::sections::ConfigBundle;
use crate::config::state::{AdoptionState, OfferOutcome};
use crate::ids::ConfigRevision;
use crate::units::MonoTime;
use arc_swap::ArcSwapOption;
use std::sync::{Arc, Mutex, OnceLock};

/// Result of [`ConfigCell::adopt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The configuration is newer and now in force.
    Adopted,
    /// The configuration in force is the same or newer; nothing changed.
    Stale,
}

/// Configuration in force on this daemon, with the state of its adoption.
#[derive(Debug, Default)]
pub struct ConfigCell {
    current: ArcSwapOption<AcceptedConfig>,
    state: Mutex<AdoptionState>,
    metrics: OnceLock<ConfigMetrics>,
}

impl ConfigCell {
    /// Creates an empty cell.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force; `None` until the first one is adopted.
    pub fn load(&self) -> Option<Arc<AcceptedConfig>> {
        self.current.load_full()
    }

    /// Returns the revision in force; 0 when there is no configuration.
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

    /// Adopts a bundle when it is newer than the one in force and can be assembled.
    pub fn offer(&self, bundle: ConfigBundle, now: MonoTime) -> OfferOutcome {
        self.with_state(|state| {
            let outcome = state.offer(bundle, now);
            if let OfferOutcome::Adopted(config) = &outcome {
                self.adopt(config);
            }
            outcome
        })
    }

    /// Sets the metrics of adoption; later calls have no effect.
    pub(super) fn set_metrics(&self, metrics: ConfigMetrics) {
        self.metrics.get_or_init(|| metrics);
    }

    /// Returns the metrics of adoption, which are set when the plug-in is installed.
    pub(super) fn metrics(&self) -> &ConfigMetrics {
        self.metrics
            .get()
            .expect("the adoption plug-in sets its metrics first")
    }

    /// Increments the counter of plan confirmations with this outcome.
    pub fn count_confirm(&self, outcome: &str) {
        let confirms = &self.metrics().confirms;
        confirms.with_label_values(&[outcome]).inc();
    }

    /// Runs `act` on the adoption state while holding its lock.
    pub fn with_state<T>(&self, act: impl FnOnce(&mut AdoptionState) -> T) -> T {
        let mut state = self.state.lock().expect("adoption lock is never poisoned");
        act(&mut state)
    }

    /// Returns the configuration in force as head and sections, as exchanged with peers.
    pub fn bundle(&self) -> Option<Arc<ConfigBundle>> {
        self.with_state(|state| state.bundle().cloned())
    }
}
