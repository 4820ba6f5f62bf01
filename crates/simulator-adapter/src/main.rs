//! Connects the simulator to the decision module: reads the simulator's lines from standard input, and writes the
//! gateways' actions as lines to standard output. It makes no decisions.
#![forbid(unsafe_code)]

mod adapter;
mod frame;
mod line;
mod reply;
mod translate;

use adapter::Adapter;
use frame::LineReader;
use line::{LineError, LineErrorKind};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::BufWriter::new(io::stdout().lock());
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each frame of the input with one reply, until the input ends between two frames.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut reader = LineReader::new(input);
    let mut adapter = Adapter::default();
    while let Some(now) = reader.next_frame()? {
        let reply = frame::process(&mut reader, now, &mut adapter)?;
        let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
        written.map_err(|error| reader.error(LineErrorKind::Write(error)))?;
    }
    Ok(())
}
