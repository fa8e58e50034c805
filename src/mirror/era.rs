//! The store's era as this daemon knows it, shared by all of its calls to the store.

use crate::ids::StoreEra;
use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

/// What an answer's era says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraReading {
    /// The answer counts as one of this era. Answers that name none count as of the known era, or
    /// of era 0 if there is none.
    Current(StoreEra),
    /// The answer comes from before a restore; holds the known era.
    Earlier(StoreEra),
}

#[derive(Debug, Default)]
struct EraState {
    known: Option<StoreEra>,
    waiting: Vec<Waker>,
}

/// Highest era that an answer of the store has named.
#[derive(Debug, Default)]
pub struct EraCell {
    state: Mutex<EraState>,
}

impl EraCell {
    /// Records the era that an answer names, if any.
    pub fn observe(&self, named: Option<StoreEra>) -> EraReading {
        let mut state = self.lock();
        let known = state.known.unwrap_or_default();
        let Some(named) = named else {
            return EraReading::Current(known);
        };
        if named < known {
            return EraReading::Earlier(known);
        }
        if state.known != Some(named) {
            state.known = Some(named);
            state.waiting.drain(..).for_each(Waker::wake);
        }
        EraReading::Current(named)
    }

    /// The known era; `None` before an answer has named one.
    pub fn known(&self) -> Option<StoreEra> {
        self.lock().known
    }

    /// The era that calls are made in: the known one, or 0.
    pub fn current(&self) -> StoreEra {
        self.known().unwrap_or_default()
    }

    /// Waits until an era other than `known` is known, and returns it.
    pub async fn wait_change(&self, known: Option<StoreEra>) -> StoreEra {
        poll_fn(|context| self.poll_change(known, context)).await
    }

    fn poll_change(&self, known: Option<StoreEra>, context: &Context<'_>) -> Poll<StoreEra> {
        let mut state = self.lock();
        match state.known {
            Some(era) if state.known != known => Poll::Ready(era),
            _ => {
                let waker = context.waker();
                if !state.waiting.iter().any(|waiting| waiting.will_wake(waker)) {
                    state.waiting.push(waker.clone());
                }
                Poll::Pending
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, EraState> {
        self.state.lock().expect("era lock is never poisoned")
    }
}
