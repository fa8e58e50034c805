//! Registry of plug-ins, which are installed when a daemon starts.

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
    /// A metric has an invalid name or one that is registered already.
    Metric(String),
    /// The settings of the plug-in are not valid.
    Settings(String),
}

impl fmt::Display for PluginError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Metric(cause) => write!(f, "cannot register a metric: {cause}"),
            Self::Settings(cause) => write!(f, "invalid settings: {cause}"),
        }
    }
}

impl std::error::Error for PluginError {}

impl From<prometheus::Error> for PluginError {
    fn from(cause: prometheus::Error) -> Self {
        Self::Metric(cause.to_string())
    }
}

/// A plug-in, registered by `inventory::submit!` in its module.
#[derive(Debug, Clone, Copy)]
pub struct PluginEntry {
    /// Name, for logs. Plug-ins are installed in the order of their names.
    pub name: &'static str,
    /// Adds the routes, timers and message handlers of the plug-in.
    pub install: fn(&mut PluginHost) -> Result<()>,
}

inventory::collect!(PluginEntry);

/// Takes the routes, timers and message handlers that plug-ins add.
pub struct PluginHost {
    /// Context shared by all plug-ins.
    pub context: Arc<KernelContext>,
    /// Web application with the routes.
    pub app: WebApp,
    /// Handlers of requests from other daemons.
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
    /// Creates a host without plug-ins.
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

    /// Installs all registered plug-ins.
    ///
    /// # Errors
    /// [`PluginError`] of the first plug-in that cannot be installed; later ones are not installed.
    pub fn install_all(&mut self) -> Result<()> {
        let mut entries: Vec<&PluginEntry> = inventory::iter::<PluginEntry>.into_iter().collect();
        entries.sort_by_key(|entry| entry.name);
        for entry in entries {
            (entry.install)(self)?;
            log::debug!("installed plug-in {}", entry.name);
        }
        Ok(())
    }

    /// Runs `job` periodically with the shared context and the current time.
    pub fn add_timer<F, R>(&self, spec: TimerSpec, job: F)
    where
        F: Fn(Arc<KernelContext>, MonoTime) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let context = Arc::clone(&self.context);
        let run_job = move |now| {
            let future = job(Arc::clone(&context), now);
            Box::pin(future) as futures_lite::future::Boxed<()>
        };
        self.context.timers.schedule(spec, Arc::new(run_job));
    }

    /// Sets the handler of the requests of a topic from other daemons.
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
