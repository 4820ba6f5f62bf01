//! Why a configuration can't be used.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

/// Why there is no configuration to start or go on with.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: LB_CONFIG is not set, and there is no --config")]
    MissingPath,
    /// The file can't be read.
    #[error("{}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// An environment variable that holds an address holds something else.
    #[error("{variable}: {value:?} is no address")]
    InvalidAddress {
        /// The name of the variable.
        variable: &'static str,
        /// What it holds.
        value: String,
        /// Why that is no address.
        source: AddrParseError,
    },
    /// The file was read, and something in it is wrong.
    #[error(transparent)]
    Invalid(#[from] InvalidConfig),
}

/// A configuration file with all that is wrong in it, which is at least one thing. Displayed in one
/// line.
#[derive(Debug)]
pub struct InvalidConfig {
    /// The file.
    pub path: PathBuf,
    /// What is wrong, in the order of its lines.
    pub diagnostics: Vec<Diagnostic>,
}

impl InvalidConfig {
    /// Each diagnostic in a line of its own, behind the file's path.
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
            more => write!(formatter, " (and {more} more, which `check` tells)"),
        }
    }
}

impl Error for InvalidConfig {}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// The line, from 1; `None` where something is missing and nothing around it exists.
    pub line: Option<usize>,
    /// The path of the key, with indexes in lists; empty if the text as a whole is meant.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl Diagnostic {
    /// A diagnostic without a line or key: an error with its sources, from the outermost to the
    /// cause.
    pub(super) fn from_error(error: &(dyn Error + 'static)) -> Diagnostic {
        let chain = std::iter::successors(Some(error), |error| (*error).source());
        let messages: Vec<String> = chain.map(ToString::to_string).collect();
        Diagnostic {
            line: None,
            path: String::new(),
            message: messages.join(": "),
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
