//! Logger that writes to standard error, as text or JSON lines.

use crate::settings::LogSettings;
use log::LevelFilter;
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why logging could not be set up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// The process already has a logger.
    AlreadySet,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process already has a logger")
    }
}

impl std::error::Error for LogError {}

/// Sets up the logger of the process. An unknown level means `info`.
///
/// # Errors
/// [`LogError::AlreadySet`] when the process already has a logger.
pub fn init_logging(settings: &LogSettings, instance: &str) -> Result<(), LogError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let as_json = settings.form.as_ref() == "json";
    let instance = instance.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("tide", LevelFilter::Warn)
        .format(move |out, message, record| {
            let seconds = unix_seconds();
            if as_json {
                let line = serde_json::json!({
                    "time": seconds, "level": record.level().as_str(), "instance": instance,
                    "target": record.target(), "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let level = record.level();
                let target = record.target();
                out.finish(format_args!(
                    "{seconds:.3} {level} {instance} {target}: {message}"
                ));
            }
        })
        .chain(std::io::stderr());
    dispatch.apply().map_err(|_cause| LogError::AlreadySet)
}

/// Current time in seconds since the Unix epoch.
fn unix_seconds() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |span| span.as_secs_f64())
}
