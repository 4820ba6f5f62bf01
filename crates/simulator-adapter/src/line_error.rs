//! What can be wrong with a line of the simulator's protocol.

use gateway_core::settings::ParseError;
use gateway_core::SettingsError;
use std::io;
use thiserror::Error;

/// What is wrong, and in which line.
#[derive(Debug, Error)]
#[error("line {line}: {kind}")]
pub struct LineError {
    /// The number of the line; the first one has number 1.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub kind: LineErrorKind,
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineErrorKind {
    /// The input cannot be read.
    #[error("cannot be read: {0}")]
    Read(#[source] io::Error),
    /// The input ends before the line does.
    #[error("the line breaks off")]
    Truncated,
    /// The input ends before the frame does.
    #[error("input ends inside a batch; eof_batch is missing")]
    UnterminatedFrame,
    /// The reply cannot be written.
    #[error("the reply cannot be written: {0}")]
    Write(#[source] io::Error),
    /// Another line has to stand here.
    #[error("expected {expected}, found {found:?}")]
    UnexpectedName {
        /// The name of the line that has to stand here.
        expected: &'static str,
        /// The name of the line that stands here.
        found: String,
    },
    /// No line has this name.
    #[error("{0:?} is no known message")]
    UnknownName(String),
    /// A field that is required is missing.
    #[error("{name}: field {field} is missing")]
    MissingField {
        /// The name of the line.
        name: String,
        /// The name of the field.
        field: &'static str,
    },
    /// A field has a value that it cannot have.
    #[error("{name}: field {field} cannot be {value:?}")]
    InvalidField {
        /// The name of the line.
        name: String,
        /// The name of the field.
        field: &'static str,
        /// Its value; empty if it is missing.
        value: String,
    },
    /// The settings of a gateway cannot be parsed.
    #[error("hello: field setup: {0}")]
    UnparsableSettings(#[source] ParseError),
    /// The settings of a gateway make no sense.
    #[error("hello: field setup: {0}")]
    InvalidSettings(#[source] SettingsError),
    /// The line is for a gateway that was never started, or was stopped.
    #[error("{name}: field i: {gateway} was never started")]
    UnknownGateway {
        /// The name of the line.
        name: String,
        /// The number of the gateway.
        gateway: u64,
    },
    /// An endpoint's zone is not in the settings.
    #[error("update: field list: no zone {zone:?}")]
    UnknownZone {
        /// The name of the zone.
        zone: String,
    },
}
