//! The format of `KNOWN-RED.txt`.

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
fn entries_are_separated_by_blank_lines() {
    let entries = parse(&format!("\n{FIRST}\n\n\n{SECOND}\n")).expect("two entries");
    let texts: Vec<&str> = entries.iter().map(|entry| entry.text.as_str()).collect();
    assert_eq!(texts, [FIRST, SECOND]);
    let test = &entries[0].test;
    assert_eq!(test.source_file, Path::new("crates/node/tests/edge.rs"));
    assert_eq!(test.name, "watch::opens");
    assert_ne!(entries[1].test, *test, "a namesake in another binary");
    assert_eq!(parse("\n"), Ok(Vec::new()));
}

#[test]
fn each_field_is_needed_once_and_in_order() {
    let missing = |line, expected| Err(ParseError::Field { line, expected });
    let cases = [
        (FIRST.replace("seed: 17\n", ""), missing(3, "seed")),
        (FIRST.replace("seed: 17", "seed:"), missing(3, "seed")),
        (FIRST.replace("\nissue: 31", ""), missing(4, "issue")),
        (
            format!("\n{}", FIRST.replace("test:", "name:")),
            missing(2, "test"),
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
fn a_test_is_listed_once() {
    let error = parse(&format!("{FIRST}\n\n{FIRST}")).expect_err("it is listed twice");
    let text = "KNOWN-RED.txt: two entries for crates/node/tests/edge.rs watch::opens";
    assert_eq!(error.to_string(), text);
}
