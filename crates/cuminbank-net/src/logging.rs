//! Log output as JSON lines on standard error.

use cuminbank::log::{LogLevel, LogRecord};
use tracing_subscriber::EnvFilter;

/// Initializes logging with the filter in `RUST_LOG`, by default `info`.
pub fn start() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    // Fails if logging is already initialized, as by an earlier test in the same process; the
    // first subscriber stays.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}

/// Logs a numbered event under its level.
pub fn write(instance: &str, record: &LogRecord) {
    let event = format!("EV{:04}", record.code.number);
    let (summary, detail) = (record.code.summary, record.detail.as_str());
    match record.code.level {
        LogLevel::Info => tracing::info!(event, instance, detail, "{summary}"),
        LogLevel::Warn => tracing::warn!(event, instance, detail, "{summary}"),
        LogLevel::Error => tracing::error!(event, instance, detail, "{summary}"),
    }
}
