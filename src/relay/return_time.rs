//! When refused callers are asked to return.
//!
//! While a service turns many requests away, those that return soon are turned away again. The larger the
//! share of refused requests, the longer the time over which their callers are spread.

use crate::ids::ServiceId;
use crate::units::MonoTime;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Time in which a counted request loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of refused requests from which callers are spread over all of the time that they can wait.
const FULL_SPREAD_SHARE: f64 = 0.25;
/// Weight of requests that were not refused, added to the counted ones, so that a single refusal is not
/// taken for a large share.
const PRIOR_REQUESTS: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct ServiceCounts {
    requests: f64,
    refusals: f64,
    at: MonoTime,
}

impl ServiceCounts {
    /// The counts with the weights that they have at `now`.
    fn decayed(self, now: MonoTime) -> Self {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(half_lives);
        Self {
            requests: self.requests * weight,
            refusals: self.refusals * weight,
            at: now,
        }
    }
}

/// Share of the requests of each service that were refused in the last seconds.
#[derive(Debug, Default)]
pub struct RefusalPressure {
    services: Mutex<HashMap<ServiceId, ServiceCounts>>,
}

impl RefusalPressure {
    /// Counts a request.
    pub fn on_request(&self, service: &ServiceId, now: MonoTime) {
        self.update(service, now, |counts| counts.requests += 1.0);
    }

    /// Counts the refusal of a request that was counted before.
    pub fn on_refusal(&self, service: &ServiceId, now: MonoTime) {
        self.update(service, now, |counts| counts.refusals += 1.0);
    }

    /// Share of refused requests, from 0 to 1.
    pub fn share(&self, service: &ServiceId, now: MonoTime) -> f64 {
        let counts = self.lock().get(service).copied().unwrap_or_default();
        let counts = counts.decayed(now);
        (counts.refusals / (counts.requests + PRIOR_REQUESTS)).min(1.0)
    }

    fn update(&self, service: &ServiceId, now: MonoTime, act: impl FnOnce(&mut ServiceCounts)) {
        let mut services = self.lock();
        let counts = services.entry(service.clone()).or_default();
        *counts = counts.decayed(now);
        act(counts);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceCounts>> {
        self.services.lock().expect("counts are never poisoned")
    }
}

/// Time after which a refused caller is asked to return: between `base` and twice as much while few
/// requests are refused, and up to `limit` while many are.
pub fn return_delay(
    base: Duration,
    limit: Duration,
    refused_share: f64,
    rng: &mut fastrand::Rng,
) -> Duration {
    let spread = (refused_share / FULL_SPREAD_SHARE).min(1.0);
    let longest = base + base + limit.saturating_sub(base * 2).mul_f64(spread);
    base + longest.saturating_sub(base).mul_f64(rng.f64())
}
