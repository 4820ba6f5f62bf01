//! Texts that are neither TOML nor JSON.

use super::platform_diagnostics::PLATFORM;
use super::support::*;
use super::{check, Checked};

/// The number, from 1, of the first line that contains these words.
fn line_of(text: &str, words: &str) -> usize {
    1 + text
        .lines()
        .position(|line| line.contains(words))
        .expect("it is there")
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    let config = example_config().replacen("gateways = 3", "gateways = = 3", 1);
    let Checked { is_valid, lines } = check("grammar.toml", &config);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&config, "= = 3"))),
        "{lines:?}"
    );
    let twice = example_config().replacen("number = 0", "number = 0\nnumber = 1", 1);
    let Checked { is_valid, lines } = check("twice.toml", &twice);
    assert!(
        !is_valid && lines[0].starts_with(&format!("{}: ", line_of(&twice, "number = 1"))),
        "{lines:?}"
    );
    let Checked { is_valid, lines } = check("grammar.json", "{\n\"name\": \"n0\",\n\"listen\": }");
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
            PLATFORM.replacen("\"n3\"", &format!("{open}{close}"), 1),
        ),
    ] {
        let Checked { is_valid, lines } = check(name, &deep);
        assert!(!is_valid && lines.len() == 1, "{name}: {lines:?}");
    }
}
