//! Parsing of lines and their fields, and the text of each error.

use super::*;
use gateway_core::settings::ParseError;
use gateway_core::SettingsError;
use std::io;

fn line(text: &str) -> Line<'_> {
    Line::split(7, text)
}

fn error_text<T>(result: Result<T, LineError>) -> String {
    result.err().expect("result is an error").to_string()
}

#[test]
fn splits_line_into_name_and_fields() {
    let line = line("knock\tcall=rq_a\tcallId=4\tempty=");
    assert_eq!(line.name, "knock");
    assert_eq!(line.text("call").ok(), Some("rq_a"));
    assert_eq!(line.parsed("callId").ok(), Some(4));
    assert_eq!(line.optional("empty"), Some(""));
    assert_eq!(line.optional("id"), None);
    assert_eq!(Line::split(1, "eof_batch").name, "eof_batch");
}

#[test]
fn text_to_end_includes_tabs_and_later_fields() {
    let line = line("hello\ti=3\tsetup={\"a\":\t1}\tmore=2");
    assert_eq!(line.text_to_end("setup").ok(), Some("{\"a\":\t1}\tmore=2"));
    assert_eq!(
        error_text(line.text_to_end("set")),
        "line 7: hello: field set is missing"
    );
}

#[test]
fn parsed_or_has_default_and_non_negative_rejects_invalid_values() {
    let line = line("x\tn=5\tnegative=-1\tinfinite=inf\tnan=NaN\tword=w");
    assert_eq!(line.parsed_or("n", 0_u64).ok(), Some(5));
    assert_eq!(line.parsed_or("missing", 9_u64).ok(), Some(9));
    assert_eq!(line.non_negative("n").ok(), Some(5.0));
    assert_eq!(
        error_text(line.parsed_or("word", 0_u64)),
        "line 7: x: field word: invalid value \"w\""
    );
    for field in ["negative", "infinite", "nan", "word", "missing"] {
        assert!(line.non_negative(field).is_err(), "{field}");
    }
}

#[test]
fn flag_accepts_only_0_and_1() {
    let line = line("x\tyes=1\tno=0\tother=true");
    assert_eq!(line.flag("yes").ok(), Some(true));
    assert_eq!(line.flag("no").ok(), Some(false));
    assert_eq!(line.flag("missing").ok(), Some(false));
    assert_eq!(
        error_text(line.flag("other")),
        "line 7: x: field other: invalid value \"true\""
    );
}

#[test]
fn hex_accepts_only_pairs_of_hexadecimal_digits() {
    let line = line("x\tsome=00fFa7\tnone=-\todd=123\tsign=+1\tempty=");
    assert_eq!(line.hex("some").ok(), Some(vec![0x00, 0xff, 0xa7]));
    assert_eq!(line.hex("none").ok(), Some(Vec::new()));
    assert_eq!(line.hex("empty").ok(), Some(Vec::new()));
    assert!(line.hex("odd").is_err());
    assert!(line.hex("sign").is_err());
}

#[test]
fn error_text_names_line_and_cause() {
    let line = line("update\tkind=Odd");
    let unknown_gateway = LineErrorKind::UnknownGateway {
        name: "update".to_owned(),
        gateway: 4,
    };
    let cases = [
        (
            line.error(LineErrorKind::Truncated),
            "line 7: input ended before the end of the line",
        ),
        (
            line.error(LineErrorKind::UnterminatedFrame),
            "line 7: input ended before the eof_batch line",
        ),
        (
            line.error(LineErrorKind::Read(io::Error::other("cause"))),
            "line 7: failed to read the input: cause",
        ),
        (
            line.error(LineErrorKind::Write(io::Error::other("cause"))),
            "line 7: failed to write the reply: cause",
        ),
        (
            line.error(unknown_gateway),
            "line 7: update: field i: gateway 4 is not running",
        ),
        (
            line.error(LineErrorKind::UnknownName("knok".to_owned())),
            "line 7: unknown line name \"knok\"",
        ),
        (
            line.error(LineErrorKind::UnknownZone {
                zone: "z".to_owned(),
            }),
            "line 7: update: field list: unknown zone \"z\"",
        ),
        (
            line.error(LineErrorKind::InvalidSettings(SettingsError::NoPlans)),
            "line 7: hello: field setup: at least one plan is required",
        ),
        (
            line.error(LineErrorKind::UnparsableSettings(ParseError::UnknownZone)),
            "line 7: hello: field setup: zone is not listed in zones",
        ),
        (
            line.invalid("kind"),
            "line 7: update: field kind: invalid value \"Odd\"",
        ),
        (
            line.invalid("list"),
            "line 7: update: field list: invalid value \"\"",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(
        error_text(line.expect_name("item")),
        "line 7: expected item, found \"update\""
    );
    assert_eq!(
        error_text(line.text("list")),
        "line 7: update: field list is missing"
    );
}

#[test]
fn error_preserves_its_source() {
    let error = line("x").error(LineErrorKind::InvalidSettings(SettingsError::NoPlans));
    let kind = std::error::Error::source(&error).expect("error has its kind as source");
    let cause = kind
        .source()
        .expect("kind has the settings error as source");
    assert_eq!(cause.downcast_ref(), Some(&SettingsError::NoPlans));
}
