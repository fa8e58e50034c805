//! Suspicion that a request crashes the targets that run it.
//!
//! An attempt that ends without a whole response is remembered for some seconds. If one of its targets
//! turns out to have ended under it, that is a crash under the request. A whole response with success,
//! at any target, clears the request; a failure that a target responds with speaks neither for nor
//! against it, and so does the beginning of a response, since a target may end later on.

use crate::poison::{PoisonFingerprint, PoisonLimits};
use crate::relay::attempt::{FailedAttempt, FailureKind};
use crate::relay::context::RelayContext;
use crate::relay::crashes::{
    CrashedRequest, SuspectPart, clear_crashes, clear_survivors, record_crashes,
};
use crate::relay::exchange::ActiveRequest;
use crate::relay::path::probe_target;
use crate::relay::refusals::log_refusals;
use crate::targets::{TargetEntry, TargetView};
use crate::units::MonoTime;
use crate::wire::BodyEnd;
use async_io::Timer;
use async_std::task;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Longest delay of a request whose crashes may be due to another one.
const MAX_SEPARATION: Duration = Duration::from_secs(1);
/// The same as a share of the time left.
const SEPARATION_SHARE: f64 = 0.25;
/// Time from the end of an attempt in which a refused connection shows that the target ended under
/// it.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Time from the end of an attempt until other attempts through its targets have failed as well, if
/// these had ended before.
const STALL_DELAY: Duration = Duration::from_secs(1);
/// Time from the end of an attempt in which the entry of a target that ended under it leaves the
/// list: a few heartbeats.
const DEPARTURE_WINDOW: Duration = Duration::from_secs(8);
/// Period of checking whether the target of an attempt is still listed.
const DEPARTURE_POLL: Duration = Duration::from_millis(400);
/// Most attempts that are remembered; the oldest are dropped first.
const MAX_ATTEMPTS: usize = 4_096;

/// An attempt that ended without a whole response.
#[derive(Debug)]
struct SuspectAttempt {
    /// Id of the request in logs.
    log_id: Arc<str>,
    fingerprint: PoisonFingerprint,
    /// Parts of the prompt that the request shares with others.
    parts: Vec<SuspectPart>,
    /// Targets of the chain; the request was sent to the first one.
    targets: Vec<Arc<TargetEntry>>,
    started: MonoTime,
    ended: MonoTime,
    /// How it failed; `None` when the caller left first, or when a response ended with its connection.
    failure: Option<FailureKind>,
    /// True when a response with success ended with its connection.
    is_answered: bool,
}

/// What has become of attempts that were remembered.
#[derive(Debug, Default)]
struct SettledAttempts {
    /// Those under which a target has ended.
    crashed: Vec<CrashedRequest>,
    /// Fingerprints of those that were answered and whose targets have gone on running.
    survived: Vec<PoisonFingerprint>,
}

impl SuspectAttempt {
    /// The first target that has ended under the attempt. Others of the chain count no further, as
    /// the failure of a rack ends several.
    fn crashed_target(&self, view: &TargetView, now: MonoTime) -> Option<&Arc<TargetEntry>> {
        let first_target = self.targets.first()?;
        if self.failure == Some(FailureKind::Disconnected) && self.was_refused(first_target) {
            return Some(first_target);
        }
        // Without a closed connection, the target may have ended before the attempt. Other attempts
        // through it show that, a little later at the latest.
        if now.since(self.ended) < STALL_DELAY {
            return None;
        }
        self.targets.iter().find(|target| {
            let stalled_since = target.stats.stalled_since();
            let has_departed = !view.has_run(target) && !target.stats.is_leaving();
            let has_ended = self.was_refused(target) || has_departed;
            has_ended && stalled_since.is_none_or(|since| self.started <= since)
        })
    }

    fn crashed_request(&self, target: &Arc<TargetEntry>) -> CrashedRequest {
        CrashedRequest {
            log_id: Arc::clone(&self.log_id),
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            target: Arc::clone(target),
        }
    }

    fn fingerprints(&self) -> impl Iterator<Item = PoisonFingerprint> {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        std::iter::once(self.fingerprint).chain(parts)
    }

