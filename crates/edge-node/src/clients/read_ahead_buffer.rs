//! The bytes that a client has sent behind an open request, which the HTTP server reads later.
//!
//! What cannot be kept is discarded instead of being left unread: the end of the stream arrives behind
//! it, and no attempt may begin for a client that has left.

use crate::memory::{MemoryBudget, MemoryExhausted, MemoryReservation};
use tokio::time::Instant;

/// Maximum number of bytes that are kept. Clients send one request at a time, so that more is sent
/// only by a client that misuses the connection.
const MAX_KEPT_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are appended at a time. It divides [`MAX_KEPT_BYTES`].
pub(super) const MAX_APPENDED_BYTES: usize = 1024;

/// A buffer of limited length, whose memory is counted.
pub(super) struct ReadAheadBuffer {
    bytes: Vec<u8>,
    memory: MemoryReservation,
    /// When the last of the bytes were appended.
    appended_at: Instant,
    /// Whether bytes behind the kept ones have been discarded, as all further bytes are.
    is_discarding: bool,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer whose memory counts against `budget`.
    pub(super) fn new(budget: &MemoryBudget) -> ReadAheadBuffer {
        ReadAheadBuffer {
            bytes: Vec::new(),
            memory: budget.reservation(),
            appended_at: Instant::now(),
            is_discarding: false,
        }
    }

    /// Returns the bytes that have not been read.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether bytes behind the kept ones have been discarded.
    pub(super) fn is_discarding(&self) -> bool {
        self.is_discarding
    }

    /// Returns when the last of the bytes were appended.
    pub(super) fn appended_at(&self) -> Instant {
        self.appended_at
    }

    /// Appends bytes, or discards them if the buffer is full or if there is no memory for them. Returns
    /// whether they are kept.
    pub(super) fn append(&mut self, bytes: &[u8]) -> bool {
        let is_full = self.bytes.len() >= MAX_KEPT_BYTES;
        if self.is_discarding || is_full || self.reserve().is_err() {
            self.is_discarding = true;
            return false;
        }
        self.appended_at = Instant::now();
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Makes room for [`MAX_APPENDED_BYTES`].
    fn reserve(&mut self) -> Result<(), MemoryExhausted> {
        let needed_bytes = self.bytes.len() + MAX_APPENDED_BYTES;
        if needed_bytes <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = needed_bytes.next_power_of_two().min(MAX_KEPT_BYTES);
        self.memory.grow_to(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Removes bytes from the front, which have been read.
    pub(super) fn consume(&mut self, length: usize) {
        self.bytes.drain(..length);
        if self.bytes.is_empty() {
            self.release();
        }
    }

    /// Discards the kept bytes and all that follow.
    pub(super) fn discard_all(&mut self) {
        self.is_discarding = true;
        self.release();
    }

    /// Releases the memory, which the connection would otherwise keep as long as it is open.
    fn release(&mut self) {
        self.bytes = Vec::new();
        self.memory.shrink_to(0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/read_ahead_buffer.rs"]
mod tests;
