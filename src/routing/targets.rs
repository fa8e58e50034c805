//! State of the engines as this daemon sees it. Requests read and write it without locks.

use crate::engine::EngineReport;
use crate::ids::InstanceId;
use crate::routing::{StageKey, TargetHealth, TargetLoad};
use crate::units::MonoTime;
use arc_swap::{ArcSwap, ArcSwapOption};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// One engine as this daemon sees it.
#[derive(Debug)]
pub struct TargetState {
    /// Name of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Failures, ejection and slow start.
    pub health: TargetHealth,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    /// End of the reservation for an isolated run, as [`MonoTime`]; 0 when there is none.
    reserved_until: AtomicU64,
    load: ArcSwapOption<TargetLoad>,
}

impl TargetState {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(instance: InstanceId, address: SocketAddr) -> Self {
        Self {
            instance,
            address,
            health: TargetHealth::default(),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            reserved_until: AtomicU64::new(0),
            load: ArcSwapOption::empty(),
        }
    }

    /// Requests in flight on the engine from this daemon.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// The newest load report.
    pub fn report(&self) -> Option<Arc<EngineReport>> {
        let load = self.load.load();
        load.as_ref().map(|load| Arc::clone(&load.report))
    }

    /// Estimated requests in progress on the engine: those in flight from this daemon now, and
    /// those of other daemons as of the newest report.
    pub fn sessions(&self) -> u32 {
        let load = self.load.load();
        self.in_flight() + load.as_ref().map_or(0, |load| load.other_sessions)
    }

    /// Calls `read` with the newest load and the estimated requests in progress.
    pub fn read_load<T>(&self, read: impl FnOnce(Option<&TargetLoad>, u32) -> T) -> T {
        let load = self.load.load();
        let local = self.in_flight();
        let load = load.as_deref();
        read(load, local + load.map_or(0, |load| load.other_sessions))
    }

    /// Publishes a load report without times, for callers without a clock: any other report
    /// replaces it, and the engine's report is read again.
    pub fn publish(&self, report: EngineReport, local_sessions: u32) {
        self.publish_at(report, local_sessions, MonoTime(0), None);
    }

    /// Publishes a load report that was made at `reported_at`, when `local_sessions` requests were
    /// in flight on the engine from this daemon.
    pub fn publish_at(
        &self,
        report: EngineReport,
        local_sessions: u32,
        reported_at: MonoTime,
        received_at: Option<MonoTime>,
    ) {
        let ready = report.stages.iter().filter(|stage| stage.ready);
        let load = TargetLoad {
            ready_stages: ready
                .map(|stage| StageKey::new(&stage.model, &stage.version, stage.layers))
                .collect(),
            reported_at,
            received_at,
            other_sessions: report.sessions.saturating_sub(local_sessions),
            report: Arc::new(report),
        };
        self.load.store(Some(Arc::new(load)));
    }

    /// Records that the engine has restarted; it counts as holding no stage until its next report.
    pub fn mark_restarted(&self, incarnation: u64) {
        let report = EngineReport {
            incarnation,
            ..EngineReport::default()
        };
        self.publish(report, 0);
    }

    /// Time at which the newest report was made.
    pub fn reported_at(&self) -> Option<MonoTime> {
        self.load.load().as_ref().map(|load| load.reported_at)
    }

    /// Time at which the newest report was received.
    pub fn received_at(&self) -> Option<MonoTime> {
        self.load.load().as_ref().and_then(|load| load.received_at)
    }

    /// Sets whether the instance list shows the engine as leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// True when the engine is shutting down, according to the instance list or its own report.
    pub fn is_leaving(&self) -> bool {
        let load = self.load.load();
        self.leaving.load(Ordering::Acquire)
            || load.as_ref().is_some_and(|load| load.report.leaving)
    }

    /// True unless the newest report shows that the engine has not loaded the stage.
    pub fn is_ready(&self, key: StageKey) -> bool {
        let load = self.load.load();
        load.as_ref()
            .is_none_or(|load| load.ready_stages.contains(&key))
    }

    /// True when the engine is not leaving, ejected or reserved.
    pub fn is_available(&self, now: MonoTime) -> bool {
        !self.is_leaving() && self.health.admits(now) && !self.is_reserved(now)
    }

    /// True while the engine is reserved for an isolated run of a request that may crash it.
    pub fn is_reserved(&self, now: MonoTime) -> bool {
        self.reserved_until.load(Ordering::Acquire) > now.0
    }

    /// Reserves the engine until `until`; `None` when it is reserved already.
    pub fn reserve(self: &Arc<Self>, now: MonoTime, until: MonoTime) -> Option<TargetReservation> {
        let current = self.reserved_until.load(Ordering::Acquire);
        if current > now.0 {
            return None;
        }
        let order = Ordering::AcqRel;
        let taken =
            self.reserved_until
                .compare_exchange(current, until.0, order, Ordering::Acquire);
        taken.is_ok().then(|| TargetReservation {
            target: Arc::clone(self),
            until,
        })
    }
}

/// Reservation of an engine; dropping it ends the reservation.
#[derive(Debug)]
pub struct TargetReservation {
    target: Arc<TargetState>,
    until: MonoTime,
}

impl Drop for TargetReservation {
    fn drop(&mut self) {
        let current = self.until.0;
        let order = Ordering::AcqRel;
        let freed =
            self.target
                .reserved_until
                .compare_exchange(current, 0, order, Ordering::Acquire);
        if freed.is_err() {
            // The reservation had expired, and another request has reserved the engine since.
        }
    }
}

/// Counts one request as in flight on an engine until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<TargetState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

type TargetMap = HashMap<InstanceId, Arc<TargetState>>;

/// State of all engines in the configuration.
#[derive(Debug, Default)]
pub struct TargetTable {
    current: ArcSwap<TargetMap>,
    version: AtomicU64,
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

    /// Version of the set of engines; increases with each change.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Replaces the set of engines. Engines whose address is unchanged keep their state.
    pub fn replace(&self, engines: impl Iterator<Item = (InstanceId, SocketAddr)>) {
        let engines: HashMap<InstanceId, SocketAddr> = engines.collect();
        if self.has_same_engines(&engines) {
            return;
        }
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
        self.version.fetch_add(1, Ordering::AcqRel);
    }

    fn has_same_engines(&self, engines: &HashMap<InstanceId, SocketAddr>) -> bool {
        let current = self.current.load();
        let is_same = |(instance, address): (&InstanceId, &SocketAddr)| {
            current
                .get(instance)
                .is_some_and(|state| state.address == *address)
        };
        current.len() == engines.len() && engines.iter().all(is_same)
    }
}
