//! Decides which connection holds memory and descriptors, and which is ended when there is too little of them.
//! Without I/O: time is an argument.

use crate::units::MonoTime;
use std::collections::HashMap;

/// Identifies a connection in an [`UploadTable`].
pub type ConnectionId = u64;

/// Limits of an [`UploadTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UploadLimits {
    /// Most bytes that all connections may hold for heads and bodies.
    pub memory_bytes: usize,
    /// Most open connections of callers.
    pub connections: usize,
}

impl UploadLimits {
    /// Memory for heads and bodies if the settings name no size: no client within the limits reaches it.
    const DEFAULT_MEMORY_BYTES: usize = 1 << 30;
    /// Part of the memory of the process for heads and bodies. The rest is for the program itself (20 MB), the
    /// buffers of responses, and for what the allocator keeps between buffers of different sizes.
    const MEMORY_SHARE: f64 = 0.25;
    /// Descriptors that the platform reserves for files.
    const FILE_DESCRIPTORS: usize = 200;
    /// Part of the other descriptors for connections of callers. Targets, peers and the store need the rest.
    const CALLERS_SHARE: f64 = 0.5;

    /// Limits of a process with this memory and this number of descriptors.
    pub fn of_process(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = |mb: u64| ((mb << 20) as f64 * Self::MEMORY_SHARE) as usize;
        let callers = |count: u64| {
            let count = (count as usize).saturating_sub(Self::FILE_DESCRIPTORS);
            ((count as f64 * Self::CALLERS_SHARE) as usize).max(1)
        };
        Self {
            memory_bytes: memory_mb.map_or(Self::DEFAULT_MEMORY_BYTES, memory),
            connections: descriptors.map_or(usize::MAX, callers),
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// It waits for the first byte of a request.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A part of a body has arrived.
    Body,
    /// Its request is being served. Such a connection is never ended.
    Serving,
}

/// Answer to a connection that needs memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldStep {
    /// The memory is counted as held.
    Granted,
    /// Nothing is counted: these connections are to be ended, and the memory asked for again when one
    /// releases its own. The list is empty when none is left to end or enough are ending.
    Wait(Vec<ConnectionId>),
}

#[derive(Debug, Clone, Copy)]
struct ConnectionHold {
    phase: ConnectionPhase,
    held: usize,
    progress_at: MonoTime,
    is_ending: bool,
    is_counted: bool,
}

/// Connections with the memory that they hold.
#[derive(Debug)]
pub struct UploadTable {
    limits: UploadLimits,
    connection_budget: HashMap<ConnectionId, ConnectionHold>,
    next_id: ConnectionId,
    held: usize,
    open: usize,
}

impl UploadTable {
    /// Creates a table without connections.
    pub fn new(limits: UploadLimits) -> Self {
        Self {
            limits,
            connection_budget: HashMap::new(),
            next_id: 0,
            held: 0,
            open: 0,
        }
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Open connections that count towards the limit.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Adds a connection; `is_counted` is false for one that does not count towards their limit. Returns its
    /// id and the connection to end for it, if there are too many: the new one itself if no other may be ended.
    pub fn open(
        &mut self,
        is_counted: bool,
        now: MonoTime,
    ) -> (ConnectionId, Option<ConnectionId>) {
        let id = self.next_id;
        self.next_id += 1;
        let ending = self
            .connection_budget
            .values()
            .filter(|s| s.is_counted && s.is_ending);
        let staying = self.open - ending.count();
        let victim = (is_counted && staying >= self.limits.connections)
            .then(|| self.end_longest_idle().unwrap_or(id));
        let held = ConnectionHold {
            phase: ConnectionPhase::Idle,
            held: 0,
            progress_at: now,
            is_ending: victim == Some(id),
            is_counted,
        };
        self.connection_budget.insert(id, held);
        self.open += usize::from(is_counted);
        (id, victim)
    }

    /// Marks the connection as ending that waits longest for a request, for lack of one the connection with
    /// the longest pause in a head or body. `None` when all are serving.
    pub fn end_longest_idle(&mut self) -> Option<ConnectionId> {
        let candidates = self.connection_budget.iter().filter(|(_, held)| {
            held.is_counted && !held.is_ending && held.phase != ConnectionPhase::Serving
        });
        let found = candidates
            .min_by_key(|(id, held)| (held.phase > ConnectionPhase::Idle, held.progress_at, **id));
        let id = *found?.0;
        self.mark_ending(id);
        Some(id)
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(held) = self.connection_budget.remove(&id) {
            self.held -= held.held;
            self.open -= usize::from(held.is_counted);
        }
    }

    /// Records what a connection is doing, which counts as progress. False when it is to be ended, so that it
    /// must not go on.
    pub fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase, now: MonoTime) -> bool {
        let Some(held) = self.connection_budget.get_mut(&id) else {
            return false;
        };
        if !held.is_ending {
            held.phase = phase;
            held.progress_at = now;
        }
        !held.is_ending
    }

    /// Records that bytes have arrived.
    pub fn on_progress(&mut self, id: ConnectionId, now: MonoTime) {
        if let Some(held) = self.connection_budget.get_mut(&id) {
            held.progress_at = now;
        }
    }

    /// Asks that a connection may hold `bytes` in total. `one_request` is the size of one body of the size
    /// limit and a head: the table has room for one, whatever its limits.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize, one_request: usize) -> HoldStep {
        let Some(held) = self.connection_budget.get_mut(&id) else {
            return HoldStep::Wait(Vec::new());
        };
        let growth = bytes.saturating_sub(held.held);
        let capacity = self.limits.memory_bytes.max(one_request);
        let needed = (self.held + growth).saturating_sub(capacity);
        if growth == 0 || needed == 0 {
            self.held = self.held - held.held + bytes;
            held.held = bytes;
            return HoldStep::Granted;
        }
        HoldStep::Wait(self.end_uploads(id, needed))
    }

    /// Does the same as [`Self::hold`] when there is room, and nothing else; true when granted.
    pub fn try_hold(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let held = self.connection_budget.get(&id).map_or(0, |held| held.held);
        let growth = bytes.saturating_sub(held);
        self.held + growth <= self.limits.memory_bytes
            && self.hold(id, bytes, 0) == HoldStep::Granted
    }

    /// Marks uploads as ending, those without progress for the longest time first, until `needed` bytes are
    /// about to be released.
    fn end_uploads(&mut self, for_id: ConnectionId, needed: usize) -> Vec<ConnectionId> {
        let ending = self
            .connection_budget
            .values()
            .filter(|held| held.is_ending);
        let mut released: usize = ending.map(|held| held.held).sum();
        if released >= needed {
            return Vec::new();
        }
        let uploads = self.connection_budget.iter().filter(|(id, held)| {
            let is_upload = matches!(held.phase, ConnectionPhase::Head | ConnectionPhase::Body);
            is_upload && !held.is_ending && held.held > 0 && **id != for_id
        });
        let mut order: Vec<_> = uploads
            .map(|(id, held)| (held.progress_at, *id, held.held))
            .collect();
        order.sort_unstable();
        let mut victims = Vec::new();
        for (_, id, held) in order {
            if released >= needed {
                break;
            }
            released += held;
            victims.push(id);
        }
        for id in &victims {
            self.mark_ending(*id);
        }
        victims
    }

    fn mark_ending(&mut self, id: ConnectionId) {
        if let Some(held) = self.connection_budget.get_mut(&id) {
            held.is_ending = true;
        }
    }
}
