//! Requests that crash each server that begins to run them, and the servers that start again
//! afterwards.

use crate::site::http::ListenerSwitch;
use crate::site::store::SiteStore;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Path segment of requests that crash the server that they are sent to.
const CRASH_SEGMENT: &str = "/crash";
/// Path segment of requests that crash the server that they are sent to some time after it has begun
/// its response.
const CRASH_BEGUN_SEGMENT: &str = "/crash-begun";
/// Path segment of requests that crash the last server of their chain.
const CRASH_LAST_SEGMENT: &str = "/crash-last";
/// Path in the record of servers that end by a fault of their own.
const OWN_FAULT: &str = "none";
/// Events of a response that a server sends before it crashes under a request of that kind.
pub(super) const BEGUN_EVENTS: u64 = 4;
/// Time from the last of these events to the crash.
pub(super) const BEGUN_TIME: Duration = Duration::from_millis(30);
/// Time from a crash to the removal of the server's entry.
const LAPSE_TIME: Duration = Duration::from_millis(800);
/// Time from a crash to the start of the server's next run.
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Which server a request crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashPlace {
    /// None.
    Nowhere,
    /// The one that the request is sent to, on arrival.
    First,
    /// The one that the request is sent to, [`BEGUN_TIME`] after [`BEGUN_EVENTS`] events.
    Begun,
    /// The last one of its chain.
    Last,
}

impl CrashPlace {
    /// Reads the place from the path of a request.
    pub(super) fn of(path: &str) -> Self {
        if path.contains(CRASH_LAST_SEGMENT) {
            Self::Last
        } else if path.contains(CRASH_BEGUN_SEGMENT) {
            Self::Begun
        } else if path.contains(CRASH_SEGMENT) {
            Self::First
        } else {
            Self::Nowhere
        }
    }
}

/// What the caller of a plain server sees when a request crashes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashManner {
    /// The connection is closed.
    #[default]
    Close,
    /// The connection is reset.
    Reset,
    /// A part of a response without a length comes, then the connection is closed.
    PartialResponse,
    /// Nothing: the host is dark, and neither closes connections nor answers on them.
    Dark,
}

/// A request that crashes servers has reached one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRun {
    /// Time at which it did.
    pub at: Instant,
    /// Identifier of the server that ended.
    pub server: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
}

/// A part of prompts that crashes each server that begins to write a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadPart {
    /// Identifier in `X-Prompt-Prefix`.
    pub id: Arc<str>,
    /// Whether the server sends some events first.
    pub is_begun: bool,
}

/// A request with a bad part has reached a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadArrival {
    /// Time at which it did.
    pub at: Instant,
    /// Identifier of the part.
    pub part: Arc<str>,
    /// True when the server crashed under it; false when it was spared.
    pub is_crash: bool,
}

/// Starts the next run of a server, with the identifier given.
pub(super) type StartServer = Arc<dyn Fn(&str) + Send + Sync>;

/// A running server that requests can crash.
struct LiveServer {
    id: Arc<str>,
    switch: ListenerSwitch,
    start_again: StartServer,
}

/// Servers of a site that requests can crash, and the crashes so far; cheap to clone.
#[derive(Clone)]
pub struct CrashRegistry {
    store: SiteStore,
    live: Arc<Mutex<Vec<LiveServer>>>,
    runs: Arc<Mutex<Vec<CrashRun>>>,
    keeps_ids: Arc<AtomicBool>,
    /// Of the requests that crash servers, every so many are spared; 0 for none.
    spares_every: Arc<AtomicUsize>,
    manner: Arc<Mutex<CrashManner>>,
    /// Such requests so far.
    arrivals: Arc<AtomicUsize>,
    bad_parts: Arc<Mutex<Vec<BadPart>>>,
    bad_arrivals: Arc<Mutex<Vec<BadArrival>>>,
}

impl fmt::Debug for CrashRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CrashRegistry").finish_non_exhaustive()
    }
}

impl CrashRegistry {
    /// Creates a registry without servers.
    pub(super) fn new(store: SiteStore) -> Self {
        Self {
            store,
            live: Arc::default(),
            runs: Arc::default(),
            keeps_ids: Arc::default(),
            spares_every: Arc::default(),
            manner: Arc::default(),
            arrivals: Arc::default(),
            bad_parts: Arc::default(),
            bad_arrivals: Arc::default(),
        }
    }

    /// From now on, these parts of prompts crash servers, unless one is the last of its prompt.
    pub fn set_bad_parts(&self, parts: Vec<BadPart>) {
        *self.bad_parts.lock().expect("parts are never poisoned") = parts;
    }

    /// The first bad part of a prompt, given as the value of `X-Prompt-Prefix`. The last part of
    /// the prompt does not count.
    pub(super) fn bad_part(&self, prompt: &str) -> Option<BadPart> {
        let (shared_parts, _last) = prompt.rsplit_once(',')?;
        let mut ids = shared_parts
            .split(',')
            .filter_map(|part| part.split(':').next());
        let bad_parts = self.bad_parts.lock().expect("parts are never poisoned");
        let found = ids.find_map(|id| bad_parts.iter().find(|bad| *bad.id == *id));
        found.cloned()
    }

