//! Text format of the log: the time, level and message of an event on one line.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Name of the field in which `tracing` records the message of an event.
const MESSAGE_FIELD: &str = "message";

/// Formats events for people, without their fields: the message contains what an operator needs,
/// and programs read the fields from the JSON format.
pub(super) struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut message = MessageVisitor::default();
        event.record(&mut message);
        SystemTime.format_time(&mut writer)?;
        write!(writer, " {} ", event.metadata().level())?;
        write_escaped(&mut writer, &message.text)?;
        writeln!(writer)
    }
}

/// Writes `text` with its control characters escaped. Messages contain text from peers and files,
/// in which a line break could forge a line of the log.
fn write_escaped(writer: &mut Writer<'_>, text: &str) -> fmt::Result {
    for character in text.chars() {
        if character.is_control() {
            write!(writer, "{}", character.escape_default())?;
        } else {
            writer.write_char(character)?;
        }
    }
    Ok(())
}

/// Collects the message of an event and ignores its other fields.
#[derive(Default)]
struct MessageVisitor {
    text: String,
}

impl Visit for MessageVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == MESSAGE_FIELD {
            // Writing to a `String` cannot fail.
            let _ = write!(self.text, "{value:?}");
        }
    }
}
