//! State machine that runs one request over several attempts: it decides which chain to use, how
//! long to wait, which engines to probe, what to deliver and when to end. It has no sockets and no
//! clock: its driver passes events and times in and carries out the returned steps.

use crate::engine::{ChainStage, FinishCause, StreamRecord};
use crate::http::ExecutionOutcome;
use crate::ids::InstanceId;
mod event;
mod fault;
mod pace;
mod timeouts;

pub use event::{AttemptEvent, AttemptLimits, AttemptNotice, AttemptStep, ChainConstraints};

use crate::routing::machine::pace::TokenPace;
use crate::routing::{
    AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer, GapEstimate, StageFault, StageProbe,
};
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 8;
/// Crashes of engines after which a request is refused as poison, even if it made progress in
/// between.
const MAX_CRASHES: u32 = 5;
/// Longest time without a token before the attempt fails, whatever the engines report.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest timeout of a probe, enough for a busy engine to answer.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest timeout of a probe.
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Late tokens in a row after which late gaps enter the gap estimate too.
const MAX_LATE_TOKENS: u32 = 6;
/// Factor from the token timeout to the timeout for the first token of a resumed attempt.
const RESUME_TIMEOUT_FACTOR: u32 = 4;
/// Pause before the next search for a chain when all engines are reserved for other requests.
const RESERVED_PAUSE: Duration = Duration::from_millis(5);

/// Phase of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum MachinePhase {
    /// Looks for a chain.
    FindingChain {
        /// Number of times that the requirements were relaxed: 1 allows avoided engines, 2 also
        /// those that are ejected or have not loaded the stage.
        relaxation: u32,
    },
    /// Probes the engines of a reserved chain before a suspected request runs on them.
    CheckingAlive,
    /// Waits for records.
    Running {
        /// True while the chain is probed.
        probing: bool,
    },
    /// The stream has ended; probes the stage that seems to be at fault.
    Diagnosing {
        /// Index of the stage in the chain.
        index: usize,
    },
    /// Hands a token to the caller.
    Delivering,
    /// The request has ended.
    Ended,
}

/// State machine of one request.
#[derive(Debug, Clone)]
pub struct AttemptMachine {
    limits: AttemptLimits,
    delivery: DeliveryState,
    phase: MachinePhase,
    chain: Vec<ChainStage>,
    attempts: u32,
    /// Gaps between the tokens of this request.
    gaps: GapEstimate,
    pace: TokenPace,
    /// Start of the attempt or time of its last token, whichever is later.
    last_progress: MonoTime,
    /// Wait for the next token before the chain is probed; grows when a probe finds no fault.
    current_timeout: Duration,
    /// True when the current attempt has delivered a token.
    attempt_has_token: bool,
    /// Tokens of the current attempt.
    attempt_tokens: u32,
    /// Tokens in a row that arrived after the token timeout.
    late_tokens: u32,
    /// True when an engine may have executed the request.
    may_have_run: bool,
    /// True when the chain was found only after the requirements had been relaxed.
    is_last_resort: bool,
    /// Engines that must not be used.
    excluded: Vec<InstanceId>,
    /// Engines that are used only when no other chain is left.
    avoided: Vec<InstanceId>,
    /// Engines that hold KV cache of the request.
    warm: Vec<InstanceId>,
    /// Crashes since the last token, including those recorded for earlier requests with the same
    /// model and prompt.
    crashes_since_token: u32,
    /// Crashes under this request.
    total_crashes: u32,
    /// Attempt in which the last crash was found.
    last_crash_attempt: u32,
    last_failure: Option<AttemptFailure>,
    notices: Vec<AttemptNotice>,
}

