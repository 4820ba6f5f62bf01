//! The log on standard error: a line for each event that an operator may act on, as text for
//! people, or as JSON with the same message and, beside it, the cause and the ids as fields of
//! their own.

mod rate_limit_layer;
pub mod rate_limiter;
mod text_format;

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

/// What a configuration says of the log.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct LogOptions {
    /// The least severity that is logged.
    pub level: LogLevel,
    /// How lines are written.
    pub format: LogFormat,
}

/// The least severity that is logged.
#[derive(Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// What stops the edge node from doing its work.
    Error,
    /// What an operator should look at.
    Warn,
    /// Starts, reloads and shutdowns.
    #[default]
    Info,
    /// Also each request, attempt and answer.
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

/// How lines of the log are written.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level and message, for people.
    #[default]
    Text,
    /// A JSON object a line, for programs.
    Json,
}

/// Why the log can't be started or changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The process has a log already.
    #[error(transparent)]
    AlreadyStarted(#[from] SetGlobalDefaultError),
    /// The log is gone, so its level can't be set.
    #[error(transparent)]
    Stopped(#[from] reload::Error),
}

/// The running log of this process.
pub struct Log {
    level: reload::Handle<LevelFilter, Registry>,
}

impl Log {
    /// Starts the log, which a process does once.
    ///
    /// # Errors
    /// [`LogError::AlreadyStarted`].
    pub fn start(options: LogOptions) -> Result<Log, LogError> {
        let (level_filter, level) = reload::Layer::new(LevelFilter::from(options.level));
        // A line that can't be written is dropped silently: the reader of the log may end, and
        // reporting that on the same standard error would fail again, and end the edge node.
        let lines = tracing_subscriber::fmt::layer()
            .with_writer(io::stderr)
            .with_ansi(false)
            .log_internal_errors(false);
        let lines = match options.format {
            LogFormat::Text => lines.event_format(TextFormat).boxed(),
            LogFormat::Json => lines.json().flatten_event(true).with_target(false).boxed(),
        };
        let subscriber = Registry::default()
            .with(level_filter)
            .with(RateLimitLayer::new())
            .with(lines);
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(Log { level })
    }

    /// Sets the least severity that is logged.
    ///
    /// # Errors
    /// [`LogError::Stopped`].
    pub fn set_level(&self, level: LogLevel) -> Result<(), LogError> {
        self.level.modify(|filter| *filter = level.into())?;
        Ok(())
    }
}
