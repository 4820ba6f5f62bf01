//! Connects the simulator to the decision library: reads the simulator's lines from an input, and
//! writes the gateways' actions as lines to an output. It makes no decisions.

mod adapter;
mod frame;
mod line;
mod line_error;
mod reply;
mod translate;

pub use line_error::{LineError, LineErrorKind};

use adapter::Adapter;
use frame::LineReader;
use std::io::{BufRead, Write};

/// Answers each frame of the input with one reply, until the input ends between two frames.
///
/// # Errors
/// A line that breaks the protocol, or a failure to read or write.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut reader = LineReader::new(input);
    let mut adapter = Adapter::default();
    while let Some(now) = reader.next_frame()? {
        let reply = frame::process(&mut reader, now, &mut adapter)?;
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        written.map_err(|error| reader.error(LineErrorKind::Write(error)))?;
    }
    Ok(())
}
