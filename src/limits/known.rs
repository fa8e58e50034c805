//! What one daemon knows of a target's rate limit, and the permits that it holds.

use crate::limits::rest::RestCell;
use crate::units::{MonoTime, RequestRate};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Time for which a permit may be used. Short, as permits that were handed out before count in
/// addition to later ones.
const PERMIT_TIME: Duration = Duration::from_millis(500);

/// What a response says about the rate limit of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitStatement {
    /// There is none.
    #[default]
    Unlimited,
    /// The target takes this rate from all daemons together.
    Limited(RequestRate),
    /// There is one that is no valid rate, so what is known stays in force.
    Malformed,
}

/// How an observation has changed what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// Not at all.
    None,
    /// There was no limit before.
    Learned(RequestRate),
    /// There was another limit before: the old and the new one.
    Changed(RequestRate, RequestRate),
    /// There is no limit any more; contains the last one.
    Ended(RequestRate),
}

/// Result of taking a permit out of those at hand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TakeOutcome {
    /// The request may be sent.
    Taken,
    /// The keeper has to be asked, as the target has this limit.
    Ask(RequestRate),
    /// The target rests, or the keeper had none and need not be asked, before this time.
    HeldBack(MonoTime),
}

/// A limit, or the absence of one, and when a target's response showed it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    rate: Option<RequestRate>,
    at: MonoTime,
}

#[derive(Debug, Default)]
struct LimitState {
    observation: Option<Observation>,
    /// Unused permits.
    permits: u32,
    permits_until: MonoTime,
    held_back_until: MonoTime,
}

/// Rate limit of one run of a target, and the rest that it has asked this daemon for.
#[derive(Debug, Default)]
pub struct LimitCell {
    /// True while there is a limit; requests to other targets take no lock.
    is_limited: AtomicBool,
    state: Mutex<LimitState>,
    rest: RestCell,
}

impl LimitCell {
    /// Applies the statement of a response to a request that was sent at `sent`. A response without
    /// a limit ends one only if its request was sent later than the limit was seen: it may have
    /// been on its way since before.
    pub fn observe(&self, statement: LimitStatement, sent: MonoTime, now: MonoTime) -> LimitChange {
        let rate = match statement {
            LimitStatement::Malformed => return LimitChange::None,
            LimitStatement::Unlimited if !self.is_limited() => return LimitChange::None,
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
        };
        let mut state = self.lock();
        let is_older = rate.is_none() && state.observation.is_some_and(|known| sent <= known.at);
        if is_older {
            return LimitChange::None;
        }
        self.replace(&mut state, Observation { rate, at: now })
    }

    /// Applies what another daemon has observed at `at`, if that is later than what is known.
    pub fn merge(&self, rate: Option<RequestRate>, at: MonoTime) -> LimitChange {
        let mut state = self.lock();
        let is_newer = state.observation.is_none_or(|known| known.at < at);
        if is_newer {
            self.replace(&mut state, Observation { rate, at })
        } else {
            LimitChange::None
        }
    }

    fn replace(&self, state: &mut LimitState, next: Observation) -> LimitChange {
        let before = state.observation.replace(next).and_then(|known| known.rate);
        self.is_limited
            .store(next.rate.is_some(), Ordering::Release);
        match (before, next.rate) {
            (None, Some(rate)) => {
                state.permits = 0;
                state.held_back_until = MonoTime::default();
                LimitChange::Learned(rate)
            }
            (Some(before), None) => LimitChange::Ended(before),
            (Some(before), Some(rate)) if before != rate => LimitChange::Changed(before, rate),
            _ => LimitChange::None,
        }
    }

    /// True while the target has a limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// The limit; `None` when the target has none.
    pub fn rate(&self) -> Option<RequestRate> {
        if !self.is_limited() {
            return None;
        }
        self.lock().observation.and_then(|known| known.rate)
    }

    /// What is known, as a response would say it.
    pub fn statement(&self) -> LimitStatement {
        let rate = self.rate();
        rate.map_or(LimitStatement::Unlimited, LimitStatement::Limited)
    }

    /// The latest observation: the limit, or `None` if it has ended, and its time.
    pub fn observation(&self) -> Option<(Option<RequestRate>, MonoTime)> {
        let state = self.lock();
        state.observation.map(|known| (known.rate, known.at))
    }

    /// Begins a rest, in which the target gets nothing. Returns false when it rests as long anyway.
    pub fn begin_rest(&self, rest: Duration, now: MonoTime) -> bool {
        self.rest.begin(rest, now)
    }

    /// Records a response that did not ask for rest.
    pub fn on_response(&self, now: MonoTime) {
        self.rest.on_response(now);
    }

    /// Time until which the target rests; `None` when it does not.
    pub fn resting_until(&self, now: MonoTime) -> Option<MonoTime> {
        self.rest.resting_until(now)
    }

    /// True while no permit can be had.
    pub fn is_held_back(&self, now: MonoTime) -> bool {
        let is_at_rest = self.rest.held_back_until(now).is_some();
        is_at_rest
            || self.is_limited() && {
                let state = self.lock();
                !has_permit(&state, now) && now < state.held_back_until
            }
    }

    /// Takes a permit for one request.
    pub fn take(&self, now: MonoTime) -> TakeOutcome {
        if let Some(until) = self.rest.take(now) {
            return TakeOutcome::HeldBack(until);
        }
        if !self.is_limited() {
            return TakeOutcome::Taken;
        }
        let mut state = self.lock();
        let Some(rate) = state.observation.and_then(|known| known.rate) else {
            return TakeOutcome::Taken;
        };
        if has_permit(&state, now) {
            state.permits -= 1;
            TakeOutcome::Taken
        } else if now < state.held_back_until {
            TakeOutcome::HeldBack(state.held_back_until)
        } else {
            TakeOutcome::Ask(rate)
        }
    }

    /// Gives back a permit that was not used.
    pub fn give_back(&self, now: MonoTime) {
        self.rest.give_back(now);
        if self.is_limited() {
            self.add_permits(1, now);
        }
    }

    /// Adds permits that the keeper has handed out.
    pub fn add_permits(&self, count: u32, now: MonoTime) {
        let mut state = self.lock();
        if !has_permit(&state, now) {
            state.permits = 0;
        }
        state.permits = state.permits.saturating_add(count);
        state.permits_until = now.after(PERMIT_TIME);
    }

    /// Records that the keeper has no permit before this time.
    pub fn hold_back(&self, until: MonoTime) {
        self.lock().held_back_until = until;
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().expect("limit is never poisoned")
    }
}

fn has_permit(state: &LimitState, now: MonoTime) -> bool {
    state.permits > 0 && now < state.permits_until
}
