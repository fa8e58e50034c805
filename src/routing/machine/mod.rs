//! The state machine that runs one request over attempts: which chain to look for, how long to
//! wait, whom to probe, what to deliver and when to end. It has no sockets and no clock.

use crate::engine::{ChainStage, FinishCause, StreamRecord};
use crate::http::RunOutcome;
use crate::ids::InstanceId;
mod event;
mod fault;
mod timeouts;

pub use event::{AttemptEvent, AttemptLimits, AttemptNotice, AttemptStep, ChainConstraints};

use crate::routing::{
    AttemptFailure, DeliveryState, DeliveryStep, FinalAnswer, GapEstimate, StageFault, StageProbe,
};
use crate::units::MonoTime;
use std::sync::Arc;
use std::time::Duration;

/// Attempts allowed for one request.
const MAX_ATTEMPTS: u32 = 8;
/// Crashes of its targets after which a request is given up, even if it made progress in between.
const MAX_CRASHES: u32 = 5;
/// Longest time without a token before the attempt counts as stalled, whatever the engines say.
const STALL_LIMIT: Duration = Duration::from_secs(10);
/// Shortest wait for a probe; a busy engine may need it.
const PROBE_FLOOR: Duration = Duration::from_millis(100);
/// Longest wait for a probe.
const PROBE_CEILING: Duration = Duration::from_millis(250);
/// Late tokens in a row after which their gaps count as usual.
const MAX_LATE_TOKENS: u32 = 6;
/// Factor on the wait for a token that gives the wait for a resumed attempt's first one.
const RESUME_FACTOR: u32 = 4;
/// Pause before looking for a chain again when another request has reserved its engines.
const RESERVED_PAUSE: Duration = Duration::from_millis(5);

/// Where the request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum MachinePhase {
    /// Looks for a chain; `level` counts the wishes that could not be met.
    Finding {
        level: u32,
    },
    /// Asks the engines of a reserved chain whether they are alive before it runs alone on them.
    Checking,
    /// Waits for records. `probing` while the chain is probed.
    Running {
        probing: bool,
    },
    /// The stream has ended; the engine at fault is being asked whether it is alive.
    Failing {
        index: usize,
    },
    /// A token is being handed over.
    Delivering,
    Ended,
}

/// Runs one request over attempts.
#[derive(Debug, Clone)]
pub struct AttemptMachine {
    spec: AttemptLimits,
    delivery: DeliveryState,
    phase: MachinePhase,
    chain: Vec<ChainStage>,
    attempts: u32,
    gaps: GapEstimate,
    /// Time of the last sign of progress: the start of the attempt or its last token.
    last_progress: MonoTime,
    /// Wait for the next token; doubles when probes find nothing.
    limit: Duration,
    has_token: bool,
    /// Tokens of the current attempt.
    attempt_tokens: u32,
    /// Tokens in a row that came later than the limit.
    late_tokens: u32,
    ever_opened: bool,
    patient: bool,
    lost: Vec<InstanceId>,
    doubtful: Vec<InstanceId>,
    warm: Vec<InstanceId>,
    suspicion: u32,
    crashes: u32,
    /// Attempt in which the last crash was seen.
    crash_attempt: u32,
    last_failure: Option<AttemptFailure>,
    notices: Vec<AttemptNotice>,
}

