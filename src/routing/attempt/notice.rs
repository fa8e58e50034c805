//! Effects of one request on others: ejection of engines at fault, and crash counts that are shared
//! with the peers.

use crate::hash::run_hash;
use crate::ids::InstanceId;
use crate::kernel::KernelContext;
use crate::poison::{CrashState, CrashedRun, PoisonEntry, PoisonFingerprint};
use crate::routing::attempt::{GenerationRun, SUSPICION_TTL};
use crate::routing::poison_gossip::broadcast_entry;
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
            AttemptNotice::Suspected(instance) => self.record_crash(instance),
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

    fn record_crash(&self, instance: &InstanceId) {
        let context = self.context;
        let settings = &context.settings.routing;
        let now = context.clock.now();
        let fingerprint = self.fingerprint();
        let run = self.crashed_run(instance);
        let entry = |ttl| PoisonEntry::new([run], CrashState::Counted, now.after(ttl));
        let poison = &context.routing.poison;
        poison.merge(fingerprint, &entry(SUSPICION_TTL), now);
        let crashes = poison.crashes(fingerprint, now);
        let is_poison = crashes >= settings.poison_crashes;
        if is_poison {
            poison.merge(fingerprint, &entry(settings.poison_time()), now);
            log::warn!("requests with fingerprint {fingerprint} are refused: {crashes} crashes");
        }
        broadcast_entry(context, fingerprint);
        let event = if is_poison { "poisoned" } else { "suspected" };
        context
            .routing
            .with_metrics(|metrics| metrics.count_suspect(event));
    }

    /// The run of an engine that the present attempt uses.
    fn crashed_run(&self, instance: &InstanceId) -> CrashedRun {
        let incarnations = self
            .attempt
            .iter()
            .flat_map(|attempt| &attempt.incarnations);
        let incarnation = incarnations
            .filter(|(found, _)| found == instance)
            .map(|(_, incarnation)| *incarnation)
            .next()
            .unwrap_or_default();
        CrashedRun(run_hash(instance, incarnation))
    }

    fn clear_crashes(&self) {
        let fingerprint = self.fingerprint();
        let limit = self.context.settings.routing.poison_crashes;
        self.context.routing.poison.clear(fingerprint, limit);
        broadcast_entry(self.context, fingerprint);
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
