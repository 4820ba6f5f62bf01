//! The format of `KNOWN-RED.txt`: tests that fail because of a fault that is known, and not yet
//! fixed.
//!
//! Entries are separated by blank lines. Each has the fields `test`, `command`, `seed`, `seen` and
//! `issue`, once, in this order, each on one line of the form `field: text`:
//!
//! ```text
//! test: crates/edge-node/tests/edge/main.rs watch::a_lost_watch_is_opened_again
//! command: cargo test --release -p edge-node --test edge watch::a_lost_watch_is_opened_again
//! seed: none
//! seen: the second watch is opened after 3 s; the bound is 1 s
//! issue: 31
//! ```
//!
//! The field `test` is the source file of the test binary, from the root of the workspace, and the
//! full name of the test in it. Together they name one test only, also where another package or
//! binary has a test of the same name.

use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The name of the list in the root of the workspace.
pub const FILE_NAME: &str = "KNOWN-RED.txt";

/// The fields of an entry, in their order.
const FIELD_NAMES: [&str; 5] = ["test", "command", "seed", "seen", "issue"];

/// One test, in one test binary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestId {
    /// The source file of the test binary, from the root of the workspace.
    pub source_file: PathBuf,
    /// The name of the test in this binary, with its modules.
    pub name: String,
}

impl TestId {
    /// Parses `SOURCE_FILE NAME`.
    fn parse(text: &str) -> Option<TestId> {
        let (source_file, name) = text.split_once(' ')?;
        let is_one_word = !name.is_empty() && !name.contains(char::is_whitespace);
        is_one_word.then(|| TestId {
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
    /// The test that CI passes over.
    pub test: TestId,
    /// The entry as it is written in the file.
    pub text: String,
}

/// Why a list can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// A line that isn't the field expected at this place of an entry, or that has no text.
    #[error("{FILE_NAME}:{line}: expected `{expected}: ...`")]
    Field {
        /// The number of the line, from 1.
        line: usize,
        /// The name of the expected field.
        expected: &'static str,
    },
    /// A field `test` that isn't a source file and the name of a test.
    #[error("{FILE_NAME}:{line}: expected `test: SOURCE_FILE NAME`")]
    Test {
        /// The number of the line, from 1.
        line: usize,
    },
    /// A line that follows the last field of an entry.
    #[error("{FILE_NAME}:{line}: expected a blank line before the next entry")]
    Separator {
        /// The number of the line, from 1.
        line: usize,
    },
    /// Two entries for one test.
    #[error("{FILE_NAME}: two entries for {0}")]
    Duplicate(TestId),
}

/// Parses the text of a list.
///
/// # Errors
/// An entry that isn't in the format of this module, or a test that is listed twice.
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

/// The lines of a text with their numbers, from 1.
fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line))
}

/// Parses the lines of one entry, of which there is at least one.
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

/// The text after `name:`, unless it is empty or the line is of another field.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?.trim();
    (!value.is_empty()).then_some(value)
}
