//! Runs the tests of a workspace, except those listed in `KNOWN-RED.txt`, whose entries are printed
//! instead.
//!
//! If the list has no entries, the module runs `cargo test`. Otherwise, cargo builds the test
//! binaries and runs the documentation tests, and the module runs the test binaries itself:
//! `cargo test` passes the same arguments to all test binaries, so it would also skip tests of the
//! same name in other binaries.

use crate::known_red::{self, Entry, ParseError, TestId, FILE_NAME};
use crate::test_binary::TestBinary;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::{env, fs, io};
use thiserror::Error;

/// The name of the program in errors of `cargo test`.
const CARGO_TEST: &str = "cargo test";

/// Why a test run did not succeed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The list cannot be parsed.
    #[error(transparent)]
    List(#[from] ParseError),
    /// An entry of the list names a test that does not exist.
    #[error("{FILE_NAME}: there is no test {0}")]
    UnknownTest(TestId),
    /// A test failed, or the tests could not be built.
    #[error("{program}: {status}")]
    Failed {
        /// The program: `cargo test` or the source file of a test binary.
        program: String,
        /// The exit status of the program.
        status: ExitStatus,
    },
    /// The list could not be read, or a program could not be run.
    #[error("{subject}: {source}")]
    Io {
        /// The file or program, or the listed test whose binary could not list its tests.
        subject: String,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the tests of the workspace at `root` that are not listed in `KNOWN-RED.txt`. Stops at the
/// first test binary with a failed test, as cargo does. `cargo_arguments` are arguments of
/// `cargo test`, such as the profile and packages.
///
/// # Errors
/// Returns an error if the tests cannot be built, if a test that is not listed fails, if the list
/// is malformed or names an unknown test, or if a program cannot be run.
pub fn run_tests(root: &Path, cargo_arguments: &[String]) -> Result<(), RunError> {
    let entries = read_entries(root)?;
    if entries.is_empty() {
        return run_cargo_test(root, cargo_arguments, &[]);
    }
    let binaries = build_test_binaries(root, cargo_arguments)?;
    check_that_tests_exist(&entries, &binaries, root)?;
    print_entries(&entries);
    for binary in &binaries {
        run_binary(binary, &entries, root)?;
    }
    run_cargo_test(root, cargo_arguments, &["--doc"])
}

/// Returns the entries of the list in the root of the workspace, or no entries if there is no list.
fn read_entries(root: &Path) -> Result<Vec<Entry>, RunError> {
    match fs::read_to_string(root.join(FILE_NAME)) {
        Ok(text) => Ok(known_red::parse(&text)?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(io_error(FILE_NAME, source)),
    }
}

/// Builds and returns the test binaries that `cargo test` would run.
fn build_test_binaries(
    root: &Path,
    cargo_arguments: &[String],
) -> Result<Vec<TestBinary>, RunError> {
    let messages = cargo_test_command(root, cargo_arguments)
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

/// Checks that the test of each entry exists in a test binary.
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
    let status = binary.run_all_except(&listed);
    check_status(
        &program,
        status.map_err(|source| io_error(&program, source))?,
    )
}

fn run_cargo_test(
    root: &Path,
    arguments: &[String],
    extra_arguments: &[&str],
) -> Result<(), RunError> {
    let status = cargo_test_command(root, arguments)
        .args(extra_arguments)
        .status();
    check_status(
        CARGO_TEST,
        status.map_err(|source| io_error(CARGO_TEST, source))?,
    )
}

/// Returns the command `cargo test` with these arguments. Uses the cargo that started this program,
/// or the one in `PATH` if this program was not started by cargo.
fn cargo_test_command(root: &Path, arguments: &[String]) -> Command {
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

fn io_error(subject: &str, source: io::Error) -> RunError {
    RunError::Io {
        subject: subject.to_owned(),
        source,
    }
}
