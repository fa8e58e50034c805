//! Finding the stage at fault and keeping account of it.

use crate::ids::{AttemptNumber, TokenPosition};
use crate::routing::machine::{AttemptMachine, MachinePhase, STALL_LIMIT};
use crate::routing::{
    AttemptFailure, AttemptNotice, AttemptStep, AwaitedStep, StageFault, StageProbe,
    find_stage_faults,
};
use crate::units::MonoTime;

impl AttemptMachine {
    /// Asks the engine of the stage that seems at fault whether it is alive.
    pub(super) fn ask_culprit(&mut self, index: usize, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Failing { index };
        AttemptStep::Probe {
            stages: vec![self.chain[index].clone()],
            limit: self.probe_limit(),
            until: now.after(STALL_LIMIT).min(self.spec.deadline),
        }
    }

    /// Asks the engines of the whole chain how far they have come.
    pub(super) fn probe_chain(&mut self, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Running { probing: true };
        AttemptStep::Probe {
            stages: self.chain.clone(),
            limit: self.probe_limit(),
            until: self.last_progress.after(STALL_LIMIT).max(now),
        }
    }

    pub(super) fn judge(&mut self, probes: &[StageProbe], now: MonoTime) -> AttemptStep {
        let step = AwaitedStep {
            attempt: AttemptNumber(self.attempts),
            position: TokenPosition(self.delivered().len() as u32),
            waited: now.since(self.last_progress),
            tolerates_slow: self.patient || self.late_tokens == 0,
            is_last_resort: self.patient,
            last_step_was_decode: self.attempt_tokens > 1,
        };
        let faults = find_stage_faults(probes, &step);
        if faults.is_empty() {
            self.phase = MachinePhase::Running { probing: false };
            self.limit = step.waited + self.limit;
            return self.wait(now);
        }
        let is_crash = faults
            .iter()
            .any(|(_, fault)| *fault == StageFault::Crashed);
        for (index, fault) in faults {
            // Several engines lost at once are one event.
            let fault = match fault {
                StageFault::Frozen if is_crash => StageFault::Gone,
                other => other,
            };
            self.blame(index, fault, now);
        }
        self.retry(AttemptFailure::Stalled)
    }

    pub(super) fn give_up_if_stalled(&mut self, now: MonoTime) -> AttemptStep {
        if now.since(self.last_progress) < STALL_LIMIT {
            return self.wait(now);
        }
        for index in 0..self.chain.len() {
            self.blame(index, StageFault::LinkLost, now);
        }
        self.retry(AttemptFailure::Stalled)
    }

    /// Records a stage at fault, so that later attempts avoid its engine.
    pub(super) fn blame(&mut self, index: usize, fault: StageFault, now: MonoTime) {
        let instance = self.chain[index].instance.clone();
        let was_doubtful = self.doubtful.contains(&instance);
        // An engine that was only late to answer deserves a second chance, but not a third.
        if fault.allows_retry() && (fault == StageFault::Slow || !was_doubtful) {
            if !was_doubtful {
                self.doubtful.push(instance.clone());
            }
        } else if !self.lost.contains(&instance) {
            self.lost.push(instance.clone());
        }
        if fault == StageFault::Crashed {
            self.note_crash();
        }
        self.notices.push(AttemptNotice::Fault {
            instance,
            fault,
            detection: now.since(self.last_progress),
        });
    }

    pub(super) fn note_crash(&mut self) {
        // Crashes of one attempt count once: a rack that fails takes several engines.
        if self.crash_attempt == self.attempts {
            return;
        }
        self.crashes += 1;
        self.crash_attempt = self.attempts;
        self.suspicion += 1;
        self.notices.push(AttemptNotice::Suspected(self.suspicion));
    }
}
