//! Plug-ins register themselves here and are installed when a daemon starts.

use crate::http::add_problem_body;
use crate::kernel::{KernelContext, TimerSpec};
use crate::peer::{PeerHandlers, PeerTopic};
use crate::units::MonoTime;
use std::fmt;
use std::sync::Arc;

/// Result of installing a plug-in.
pub type Result<T> = std::result::Result<T, PluginError>;

/// The web application that plug-ins add routes to.
pub type WebApp = tide::Server<Arc<KernelContext>>;

/// Why a plug-in could not be installed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PluginError {
    /// A metric was registered twice or has an invalid name.
    Metric(String),
    /// The plug-in's part of the settings does not suit it.
    Settings(String),
}

impl fmt::Display for PluginError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Metric(cause) => write!(f, "metric: {cause}"),
            Self::Settings(cause) => write!(f, "settings: {cause}"),
        }
    }
}

impl std::error::Error for PluginError {}

impl From<prometheus::Error> for PluginError {
    fn from(cause: prometheus::Error) -> Self {
        Self::Metric(cause.to_string())
    }
}

/// A plug-in, registered by `inventory::submit!` next to its code.
#[derive(Debug, Clone, Copy)]
pub struct PluginEntry {
    /// Name, for logs; plug-ins are installed in the order of their names.
    pub name: &'static str,
    /// Adds the plug-in's routes, timers and message handlers.
    pub install: fn(&mut PluginHost) -> Result<()>,
}

inventory::collect!(PluginEntry);

/// What a plug-in adds its parts to.
pub struct PluginHost {
    /// Shared context.
    pub context: Arc<KernelContext>,
    /// Routes.
    pub app: WebApp,
    /// Handlers of messages from other daemons.
    pub handlers: PeerHandlers,
}

impl fmt::Debug for PluginHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PluginHost")
            .field("context", &self.context)
            .finish_non_exhaustive()
    }
}

impl PluginHost {
    /// Creates a host without any plug-in.
    pub fn new(context: Arc<KernelContext>) -> Self {
        let mut app = tide::with_state(Arc::clone(&context));
        app.with(tide::utils::After(|response| async move {
            Ok(add_problem_body(response))
        }));
        Self {
            context,
            app,
            handlers: PeerHandlers::default(),
        }
    }

    /// Installs every registered plug-in.
    ///
    /// # Errors
    /// The first plug-in's [`PluginError`], if any.
    pub fn install_all(&mut self) -> Result<()> {
        let mut entries: Vec<&PluginEntry> = inventory::iter::<PluginEntry>.into_iter().collect();
        entries.sort_by_key(|entry| entry.name);
        for entry in entries {
            (entry.install)(self)?;
            log::debug!("installed plug-in {}", entry.name);
        }
        Ok(())
    }

    /// Runs `job` on the shared context periodically.
    pub fn add_timer<F, R>(&self, spec: TimerSpec, job: F)
    where
        F: Fn(Arc<KernelContext>, MonoTime) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let context = Arc::clone(&self.context);
        let run = move |now| {
            let future = job(Arc::clone(&context), now);
            Box::pin(future) as futures_lite::future::Boxed<()>
        };
        self.context.timers.schedule(spec, Arc::new(run));
    }

    /// Answers messages of a topic from other daemons.
    pub fn add_handler<F, R>(&mut self, topic: PeerTopic, handler: F)
    where
        F: Fn(Arc<KernelContext>, Vec<u8>) -> R + Send + Sync + 'static,
        R: Future<Output = Vec<u8>> + Send + 'static,
    {
        let context = Arc::clone(&self.context);
        self.handlers
            .add(topic, move |payload| handler(Arc::clone(&context), payload));
    }
}
