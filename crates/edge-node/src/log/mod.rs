//! The log on standard error: one line for each event that an operator may act on. The format is
//! text for people, or JSON with the same message and the event's cause and ids as separate fields.

mod error_chain;
mod rate_limit_layer;
pub mod rate_limiter;
mod text_format;

pub(crate) use error_chain::ErrorChain;

use rate_limit_layer::RateLimitLayer;
use serde::Deserialize;
use std::fmt;
use std::io;
use text_format::TextFormat;
use thiserror::Error;
use tracing::subscriber::SetGlobalDefaultError;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::Registry;
use tracing_subscriber::{reload, Layer};

/// Options of the log. By default, lines of level `info` and above are logged as text.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct LogOptions {
    /// Lowest severity that is logged.
    pub level: LogLevel,
    /// Format of the lines, which cannot change once the log has started.
    pub format: LogFormat,
}

/// Threshold of the log: a line is logged if its severity is this level or one listed before it.
#[derive(Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// No lines at all.
    Off,
    /// Conditions that keep the edge node from doing its work.
    Error,
    /// Conditions that an operator should look into.
    Warn,
    /// Startup, configuration reloads and shutdown.
    #[default]
    Info,
    /// Each request, attempt and answer.
    Debug,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        LevelFilter::from(*self).fmt(formatter)
    }
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> LevelFilter {
        match level {
            LogLevel::Off => LevelFilter::OFF,
            LogLevel::Error => LevelFilter::ERROR,
            LogLevel::Warn => LevelFilter::WARN,
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
        }
    }
}

/// Format of the lines of the log.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level and message, for people.
    #[default]
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// Error in starting the log or in changing its level.
#[derive(Debug, Error)]
pub enum LogError {
    /// The process already has a log.
    #[error(transparent)]
    AlreadyStarted(#[from] SetGlobalDefaultError),
    /// The level filter no longer exists or cannot be locked, so the level stays as it was.
    #[error(transparent)]
    Stopped(#[from] reload::Error),
}

/// Handle of the process-wide log; changes its level.
pub struct Log {
    level: reload::Handle<LevelFilter, Registry>,
}

impl Log {
    /// Starts the log of the process.
    ///
    /// # Errors
    /// Returns [`LogError::AlreadyStarted`] if the process already has a log.
    pub fn start(options: LogOptions) -> Result<Log, LogError> {
        let (level_filter, level) = reload::Layer::new(LevelFilter::from(options.level));
        // A line that cannot be written is dropped silently. If the reader of standard error has
        // exited, a report of the failed write there would fail as well and end the edge node.
        let layer = tracing_subscriber::fmt::layer()
            .with_writer(io::stderr)
            .with_ansi(false)
            .log_internal_errors(false);
        let layer = match options.format {
            LogFormat::Text => layer.event_format(TextFormat).boxed(),
            LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
        };
        let subscriber = Registry::default()
            .with(level_filter)
            .with(RateLimitLayer::new())
            .with(layer);
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(Log { level })
    }

    /// Sets the lowest severity that is logged.
    ///
    /// # Errors
    /// Returns [`LogError::Stopped`] if the level filter no longer exists or cannot be locked.
    pub fn set_level(&self, level: LogLevel) -> Result<(), LogError> {
        self.level.modify(|filter| *filter = level.into())?;
        Ok(())
    }
}
