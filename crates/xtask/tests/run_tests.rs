//! `xtask test` in a workspace with two test binaries that have a test of the same name.

use std::fs;
use std::process::{Command, Output};
use tempfile::TempDir;

const MANIFEST: &str = "[workspace]\nmembers = [\"crates/*\"]\nresolver = \"2\"\n";
const PACKAGE: &str = "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2021\"\n";
const LIBRARY: &str = "//! ```\n//! assert!(true);\n//! ```\n#[test]\nfn works() {}\n";
const WORKS_IN_PACKAGE_FOLDER: &str =
    "#[test]\nfn works() { assert!(std::path::Path::new(\"tests/first.rs\").exists()); }\n";
const FAILS: &str = "#[test]\nfn fails() { panic!(\"a fault\"); }\n\
    #[test]\nfn fails_not() {}\n";

/// A workspace of one package, with a list if there is one.
fn workspace(first: &str, second: &str, list: Option<&str>) -> TempDir {
    let root = TempDir::new().expect("a folder");
    let package = root.path().join("crates/sample");
    let files = [
        (root.path().join("Cargo.toml"), MANIFEST),
        (package.join("Cargo.toml"), PACKAGE),
        (package.join("src/lib.rs"), LIBRARY),
        (package.join("tests/first.rs"), first),
        (package.join("tests/second.rs"), second),
    ];
    for (path, text) in files {
        fs::create_dir_all(path.parent().expect("a folder")).expect("it is created");
        fs::write(path, text).expect("it is written");
    }
    if let Some(list) = list {
        fs::write(root.path().join("KNOWN-RED.txt"), list).expect("it is written");
    }
    root
}

fn entry(test: &str) -> String {
    format!("test: {test}\ncommand: cargo test\nseed: none\nseen: a panic\nissue: 7\n")
}

fn run(workspace: &TempDir) -> Output {
    Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["test", "--offline", "--workspace", "-j1"])
        .current_dir(workspace.path().canonicalize().expect("it exists"))
        .env("CARGO_TARGET_DIR", workspace.path().join("target"))
        .output()
        .expect("it runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// The number of lines on the result of a test binary or of documentation tests.
fn result_lines(output: &Output) -> usize {
    stdout(output).matches("test result: ok").count()
}

#[test]
fn without_a_list_all_tests_are_run() {
    let output = run(&workspace(WORKS_IN_PACKAGE_FOLDER, "", None));
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(result_lines(&output), 4);
    assert!(!stdout(&output).contains("KNOWN-RED"));
    let output = run(&workspace(WORKS_IN_PACKAGE_FOLDER, FAILS, None));
    assert!(!output.status.success());
    assert!(stdout(&output).contains("test fails ... FAILED"));
}

#[test]
fn a_listed_test_is_printed_and_not_run_and_all_others_are() {
    let list = entry("crates/sample/tests/second.rs fails");
    let output = run(&workspace(WORKS_IN_PACKAGE_FOLDER, FAILS, Some(&list)));
    let text = stdout(&output);
    assert!(output.status.success(), "{text}{}", stderr(&output));
    assert!(text.contains("KNOWN-RED.txt: 1 not run"), "{text}");
    assert!(text.contains(list.trim_end()), "{text}");
    assert!(!text.contains("test fails ..."), "{text}");
    assert!(text.contains("test fails_not ... ok"), "{text}");
    assert!(text.contains("1 filtered out"), "{text}");
    assert_eq!(result_lines(&output), 4);
}

#[test]
fn a_namesake_in_another_binary_is_run() {
    let list = entry("crates/sample/tests/second.rs fails");
    let output = run(&workspace(FAILS, FAILS, Some(&list)));
    assert!(!output.status.success());
    assert!(stdout(&output).contains("test fails ... FAILED"));
    assert!(stderr(&output).contains("error: crates/sample/tests/first.rs: exit status: 101"));
}

#[test]
fn an_entry_without_a_test_is_an_error() {
    for test in [
        "crates/sample/tests/second.rs fail",
        "crates/sample/tests/third.rs fails",
    ] {
        let output = run(&workspace(
            WORKS_IN_PACKAGE_FOLDER,
            FAILS,
            Some(&entry(test)),
        ));
        assert!(!output.status.success());
        let message = format!("error: KNOWN-RED.txt: there is no test {test}");
        assert!(stderr(&output).contains(&message), "{}", stderr(&output));
        assert_eq!(result_lines(&output), 0);
    }
}
