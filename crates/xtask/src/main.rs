//! The program `xtask`. `xtask test CARGO_ARGUMENTS...`, called in the root of a workspace, runs
//! the tests that `cargo test CARGO_ARGUMENTS...` would run, except those that `KNOWN-RED.txt`
//! lists.

use std::env;
use std::process::ExitCode;
use xtask::run_tests::run_tests;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    if arguments.next().as_deref() != Some("test") {
        eprintln!("usage: xtask test [CARGO_ARGUMENTS...]");
        return ExitCode::from(2);
    }
    let cargo_arguments: Vec<String> = arguments.collect();
    let root = match env::current_dir() {
        Ok(root) => root,
        Err(error) => {
            eprintln!("error: cannot read the working directory: {error}");
            return ExitCode::FAILURE;
        }
    };
    match run_tests(&root, &cargo_arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