    /// True when the target's host has refused a connection during the attempt or soon after it.
    fn was_refused(&self, target: &TargetEntry) -> bool {
        let last_refusal = self.ended.after(REFUSAL_WINDOW);
        let refused_at = target.stats.refused_at();
        refused_at.is_some_and(|at| at >= self.started && at <= last_refusal)
    }
}

/// Attempts that ended without a whole response lately.
#[derive(Debug, Default)]
pub struct SuspicionList {
    attempts: Mutex<Vec<SuspectAttempt>>,
}

impl SuspicionList {
    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn add(&self, attempt: SuspectAttempt) {
        let mut attempts = self.lock();
        if attempts.len() == MAX_ATTEMPTS {
            attempts.remove(0);
        }
        attempts.push(attempt);
    }

    /// Forgets all attempts: they ended for want of a path to the targets.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn forget(&self, fingerprint: PoisonFingerprint) {
        self.lock()
            .retain(|attempt| attempt.fingerprint != fingerprint);
    }

    /// Removes and returns the attempts under which a target has ended, with this target, and those
    /// for which none has in time.
    fn take_settled(&self, view: &TargetView, now: MonoTime) -> SettledAttempts {
        let mut settled = SettledAttempts::default();
        self.lock().retain(|attempt| {
            if let Some(target) = attempt.crashed_target(view, now) {
                settled.crashed.push(attempt.crashed_request(target));
                return false;
            }
            let is_over = now.since(attempt.ended) > DEPARTURE_WINDOW;
            if is_over && attempt.is_answered {
                settled.survived.extend(attempt.fingerprints());
            }
            !is_over
        });
        settled
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SuspectAttempt>> {
        self.attempts.lock().expect("suspicions are never poisoned")
    }
}

/// Suspicion against a request in one attempt. Unless the response is whole or the attempt reaches no
/// target, it is remembered when this is dropped, also when the caller leaves.
#[derive(Debug)]
pub(super) struct AttemptSuspicion<'a> {
    request: &'a ActiveRequest<'a>,
    targets: Vec<Arc<TargetEntry>>,
    started: MonoTime,
    last_event: Option<MonoTime>,
    failure: Option<FailureKind>,
    is_answered: bool,
    is_dismissed: bool,
}

impl<'a> AttemptSuspicion<'a> {
    /// Begins with an attempt at these targets.
    pub(super) fn start(request: &'a ActiveRequest<'a>, targets: Vec<Arc<TargetEntry>>) -> Self {
        Self {
            request,
            targets,
            started: request.context.clock.now(),
            last_event: None,
            failure: None,
            is_answered: false,
            is_dismissed: false,
        }
    }

    /// The attempt makes the request neither more nor less suspect.
    pub(super) fn dismiss(&mut self) {
        self.is_dismissed = true;
    }

    /// The attempt failed.
    pub(super) fn on_failure(&mut self, failed: &FailedAttempt) {
        self.failure = Some(failed.kind);
        if !failed.may_have_crashed() {
            self.dismiss();
            return;
        }
        let now = self.request.context.clock.now();
        let stalled_since = self.last_event.unwrap_or(now);
        for target in &self.targets {
            target.stats.record_stall(stalled_since);
        }
    }

    /// An event has arrived.
    pub(super) fn on_event(&mut self) {
        self.last_event = Some(self.request.context.clock.now());
    }

    /// A response with this status has arrived. One that ended with its connection may be a part of
    /// what a target sent that has crashed, so the attempt remains suspect until that target has gone
    /// on running for a while. Only a success shows that targets survive the request: one that fails
    /// it may not have run the part that crashes others.
    pub(super) fn on_response(&mut self, status: u16, end: BodyEnd) {
        if end == BodyEnd::Closed {
            self.is_answered = is_success(status);
            return;
        }
        self.dismiss();
        if is_success(status) {
            clear_suspicion(self.request, &self.targets[0], status);
        }
    }