impl AttemptMachine {
    /// Creates the machine of a request.
    pub fn new(limits: AttemptLimits) -> Self {
        Self {
            delivery: DeliveryState::new(limits.request),
            phase: MachinePhase::FindingChain { relaxation: 0 },
            chain: Vec::new(),
            attempts: 0,
            gaps: GapEstimate::default(),
            pace: TokenPace::default(),
            last_progress: MonoTime::default(),
            current_timeout: limits.first_token_limit,
            attempt_has_token: false,
            attempt_tokens: 0,
            late_tokens: 0,
            may_have_run: false,
            is_last_resort: false,
            excluded: Vec::new(),
            avoided: Vec::new(),
            warm: Vec::new(),
            crashes_since_token: limits.prior_crashes,
            total_crashes: 0,
            last_crash_attempt: 0,
            last_failure: None,
            notices: Vec::new(),
            limits,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> AttemptStep {
        if self.crashes_since_token >= self.limits.poison_crashes {
            return self.finish(FinalAnswer::Poisoned {
                outcome: ExecutionOutcome::NotExecuted,
            });
        }
        self.find_chain(0)
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> &[Arc<str>] {
        self.delivery.delivered()
    }

    /// Removes and returns the notices that have gathered.
    pub fn take_notices(&mut self) -> Vec<AttemptNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Handles an event and returns the next step.
    pub fn handle(&mut self, event: AttemptEvent, now: MonoTime) -> AttemptStep {
        if self.phase == MachinePhase::Ended {
            return AttemptStep::Wait { until: now };
        }
        if event == AttemptEvent::CallerGone {
            return self.finish(FinalAnswer::CallerGone);
        }
        if event == AttemptEvent::Poisoned {
            let outcome = self.outcome();
            return self.finish(FinalAnswer::Poisoned { outcome });
        }
        if now >= self.limits.deadline && !matches!(event, AttemptEvent::Record(_)) {
            let outcome = self.outcome();
            return self.finish(FinalAnswer::TimedOut { outcome });
        }
        match self.phase.clone() {
            MachinePhase::FindingChain { relaxation } => {
                self.handle_finding_chain(event, relaxation, now)
            }
            MachinePhase::CheckingAlive => self.handle_checking_alive(event, now),
            MachinePhase::Running { probing } => self.handle_running(event, probing, now),
            MachinePhase::Diagnosing { index } => self.handle_diagnosing(event, index, now),
            MachinePhase::Delivering | MachinePhase::Ended => {
                // The time that a slow caller took to read is not held against the engines.
                self.last_progress = now;
                self.phase = MachinePhase::Running { probing: false };
                self.wait(now)
            }
        }
    }

    fn handle_finding_chain(
        &mut self,
        event: AttemptEvent,
        relaxation: u32,
        now: MonoTime,
    ) -> AttemptStep {
        match event {
            AttemptEvent::Chain(chain) => {
                self.chain = chain;
                self.is_last_resort = relaxation > 0;
                if self.is_suspect() {
                    self.check_alive(now)
                } else {
                    self.open(now)
                }
            }
            AttemptEvent::NoChain if relaxation < 2 => self.find_chain(relaxation + 1),
            AttemptEvent::NoChain => {
                let outcome = self.outcome();
                self.finish(FinalAnswer::NoChain { outcome })
            }
            AttemptEvent::Reserved => AttemptStep::Wait {
                until: now.after(RESERVED_PAUSE).min(self.limits.deadline),
            },
            _ => self.find_chain(relaxation),
        }
    }

    /// Probes the chain before a suspected request runs on it: a crash counts against the request
    /// only if the engines were alive just before.
    fn check_alive(&mut self, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::CheckingAlive;
        self.last_progress = now;
        AttemptStep::Probe {
            stages: self.chain.clone(),
            timeout: MAX_PROBE_TIMEOUT,
            until: self.limits.deadline,
        }
    }

    fn handle_checking_alive(&mut self, event: AttemptEvent, now: MonoTime) -> AttemptStep {
        let AttemptEvent::Probed(probes) = event else {
            return AttemptStep::Wait {
                until: self.limits.deadline,
            };
        };
        let mut is_alive = true;
        for (index, probe) in probes.iter().enumerate() {
            let fault = match probe {
                StageProbe::Refused | StageProbe::Restarted => StageFault::Gone,
                StageProbe::Silent => StageFault::Frozen,
                StageProbe::Answered { .. } => continue,
            };
            is_alive = false;
            self.record_fault(index, fault, now);
        }
        if is_alive {
            self.open(now)
        } else {
            self.find_chain(0)
        }
    }

    fn handle_running(&mut self, event: AttemptEvent, probing: bool, now: MonoTime) -> AttemptStep {
        match event {
            AttemptEvent::Opened => {
                self.may_have_run = true;
                self.wait(now)
            }
            AttemptEvent::Refused(status) => {
                self.record_fault(0, StageFault::Refusing, now);
                self.retry(AttemptFailure::Refused(status))
            }
            AttemptEvent::NotSent => {
                self.record_fault(0, StageFault::Gone, now);
                self.retry(AttemptFailure::HeadLost("not reachable".to_owned()))
            }
            AttemptEvent::Lost(cause) => {
                self.may_have_run = true;
                self.last_failure = Some(AttemptFailure::HeadLost(cause));
                self.probe_suspect_stage(0, now)
            }
            AttemptEvent::Record(record) => self.handle_record(record, now),
            AttemptEvent::Timer if !probing => self.probe_chain(now),
            AttemptEvent::Timer => self.give_up_if_stalled(now),
            AttemptEvent::Probed(probes) if probing => self.handle_probe_results(&probes, now),
            _ => self.wait(now),
        }
    }

    fn handle_diagnosing(
        &mut self,
        event: AttemptEvent,
        index: usize,
        now: MonoTime,
    ) -> AttemptStep {
        let AttemptEvent::Probed(probes) = event else {
            return AttemptStep::Wait {
                until: self.limits.deadline,
            };
        };
        let fault = match probes.first() {
            Some(StageProbe::Refused | StageProbe::Restarted) => StageFault::Crashed,
            Some(StageProbe::Silent) | None => StageFault::Frozen,
            Some(StageProbe::Answered { progress, .. }) => {
                // An engine that worked on the attempt and no longer knows it has restarted.
                let is_unknown = progress.phase == crate::engine::StagePhase::Unknown;
                if is_unknown && self.attempt_has_token {
                    StageFault::Crashed
                } else {
                    StageFault::LinkLost
                }
            }
        };
        self.record_fault(index, fault, now);
        let failure = self.last_failure.clone();
        self.retry(failure.unwrap_or(AttemptFailure::Stalled))
    }

    fn handle_record(&mut self, record: StreamRecord, now: MonoTime) -> AttemptStep {
        match self.delivery.accept(record) {
            DeliveryStep::Ignore => self.wait(now),
            DeliveryStep::Deliver(text) => self.handle_token(text, now),
            DeliveryStep::Complete(cause) => self.complete(cause, now),
            DeliveryStep::Failed(AttemptFailure::StageFailed { instance, cause }) => {
                let index = self.chain.iter().position(|s| s.instance == instance);
                self.last_failure = Some(AttemptFailure::StageFailed { instance, cause });
                self.probe_suspect_stage(index.unwrap_or(0), now)
            }
            DeliveryStep::Failed(failure) => {
                self.record_fault(0, StageFault::Misbehaving, now);
                self.retry(failure)
            }
        }
    }

    fn handle_token(&mut self, text: Arc<str>, now: MonoTime) -> AttemptStep {
        if self.attempt_has_token {
            self.observe_gap(now.since(self.last_progress));
        } else {
            self.notices.push(AttemptNotice::FirstToken);
            // Excluded engines may have been replaced by the time another one fails, so they are
            // only avoided from now on.
            let excluded = std::mem::take(&mut self.excluded);
            self.avoided.extend(excluded);
            if self.crashes_since_token > 0 {
                self.crashes_since_token = 0;
                self.notices.push(AttemptNotice::Cleared);
            }
        }
        self.attempt_has_token = true;
        self.attempt_tokens += 1;
        self.may_have_run = true;
        self.last_progress = now;
        self.current_timeout = self.token_timeout();
        self.phase = MachinePhase::Delivering;
        AttemptStep::Deliver(text)
    }

    /// Adds a gap to the estimate. A late token is a sign of a fault and left out, unless so many
    /// are late in a row that their gaps have become usual.
    fn observe_gap(&mut self, gap: Duration) {
        self.pace.observe(gap);
        let is_late = gap > self.token_timeout();
        self.late_tokens = if is_late { self.late_tokens + 1 } else { 0 };
        if !is_late || self.late_tokens > MAX_LATE_TOKENS {
            self.gaps.observe(gap);
        }
    }

    fn complete(&mut self, cause: FinishCause, now: MonoTime) -> AttemptStep {
        let tokens = self.delivered().len() as u32;
        if cause == FinishCause::Length && tokens != self.limits.max_tokens {
            self.record_fault(0, StageFault::Misbehaving, now);
            return self.retry(AttemptFailure::OutOfOrder);
        }
        self.finish(FinalAnswer::Complete { cause, tokens })
    }

    fn retry(&mut self, failure: AttemptFailure) -> AttemptStep {
        let outcome = self.outcome();
        if self.crashes_since_token >= self.limits.poison_crashes
            || self.total_crashes >= MAX_CRASHES
        {
            return self.finish(FinalAnswer::Poisoned { outcome });
        }
        if self.attempts >= MAX_ATTEMPTS {
            return self.finish(FinalAnswer::Exhausted { outcome, failure });
        }
        self.last_failure = Some(failure);
        // Engines that are still usable hold KV cache of the request.
        let remaining = self.chain.iter().map(|stage| stage.instance.clone());
        self.warm = remaining
            .filter(|instance| !self.excluded.contains(instance))
            .collect();
        self.find_chain(0)
    }

    fn find_chain(&mut self, relaxation: u32) -> AttemptStep {
        self.phase = MachinePhase::FindingChain { relaxation };
        let mut excluded = self.excluded.clone();
        if relaxation == 0 {
            excluded.extend(self.avoided.iter().cloned());
        }
        AttemptStep::FindChain(ChainConstraints {
            excluded,
            warm: self.warm.clone(),
            ignore_health: relaxation > 1,
            isolated: self.is_suspect(),
        })
    }

    fn open(&mut self, now: MonoTime) -> AttemptStep {
        let attempt = self.delivery.start_attempt();
        self.attempts = attempt.0;
        self.attempt_has_token = false;
        self.attempt_tokens = 0;
        self.late_tokens = 0;
        self.pace.start_attempt();
        self.last_progress = now;
        self.current_timeout = self.first_token_timeout();
        self.phase = MachinePhase::Running { probing: false };
        AttemptStep::Open {
            attempt,
            chain: self.chain.clone(),
        }
    }

    fn is_suspect(&self) -> bool {
        self.crashes_since_token > 0
    }

    /// Whether the request was executed so far, as far as a caller can be told.
    fn outcome(&self) -> ExecutionOutcome {
        if !self.delivered().is_empty() {
            ExecutionOutcome::Partial
        } else if self.may_have_run {
            ExecutionOutcome::Unknown
        } else {
            ExecutionOutcome::NotExecuted
        }
    }

    fn finish(&mut self, answer: FinalAnswer) -> AttemptStep {
        self.phase = MachinePhase::Ended;
        AttemptStep::Finish(answer)
    }
}
