//! Kept connections to targets, by target identity rather than by address, so that none outlives a
//! restart of its target.

use crate::ids::InstanceId;
use crate::wire::stream::WireStream;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Most kept connections for each target.
const KEPT_CONNECTIONS: usize = 32;
/// Time before the end of a target's idle timeout from which a connection is not used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle time for which a connection is kept when the target does not say how long it keeps it.
const UNTOLD_IDLE: Duration = Duration::from_secs(2);

/// A kept connection.
#[derive(Debug)]
pub struct KeptConnection {
    stream: WireStream,
    expires: Instant,
}

/// Kept connections to all targets.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<InstanceId, Vec<KeptConnection>>>,
}

impl TargetPool {
    /// A kept connection that is still open, most recently used first.
    pub fn take(&self, target: &InstanceId) -> Option<WireStream> {
        let mut idle = self
            .idle
            .lock()
            .expect("kept connections are never poisoned");
        let kept = idle.get_mut(target)?;
        let now = Instant::now();
        while let Some(connection) = kept.pop() {
            if connection.expires > now && connection.stream.is_quiet() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection for as long as its target says it does, in whole seconds.
    pub fn keep(&self, target: &InstanceId, stream: WireStream, told_seconds: Option<u64>) {
        let told =
            told_seconds.map(|seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN));
        let idle_time = told.unwrap_or(UNTOLD_IDLE);
        if idle_time.is_zero() {
            return;
        }
        let expires = Instant::now() + idle_time;
        let mut idle = self
            .idle
            .lock()
            .expect("kept connections are never poisoned");
        let kept = idle.entry(target.clone()).or_default();
        if kept.len() < KEPT_CONNECTIONS {
            kept.push(KeptConnection { stream, expires });
        }
    }

    /// Closes connections that have expired, and those to targets that are not `known`.
    pub fn sweep(&self, known: impl Fn(&InstanceId) -> bool) {
        let now = Instant::now();
        let mut idle = self
            .idle
            .lock()
            .expect("kept connections are never poisoned");
        idle.retain(|target, kept| {
            kept.retain(|connection| connection.expires > now);
            known(target) && !kept.is_empty()
        });
    }

    /// Closes all connections to a target.
    pub fn forget(&self, target: &InstanceId) {
        let mut idle = self
            .idle
            .lock()
            .expect("kept connections are never poisoned");
        idle.remove(target);
    }
}
