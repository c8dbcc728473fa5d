//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Variable that selects what is logged, in the form of `tracing`'s filters.
pub const LOG_VARIABLE: &str = "CORIANDERSTAND_LOG";

/// Starts logging.
pub fn start() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter);
    // A second start, in a test, keeps the first.
    drop(builder.with_writer(std::io::stderr).try_init());
}
