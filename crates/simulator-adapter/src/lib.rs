//! Connects the simulator to the decision library `gateway-core`: reads the simulator's lines from
//! an input, passes them to the simulated gateways as events, and writes the gateways' actions as
//! lines to an output. The adapter itself makes no decisions.

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

/// Writes one reply to the output for each frame of the input, until the input ends after a
/// complete frame.
///
/// # Errors
/// Returns an error if a line violates the protocol, or if reading or writing fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut reader = LineReader::new(input);
    let mut adapter = Adapter::default();
    while let Some(now) = reader.next_frame()? {
        let reply = frame::process(&mut reader, now, &mut adapter)?;
        let result = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        result.map_err(|error| reader.error(LineErrorKind::Write(error)))?;
    }
    Ok(())
}
