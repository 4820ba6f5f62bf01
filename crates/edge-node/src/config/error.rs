//! The errors of reading a configuration.

use crate::log::ErrorChain;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

/// Why no configuration could be read, at the start or at a reload.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration file: LB_CONFIG is not set, and --config is not given")]
    MissingPath,
    /// The configuration file can't be read.
    #[error("{}", path.display())]
    Unreadable {
        /// Path of the file, as the caller gave it.
        path: PathBuf,
        /// The I/O error; of the kind `InvalidData` if the file is not UTF-8.
        source: io::Error,
    },
    /// The value of an environment variable is not a socket address.
    #[error("{variable}: {value:?} is not an IP address with a port")]
    InvalidAddress {
        /// Name of the environment variable.
        variable: &'static str,
        /// Text that the variable is set to.
        value: String,
        /// Why the value is not an IP address with a port.
        source: AddrParseError,
    },
    /// The configuration file was read, but its content is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidConfig),
}

/// An invalid configuration file with its diagnostics, of which there is at least one. It is
/// displayed in one line, with the first diagnostic and the number of the others.
#[derive(Debug)]
pub struct InvalidConfig {
    /// Path of the file, with which each of the [`lines`](Self::lines) begins.
    pub path: PathBuf,
    /// Everything that is wrong with the file, ordered by line.
    pub diagnostics: Vec<Diagnostic>,
}

impl InvalidConfig {
    /// Returns each diagnostic as a line that begins with the path of the file.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.diagnostics.iter().map(|diagnostic| {
            let separator = if diagnostic.line.is_some() { "" } else { " " };
            format!("{}:{separator}{diagnostic}", self.path.display())
        })
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines().next().unwrap_or_default();
        formatter.write_str(&first)?;
        match self.diagnostics.len().saturating_sub(1) {
            0 => Ok(()),
            more => write!(formatter, " (and {more} more; `edge-node check` lists all)"),
        }
    }
}

impl Error for InvalidConfig {}

/// A single problem of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// Line number from 1; `None` if the problem has no line, such as a missing key at the root.
    pub line: Option<usize>,
    /// Path of the key, with indexes in lists; empty if the problem concerns the whole file.
    pub path: String,
    /// Message for operators, without the path of the key.
    pub message: String,
}

impl Diagnostic {
    /// Returns a diagnostic without a line or key, with the messages of an error and of its
    /// sources, from the error to its root cause.
    pub(super) fn from_error(error: &(dyn Error + 'static)) -> Diagnostic {
        Diagnostic {
            line: None,
            path: String::new(),
            message: ErrorChain(error).to_string(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "{line}: ")?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.message)
    }
}
