//! How long to wait for tokens and probes.

use crate::routing::AttemptStep;
use crate::routing::machine::{
    AttemptMachine, MachinePhase, PROBE_CEILING, PROBE_FLOOR, RESUME_FACTOR, STALL_LIMIT,
};
use crate::units::MonoTime;
use std::time::Duration;

impl AttemptMachine {
    pub(super) fn wait(&mut self, now: MonoTime) -> AttemptStep {
        let until = match self.phase {
            MachinePhase::Running { probing: true } => self.last_progress.after(STALL_LIMIT),
            _ => self.last_progress.after(self.limit),
        };
        AttemptStep::Wait {
            until: until.max(now).min(self.spec.deadline),
        }
    }

    pub(super) fn token_limit(&self) -> Duration {
        let spec = &self.spec;
        let limit = self.gaps.timeout(spec.token_floor, spec.token_ceiling);
        limit.unwrap_or(spec.first_token_limit)
    }

    pub(super) fn opening_limit(&self) -> Duration {
        let spec = &self.spec;
        let limit = self.gaps.timeout(spec.token_floor, spec.token_ceiling);
        limit.map_or(spec.first_token_limit, |limit| {
            (limit * RESUME_FACTOR).min(spec.first_token_limit)
        })
    }

    pub(super) fn probe_limit(&self) -> Duration {
        self.token_limit().clamp(PROBE_FLOOR, PROBE_CEILING)
    }
}
