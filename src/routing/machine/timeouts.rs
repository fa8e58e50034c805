//! Timeouts for tokens and probes.

use crate::routing::AttemptStep;
use crate::routing::machine::{
    AttemptMachine, MAX_PROBE_TIMEOUT, MIN_PROBE_TIMEOUT, MachinePhase, RESUME_TIMEOUT_FACTOR,
    STALL_TIMEOUT,
};
use crate::units::MonoTime;
use std::time::Duration;

impl AttemptMachine {
    /// Waits for the next event, until the chain must be probed, the attempt has stalled or the
    /// deadline has passed.
    pub(super) fn wait(&mut self, now: MonoTime) -> AttemptStep {
        let until = match self.phase {
            MachinePhase::Running { probing: true } => self.last_progress.after(STALL_TIMEOUT),
            _ => self.last_progress.after(self.current_timeout),
        };
        AttemptStep::Wait {
            until: until.max(now).min(self.limits.deadline),
        }
    }

    /// Timeout for the next token, after which the chain is probed.
    pub(super) fn token_timeout(&self) -> Duration {
        let limits = &self.limits;
        let timeout = self.gaps.timeout(limits.token_floor, limits.token_ceiling);
        let timeout = timeout.unwrap_or(limits.first_token_limit);
        let pace = self.pace.timeout().unwrap_or(timeout);
        timeout.min(pace.max(limits.token_floor))
    }

    /// Timeout for the first token of an attempt, after which the chain is probed: a multiple of
    /// the token timeout once gaps are known, but at most the configured one.
    pub(super) fn first_token_timeout(&self) -> Duration {
        let limits = &self.limits;
        let timeout = self.gaps.timeout(limits.token_floor, limits.token_ceiling);
        timeout.map_or(limits.first_token_limit, |timeout| {
            (timeout * RESUME_TIMEOUT_FACTOR).min(limits.first_token_limit)
        })
    }

    /// Timeout of a probe.
    pub(super) fn probe_timeout(&self) -> Duration {
        self.token_timeout()
            .clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }
}
