//! Effects of one request on others: ejection of engines at fault, and crash counts that are shared
//! with the peers.

use crate::kernel::KernelContext;
use crate::poison::{PoisonEntry, PoisonFingerprint};
use crate::routing::attempt::{GenerationRun, SUSPICION_TTL};
use crate::routing::poison_gossip::broadcast_crashes;
use crate::routing::{AttemptNotice, StageFault, TargetState};
use std::time::Duration;

impl GenerationRun<'_> {
    pub(super) fn apply_notice(&mut self, notice: &AttemptNotice) {
        match notice {
            AttemptNotice::Fault {
                instance,
                fault,
                detection,
            } => {
                self.record_fault(instance.as_str(), *fault, *detection);
                if fault.is_engine_fault()
                    && let Some(target) = self.context.targets.get(instance)
                {
                    eject(self.context, &target);
                }
            }
            AttemptNotice::FirstToken => {
                self.isolation = None;
                if let Some(attempt) = &self.attempt {
                    for target in &attempt.targets {
                        target.health.record_success();
                    }
                }
            }
            AttemptNotice::Suspected(crashes) => self.record_crashes(*crashes),
            AttemptNotice::Cleared => self.clear_crashes(),
        }
    }

    fn record_fault(&mut self, instance: &str, fault: StageFault, detection: Duration) {
        self.has_fault = true;
        let routing = &self.context.routing;
        routing.with_metrics(|metrics| metrics.count_fault(fault, detection));
        let parent = self.generation.trace;
        if let Some(attempt) = &mut self.attempt {
            attempt
                .span
                .set_error(format!("{instance} {}", fault.name()));
        }
        let traces = &self.context.traces;
        let resume_span = self
            .resume_span
            .get_or_insert_with(|| traces.start_span("resume", parent));
        resume_span.set_attribute("fault", format!("{instance} {}", fault.name()));
        resume_span.set_attribute("detection_us", detection.as_micros());
    }

    fn fingerprint(&self) -> PoisonFingerprint {
        self.generation.fingerprint()
    }

    fn record_crashes(&self, crashes: u32) {
        let settings = &self.context.settings.routing;
        let is_poison = crashes >= settings.poison_crashes;
        let ttl = if is_poison {
            settings.poison_time()
        } else {
            SUSPICION_TTL
        };
        let now = self.context.clock.now();
        let entry = PoisonEntry {
            crashes,
            until: now.after(ttl),
        };
        let fingerprint = self.fingerprint();
        self.context.routing.poison.record(fingerprint, entry, now);
        broadcast_crashes(self.context, fingerprint, crashes, ttl);
        let event = if is_poison { "poisoned" } else { "suspected" };
        self.context
            .routing
            .with_metrics(|metrics| metrics.count_suspect(event));
        if is_poison {
            log::warn!("requests with fingerprint {fingerprint} are refused: {crashes} crashes");
        }
    }

    fn clear_crashes(&self) {
        let fingerprint = self.fingerprint();
        let limit = self.context.settings.routing.poison_crashes;
        self.context.routing.poison.clear(fingerprint, limit);
        broadcast_crashes(self.context, fingerprint, 0, Duration::ZERO);
        self.context
            .routing
            .with_metrics(|metrics| metrics.count_suspect("cleared"));
    }
}

/// Ejects an engine. The ejection is capped to a short time when it leaves fewer than half of the
/// engines.
fn eject(context: &KernelContext, target: &TargetState) {
    let now = context.clock.now();
    let targets = context.targets.all();
    let ejected = targets.iter().filter(|t| !t.health.admits(now)).count();
    let is_capped = (ejected + 1) * 2 > targets.len();
    target.health.record_failure(now, is_capped);
    context
        .routing
        .with_metrics(|metrics| metrics.count_ejection(is_capped));
}