impl AttemptMachine {
    /// Creates the machine of a request.
    pub fn new(spec: AttemptLimits) -> Self {
        Self {
            delivery: DeliveryState::new(spec.request),
            phase: MachinePhase::Finding { level: 0 },
            chain: Vec::new(),
            attempts: 0,
            gaps: GapEstimate::default(),
            last_progress: MonoTime::default(),
            limit: spec.first_token_limit,
            has_token: false,
            attempt_tokens: 0,
            late_tokens: 0,
            ever_opened: false,
            patient: false,
            lost: Vec::new(),
            doubtful: Vec::new(),
            warm: Vec::new(),
            suspicion: spec.prior_crashes,
            crashes: 0,
            crash_attempt: 0,
            last_failure: None,
            notices: Vec::new(),
            spec,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> AttemptStep {
        if self.suspicion >= self.spec.poison_crashes {
            return self.finish(FinalAnswer::Poisoned {
                outcome: RunOutcome::NotRun,
            });
        }
        self.find(0)
    }

    /// Tokens delivered so far.
    pub fn delivered(&self) -> &[Arc<str>] {
        self.delivery.delivered()
    }

    /// Takes what others should learn.
    pub fn take_notices(&mut self) -> Vec<AttemptNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Takes an event and says what to do next.
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
        if now >= self.spec.deadline && !matches!(event, AttemptEvent::Record(_)) {
            let outcome = self.outcome();
            return self.finish(FinalAnswer::TimedOut { outcome });
        }
        match self.phase.clone() {
            MachinePhase::Finding { level } => self.handle_finding(event, level, now),
            MachinePhase::Checking => self.handle_checking(event, now),
            MachinePhase::Running { probing } => self.handle_running(event, probing, now),
            MachinePhase::Failing { index } => self.handle_failing(event, index, now),
            MachinePhase::Delivering | MachinePhase::Ended => {
                // A caller that reads slowly is no fault of the engines.
                self.last_progress = now;
                self.phase = MachinePhase::Running { probing: false };
                self.wait(now)
            }
        }
    }

    fn handle_finding(&mut self, event: AttemptEvent, level: u32, now: MonoTime) -> AttemptStep {
        match event {
            AttemptEvent::Chain(chain) => {
                self.chain = chain;
                self.patient = level > 0;
                if self.is_suspect() {
                    self.check_alive(now)
                } else {
                    self.open(now)
                }
            }
            AttemptEvent::NoChain if level < 2 => self.find(level + 1),
            AttemptEvent::NoChain => {
                let outcome = self.outcome();
                self.finish(FinalAnswer::NoChain { outcome })
            }
            AttemptEvent::Reserved => AttemptStep::Wait {
                until: now.after(RESERVED_PAUSE).min(self.spec.deadline),
            },
            _ => self.find(level),
        }
    }

    /// A crash condemns a suspect only if its engines were alive just before.
    fn check_alive(&mut self, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Checking;
        self.last_progress = now;
        AttemptStep::Probe {
            stages: self.chain.clone(),
            limit: PROBE_CEILING,
            until: self.spec.deadline,
        }
    }

    fn handle_checking(&mut self, event: AttemptEvent, now: MonoTime) -> AttemptStep {
        let AttemptEvent::Probed(probes) = event else {
            return AttemptStep::Wait {
                until: self.spec.deadline,
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
            self.blame(index, fault, now);
        }
        if is_alive {
            self.open(now)
        } else {
            self.find(0)
        }
    }

    fn handle_running(&mut self, event: AttemptEvent, probing: bool, now: MonoTime) -> AttemptStep {
        match event {
            AttemptEvent::Opened => {
                self.ever_opened = true;
                self.wait(now)
            }
            AttemptEvent::Refused(status) => {
                self.blame(0, StageFault::Refusing, now);
                self.retry(AttemptFailure::Refused(status))
            }
            AttemptEvent::NotSent => {
                self.blame(0, StageFault::Gone, now);
                self.retry(AttemptFailure::HeadLost("not reachable".to_owned()))
            }
            AttemptEvent::Lost(cause) => {
                self.ever_opened = true;
                self.last_failure = Some(AttemptFailure::HeadLost(cause));
                self.ask_culprit(0, now)
            }
            AttemptEvent::Record(record) => self.take_record(record, now),
            AttemptEvent::Timer if !probing => self.probe_chain(now),
            AttemptEvent::Timer => self.give_up_if_stalled(now),
            AttemptEvent::Probed(probes) if probing => self.judge(&probes, now),
            _ => self.wait(now),
        }
    }

    fn handle_failing(&mut self, event: AttemptEvent, index: usize, now: MonoTime) -> AttemptStep {
        let AttemptEvent::Probed(probes) = event else {
            return AttemptStep::Wait {
                until: self.spec.deadline,
            };
        };
        let fault = match probes.first() {
            Some(StageProbe::Refused | StageProbe::Restarted) => StageFault::Crashed,
            Some(StageProbe::Silent) | None => StageFault::Frozen,
            Some(StageProbe::Answered { progress, .. }) => {
                let forgot = progress.phase == crate::engine::StagePhase::Unknown;
                if forgot && self.has_token {
                    StageFault::Crashed
                } else {
                    StageFault::LinkLost
                }
            }
        };
        self.blame(index, fault, now);
        let failure = self.last_failure.clone();
        self.retry(failure.unwrap_or(AttemptFailure::Stalled))
    }

    fn take_record(&mut self, record: StreamRecord, now: MonoTime) -> AttemptStep {
        match self.delivery.accept(record) {
            DeliveryStep::Ignore => self.wait(now),
            DeliveryStep::Deliver(text) => self.take_token(text, now),
            DeliveryStep::Complete(cause) => self.complete(cause, now),
            DeliveryStep::Failed(AttemptFailure::StageFailed { instance, cause }) => {
                let index = self.chain.iter().position(|s| s.instance == instance);
                self.last_failure = Some(AttemptFailure::StageFailed { instance, cause });
                self.ask_culprit(index.unwrap_or(0), now)
            }
            DeliveryStep::Failed(failure) => {
                self.blame(0, StageFault::Misbehaving, now);
                self.retry(failure)
            }
        }
    }

    fn take_token(&mut self, text: Arc<str>, now: MonoTime) -> AttemptStep {
        if self.has_token {
            self.observe_gap(now.since(self.last_progress));
        } else {
            self.notices.push(AttemptNotice::FirstToken);
            // Engines lost before may be replaced by the time another one fails.
            let lost = std::mem::take(&mut self.lost);
            self.doubtful.extend(lost);
            if self.suspicion > 0 {
                self.suspicion = 0;
                self.notices.push(AttemptNotice::Cleared);
            }
        }
        self.has_token = true;
        self.attempt_tokens += 1;
        self.ever_opened = true;
        self.last_progress = now;
        self.limit = self.token_limit();
        self.phase = MachinePhase::Delivering;
        AttemptStep::Deliver(text)
    }

    /// Late tokens are signs of a fault and kept out of the estimate, unless so many come in a row
    /// that they are the usual pace by now.
    fn observe_gap(&mut self, gap: Duration) {
        let is_late = gap > self.token_limit();
        self.late_tokens = if is_late { self.late_tokens + 1 } else { 0 };
        if !is_late || self.late_tokens > MAX_LATE_TOKENS {
            self.gaps.observe(gap);
        }
    }

    fn complete(&mut self, cause: FinishCause, now: MonoTime) -> AttemptStep {
        let tokens = self.delivered().len() as u32;
        if cause == FinishCause::Length && tokens != self.spec.max_tokens {
            self.blame(0, StageFault::Misbehaving, now);
            return self.retry(AttemptFailure::OutOfOrder);
        }
        self.finish(FinalAnswer::Complete { cause, tokens })
    }

    fn retry(&mut self, failure: AttemptFailure) -> AttemptStep {
        let outcome = self.outcome();
        if self.suspicion >= self.spec.poison_crashes || self.crashes >= MAX_CRASHES {
            return self.finish(FinalAnswer::Poisoned { outcome });
        }
        if self.attempts >= MAX_ATTEMPTS {
            return self.finish(FinalAnswer::Exhausted { outcome, failure });
        }
        self.last_failure = Some(failure);
        let survivors = self.chain.iter().map(|stage| stage.instance.clone());
        self.warm = survivors
            .filter(|instance| !self.lost.contains(instance))
            .collect();
        self.find(0)
    }

    fn find(&mut self, level: u32) -> AttemptStep {
        self.phase = MachinePhase::Finding { level };
        let mut excluded = self.lost.clone();
        if level == 0 {
            excluded.extend(self.doubtful.iter().cloned());
        }
        AttemptStep::FindChain(ChainConstraints {
            excluded,
            warm: self.warm.clone(),
            ignore_health: level > 1,
            isolated: self.is_suspect(),
        })
    }

    fn open(&mut self, now: MonoTime) -> AttemptStep {
        let attempt = self.delivery.start_attempt();
        self.attempts = attempt.0;
        self.has_token = false;
        self.attempt_tokens = 0;
        self.late_tokens = 0;
        self.last_progress = now;
        self.limit = self.opening_limit();
        self.phase = MachinePhase::Running { probing: false };
        AttemptStep::Open {
            attempt,
            chain: self.chain.clone(),
        }
    }

    fn is_suspect(&self) -> bool {
        self.suspicion > 0
    }

    /// What a caller can be told about the run so far.
    fn outcome(&self) -> RunOutcome {
        if !self.delivered().is_empty() {
            RunOutcome::Partial
        } else if self.ever_opened {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    fn finish(&mut self, answer: FinalAnswer) -> AttemptStep {
        self.phase = MachinePhase::Ended;
        AttemptStep::Finish(answer)
    }
}
