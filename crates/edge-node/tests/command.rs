//! The command line: its output and exit codes.

mod support;

use std::process::{Output, Stdio};
use support::*;

/// Exit code and output of a run of the program.
struct RunResult {
    /// `None` if a signal ended the process.
    exit_code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the program until it exits.
fn run(arguments: &[&str]) -> RunResult {
    let Output {
        status,
        stdout,
        stderr,
    } = edge_node_command(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("edge-node runs");
    let text = |bytes| String::from_utf8(bytes).expect("output is UTF-8");
    RunResult {
        exit_code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

const COMMANDS: [&str; 6] = ["serve", "check", "keys", "version", "completions", "man"];

#[test]
fn help_and_version_exit_with_0() {
    for arguments in [&["--help"][..], &["-h"], &["help"]] {
        let RunResult {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        assert_eq!((exit_code, stderr.as_str()), (Some(0), ""), "{arguments:?}");
        for expected_text in COMMANDS.iter().chain(&["LB_CONFIG", "Exit codes"]) {
            assert!(
                stdout.contains(expected_text),
                "{arguments:?}: no {expected_text} in the output"
            );
        }
    }
    let version = format!("edge-node {}\n", env!("CARGO_PKG_VERSION"));
    for arguments in [&["version"][..], &["--version"], &["-V"]] {
        let RunResult {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        assert_eq!(
            (exit_code, stdout.as_str(), stderr.as_str()),
            (Some(0), version.as_str(), "")
        );
    }
    for command in COMMANDS {
        assert_eq!(run(&[command, "--help"]).exit_code, Some(0), "{command}");
    }
}

#[test]
fn invalid_command_line_exits_with_2_and_reports_reason() {
    let cases = [
        (&[][..], "LB_CONFIG is not set"),
        (&["sreve"], "serve"),
        (&["check"], "<FILE>"),
        (&["check", "a", "b"], "unexpected argument"),
        (&["serve", "--port", "1"], "unexpected argument"),
        (&["completions", "cmd"], "bash"),
    ];
    for (arguments, reason) in cases {
        let RunResult {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        assert_eq!(
            (exit_code, stdout.as_str()),
            (Some(2), ""),
            "{arguments:?}: {stderr}"
        );
        assert!(stderr.contains(reason), "{arguments:?}: {stderr}");
    }
}

#[test]
fn missing_configuration_exits_with_1_and_one_error_line() {
    for arguments in [
        &["serve"][..],
        &["serve", "--config", "/nowhere.toml"],
        &["check", "/nowhere.toml"],
    ] {
        let RunResult {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        let line_count = stderr.lines().count();
        assert_eq!(
            (exit_code, stdout.as_str(), line_count),
            (Some(1), "", 1),
            "{arguments:?}: {stderr}"
        );
    }
}

#[test]
fn listen_address_in_use_exits_with_1_and_one_error_line() {
    let occupying_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = occupying_listener
        .local_addr()
        .expect("local address")
        .to_string();
    let output = edge_node_command(&["serve", "--config", EXAMPLE_CONFIG_PATH])
        .env("LB_LISTEN", &address)
        .output()
        .expect("edge-node runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.contains(&address), "{error}");
}

#[test]
fn completions_and_manual_page_contain_every_command() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let RunResult {
            exit_code,
            stdout,
            stderr,
        } = run(&["completions", shell]);
        assert_eq!((exit_code, stderr.as_str()), (Some(0), ""), "{shell}");
        for command in COMMANDS {
            assert!(stdout.contains(command), "{shell}: {command}");
        }
    }
    let RunResult {
        exit_code,
        stdout,
        stderr: _,
    } = run(&["man"]);
    assert_eq!(exit_code, Some(0));
    for command in COMMANDS {
        assert!(stdout.contains(&format!("edge\\-node\\-{command}(1)")));
    }
    assert!(
        stdout.contains(".TH edge-node 1") && stdout.contains("LB_DISCOVERY"),
        "{stdout}"
    );
}

/// A reader such as `head` closes the pipe before the program has written all of its output.
#[test]
fn pipe_closed_by_reader_is_not_an_error() {
    let mut child = edge_node_command(&["man"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("edge-node starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("edge-node exits");
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{output:?}"
    );
}

#[test]
fn serve_exits_with_0_after_sigterm() {
    let discovery = FakeDiscovery::start(&[]);
    let config = example_config();
    let config = config
        .replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery.address.to_string())
        .replace("127.0.0.1:7946", "127.0.0.1:0");
    let mut node = EdgeNode::start_with_toml("serve", &config);
    assert_eq!(
        node.client()
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
}