    /// Records that a request with a bad part has reached a server.
    pub(super) fn record_bad_arrival(&self, part: &BadPart, is_crash: bool) {
        let mut arrivals = self.lock_bad_arrivals();
        arrivals.push(BadArrival {
            at: Instant::now(),
            part: Arc::clone(&part.id),
            is_crash,
        });
    }

    /// Requests with bad parts that have reached servers, in order.
    pub fn bad_arrivals(&self) -> Vec<BadArrival> {
        self.lock_bad_arrivals().clone()
    }

    fn lock_bad_arrivals(&self) -> MutexGuard<'_, Vec<BadArrival>> {
        self.bad_arrivals.lock().expect("ledger is never poisoned")
    }

    /// Adds a running server.
    pub(super) fn add(&self, id: &str, switch: ListenerSwitch, start_again: StartServer) {
        self.lock_live().push(LiveServer {
            id: Arc::from(id),
            switch,
            start_again,
        });
    }

    /// From now on, servers start again under their old identifiers.
    pub fn keep_ids(&self) {
        self.keeps_ids.store(true, Ordering::Relaxed);
    }

    /// From now on, servers start again under new identifiers.
    pub(crate) fn renew_ids(&self) {
        self.keeps_ids.store(false, Ordering::Relaxed);
    }

    /// Sets what callers of plain servers see of a crash from now on.
    pub fn set_manner(&self, manner: CrashManner) {
        *self.manner.lock().expect("manner is never poisoned") = manner;
    }

    /// What callers of plain servers see of a crash.
    pub(super) fn manner(&self) -> CrashManner {
        *self.manner.lock().expect("manner is never poisoned")
    }

    /// From now on, one in `number` of the requests that crash servers does not, but is answered with
    /// status 500.
    pub fn spare_every(&self, number: usize) {
        self.spares_every.store(number, Ordering::Relaxed);
    }

    /// True when the request that has just arrived crashes no server.
    pub(super) fn spares_next(&self) -> bool {
        let number = self.spares_every.load(Ordering::Relaxed);
        let arrivals = self.arrivals.fetch_add(1, Ordering::Relaxed) + 1;
        number > 0 && arrivals.is_multiple_of(number)
    }

    /// Requests that have crashed a server, in order.
    pub fn runs(&self) -> Vec<CrashRun> {
        self.runs.lock().expect("ledger is never poisoned").clone()
    }

    /// Ends the server at `address`: its connections close and further ones are refused. Its entry
    /// stays, and it does not start again.
    pub fn end(&self, address: SocketAddr) {
        if let Some(server) = self.take(address) {
            server.switch.close();
        }
    }

    /// Crashes the server at `address` under a request with this path; it starts again later.
    pub fn crash(&self, address: SocketAddr, path: &str) {
        let Some(server) = self.take(address) else {
            return;
        };
        self.runs
            .lock()
            .expect("ledger is never poisoned")
            .push(CrashRun {
                at: Instant::now(),
                server: Arc::clone(&server.id),
                path: Arc::from(path),
            });
        if self.manner() != CrashManner::Dark {
            server.switch.close();
        }
        let store = self.store.clone();
        let next = if self.keeps_ids.load(Ordering::Relaxed) {
            server.id.to_string()
        } else {
            next_id(&server.id)
        };
        thread::spawn(move || {
            thread::sleep(LAPSE_TIME);
            store.remove(&format!("servers/{}", server.id));
            thread::sleep(DOWN_TIME.saturating_sub(LAPSE_TIME));
            (server.start_again)(&next);
        });
    }

    /// Ends the server that has run for longest, as a fault of its own; it starts again later.
    pub fn end_oldest(&self) {
        let oldest = self
            .lock_live()
            .first()
            .map(|server| server.switch.address());
        if let Some(address) = oldest {
            self.crash(address, OWN_FAULT);
        }
    }

    /// True when a server runs at `address`.
    pub(crate) fn is_live(&self, address: SocketAddr) -> bool {
        let live = self.lock_live();
        live.iter().any(|server| server.switch.address() == address)
    }

    fn take(&self, address: SocketAddr) -> Option<LiveServer> {
        let mut live = self.lock_live();
        let index = live
            .iter()
            .position(|server| server.switch.address() == address)?;
        Some(live.remove(index))
    }

    fn lock_live(&self) -> MutexGuard<'_, Vec<LiveServer>> {
        self.live.lock().expect("registry is never poisoned")
    }
}

/// Identifier of the run after the one named `id`: `p-0`, `p-0.1`, `p-0.2`.
fn next_id(id: &str) -> String {
    let (name, run) = id.rsplit_once('.').unwrap_or((id, "0"));
    let run: u32 = run.parse().unwrap_or(0);
    format!("{name}.{}", run + 1)
}
