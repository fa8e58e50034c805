//! What all requests of a relaying daemon share.

use crate::catalog::CatalogCell;
use crate::kernel::{LifecycleCell, MonoClock};
use crate::presence::PresenceBoard;
use crate::relay::budget::{BudgetLimits, RetryBudget};
use crate::relay::metrics::RelayMetrics;
use crate::relay::ports::RelayWords;
use crate::relay::settings::GatewaySettings;
use crate::targets::ViewCell;
use crate::telemetry::{EventLog, MetricSet};
use crate::wire::TargetPool;
use std::sync::Arc;
use std::time::Duration;

/// Shared state of a relaying daemon.
#[derive(Debug)]
pub struct RelayContext {
    /// Settings.
    pub settings: GatewaySettings,
    /// Clock.
    pub clock: MonoClock,
    /// Phase and requests in progress.
    pub lifecycle: Arc<LifecycleCell>,
    /// Configuration in force.
    pub catalog: CatalogCell,
    /// Targets.
    pub targets: ViewCell,
    /// Daemons.
    pub presence: PresenceBoard,
    /// Kept connections to targets.
    pub pool: TargetPool,
    /// Repeats.
    pub budget: RetryBudget,
    /// Translations of heads.
    pub words: RelayWords,
    /// Metrics.
    pub metrics: RelayMetrics,
    /// Structured log.
    pub events: EventLog,
}

impl RelayContext {
    /// Creates the context of a daemon that knows nothing yet.
    ///
    /// # Errors
    /// When a metric's name is taken.
    pub fn new(
        settings: GatewaySettings,
        words: RelayWords,
        metrics: &MetricSet,
        events: EventLog,
    ) -> prometheus::Result<Arc<Self>> {
        let bounds = &settings.bounds;
        let limits = BudgetLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: Duration::from_secs_f64(bounds.retry_window_s),
        };
        Ok(Arc::new(Self {
            clock: MonoClock::start(),
            lifecycle: Arc::default(),
            catalog: CatalogCell::default(),
            targets: ViewCell::default(),
            presence: PresenceBoard::default(),
            pool: TargetPool::default(),
            budget: RetryBudget::new(limits),
            words,
            metrics: RelayMetrics::register(metrics)?,
            events,
            settings,
        }))
    }
}
