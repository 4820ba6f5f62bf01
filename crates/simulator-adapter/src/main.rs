//! The program `simulator-adapter`: runs the adapter on standard input and standard output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::BufWriter::new(io::stdout().lock());
    match simulator_adapter::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
