//! Parsing of `KNOWN-RED.txt`.

use std::path::Path;
use xtask::known_red::{parse, ParseError};

const FIRST: &str = "test: crates/node/tests/edge.rs watch::opens
command: cargo test -p node --test edge watch::opens
seed: 17
seen: 3 s, the bound is 1 s
issue: 31";

const SECOND: &str = "test: crates/node/src/lib.rs watch::opens
command: cargo test -p node --lib watch::opens
seed: none
seen: a panic
issue: 32";

#[test]
fn parses_entries_separated_by_blank_lines() {
    let entries = parse(&format!("\n{FIRST}\n\n\n{SECOND}\n")).expect("two entries");
    let texts: Vec<&str> = entries.iter().map(|entry| entry.text.as_str()).collect();
    assert_eq!(texts, [FIRST, SECOND]);
    let test = &entries[0].test;
    assert_eq!(test.source_file, Path::new("crates/node/tests/edge.rs"));
    assert_eq!(test.name, "watch::opens");
    assert_ne!(
        entries[1].test, *test,
        "tests of the same name in different binaries differ"
    );
    assert_eq!(parse("\n"), Ok(Vec::new()));
}

#[test]
fn rejects_missing_empty_misplaced_or_extra_fields() {
    let field_error = |line, expected| Err(ParseError::Field { line, expected });
    let cases = [
        (FIRST.replace("seed: 17\n", ""), field_error(3, "seed")),
        (FIRST.replace("seed: 17", "seed:"), field_error(3, "seed")),
        (FIRST.replace("\nissue: 31", ""), field_error(4, "issue")),
        (
            format!("\n{}", FIRST.replace("test:", "name:")),
            field_error(2, "test"),
        ),
        (
            FIRST.replace(" watch::opens\nc", "\nc"),
            Err(ParseError::Test { line: 1 }),
        ),
        (
            FIRST.replace(" watch::opens\nc", " a b\nc"),
            Err(ParseError::Test { line: 1 }),
        ),
        (
            format!("{FIRST}\n{SECOND}"),
            Err(ParseError::Separator { line: 6 }),
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(parse(&text), expected, "{text}");
    }
}

#[test]
fn rejects_test_that_is_listed_twice() {
    let error = parse(&format!("{FIRST}\n\n{FIRST}")).expect_err("test is listed twice");
    let text = "KNOWN-RED.txt: two entries for crates/node/tests/edge.rs watch::opens";
    assert_eq!(error.to_string(), text);
}
