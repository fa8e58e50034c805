//! State of the engines as this daemon sees it, read and written without locks by requests.

use crate::engine::EngineReport;
use crate::ids::InstanceId;
use crate::units::MonoTime;
use arc_swap::{ArcSwap, ArcSwapOption};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// One engine as this daemon sees it.
#[derive(Debug)]
pub struct TargetState {
    /// Engine name.
    pub instance: InstanceId,
    /// Engine address.
    pub address: SocketAddr,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    avoid_until: AtomicU64,
    report: ArcSwapOption<EngineReport>,
}

impl TargetState {
    /// Creates the state of an engine of which nothing is known yet.
    pub fn new(instance: InstanceId, address: SocketAddr) -> Self {
        Self {
            instance,
            address,
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            avoid_until: AtomicU64::new(0),
            report: ArcSwapOption::empty(),
        }
    }

    /// Requests that this daemon has in progress on the engine.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightGuard(Arc::clone(self))
    }

    /// The newest load report.
    pub fn report(&self) -> Option<Arc<EngineReport>> {
        self.report.load_full()
    }

    /// Publishes a load report.
    pub fn publish(&self, report: EngineReport) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Sets whether the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Keeps new requests away from the engine until `time`.
    pub fn avoid_until(&self, time: MonoTime) {
        self.avoid_until.fetch_max(time.0, Ordering::AcqRel);
    }

    /// True when the engine may get new requests.
    pub fn is_open(&self, now: MonoTime) -> bool {
        let says_leaving = self
            .report
            .load()
            .as_ref()
            .is_some_and(|report| report.leaving);
        !self.leaving.load(Ordering::Acquire)
            && !says_leaving
            && self.avoid_until.load(Ordering::Acquire) <= now.0
    }
}

/// Counts one request as in progress on an engine while it lives.
#[derive(Debug)]
pub struct FlightGuard(Arc<TargetState>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type TargetMap = HashMap<InstanceId, Arc<TargetState>>;

/// All engines that the configuration names.
#[derive(Debug, Default)]
pub struct TargetTable {
    current: ArcSwap<TargetMap>,
}

impl TargetTable {
    /// State of one engine.
    pub fn get(&self, instance: &InstanceId) -> Option<Arc<TargetState>> {
        self.current.load().get(instance).cloned()
    }

    /// States of all engines.
    pub fn all(&self) -> Vec<Arc<TargetState>> {
        self.current.load().values().cloned().collect()
    }

    /// Replaces the set of engines; known ones at an unchanged address keep their state.
    pub fn replace(&self, engines: impl Iterator<Item = (InstanceId, SocketAddr)>) {
        let engines: Vec<_> = engines.collect();
        self.current.rcu(|current| {
            let rows = engines.iter().map(|(instance, address)| {
                let known = current
                    .get(instance)
                    .filter(|state| state.address == *address);
                let state = known
                    .cloned()
                    .unwrap_or_else(|| Arc::new(TargetState::new(instance.clone(), *address)));
                (instance.clone(), state)
            });
            rows.collect::<TargetMap>()
        });
    }
}
