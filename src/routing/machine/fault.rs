//! Search for the stage at fault, and what a fault means for later attempts.

use crate::ids::{AttemptNumber, InstanceId, TokenPosition};
use crate::routing::machine::{AttemptMachine, MachinePhase, STALL_TIMEOUT};
use crate::routing::{
    AttemptFailure, AttemptNotice, AttemptStep, AwaitedStep, StageFault, StageProbe,
    find_stage_faults,
};
use crate::units::MonoTime;

impl AttemptMachine {
    /// Probes the engine of the stage that seems to be at fault.
    pub(super) fn probe_suspect_stage(&mut self, index: usize, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Diagnosing { index };
        AttemptStep::Probe {
            stages: vec![self.chain[index].clone()],
            timeout: self.probe_timeout(),
            until: now.after(STALL_TIMEOUT).min(self.limits.deadline),
        }
    }

    /// Probes the engines of the whole chain.
    pub(super) fn probe_chain(&mut self, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Running { probing: true };
        AttemptStep::Probe {
            stages: self.chain.clone(),
            timeout: self.probe_timeout(),
            until: self.last_progress.after(STALL_TIMEOUT).max(now),
        }
    }

    /// Records the stages that the probe results show to be at fault and starts another attempt;
    /// waits longer when no stage is at fault.
    pub(super) fn handle_probe_results(
        &mut self,
        probes: &[StageProbe],
        now: MonoTime,
    ) -> AttemptStep {
        let step = AwaitedStep {
            attempt: AttemptNumber(self.attempts),
            position: TokenPosition(self.delivered().len() as u32),
            waited: now.since(self.last_progress),
            tolerates_slow: self.is_last_resort || self.late_tokens == 0,
            is_last_resort: self.is_last_resort,
            last_step_was_decode: self.attempt_tokens > 1,
        };
        let faults = find_stage_faults(probes, &step);
        if faults.is_empty() {
            self.phase = MachinePhase::Running { probing: false };
            self.current_timeout = step.waited + self.current_timeout;
            return self.wait(now);
        }
        let is_crash = faults
            .iter()
            .any(|(_, fault)| *fault == StageFault::Crashed);
        for (index, fault) in faults {
            // An engine that fell silent while another one crashed was lost in the same event.
            let fault = match fault {
                StageFault::Frozen if is_crash => StageFault::Gone,
                other => other,
            };
            self.record_fault(index, fault, now);
        }
        self.retry(AttemptFailure::Stalled)
    }

    /// Fails the attempt when no token has arrived within [`STALL_TIMEOUT`]. Since any stage may be
    /// the cause, a lost link is recorded for all of them.
    pub(super) fn give_up_if_stalled(&mut self, now: MonoTime) -> AttemptStep {
        if now.since(self.last_progress) < STALL_TIMEOUT {
            return self.wait(now);
        }
        for index in 0..self.chain.len() {
            self.record_fault(index, StageFault::LinkLost, now);
        }
        self.retry(AttemptFailure::Stalled)
    }

    /// Records a fault of a stage, so that later attempts avoid or exclude its engine.
    pub(super) fn record_fault(&mut self, index: usize, fault: StageFault, now: MonoTime) {
        let instance = self.chain[index].instance.clone();
        let was_avoided = self.avoided.contains(&instance);
        // An engine whose fault may pass is avoided the first time and excluded the second time; a
        // slow engine is never excluded.
        if fault.allows_retry() && (fault == StageFault::Slow || !was_avoided) {
            if !was_avoided {
                self.avoided.push(instance.clone());
            }
        } else if !self.excluded.contains(&instance) {
            self.excluded.push(instance.clone());
        }
        if fault == StageFault::Crashed {
            self.record_crash(&instance);
        }
        self.notices.push(AttemptNotice::Fault {
            instance,
            fault,
            detection: now.since(self.last_progress),
        });
    }

    /// Counts a crash against the request.
    pub(super) fn record_crash(&mut self, instance: &InstanceId) {
        // Crashes of one attempt count once, as the failure of a rack takes down several engines.
        if self.last_crash_attempt == self.attempts {
            return;
        }
        self.total_crashes += 1;
        self.last_crash_attempt = self.attempts;
        self.crashes_since_token += 1;
        self.notices
            .push(AttemptNotice::Suspected(instance.clone()));
    }
}
