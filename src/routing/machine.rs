//! The state machine that runs one request over attempts: which chain to look for, how long to
//! wait, whom to probe, what to deliver and when to end. It has no sockets and no clock.

use crate::engine::{ChainStage, FinishCause, StreamRecord};
use crate::http::RunOutcome;
use crate::ids::{AttemptNumber, InstanceId, RequestId, TokenPosition};
use crate::routing::{
    AttemptFailure, AwaitedStep, DeliveryState, DeliveryStep, FinalAnswer, GapEstimate, StageFault,
    StageProbe, judge_probes,
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

/// Limits of one request.
#[derive(Debug, Clone, Copy)]
pub struct MachineSpec {
    /// Request.
    pub request: RequestId,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Time by which the answer must be complete.
    pub deadline: MonoTime,
    /// Shortest wait for a token before the chain is probed.
    pub floor: Duration,
    /// Longest wait for a token before the chain is probed.
    pub ceiling: Duration,
    /// Longest wait for the first token before the chain is probed.
    pub first_token: Duration,
    /// Crashes without a token in between after which the request is poison.
    pub poison_crashes: u32,
    /// Crashes that requests of the same content have caused before.
    pub suspicion: u32,
}

/// What kind of chain to look for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainWish {
    /// Engines that must not be used.
    pub excluded: Vec<InstanceId>,
    /// Engines that hold KV cache of the request.
    pub warm: Vec<InstanceId>,
    /// True to use engines that are closed after failures too.
    pub desperate: bool,
    /// True to reserve the engines, as the request may crash them.
    pub alone: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A chain was found, and reserved if so wished.
    Chain(Vec<ChainStage>),
    /// No chain fits the wish.
    NoChain,
    /// The chains that fit are reserved by other requests.
    Reserved,
    /// The first engine has accepted the request.
    Opened,
    /// The first engine has refused the request; it has not run.
    Refused(u16),
    /// No connection to the first engine could be opened.
    NotSent,
    /// The stream failed or ended early.
    Lost(String),
    /// A record arrived.
    Record(StreamRecord),
    /// The token was handed to the caller.
    Delivered,
    /// The caller has closed its connection.
    CallerGone,
    /// Requests of the same content have been found to crash targets.
    Condemned,
    /// The time waited for has come.
    Timer,
    /// Answers of the engines that were probed.
    Probed(Vec<StageProbe>),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStep {
    /// Look for a chain.
    FindChain(ChainWish),
    /// Send the request to the first engine of the chain, giving up the attempt before.
    Open {
        /// Number of the new attempt.
        attempt: AttemptNumber,
        /// Chain.
        chain: Vec<ChainStage>,
    },
    /// Wait for an event, at most until `until`.
    Wait {
        /// Time of [`AttemptEvent::Timer`].
        until: MonoTime,
    },
    /// Hand the token to the caller.
    Deliver(Arc<str>),
    /// Ask these engines for their progress, and go on waiting meanwhile.
    Probe {
        /// Stages to ask.
        stages: Vec<ChainStage>,
        /// Time allowed for the answers.
        limit: Duration,
        /// Time of [`AttemptEvent::Timer`].
        until: MonoTime,
    },
    /// The request has ended.
    Finish(FinalAnswer),
}

/// What others should learn from an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptNotice {
    /// A stage was found at fault.
    Fault {
        /// Engine.
        instance: InstanceId,
        /// What is wrong with it.
        fault: StageFault,
        /// Time from the last sign of life to this finding.
        detection: Duration,
    },
    /// The engines of the chain have generated a token.
    Worked,
    /// Targets have crashed under this request so many times without a token in between.
    Suspected(u32),
    /// The request is no longer suspected.
    Cleared,
}

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
    spec: MachineSpec,
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
    pub fn new(spec: MachineSpec) -> Self {
        Self {
            delivery: DeliveryState::new(spec.request),
            phase: MachinePhase::Finding { level: 0 },
            chain: Vec::new(),
            attempts: 0,
            gaps: GapEstimate::default(),
            last_progress: MonoTime::default(),
            limit: spec.first_token,
            has_token: false,
            attempt_tokens: 0,
            late_tokens: 0,
            ever_opened: false,
            patient: false,
            lost: Vec::new(),
            doubtful: Vec::new(),
            warm: Vec::new(),
            suspicion: spec.suspicion,
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
        if event == AttemptEvent::Condemned {
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
            self.notices.push(AttemptNotice::Worked);
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

    /// Asks the engine of the stage that seems at fault whether it is alive.
    fn ask_culprit(&mut self, index: usize, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Failing { index };
        AttemptStep::Probe {
            stages: vec![self.chain[index].clone()],
            limit: self.probe_limit(),
            until: now.after(STALL_LIMIT).min(self.spec.deadline),
        }
    }

    /// Asks the engines of the whole chain how far they have come.
    fn probe_chain(&mut self, now: MonoTime) -> AttemptStep {
        self.phase = MachinePhase::Running { probing: true };
        AttemptStep::Probe {
            stages: self.chain.clone(),
            limit: self.probe_limit(),
            until: self.last_progress.after(STALL_LIMIT).max(now),
        }
    }

    fn judge(&mut self, probes: &[StageProbe], now: MonoTime) -> AttemptStep {
        let step = AwaitedStep {
            attempt: AttemptNumber(self.attempts),
            position: TokenPosition(self.delivered().len() as u32),
            waited: now.since(self.last_progress),
            patient: self.patient || self.late_tokens == 0,
            is_last_resort: self.patient,
            has_history: self.attempt_tokens > 1,
        };
        let faults = judge_probes(probes, &step);
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

    fn give_up_if_stalled(&mut self, now: MonoTime) -> AttemptStep {
        if now.since(self.last_progress) < STALL_LIMIT {
            return self.wait(now);
        }
        for index in 0..self.chain.len() {
            self.blame(index, StageFault::LinkLost, now);
        }
        self.retry(AttemptFailure::Stalled)
    }

    /// Records a stage at fault, so that later attempts avoid its engine.
    fn blame(&mut self, index: usize, fault: StageFault, now: MonoTime) {
        let instance = self.chain[index].instance.clone();
        let was_doubtful = self.doubtful.contains(&instance);
        // An engine that was only late to answer deserves a second chance, but not a third.
        if fault.is_soft() && (fault == StageFault::Slow || !was_doubtful) {
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

    fn note_crash(&mut self) {
        // Crashes of one attempt count once: a rack that fails takes several engines.
        if self.crash_attempt == self.attempts {
            return;
        }
        self.crashes += 1;
        self.crash_attempt = self.attempts;
        self.suspicion += 1;
        self.notices.push(AttemptNotice::Suspected(self.suspicion));
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
        AttemptStep::FindChain(ChainWish {
            excluded,
            warm: self.warm.clone(),
            desperate: level > 1,
            alone: self.is_suspect(),
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

    fn wait(&mut self, now: MonoTime) -> AttemptStep {
        let until = match self.phase {
            MachinePhase::Running { probing: true } => self.last_progress.after(STALL_LIMIT),
            _ => self.last_progress.after(self.limit),
        };
        AttemptStep::Wait {
            until: until.max(now).min(self.spec.deadline),
        }
    }

    fn token_limit(&self) -> Duration {
        let spec = &self.spec;
        let limit = self.gaps.limit(spec.floor, spec.ceiling);
        limit.unwrap_or(spec.first_token)
    }

    fn opening_limit(&self) -> Duration {
        let spec = &self.spec;
        let limit = self.gaps.limit(spec.floor, spec.ceiling);
        limit.map_or(spec.first_token, |limit| {
            (limit * RESUME_FACTOR).min(spec.first_token)
        })
    }

    fn probe_limit(&self) -> Duration {
        self.token_limit().clamp(PROBE_FLOOR, PROBE_CEILING)
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
