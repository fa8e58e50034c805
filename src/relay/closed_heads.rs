//! First targets of chains that closed the connection of an attempt, and which of them have ended.

use crate::relay::context::RelayContext;
use crate::relay::path::probe_target;
use crate::targets::TargetEntry;
use crate::units::MonoTime;
use std::sync::Arc;

/// A target that closed the connection of an attempt.
#[derive(Debug)]
struct ClosedHead {
    target: Arc<TargetEntry>,
    /// Start of the attempt.
    started: MonoTime,
}

impl ClosedHead {
    /// True when the target is known to have ended. One that has merely left the list may go on
    /// serving.
    fn has_ended(&self) -> bool {
        self.target.stats.was_refused_since(self.started)
    }
}

/// Targets that closed the connections of a request's attempts.
#[derive(Debug, Default)]
pub(super) struct ClosedHeads(Vec<ClosedHead>);

impl ClosedHeads {
    /// Adds the target of an attempt that was started at `started`.
    pub(super) fn add(&mut self, target: &Arc<TargetEntry>, started: MonoTime) {
        let target = Arc::clone(target);
        self.0.push(ClosedHead { target, started });
    }

    /// Number of targets that are known to have ended.
    pub(super) fn count_ended(&self) -> usize {
        self.0.iter().filter(|head| head.has_ended()).count()
    }

    /// Finds out which targets have ended since they closed their connection: a target that is about
    /// to exit may close connections before it stops listening.
    pub(super) async fn probe(&self, context: &RelayContext) {
        for head in self.0.iter().filter(|head| !head.has_ended()) {
            probe_target(context, &head.target).await;
        }
    }
}