    /// Remembers the attempt as soon as its target has left the list without notice, while its
    /// response is still awaited: from a host that has gone dark, none may come for seconds. Never
    /// completes.
    pub(super) async fn watch_departure<T>(&self) -> T {
        let context = self.request.context;
        let has_run = |target: &Arc<TargetEntry>| context.targets.load().has_run(target);
        while self.targets.iter().all(has_run) {
            Timer::after(DEPARTURE_POLL).await;
        }
        context.suspicions.add(self.suspect_attempt());
        std::future::pending().await
    }

    fn suspect_attempt(&self) -> SuspectAttempt {
        SuspectAttempt {
            log_id: Arc::from(self.request.log_id()),
            fingerprint: self.request.fingerprint(),
            parts: self.request.suspect_parts(),
            targets: self.targets.clone(),
            started: self.started,
            ended: self.request.context.clock.now(),
            failure: self.failure,
            is_answered: self.is_answered,
        }
    }
}

impl Drop for AttemptSuspicion<'_> {
    fn drop(&mut self) {
        if !self.is_dismissed && !self.request.context.is_cut_off() {
            let attempt = self.suspect_attempt();
            self.request.context.suspicions.add(attempt);
        }
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Delays a request whose crashes may just as well be due to another one, by a random time, so that
/// the two are not beside each other once more.
pub(super) async fn separate_suspects(request: &ActiveRequest<'_>) {
    let context = request.context;
    let now = context.clock.now();
    let is_undecided =
        !context.poison.is_empty() && !request.is_poison() && may_crash_targets(request, now);
    if is_undecided {
        let line = request
            .log_line("suspect_delayed")
            .with_display("fingerprint", request.fingerprint());
        context.events.emit(line);
        let limit = request.deadline.since(now).mul_f64(SEPARATION_SHARE);
        Timer::after(MAX_SEPARATION.min(limit).mul_f64(fastrand::f64())).await;
    }
}

/// True when crashes under the request or a part of its prompt are explained neither by it nor by
/// another one.
fn may_crash_targets(request: &ActiveRequest<'_>, now: MonoTime) -> bool {
    let poison = &request.context.poison;
    let verdict = poison.verdict(now);
    let mut parts = request.suspect_parts().into_iter();
    poison.crashes(request.fingerprint(), now) >= PoisonLimits::default().crashes
        || parts.any(|part| verdict.is_undecided(part.fingerprint))
}

/// After a failed attempt, finds out whether `target` has crashed, so that the next attempt already
/// takes account of it.
pub(super) async fn check_for_crash(
    request: &ActiveRequest<'_>,
    target: &Arc<TargetEntry>,
    failed: &FailedAttempt,
) {
    if !failed.may_have_crashed() {
        return;
    }
    let context = request.context;
    let is_probed = failed.kind == FailureKind::Disconnected
        || failed.metadata.faulty_address == Some(target.address);
    if is_probed && target.stats.try_begin_probe(context.clock.now()) {
        let (context, target) = (Arc::clone(context), Arc::clone(target));
        // In a task of its own, as it has to end even if the caller leaves.
        task::spawn(async move { probe_target(&context, &target).await }).await;
    }
    count_crashes(context);
}

/// Records the crashes under requests that have become known, here or from other daemons.
pub(crate) fn count_crashes(context: &RelayContext) {
    let now = context.clock.now();
    if !context.suspicions.is_empty() {
        let view = context.targets.load();
        let settled = context.suspicions.take_settled(&view, now);
        record_crashes(context, &settled.crashed, now);
        clear_survivors(context, &settled.survived, now);
    }
    log_refusals(context, now);
}

/// Forgets all that speaks against a request and the parts of its prompt, as `target` responded to it with success.
fn clear_suspicion(request: &ActiveRequest<'_>, target: &TargetEntry, status: u16) {
    let context = request.context;
    let parts = request.suspect_parts().into_iter();
    let parts: Vec<PoisonFingerprint> = parts.map(|part| part.fingerprint).collect();
    context.harmless.record(&parts, context.clock.now());
    if !context.suspicions.is_empty() {
        context.suspicions.forget(request.fingerprint());
    }
    if !context.poison.is_empty() {
        clear_crashes(request, target, status);
    }
}
