//! Pool of idle connections. Connections to targets are pooled by the identity of the target
//! instead of its address, so that none is reused after a restart of the target.

use crate::wire::stream::WireStream;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An idle connection.
#[derive(Debug)]
struct IdleStream {
    stream: WireStream,
    expires_at: Instant,
}

type IdleStreams<K> = HashMap<K, Vec<IdleStream>>;

/// Idle connections by key.
#[derive(Debug)]
pub struct StreamPool<K> {
    max_per_key: usize,
    idle: Mutex<IdleStreams<K>>,
}

impl<K: Clone + Eq + Hash> StreamPool<K> {
    /// Creates an empty pool that keeps at most `max_per_key` idle connections for each key.
    pub fn new(max_per_key: usize) -> Self {
        Self {
            max_per_key,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Takes the most recently used connection that is still open and has no unread input.
    pub fn take(&self, key: &K) -> Option<WireStream> {
        let mut idle = self.lock();
        let streams = idle.get_mut(key)?;
        let now = Instant::now();
        while let Some(entry) = streams.pop() {
            if entry.expires_at > now && entry.stream.is_idle() {
                return Some(entry.stream);
            }
        }
        None
    }

    /// Puts a connection into the pool for at most `idle_time`; drops it when the pool has enough
    /// connections for this key.
    pub fn put(&self, key: &K, stream: WireStream, idle_time: Duration) {
        if idle_time.is_zero() {
            return;
        }
        let expires_at = Instant::now() + idle_time;
        let mut idle = self.lock();
        let streams = idle.entry(key.clone()).or_default();
        if streams.len() < self.max_per_key {
            streams.push(IdleStream { stream, expires_at });
        }
    }

    /// Closes the connections that have expired, and those whose key does not satisfy `is_known`.
    pub fn sweep(&self, is_known: impl Fn(&K) -> bool) {
        let now = Instant::now();
        self.lock().retain(|key, streams| {
            streams.retain(|entry| entry.expires_at > now);
            is_known(key) && !streams.is_empty()
        });
    }

    /// Closes all idle connections of a key.
    pub fn remove(&self, key: &K) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, IdleStreams<K>> {
        self.idle.lock().expect("pool lock is never poisoned")
    }
}
