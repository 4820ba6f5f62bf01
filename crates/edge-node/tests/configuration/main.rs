//! Configuration files: what is accepted, what is rejected with which diagnostics, and what a
//! reload does.

mod applied_values;
mod operator_diagnostics;
mod platform_diagnostics;
#[path = "../support/mod.rs"]
mod support;
mod syntax_errors;

use std::process::Stdio;
use support::*;

/// What `check` says of a configuration.
struct Checked {
    is_valid: bool,
    /// What it prints, line by line, without the file's name.
    lines: Vec<String>,
}

/// Runs `check` on a configuration in a file of that name.
fn check(name: &str, config: &str) -> Checked {
    let path = write_config_file(name, config);
    let output = edge_node_command(&["check"])
        .arg(&path)
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(&path);
    let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("it is text");
    let file = format!("{}:", path.display());
    let lines = printed.lines().filter_map(|line| line.strip_prefix(&file));
    let lines = lines.map(|line| line.trim_start().to_owned()).collect();
    Checked {
        is_valid: output.status.success(),
        lines,
    }
}

#[test]
fn the_example_is_valid() {
    let Checked { is_valid, lines } = check("example.toml", &example_config());
    assert!(is_valid && lines == ["nothing is wrong"], "{lines:?}");
    // A file name without a known extension leaves the format to its content.
    assert!(check("example.conf", &example_config()).is_valid);
}

/// A replacement in a valid configuration that causes one diagnostic.
struct DiagnosticCase {
    original: &'static str,
    replacement: &'static str,
    /// How the diagnostic begins.
    diagnostic: &'static str,
}

impl DiagnosticCase {
    const fn new(
        original: &'static str,
        replacement: &'static str,
        diagnostic: &'static str,
    ) -> DiagnosticCase {
        DiagnosticCase {
            original,
            replacement,
            diagnostic,
        }
    }

    /// Checks the valid configuration after the replacement, in a file of that name.
    fn check(&self, file_name: &str, valid: &str) -> Checked {
        let config = valid.replacen(self.original, self.replacement, 1);
        assert_ne!(config, valid, "{}", self.original);
        check(file_name, &config)
    }
}

#[test]
fn the_page_and_the_program_have_the_same_keys() {
    let page = std::fs::read_to_string("../../docs/CONFIGURATION.md").expect("the page");
    let keys = edge_node_command(&["keys"]).output().expect("it runs");
    let keys = String::from_utf8(keys.stdout).expect("it is text");
    assert!(keys.lines().count() > 40);
    for row in keys.lines() {
        assert!(
            page.lines().any(|line| line == row),
            "docs/CONFIGURATION.md lacks: {row}"
        );
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    // The first two lines are the table's header.
    let keys = keys.lines().count() - 2;
    assert_eq!(
        rows, keys,
        "docs/CONFIGURATION.md has a key that the program lacks"
    );
}
