//! Formats the actions of gateways as lines of the simulator's protocol.

use gateway_core::Action;
use std::fmt::{self, Write};
use std::time::Duration;

/// Appends an action of a gateway to a reply, as one line.
pub(crate) fn append(reply: &mut String, gateway: u64, action: &Action) {
    // Writing to a `String` never fails.
    let _ = writeln!(reply, "{}", ActionLine { gateway, action });
}

/// An action of a gateway, displayed as a line without its line ending.
struct ActionLine<'a> {
    gateway: u64,
    action: &'a Action,
}

impl fmt::Display for ActionLine<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gateway = self.gateway;
        match self.action {
            // The simulator sends an attempt at the time of the action, which the decision library
            // has compared with the write deadline.
            Action::SendAttempt {
                id,
                server,
                timeout,
                write_deadline: _,
            } => {
                write!(
                    formatter,
                    "send\ti={gateway}\tcall={}\tserver={}",
                    id.0, server.0
                )?;
                write_optional(formatter, "tryForUs", *timeout)
            }
            Action::Reject { id, retry_after } => {
                write!(formatter, "not_now\ti={gateway}\tcall={}", id.0)?;
                write_optional(formatter, "retryInUs", *retry_after)
            }
            Action::Fail { id } => write!(formatter, "finish_error\ti={gateway}\tcall={}", id.0),
            Action::CancelAttempt { id, attempt } => {
                write!(
                    formatter,
                    "revoke\ti={gateway}\tcall={}\tshot={}",
                    id.0, attempt.0
                )
            }
            Action::Broadcast { bytes } => {
                write!(
                    formatter,
                    "tell\ti={gateway}\taddressee=*\tblob={}",
                    Hex(bytes)
                )
            }
            Action::SendToPeer { to, bytes } => {
                write!(
                    formatter,
                    "tell\ti={gateway}\taddressee={}\tblob={}",
                    to.0,
                    Hex(bytes)
                )
            }
            Action::SetTimer { after, token } => {
                write!(
                    formatter,
                    "defer\ti={gateway}\tdelayUs={}\tnonce={token}",
                    after.as_micros()
                )
            }
            Action::WatchEndpoints => write!(formatter, "track\ti={gateway}\tactive=1"),
            Action::Warn(warning) => write!(formatter, "say_log\ti={gateway}\twords={warning}"),
        }
    }
}

/// Writes a field whose value is a duration in µs. Writes nothing if the duration is `None`.
fn write_optional(
    formatter: &mut fmt::Formatter<'_>,
    field: &str,
    value: Option<Duration>,
) -> fmt::Result {
    match value {
        Some(value) => write!(formatter, "\t{field}={}", value.as_micros()),
        None => Ok(()),
    }
}

/// Bytes, displayed as pairs of hexadecimal digits, or as `-` if there are none.
struct Hex<'a>(&'a [u8]);

impl fmt::Display for Hex<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("-");
        }
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/reply.rs"]
mod tests;
