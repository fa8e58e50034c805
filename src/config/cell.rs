//! Holds the configuration in force; readers never wait and revisions never go back.

use crate::config::AcceptedConfig;
use crate::ids::ConfigRevision;
use arc_swap::ArcSwapOption;
use std::sync::Arc;

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
}
