//! Runs `xtask test` in a workspace with two integration test binaries, whose tests may have the
//! same names.

use std::fs;
use std::process::{Command, Output};
use tempfile::TempDir;

const MANIFEST: &str = "[workspace]\nmembers = [\"crates/*\"]\nresolver = \"2\"\n";
const PACKAGE: &str = "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2021\"\n";
const LIBRARY: &str = "//! ```\n//! assert!(true);\n//! ```\n#[test]\nfn works() {}\n";
const WORKS_IN_PACKAGE_DIRECTORY: &str =
    "#[test]\nfn works() { assert!(std::path::Path::new(\"tests/first.rs\").exists()); }\n";
/// A failing test, and a passing test whose name contains the name of the failing test. The passing
/// test runs only if the failing test is skipped by its exact name.
const FAILS: &str = "#[test]\nfn fails() { panic!(\"a fault\"); }\n\
    #[test]\nfn fails_in_name_only() {}\n";

/// Creates a workspace of one package with the integration tests `first` and `second`, and with a
/// `KNOWN-RED.txt` if `list` is given.
fn create_workspace(first: &str, second: &str, list: Option<&str>) -> TempDir {
    let root = TempDir::new().expect("temporary directory");
    let package = root.path().join("crates/sample");
    let files = [
        (root.path().join("Cargo.toml"), MANIFEST),
        (package.join("Cargo.toml"), PACKAGE),
        (package.join("src/lib.rs"), LIBRARY),
        (package.join("tests/first.rs"), first),
        (package.join("tests/second.rs"), second),
    ];
    for (path, text) in files {
        fs::create_dir_all(path.parent().expect("path has a parent"))
            .expect("directory is created");
        fs::write(path, text).expect("file is written");
    }
    if let Some(list) = list {
        fs::write(root.path().join("KNOWN-RED.txt"), list).expect("list is written");
    }
    root
}

/// Returns an entry of `KNOWN-RED.txt` for a test.
fn entry(test: &str) -> String {
    format!("test: {test}\ncommand: cargo test\nseed: none\nseen: a panic\nissue: 7\n")
}

fn run_xtask(workspace: &TempDir) -> Output {
    Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["test", "--offline", "--workspace", "-j1"])
        .current_dir(workspace.path().canonicalize().expect("workspace exists"))
        .env("CARGO_TARGET_DIR", workspace.path().join("target"))
        .output()
        .expect("xtask starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the number of test binaries and documentation test runs that passed.
fn passed_runs(output: &Output) -> usize {
    stdout(output).matches("test result: ok").count()
}

#[test]
fn runs_all_tests_without_list() {
    let output = run_xtask(&create_workspace(WORKS_IN_PACKAGE_DIRECTORY, "", None));
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(passed_runs(&output), 4);
    assert!(!stdout(&output).contains("KNOWN-RED"));
    let output = run_xtask(&create_workspace(WORKS_IN_PACKAGE_DIRECTORY, FAILS, None));
    assert!(!output.status.success());
    assert!(stdout(&output).contains("test fails ... FAILED"));
}

#[test]
fn prints_listed_test_instead_of_running_it_and_runs_all_others() {
    let list = entry("crates/sample/tests/second.rs fails");
    let output = run_xtask(&create_workspace(
        WORKS_IN_PACKAGE_DIRECTORY,
        FAILS,
        Some(&list),
    ));
    let text = stdout(&output);
    assert!(output.status.success(), "{text}{}", stderr(&output));
    assert!(text.contains("KNOWN-RED.txt: 1 not run"), "{text}");
    assert!(text.contains(list.trim_end()), "{text}");
    assert!(!text.contains("test fails ..."), "{text}");
    assert!(text.contains("test fails_in_name_only ... ok"), "{text}");
    assert!(text.contains("1 filtered out"), "{text}");
    assert_eq!(passed_runs(&output), 4);
}

#[test]
fn runs_test_of_same_name_in_another_binary() {
    let list = entry("crates/sample/tests/second.rs fails");
    let output = run_xtask(&create_workspace(FAILS, FAILS, Some(&list)));
    assert!(!output.status.success());
    assert!(stdout(&output).contains("test fails ... FAILED"));
    assert!(stderr(&output).contains("error: crates/sample/tests/first.rs: exit status: 101"));
}

#[test]
fn rejects_entry_for_unknown_test() {
    for test in [
        "crates/sample/tests/second.rs fail",
        "crates/sample/tests/third.rs fails",
    ] {
        let output = run_xtask(&create_workspace(
            WORKS_IN_PACKAGE_DIRECTORY,
            FAILS,
            Some(&entry(test)),
        ));
        assert!(!output.status.success());
        let message = format!("error: KNOWN-RED.txt: there is no test {test}");
        assert!(stderr(&output).contains(&message), "{}", stderr(&output));
        assert_eq!(passed_runs(&output), 0);
    }
}
