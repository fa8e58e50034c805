//! The kernel of the daemon: shared context, timers, life cycle and the registry of plug-ins.

mod context;
mod daemon;
mod lifecycle;
mod plugin;
mod timer;

pub use context::KernelContext;
pub use daemon::{DaemonError, DaemonHandle, run_daemon, start_daemon};
pub use lifecycle::{DaemonPhase, LifecycleCell, ProgressGuard};
pub use plugin::{PluginEntry, PluginError, PluginHost, WebApp};
pub use timer::{MonoClock, TimerJob, TimerService, TimerSpec};
