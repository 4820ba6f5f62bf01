//! Configuration files: which are valid, the diagnostics of invalid ones, and the effect of a
//! reload.

mod applied_values;
mod operator_diagnostics;
mod platform_diagnostics;
#[path = "../support/mod.rs"]
mod support;
mod syntax_errors;

use std::process::Stdio;
use support::*;

/// Result of `edge-node check`.
struct CheckResult {
    is_valid: bool,
    /// Printed lines that begin with the path of the file, without that path.
    lines: Vec<String>,
}

/// Writes a configuration to a temporary file whose name ends with `name`, and runs `edge-node
/// check` on it.
fn check_config(name: &str, config: &str) -> CheckResult {
    let path = write_config_file(name, config);
    let output = edge_node_command(&["check"])
        .arg(&path)
        .stdin(Stdio::null())
        .output()
        .expect("edge-node check runs");
    let _ = std::fs::remove_file(&path);
    let printed =
        String::from_utf8([output.stdout, output.stderr].concat()).expect("output is UTF-8");
    let prefix = format!("{}:", path.display());
    let lines = printed
        .lines()
        .filter_map(|line| line.strip_prefix(&prefix));
    let lines = lines.map(|line| line.trim_start().to_owned()).collect();
    CheckResult {
        is_valid: output.status.success(),
        lines,
    }
}

#[test]
fn example_config_is_valid_with_and_without_known_extension() {
    let CheckResult { is_valid, lines } = check_config("example.toml", &example_config());
    assert!(is_valid && lines == ["nothing is wrong"], "{lines:?}");
    // The format of a file without a known extension is detected by its content.
    assert!(check_config("example.conf", &example_config()).is_valid);
}

/// A replacement in a valid configuration that causes a single diagnostic.
struct DiagnosticCase {
    original: &'static str,
    replacement: &'static str,
    /// Beginning of the expected diagnostic.
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

    /// Checks the configuration `valid` after the replacement, in a file whose name ends with
    /// `file_name`.
    fn check(&self, file_name: &str, valid: &str) -> CheckResult {
        let config = valid.replacen(self.original, self.replacement, 1);
        assert_ne!(config, valid, "{} not found", self.original);
        check_config(file_name, &config)
    }
}

#[test]
fn configuration_page_has_exactly_the_keys_of_the_program() {
    let page = std::fs::read_to_string("../../docs/CONFIGURATION.md")
        .expect("docs/CONFIGURATION.md is readable");
    let keys = edge_node_command(&["keys"])
        .output()
        .expect("edge-node keys runs");
    let table = String::from_utf8(keys.stdout).expect("output is UTF-8");
    assert!(table.lines().count() > 40);
    for row in table.lines() {
        assert!(
            page.lines().any(|line| line == row),
            "docs/CONFIGURATION.md lacks: {row}"
        );
    }
    let page_keys = page.lines().filter(|line| line.starts_with("| `")).count();
    // The first two lines are the header of the table.
    let program_keys = table.lines().count() - 2;
    assert_eq!(
        page_keys, program_keys,
        "docs/CONFIGURATION.md has a key that the program lacks"
    );
}
