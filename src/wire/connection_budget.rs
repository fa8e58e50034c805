//! Connections that hold memory for heads and bodies: applies the decisions of [`UploadTable`].

use crate::kernel::MonoClock;
use crate::wire::upload_table::{
    ConnectionId, ConnectionPhase, HoldStep, UploadLimits, UploadTable,
};
use async_std::future::timeout;
use event_listener::{Event, listener};
use futures_lite::future::or;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait of an upload for memory. The connections that are ended for it release theirs within
/// milliseconds; only bodies of running requests take longer.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Why a connection may not hold more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldError {
    /// The connection is to be ended for another one.
    Ended,
    /// No memory became free in time.
    NoMemory,
}

#[derive(Debug, Default)]
struct EndSignal {
    is_set: AtomicBool,
    event: Event,
}

#[derive(Debug)]
struct BudgetState {
    table: UploadTable,
    signals: HashMap<ConnectionId, Arc<EndSignal>>,
}

/// All connections of a process. Clones share the state.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    state: Arc<Mutex<BudgetState>>,
    released: Arc<Event>,
    clock: MonoClock,
}

impl ConnectionBudget {
    /// Creates a set without connections.
    pub fn new(limits: UploadLimits, clock: MonoClock) -> Self {
        let state = BudgetState {
            table: UploadTable::new(limits),
            signals: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            released: Arc::default(),
            clock,
        }
    }

    /// Adds a connection, and ends another one for it if there are too many; see [`UploadTable::open`].
    pub fn open(&self, is_counted: bool) -> ConnectionHold {
        let signal = Arc::new(EndSignal::default());
        let mut state = self.lock();
        let (id, victim) = state.table.open(is_counted, self.clock.now());
        state.signals.insert(id, Arc::clone(&signal));
        if let Some(victim) = victim {
            state.end(victim);
        }
        drop(state);
        ConnectionHold {
            set: self.clone(),
            id,
            signal,
        }
    }

    /// Ends the connection that has been idle for the longest time, as descriptors have run out.
    pub fn end_longest_idle(&self) {
        let mut state = self.lock();
        if let Some(victim) = state.table.end_longest_idle() {
            state.end(victim);
        }
    }

    /// Bytes held and connections open.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.table.held(), state.table.open_count())
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().expect("the table is never poisoned")
    }
}

impl BudgetState {
    fn end(&self, id: ConnectionId) {
        if let Some(signal) = self.signals.get(&id) {
            signal.is_set.store(true, Ordering::Release);
            signal.event.notify(usize::MAX);
        }
    }
}

/// One connection; releases what it holds when dropped.
#[derive(Debug)]
pub struct ConnectionHold {
    set: ConnectionBudget,
    id: ConnectionId,
    signal: Arc<EndSignal>,
}

impl ConnectionHold {
    /// Returns once the connection is to be ended.
    pub async fn ended(&self) {
        loop {
            listener!(self.signal.event => listener);
            if self.signal.is_set.load(Ordering::Acquire) {
                return;
            }
            listener.await;
        }
    }

    /// Records what the connection is doing; false when it is to be ended.
    pub fn enter(&self, phase: ConnectionPhase) -> bool {
        let now = self.set.clock.now();
        self.set.lock().table.enter(self.id, phase, now)
    }

    /// Records that bytes have arrived.
    pub fn on_progress(&self) {
        let now = self.set.clock.now();
        self.set.lock().table.on_progress(self.id, now);
    }

    /// Lets the connection hold `bytes` in total if there is room; ends no other one.
    pub fn try_hold(&self, bytes: usize) -> bool {
        self.set.lock().table.try_hold(self.id, bytes)
    }

    /// Releases what the connection holds beyond `bytes`.
    pub fn release_to(&self, bytes: usize) {
        let _granted = self.set.lock().table.hold(self.id, bytes, usize::MAX);
        self.set.released.notify(usize::MAX);
    }

    /// Waits until the connection may hold `bytes` in total; see [`UploadTable::hold`].
    ///
    /// # Errors
    /// [`HoldError::NoMemory`] after a second, [`HoldError::Ended`] when the connection is to be ended.
    pub async fn hold(&self, bytes: usize, one_request: usize) -> Result<(), HoldError> {
        let started = Instant::now();
        loop {
            listener!(self.set.released => released);
            {
                let mut state = self.set.lock();
                match state.table.hold(self.id, bytes, one_request) {
                    HoldStep::Granted => return Ok(()),
                    HoldStep::Wait(victims) => victims.iter().for_each(|id| state.end(*id)),
                }
            }
            let time_left = MEMORY_WAIT.saturating_sub(started.elapsed());
            let ended = async {
                self.ended().await;
                Err(HoldError::Ended)
            };
            let freed = async {
                released.await;
                Ok(())
            };
            let waited = timeout(time_left, or(ended, freed)).await;
            waited.unwrap_or(Err(HoldError::NoMemory))?;
        }
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        let mut state = self.set.lock();
        state.table.close(self.id);
        state.signals.remove(&self.id);
        drop(state);
        self.set.released.notify(usize::MAX);
    }
}
