//! Runs the tests of a workspace, but for those listed in `KNOWN-RED.txt`, which are printed
//! instead.
//!
//! Without a list this is `cargo test`. With one, cargo builds the test binaries and runs the
//! documentation tests, and the test binaries are run from here: cargo passes arguments to all of
//! them alike, and would pass over namesakes too.

use crate::known_red::{self, Entry, ParseError, TestId, FILE_NAME};
use crate::test_binary::TestBinary;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::{env, fs, io};
use thiserror::Error;

/// How a failure of cargo is reported.
const CARGO_TEST: &str = "cargo test";

/// Why a run of tests isn't a success.
#[derive(Debug, Error)]
pub enum RunError {
    /// The list can't be read.
    #[error(transparent)]
    List(#[from] ParseError),
    /// An entry of the list names a test that doesn't exist.
    #[error("{FILE_NAME}: there is no test {0}")]
    UnknownTest(TestId),
    /// A test failed, or the tests can't be built.
    #[error("{program}: {status}")]
    Failed {
        /// What was run.
        program: String,
        /// How it ended.
        status: ExitStatus,
    },
    /// The list can't be read, or a program can't be started.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: String,
        /// Why it failed.
        source: io::Error,
    },
}

/// Runs the tests of the workspace with this root, and stops at the first binary with a failed
/// test, as cargo does. The arguments are for `cargo test`: profile and packages.
///
/// # Errors
/// A test fails that isn't listed, the list is wrong, or a program can't be run.
pub fn run_tests(root: &Path, cargo_arguments: &[String]) -> Result<(), RunError> {
    let entries = read_entries(root)?;
    if entries.is_empty() {
        return run_cargo_test(root, cargo_arguments, &[]);
    }
    let binaries = build(root, cargo_arguments)?;
    check_that_tests_exist(&entries, &binaries, root)?;
    print_entries(&entries);
    for binary in &binaries {
        run_binary(binary, &entries, root)?;
    }
    run_cargo_test(root, cargo_arguments, &["--doc"])
}

/// The entries of the list in the root, none without a list.
fn read_entries(root: &Path) -> Result<Vec<Entry>, RunError> {
    match fs::read_to_string(root.join(FILE_NAME)) {
        Ok(text) => Ok(known_red::parse(&text)?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(io_error(FILE_NAME, source)),
    }
}

/// Builds all test binaries.
fn build(root: &Path, cargo_arguments: &[String]) -> Result<Vec<TestBinary>, RunError> {
    let messages = cargo_test(root, cargo_arguments)
        .args(["--no-run", "--message-format", "json-render-diagnostics"])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|source| io_error(CARGO_TEST, source))?;
    check_status(CARGO_TEST, messages.status)?;
    let messages = String::from_utf8_lossy(&messages.stdout);
    Ok(messages
        .lines()
        .filter_map(TestBinary::from_cargo_message)
        .collect())
}

fn check_that_tests_exist(
    entries: &[Entry],
    binaries: &[TestBinary],
    root: &Path,
) -> Result<(), RunError> {
    for Entry { test, .. } in entries {
        let binary = binaries
            .iter()
            .find(|binary| binary.is_built_from(&test.source_file, root));
        let names = binary.map_or_else(|| Ok(Vec::new()), TestBinary::test_names);
        let names = names.map_err(|source| io_error(&test.to_string(), source))?;
        if !names.contains(&test.name) {
            return Err(RunError::UnknownTest(test.clone()));
        }
    }
    Ok(())
}

fn print_entries(entries: &[Entry]) {
    println!("{}: {} not run", FILE_NAME, entries.len());
    for entry in entries {
        println!("\n{}", entry.text);
    }
}

fn run_binary(binary: &TestBinary, entries: &[Entry], root: &Path) -> Result<(), RunError> {
    let program = binary.source_file.strip_prefix(root);
    let program = program.unwrap_or(&binary.source_file).display().to_string();
    println!("\nRunning {program}");
    let listed: Vec<&str> = entries
        .iter()
        .filter(|entry| binary.is_built_from(&entry.test.source_file, root))
        .map(|entry| entry.test.name.as_str())
        .collect();
    let status = binary.run_without(&listed);
    check_status(
        &program,
        status.map_err(|source| io_error(&program, source))?,
    )
}

fn run_cargo_test(root: &Path, arguments: &[String], further: &[&str]) -> Result<(), RunError> {
    let status = cargo_test(root, arguments).args(further).status();
    check_status(
        CARGO_TEST,
        status.map_err(|source| io_error(CARGO_TEST, source))?,
    )
}

/// `cargo test` with these arguments: with the cargo that started this program, if one did.
fn cargo_test(root: &Path, arguments: &[String]) -> Command {
    let mut command = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command.arg("test").args(arguments).current_dir(root);
    command
}

fn check_status(program: &str, status: ExitStatus) -> Result<(), RunError> {
    if status.success() {
        return Ok(());
    }
    Err(RunError::Failed {
        program: program.to_owned(),
        status,
    })
}

fn io_error(action: &str, source: io::Error) -> RunError {
    RunError::Io {
        action: action.to_owned(),
        source,
    }
}
