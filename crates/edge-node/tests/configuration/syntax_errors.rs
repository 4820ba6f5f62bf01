//! Diagnostics of texts that are not valid TOML or JSON.

use super::platform_diagnostics::PLATFORM_CONFIG;
use super::support::*;
use super::{check_config, CheckResult};

/// Returns the number, from 1, of the first line that contains `pattern`.
fn line_of(text: &str, pattern: &str) -> usize {
    1 + text
        .lines()
        .position(|line| line.contains(pattern))
        .expect("pattern is in the text")
}

#[test]
fn syntax_error_and_deep_nesting_are_reported_with_line() {
    let config = example_config().replacen("gateways = 3", "gateways = = 3", 1);
    let CheckResult { is_valid, lines } = check_config("grammar.toml", &config);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&config, "= = 3"))),
        "{lines:?}"
    );
    let duplicate = example_config().replacen("number = 0", "number = 0\nnumber = 1", 1);
    let CheckResult { is_valid, lines } = check_config("twice.toml", &duplicate);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&duplicate, "number = 1"))),
        "{lines:?}"
    );
    let CheckResult { is_valid, lines } =
        check_config("grammar.json", "{\n\"name\": \"n0\",\n\"listen\": }");
    assert!(
        !is_valid && lines.len() == 1 && lines[0].starts_with("3: "),
        "{lines:?}"
    );
    let open = "[".repeat(20_000);
    let close = "]".repeat(20_000);
    for (name, deep) in [
        ("deep.toml", format!("name = {open}{close}")),
        ("open.json", open.clone()),
        ("deep.json", format!("{open}{close}")),
        (
            "deeper.json",
            PLATFORM_CONFIG.replacen("\"n3\"", &format!("{open}{close}"), 1),
        ),
    ] {
        let CheckResult { is_valid, lines } = check_config(name, &deep);
        assert!(!is_valid && lines.len() == 1, "{name}: {lines:?}");
    }
}
