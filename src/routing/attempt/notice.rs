//! What a request tells other requests and daemons: engines at fault and suspicions.

use crate::kernel::KernelContext;
use crate::routing::attempt::{GenerationRun, SUSPECT_TIME};
use crate::routing::poison_gossip::spread;
use crate::routing::{AttemptNotice, PoisonEntry, PoisonFingerprint, StageFault, TargetState};
use std::time::Duration;

impl GenerationRun<'_> {
    pub(super) fn take_notice(&mut self, notice: &AttemptNotice) {
        match notice {
            AttemptNotice::Fault {
                instance,
                fault,
                detection,
            } => {
                self.note_fault(instance.as_str(), *fault, *detection);
                if fault.is_engine_fault()
                    && let Some(target) = self.context.targets.get(instance)
                {
                    eject(self.context, &target);
                }
            }
            AttemptNotice::FirstToken => {
                self.trial = None;
                if let Some(attempt) = &self.attempt {
                    for target in &attempt.targets {
                        target.health.record_success();
                    }
                }
            }
            AttemptNotice::Suspected(crashes) => self.suspect(*crashes),
            AttemptNotice::Cleared => self.clear_suspicion(),
        }
    }

    fn note_fault(&mut self, instance: &str, fault: StageFault, detection: Duration) {
        self.has_failed = true;
        let routing = &self.context.routing;
        routing.with_metrics(|metrics| metrics.count_fault(fault, detection));
        let parent = self.generation.trace;
        if let Some(attempt) = &mut self.attempt {
            attempt.span.fail(format!("{instance} {}", fault.name()));
        }
        let traces = &self.context.traces;
        let resume = self
            .resume
            .get_or_insert_with(|| traces.start("resume", parent));
        resume.set("fault", format!("{instance} {}", fault.name()));
        resume.set("detection_us", detection.as_micros());
    }

    fn fingerprint(&self) -> PoisonFingerprint {
        PoisonFingerprint::new(&self.generation.entry, &self.generation.prompt)
    }

    fn suspect(&self, crashes: u32) {
        let settings = &self.context.settings.routing;
        let is_poison = crashes >= settings.poison_crashes;
        let ttl = if is_poison {
            settings.poison_time()
        } else {
            SUSPECT_TIME
        };
        let now = self.context.clock.now();
        let entry = PoisonEntry {
            crashes,
            until: now.after(ttl),
        };
        let fingerprint = self.fingerprint();
        self.context.routing.poison.record(fingerprint, entry, now);
        spread(self.context, fingerprint, crashes, ttl);
        let event = if is_poison { "poisoned" } else { "suspected" };
        self.context
            .routing
            .with_metrics(|metrics| metrics.count_suspect(event));
        if is_poison {
            log::warn!("requests with fingerprint {fingerprint} are refused: {crashes} crashes");
        }
    }

    fn clear_suspicion(&self) {
        let fingerprint = self.fingerprint();
        let limit = self.context.settings.routing.poison_crashes;
        self.context.routing.poison.clear(fingerprint, limit);
        spread(self.context, fingerprint, 0, Duration::ZERO);
        self.context
            .routing
            .with_metrics(|metrics| metrics.count_suspect("cleared"));
    }
}

/// Closes an engine for a while, or only shortly when half of the engines are closed already.
fn eject(context: &KernelContext, target: &TargetState) {
    let now = context.clock.now();
    let targets = context.targets.all();
    let closed = targets.iter().filter(|t| !t.health.admits(now)).count();
    let is_capped = (closed + 1) * 2 > targets.len();
    target.health.record_failure(now, is_capped);
    context
        .routing
        .with_metrics(|metrics| metrics.count_ejection(is_capped));
}
