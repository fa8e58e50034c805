//! Monotonic clock and service of periodic timers.

use crate::units::MonoTime;
use async_std::task;
use futures_lite::future::Boxed;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Monotonic clock of this process; cheap to clone.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    start: Instant,
}

impl MonoClock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current time.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.start.elapsed().as_micros() as u64)
    }
}

/// Name and period of a timer.
#[derive(Debug, Clone, Copy)]
pub struct TimerSpec {
    /// Name of the timer.
    pub name: &'static str,
    /// Time between the end of one run and the start of the next.
    pub period: Duration,
    /// Largest random time added to each period, so that daemons do not act at the same time.
    pub jitter: Duration,
}

impl TimerSpec {
    /// A timer with a jitter of a tenth of its period.
    pub fn new(name: &'static str, period: Duration) -> Self {
        Self {
            name,
            period,
            jitter: period / 10,
        }
    }
}

/// Job of a timer; gets the time at which it is started.
pub type TimerJob = Arc<dyn Fn(MonoTime) -> Boxed<()> + Send + Sync>;

/// Runs the periodic jobs of the daemon; cheap to clone.
#[derive(Clone)]
pub struct TimerService {
    clock: MonoClock,
}

impl fmt::Debug for TimerService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TimerService").finish_non_exhaustive()
    }
}

impl TimerService {
    /// Creates a service that tells its jobs the time of `clock`.
    pub fn new(clock: MonoClock) -> Self {
        Self { clock }
    }

    /// Runs `job` now and then periodically, for as long as the process lives. Runs of one timer
    /// never overlap.
    pub fn schedule(&self, spec: TimerSpec, job: TimerJob) {
        let clock = self.clock;
        task::spawn(async move {
            loop {
                job(clock.now()).await;
                let jitter = spec.jitter.mul_f64(fastrand::f64());
                task::sleep(spec.period + jitter).await;
            }
        });
    }
}
