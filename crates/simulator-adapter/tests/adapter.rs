//! Runs the program `simulator-adapter` on hand-written frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"unknown":[1],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":3},"classes":[{"name":"read","aimUs":800000,"deadlineUs":3000000,"lateValue":0.0,"worth":3.0,"repeat":"read_like"}],"packages":[{"name":"p","rate":1.0,"storeSize":4.0,"price":1.0}],"rules":{"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // Writing fails if the adapter exits at a malformed line before it has read the rest.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("adapter exits")
}

/// Returns a frame that registers a list of one server, starts a gateway, and sends it the list.
fn first_frame() -> String {
    format!(
        "frame\tnowUs=1000000\nregister\tlist=0\titems=1\nitem\tserver=51\tcampus=a\tfamilyType=k\tbay=0\t\
         readiness=Ready\tcapacityHint=1\nhello\ti=3\trandomSeed=-7\tsetup={SETTINGS}\n\
         update\ti=3\tkind=Persisted\tgen=1\tlist=0\neof_batch\n"
    )
}

/// The line that reports a request to gateway 3.
const REQUEST: &str =
    "knock\ti=3\tcall=rq_a\tpackage=p\tclientId=9\tquotaUnits=1\tbase=0\tsetSize=2\tttlUs=900000\tgrade=read\n";

#[test]
fn sends_request_and_retries_it_after_server_error() {
    let input = format!(
        "{}frame\tnowUs=1002000\n{REQUEST}eof_batch\nframe\tnowUs=1050000\nfinished\ti=3\tcall=rq_a\tshot=0\t\
         server=51\tending=301\tdelaySeenUs=48000\ttelemetry=strange:1\nelapsed\ti=3\tnonce=0\neof_batch\n\
         frame\tnowUs=1060000\nteardown\ti=3\neof_batch\n",
        first_frame()
    );
    let output = run_adapter(&input);
    let text = String::from_utf8(output.stdout).expect("stdout is UTF-8");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(text.matches("finished\n").count(), 4);
    assert_eq!(
        text.matches("send\ti=3\tcall=rq_a\tserver=51\n").count(),
        2,
        "one first attempt and one retry\n{text}"
    );
    assert!(text.contains("tell\ti=3\taddressee=*\tblob=04"), "{text}");
}

#[test]
fn accepts_empty_frame_and_empty_input() {
    let output = run_adapter("frame\tnowUs=5\neof_batch\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"finished\n");
    assert!(run_adapter("").status.success());
}

#[test]
fn malformed_input_is_reported_with_line_and_cause() {
    let after_first_frame =
        |line: &str| format!("{}frame\tnowUs=1002000\n{line}\neof_batch\n", first_frame());
    let cases = [
        (after_first_frame("knok\ti=3"), "line 8", "knok"),
        (
            after_first_frame(&REQUEST.trim_end().replace("\tttlUs=900000", "")),
            "line 8",
            "ttlUs",
        ),
        (
            after_first_frame(&REQUEST.trim_end().replace("ttlUs=900000", "ttlUs=-4")),
            "line 8",
            "ttlUs",
        ),
        (
            after_first_frame(&REQUEST.trim_end().replace("package=p", "package=q")),
            "line 8",
            "package",
        ),
        (
            after_first_frame(&REQUEST.trim_end().replace("i=3", "i=4")),
            "line 8",
            "field i",
        ),
        (
            after_first_frame("update\ti=3\tkind=Complete\tgen=2\tlist=9"),
            "line 8",
            "list",
        ),
        (
            after_first_frame("whisper\ti=3\toriginPeer=1\tblob=0g"),
            "line 8",
            "blob",
        ),
        (
            after_first_frame(
                "finished\ti=3\tcall=rq_a\tshot=0\tserver=51\tending=99\tdelaySeenUs=1",
            ),
            "line 8",
            "ending",
        ),
        (
            after_first_frame("hello\ti=5\trandomSeed=1\tsetup={\"balancers\":2}"),
            "line 8",
            "field setup",
        ),
        (
            first_frame().replace("\"rate\":1.0", "\"rate\":-1.0"),
            "line 4",
            "setup",
        ),
        (
            first_frame().replace("readiness=Ready", "readiness=Ripe"),
            "line 3",
            "readiness",
        ),
        (
            first_frame().replace("eof_batch\n", ""),
            "line 6",
            "eof_batch",
        ),
        ("frame\tnowUs=1000".to_owned(), "line 1", "end of the line"),
        ("frame\n".to_owned(), "line 1", "nowUs"),
        ("elapsed\ti=1\n".to_owned(), "line 1", "frame"),
    ];
    for (input, line, detail) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{input}\n{error}");
        assert!(
            error.contains(line) && error.contains(detail),
            "expected {line} and {detail} in: {error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
