//! The fields of a line, and the text of each error.

use super::*;
use gateway_core::settings::ParseError;
use gateway_core::SettingsError;
use std::io;

fn line(text: &str) -> Line<'_> {
    Line::split(7, text)
}

fn text_of<T>(result: Result<T, LineError>) -> String {
    result.err().expect("an error").to_string()
}

#[test]
fn a_line_is_a_name_and_fields() {
    let line = line("knock\tcall=rq_a\tcallId=4\tempty=");
    assert_eq!(line.name, "knock");
    assert_eq!(line.text("call").ok(), Some("rq_a"));
    assert_eq!(line.parsed("callId").ok(), Some(4));
    assert_eq!(line.optional("empty"), Some(""));
    assert_eq!(line.optional("id"), None);
    assert_eq!(Line::split(1, "eof_batch").name, "eof_batch");
}

#[test]
fn free_text_runs_to_the_end_of_the_line() {
    let line = line("hello\ti=3\tsetup={\"a\":\t1}\tmore=2");
    assert_eq!(line.text_to_end("setup").ok(), Some("{\"a\":\t1}\tmore=2"));
    assert_eq!(
        text_of(line.text_to_end("set")),
        "line 7: hello: field set is missing"
    );
}

#[test]
fn numbers_have_defaults_and_bounds() {
    let line = line("x\tn=5\tnegative=-1\tinfinite=inf\tnan=NaN\tword=w");
    assert_eq!(line.parsed_or("n", 0_u64).ok(), Some(5));
    assert_eq!(line.parsed_or("missing", 9_u64).ok(), Some(9));
    assert_eq!(line.non_negative("n").ok(), Some(5.0));
    assert_eq!(
        text_of(line.parsed_or("word", 0_u64)),
        "line 7: x: field word cannot be \"w\""
    );
    for field in ["negative", "infinite", "nan", "word", "missing"] {
        assert!(line.non_negative(field).is_err(), "{field}");
    }
}

#[test]
fn a_flag_is_0_or_1() {
    let line = line("x\tyes=1\tno=0\tother=true");
    assert_eq!(line.flag("yes").ok(), Some(true));
    assert_eq!(line.flag("no").ok(), Some(false));
    assert_eq!(line.flag("missing").ok(), Some(false));
    assert_eq!(
        text_of(line.flag("other")),
        "line 7: x: field other cannot be \"true\""
    );
}

#[test]
fn bytes_are_pairs_of_hexadecimal_digits() {
    let line = line("x\tsome=00fFa7\tnone=-\todd=123\tsign=+1\tempty=");
    assert_eq!(line.hex("some").ok(), Some(vec![0x00, 0xff, 0xa7]));
    assert_eq!(line.hex("none").ok(), Some(Vec::new()));
    assert_eq!(line.hex("empty").ok(), Some(Vec::new()));
    assert!(line.hex("odd").is_err());
    assert!(line.hex("sign").is_err());
}

#[test]
fn errors_name_the_line_and_keep_their_text() {
    let line = line("update\tkind=Odd");
    let unknown = LineErrorKind::UnknownGateway {
        name: "update".to_owned(),
        gateway: 4,
    };
    let cases = [
        (
            line.error(LineErrorKind::Truncated),
            "line 7: the line breaks off",
        ),
        (
            line.error(LineErrorKind::UnterminatedFrame),
            "line 7: input ends inside a batch; eof_batch is missing",
        ),
        (
            line.error(LineErrorKind::Read(io::Error::other("cause"))),
            "line 7: cannot be read: cause",
        ),
        (
            line.error(LineErrorKind::Write(io::Error::other("cause"))),
            "line 7: the reply cannot be written: cause",
        ),
        (
            line.error(unknown),
            "line 7: update: field i: 4 was never started",
        ),
        (
            line.error(LineErrorKind::UnknownName("knok".to_owned())),
            "line 7: \"knok\" is no known message",
        ),
        (
            line.error(LineErrorKind::UnknownZone {
                zone: "z".to_owned(),
            }),
            "line 7: update: field list: no zone \"z\"",
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
            "line 7: update: field kind cannot be \"Odd\"",
        ),
        (
            line.invalid("list"),
            "line 7: update: field list cannot be \"\"",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(
        text_of(line.expect_name("item")),
        "line 7: expected item, found \"update\""
    );
    assert_eq!(
        text_of(line.text("list")),
        "line 7: update: field list is missing"
    );
}

#[test]
fn the_source_error_is_preserved() {
    let error = line("x").error(LineErrorKind::InvalidSettings(SettingsError::NoPlans));
    let kind = std::error::Error::source(&error).expect("the kind");
    let cause = kind.source().expect("the cause");
    assert_eq!(cause.downcast_ref(), Some(&SettingsError::NoPlans));
}
