//! The format of `KNOWN-RED.txt`, the list of tests that fail because of a known fault that is not
//! fixed yet.
//!
//! Entries are separated by blank lines. Each entry has the fields `test`, `command`, `seed`,
//! `seen` and `issue`, in this order. Each field is one line of the form `field: text`:
//!
//! ```text
//! test: crates/edge-node/tests/edge/main.rs watch::reopens_lost_watch
//! command: cargo test --release -p edge-node --test edge watch::reopens_lost_watch
//! seed: none
//! seen: the second watch is opened after 3 s; the bound is 1 s
//! issue: 31
//! ```
//!
//! The field `test` is the path of the test binary's source file, relative to the root of the
//! workspace, and the full name of the test in that binary. Together they identify one test, even
//! if another package or binary has a test of the same name.

use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The name of the list's file, which is in the root of the workspace.
pub const FILE_NAME: &str = "KNOWN-RED.txt";

/// The names of an entry's fields, in the required order.
const FIELD_NAMES: [&str; 5] = ["test", "command", "seed", "seen", "issue"];

/// Identifies a test by its test binary and its name in that binary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestId {
    /// The path of the test binary's source file, relative to the root of the workspace.
    pub source_file: PathBuf,
    /// The name of the test in the binary, including its module path.
    pub name: String,
}

impl TestId {
    /// Parses a text of the form `SOURCE_FILE NAME`. Returns `None` for any other text.
    fn parse(text: &str) -> Option<TestId> {
        let (source_file, name) = text.split_once(' ')?;
        let is_valid_name = !name.is_empty() && !name.contains(char::is_whitespace);
        is_valid_name.then(|| TestId {
            source_file: Path::new(source_file).to_owned(),
            name: name.to_owned(),
        })
    }
}

impl fmt::Display for TestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.source_file.display(), self.name)
    }
}

/// A test that is known to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The test, which CI does not run.
    pub test: TestId,
    /// The lines of the entry in the file.
    pub text: String,
}

/// Why a list cannot be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// A field is missing, has no text, or is not in the required order.
    #[error("{FILE_NAME}:{line}: expected `{expected}: ...`")]
    Field {
        /// Number of the line in the file, from 1.
        line: usize,
        /// The name of the expected field.
        expected: &'static str,
    },
    /// The text of a `test` field is not a source file and the name of a test.
    #[error("{FILE_NAME}:{line}: expected `test: SOURCE_FILE NAME`")]
    Test {
        /// Number of the line in the file, from 1.
        line: usize,
    },
    /// The last field of an entry is followed by a line that is not blank.
    #[error("{FILE_NAME}:{line}: expected a blank line before the next entry")]
    Separator {
        /// Number of the line in the file, from 1.
        line: usize,
    },
    /// Two entries are for the same test.
    #[error("{FILE_NAME}: two entries for {0}")]
    Duplicate(TestId),
}

/// Parses the text of a list.
///
/// # Errors
/// Returns an error if an entry is not in the format that this module describes, or if a test is
/// listed twice.
pub fn parse(text: &str) -> Result<Vec<Entry>, ParseError> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut lines = numbered_lines(text).peekable();
    while let Some((number, line)) = lines.next() {
        if line.trim().is_empty() {
            continue;
        }
        let mut entry_lines = vec![(number, line)];
        while let Some(next) = lines.next_if(|(_, line)| !line.trim().is_empty()) {
            entry_lines.push(next);
        }
        let entry = parse_entry(&entry_lines)?;
        if entries.iter().any(|earlier| earlier.test == entry.test) {
            return Err(ParseError::Duplicate(entry.test));
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Returns the lines of a text with their numbers, from 1.
fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line))
}

/// Parses the lines of one entry. There must be at least one line.
fn parse_entry(lines: &[(usize, &str)]) -> Result<Entry, ParseError> {
    let mut values = Vec::with_capacity(FIELD_NAMES.len());
    for (index, expected) in FIELD_NAMES.into_iter().enumerate() {
        let (line, text) = *lines.get(index).unwrap_or(&lines[lines.len() - 1]);
        let value = field_value(text, expected).ok_or(ParseError::Field { line, expected })?;
        values.push(value);
    }
    if let Some(&(line, _)) = lines.get(FIELD_NAMES.len()) {
        return Err(ParseError::Separator { line });
    }
    let line = lines[0].0;
    let test = TestId::parse(values[0]).ok_or(ParseError::Test { line })?;
    let texts: Vec<&str> = lines.iter().map(|(_, text)| *text).collect();
    Ok(Entry {
        test,
        text: texts.join("\n"),
    })
}

/// Returns the text after `name:`, or `None` if the line is another field or has no text.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?.trim();
    (!value.is_empty()).then_some(value)
}
