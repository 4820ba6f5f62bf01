//! The log on standard error: a line for each event that an operator may act on. Text is written for people; JSON
//! has the same words and, beside them, the cause and the ids as fields of their own.

use crate::limiter::Limiter;
use serde::Deserialize;
use std::fmt::{self, Write};
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{self as written, FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::registry::{LookupSpan, Registry};
use tracing_subscriber::{reload, Layer};

/// Most lines from one place in the program in each span. Guards against a log that grows with the trouble that it
/// tells of, and against a reader that can't keep up and would hold the edge node.
const LINES_MOST: u32 = 10;
const SPAN: Duration = Duration::from_secs(10);

/// What a configuration says of the log.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct Options {
    pub level: Severity,
    pub format: Format,
}

/// The least severity that is logged.
#[derive(Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    Off,
    Error,
    Warn,
    #[default]
    Info,
    /// Each request, attempt and answer, too.
    Debug,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        LevelFilter::from(*self).fmt(f)
    }
}

impl From<Severity> for LevelFilter {
    fn from(severity: Severity) -> LevelFilter {
        match severity {
            Severity::Off => LevelFilter::OFF,
            Severity::Error => LevelFilter::ERROR,
            Severity::Warn => LevelFilter::WARN,
            Severity::Info => LevelFilter::INFO,
            Severity::Debug => LevelFilter::DEBUG,
        }
    }
}

#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// The log that has been started; its level can be changed.
pub struct Log(reload::Handle<LevelFilter, Registry>);

impl Log {
    /// Starts the log of this process, which is done once.
    ///
    /// # Errors
    /// It has been started before.
    pub fn start(options: Options) -> anyhow::Result<Log> {
        let (level, handle) = reload::Layer::new(LevelFilter::from(options.level));
        // Guards against ending with whoever reads the log: a line that can't be written is lost.
        let lines = written::layer().with_writer(io::stderr).with_ansi(false).log_internal_errors(false);
        let lines = match options.format {
            Format::Text => lines.event_format(Text).boxed(),
            Format::Json => lines.json().flatten_event(true).with_target(false).boxed(),
        };
        let log = Registry::default()
            .with(level)
            .with(FromEach(Mutex::new(Limiter::new(LINES_MOST, SPAN))))
            .with(lines);
        tracing::subscriber::set_global_default(log)?;
        Ok(Log(handle))
    }

    /// Changes the least severity.
    ///
    /// # Errors
    /// The log has ended.
    pub fn set_level(&self, level: Severity) -> anyhow::Result<()> {
        Ok(self.0.modify(|filter| *filter = level.into())?)
    }
}

/// A line for people: when, how severe, and the words. The fields are for programs; the words have what matters.
struct Text;

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self, _context: &FmtContext<'_, S, N>, mut writer: Writer<'_>, event: &Event<'_>,
    ) -> fmt::Result {
        let mut words = Words(String::new());
        event.record(&mut words);
        SystemTime.format_time(&mut writer)?;
        write!(writer, " {} ", event.metadata().level())?;
        // Guards against lines forged by what comes from elsewhere.
        for letter in words.0.chars() {
            match letter.is_control() {
                true => write!(writer, "{}", letter.escape_default())?,
                false => writer.write_char(letter)?,
            }
        }
        writeln!(writer)
    }
}

/// The words of an event, without its fields.
struct Words(String);

impl Visit for Words {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            // Writing to a string does not fail.
            let _ = write!(self.0, "{value:?}");
        }
    }
}

/// Lets so many lines pass from each place in the program. Those at debug level were asked for, and pass all.
struct FromEach(Mutex<Limiter<Identifier>>);

impl<S: Subscriber> Layer<S> for FromEach {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let mut limiter = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let passes = limiter.pass(event.metadata().callsite(), Instant::now());
        // The next line comes this way, too.
        drop(limiter);
        if let Some(left_out @ 1..) = passes {
            tracing::warn!(
                event = "lines_suppressed",
                lines = left_out,
                "left out {left_out} lines like the next"
            );
        }
        passes.is_some()
    }
}
