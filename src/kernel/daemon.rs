//! Starts a daemon with its context, plug-ins and listeners, and shuts it down gracefully.

use crate::http::{ConnectionCount, serve_http};
use crate::kernel::{KernelContext, PluginError, PluginHost};
use crate::peer::serve_peers;
use crate::settings::DaemonSettings;
use crate::wire::UploadLimits;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Result of starting or draining a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

/// Why a daemon could not start or did not drain completely.
#[derive(Debug)]
pub enum DaemonError {
    /// A listening address could not be bound.
    Listen(io::Error),
    /// A plug-in could not be installed.
    Plugin(PluginError),
    /// Signal handlers could not be registered.
    Signal(io::Error),
    /// Draining did not complete within its limit; this many busy connections were closed.
    DrainLimit(usize),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => write!(f, "cannot bind a listening address: {cause}"),
            Self::Plugin(cause) => write!(f, "cannot install a plug-in: {cause}"),
            Self::Signal(cause) => write!(f, "cannot register signal handlers: {cause}"),
            Self::DrainLimit(cut) => write!(f, "drain limit ran out, {cut} connections cut"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonHandle {
    context: Arc<KernelContext>,
    connections: ConnectionCount,
    tasks: Vec<JoinHandle<()>>,
}

/// Interval between checks whether draining is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl DaemonHandle {
    /// Shared context of the daemon.
    pub fn context(&self) -> &Arc<KernelContext> {
        &self.context
    }

    /// Shuts the daemon down gracefully: withdraws it from address responses, serves until the
    /// responses that callers have cached are expired, then stops accepting connections and waits
    /// for the requests in progress.
    ///
    /// # Errors
    /// [`DaemonError::DrainLimit`] when requests were still in progress at the drain limit.
    pub async fn drain(self) -> Result<()> {
        let limit = self.context.settings.membership.drain_limit();
        let drained = timeout(limit, self.finish_requests()).await;
        let cut = self.connections.busy_count();
        for job in self.tasks {
            job.cancel().await;
        }
        if drained.is_err() {
            log::error!("drain limit ran out: {cut} connections cut");
            return Err(DaemonError::DrainLimit(cut));
        }
        log::info!("drained: no request in progress");
        Ok(())
    }

    /// Returns when no request is in progress and the daemon accepts no new ones.
    async fn finish_requests(&self) {
        let lifecycle = &self.context.lifecycle;
        if lifecycle.mark_draining() {
            log::info!("draining: leaving the address answer");
        }
        self.connections.drain();
        task::sleep(self.context.members.leave_propagation_time()).await;
        task::sleep(self.context.settings.timing.address_lifetime()).await;
        self.connections.close();
        while self.connections.open_count() > 0 || lifecycle.in_progress() > 0 {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Starts a daemon with all registered plug-ins.
///
/// # Errors
/// [`DaemonError`] when a listening address cannot be bound or a plug-in cannot be installed.
pub async fn start_daemon(settings: DaemonSettings) -> Result<DaemonHandle> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(DaemonError::Listen)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)
        .await
        .map_err(DaemonError::Listen)?;
    let context = KernelContext::new(settings);
    let mut host = PluginHost::new(Arc::clone(&context));
    host.install_all().map_err(DaemonError::Plugin)?;
    let PluginHost { app, handlers, .. } = host;
    let help = "Callers' connections and bodies ended or refused for lack of room, by cause.";
    let ended = context
        .metrics
        .counter("callers_ended_total", help, &["cause"])
        .map_err(|cause| DaemonError::Plugin(cause.into()))?;
    let limits = UploadLimits {
        memory_bytes: context.settings.bounds.body_total_bytes,
        connections: context.settings.bounds.connections,
    };
    let connections = ConnectionCount::new(limits, context.clock, ended);
    let count = connections.clone();
    let http = task::spawn(async move {
        if let Err(cause) = serve_http(listener, app, count).await {
            log::error!("HTTP listener failed: {cause}");
        }
    });
    let peer_key = Arc::clone(&context.settings.peer_key);
    let peers = task::spawn(serve_peers(peer_listener, peer_key, Arc::new(handlers)));
    let settings = &context.settings;
    log::info!("{} listens on {}", settings.instance, settings.listen);
    Ok(DaemonHandle {
        context,
        connections,
        tasks: vec![http, peers],
    })
}

/// Runs a daemon until SIGTERM or SIGINT, then drains it. Further signals of this kind have no
/// effect: requests in progress complete or are ended by the drain limit.
///
/// # Errors
/// [`DaemonError`] when the daemon could not start or the drain limit was exceeded.
pub async fn run_daemon(settings: DaemonSettings) -> Result<()> {
    use futures_lite::StreamExt;
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals =
        signal_hook_async_std::Signals::new([SIGTERM, SIGINT]).map_err(DaemonError::Signal)?;
    let handle = start_daemon(settings).await?;
    signals.next().await;
    let log_further_signals = async {
        while signals.next().await.is_some() {
            log::warn!("already draining");
        }
        std::future::pending().await
    };
    futures_lite::future::or(handle.drain(), log_further_signals).await
}
