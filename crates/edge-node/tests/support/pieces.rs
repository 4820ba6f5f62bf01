//! Writing a text slowly, in pieces.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// How a text is written: in pieces of `piece_bytes`, spread evenly over `duration`. Pieces that
/// are late are written without a pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pieces {
    pub(crate) piece_bytes: usize,
    pub(crate) duration: Duration,
}

impl Pieces {
    /// Writes a text to a connection on which the system delays no small writes.
    pub(crate) fn write(self, stream: &mut TcpStream, text: &[u8]) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let started_at = Instant::now();
        for (number, piece) in text.chunks(self.piece_bytes).enumerate() {
            let written_share = (number * self.piece_bytes) as f64 / text.len() as f64;
            let due_at = started_at + self.duration.mul_f64(written_share);
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            stream.write_all(piece)?;
        }
        Ok(())
    }
}
