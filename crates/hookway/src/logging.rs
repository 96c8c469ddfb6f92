//! Logging of a controller.

use tracing::Level;
use tracing_subscriber::filter::{LevelFilter, filter_fn};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that sets the minimum level of logged events: `debug`, `info` (the default) or `error`.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Starts logging to standard error. Only events of hookway's own crates are logged.
pub fn start() {
    let level = match std::env::var(LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("error") => Level::ERROR,
        _ => Level::INFO,
    };
    let own_events = filter_fn(|metadata| metadata.target().starts_with("hookway"));
    let format = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry()
        .with(LevelFilter::from_level(level))
        .with(own_events)
        .with(format)
        .init();
}
