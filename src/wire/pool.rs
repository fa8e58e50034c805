//! Kept connections. Those to targets are kept by identity rather than by address, so that none outlives
//! a restart of its target.

use crate::wire::stream::WireStream;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A kept connection.
#[derive(Debug)]
struct KeptStream {
    stream: WireStream,
    expires: Instant,
}

type IdleStreams<K> = HashMap<K, Vec<KeptStream>>;

/// Kept connections by key.
#[derive(Debug)]
pub struct StreamPool<K> {
    most: usize,
    idle: Mutex<IdleStreams<K>>,
}

impl<K: Clone + Eq + Hash> StreamPool<K> {
    /// Keeps at most `most` connections for each key.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// A kept connection that is still open, most recently used first.
    pub fn take(&self, key: &K) -> Option<WireStream> {
        let mut idle = self.lock();
        let kept = idle.get_mut(key)?;
        let now = Instant::now();
        while let Some(connection) = kept.pop() {
            if connection.expires > now && connection.stream.is_idle() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection for this long.
    pub fn put(&self, key: &K, stream: WireStream, idle_time: Duration) {
        if idle_time.is_zero() {
            return;
        }
        let expires = Instant::now() + idle_time;
        let mut idle = self.lock();
        let kept = idle.entry(key.clone()).or_default();
        if kept.len() < self.most {
            kept.push(KeptStream { stream, expires });
        }
    }

    /// Closes connections that have expired, and those whose key is not `known`.
    pub fn sweep(&self, known: impl Fn(&K) -> bool) {
        let now = Instant::now();
        self.lock().retain(|key, kept| {
            kept.retain(|connection| connection.expires > now);
            known(key) && !kept.is_empty()
        });
    }

    /// Closes all connections of a key.
    pub fn remove(&self, key: &K) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, IdleStreams<K>> {
        self.idle
            .lock()
            .expect("kept connections are never poisoned")
    }
}
