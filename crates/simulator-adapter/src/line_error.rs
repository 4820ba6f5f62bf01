//! Errors that end the adapter: malformed lines of the simulator's protocol, and failed reads and
//! writes.

use gateway_core::settings::ParseError;
use gateway_core::SettingsError;
use std::io;
use thiserror::Error;

/// An error, with the number of the line at which it occurred.
#[derive(Debug, Error)]
#[error("line {line}: {kind}")]
pub struct LineError {
    /// Number of the line in the input, from 1.
    pub line: usize,
    /// What is wrong with the line, or which operation failed at it.
    #[source]
    pub kind: LineErrorKind,
}

/// The kinds of errors that end the adapter.
#[derive(Debug, Error)]
pub enum LineErrorKind {
    /// Reading the input failed.
    #[error("failed to read the input: {0}")]
    Read(#[source] io::Error),
    /// The input ended before the line's newline.
    #[error("input ended before the end of the line")]
    Truncated,
    /// The input ended within a frame.
    #[error("input ended before the eof_batch line")]
    UnterminatedFrame,
    /// Writing the reply failed.
    #[error("failed to write the reply: {0}")]
    Write(#[source] io::Error),
    /// The protocol requires a line with another name here.
    #[error("expected {expected}, found {found:?}")]
    UnexpectedName {
        /// The required name.
        expected: &'static str,
        /// The name of the line.
        found: String,
    },
    /// The protocol has no line with this name.
    #[error("unknown line name {0:?}")]
    UnknownName(String),
    /// A required field is missing.
    #[error("{name}: field {field} is missing")]
    MissingField {
        /// The name of the line.
        name: String,
        /// The name of the field.
        field: &'static str,
    },
    /// A field has an invalid value.
    #[error("{name}: field {field}: invalid value {value:?}")]
    InvalidField {
        /// The name of the line.
        name: String,
        /// The name of the field.
        field: &'static str,
        /// The value; empty if the field is missing.
        value: String,
    },
    /// The settings of a gateway cannot be parsed.
    #[error("hello: field setup: {0}")]
    UnparsableSettings(#[source] ParseError),
    /// The settings of a gateway contradict each other or are out of range.
    #[error("hello: field setup: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// The line is addressed to a gateway that was never started, or was stopped.
    #[error("{name}: field i: gateway {gateway} is not running")]
    UnknownGateway {
        /// The name of the line.
        name: String,
        /// The number of the gateway.
        gateway: u64,
    },
    /// An endpoint's zone is not among the zones in the gateway's settings.
    #[error("update: field list: unknown zone {zone:?}")]
    UnknownZone {
        /// The name of the zone.
        zone: String,
    },
}
