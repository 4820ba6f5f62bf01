//! The command line: what it prints, and its exit codes.

mod support;

use std::process::{Output, Stdio};
use support::*;

/// How a run of the program ended, and what it printed.
struct Finished {
    exit_code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the program to its end.
fn run(arguments: &[&str]) -> Finished {
    let Output {
        status,
        stdout,
        stderr,
    } = edge_node_command(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("it is text");
    Finished {
        exit_code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

const COMMANDS: [&str; 6] = ["serve", "check", "keys", "version", "completions", "man"];

#[test]
fn help_and_version_are_no_errors() {
    for arguments in [&["--help"][..], &["-h"], &["help"]] {
        let Finished {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        assert_eq!((exit_code, stderr.as_str()), (Some(0), ""), "{arguments:?}");
        for word in COMMANDS.iter().chain(&["LB_CONFIG", "Exit codes"]) {
            assert!(
                stdout.contains(word),
                "{arguments:?} does not mention {word}"
            );
        }
    }
    let version = format!("edge-node {}\n", env!("CARGO_PKG_VERSION"));
    for arguments in [&["version"][..], &["--version"], &["-V"]] {
        let Finished {
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
fn a_bad_command_line_ends_with_2_and_says_why() {
    let cases = [
        (&[][..], "LB_CONFIG is not set"),
        (&["sreve"], "serve"),
        (&["check"], "<FILE>"),
        (&["check", "a", "b"], "unexpected argument"),
        (&["serve", "--port", "1"], "unexpected argument"),
        (&["completions", "cmd"], "bash"),
    ];
    for (arguments, why) in cases {
        let Finished {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        assert_eq!(
            (exit_code, stdout.as_str()),
            (Some(2), ""),
            "{arguments:?}: {stderr}"
        );
        assert!(stderr.contains(why), "{arguments:?}: {stderr}");
    }
}

#[test]
fn no_configuration_ends_with_1_in_one_plain_line() {
    for arguments in [
        &["serve"][..],
        &["serve", "--config", "/nowhere.toml"],
        &["check", "/nowhere.toml"],
    ] {
        let Finished {
            exit_code,
            stdout,
            stderr,
        } = run(arguments);
        let lines = stderr.lines().count();
        assert_eq!(
            (exit_code, stdout.as_str(), lines),
            (Some(1), "", 1),
            "{arguments:?}: {stderr}"
        );
    }
}

#[test]
fn an_edge_node_that_cannot_listen_ends_with_1_in_one_plain_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let output = edge_node_command(&["serve", "--config", EXAMPLE_CONFIG_PATH])
        .env("LB_LISTEN", &address)
        .output()
        .expect("it runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.contains(&address), "{error}");
}

#[test]
fn completions_and_the_manual_page_have_every_command() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let Finished {
            exit_code,
            stdout,
            stderr,
        } = run(&["completions", shell]);
        assert_eq!((exit_code, stderr.as_str()), (Some(0), ""), "{shell}");
        for command in COMMANDS {
            assert!(stdout.contains(command), "{shell}: {command}");
        }
    }
    let Finished {
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

/// A reader such as `head` closes the pipe when it has read enough.
#[test]
fn a_reader_that_closes_the_pipe_early_is_no_error() {
    let mut child = edge_node_command(&["man"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("it ends");
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{output:?}"
    );
}

#[test]
fn serve_ends_with_0_after_sigterm() {
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
