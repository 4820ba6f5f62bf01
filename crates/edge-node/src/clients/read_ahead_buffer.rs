//! The bytes that a client has sent behind an open request, which the HTTP server reads later.

use crate::memory::{MemoryBudget, MemoryExhausted, MemoryReservation};
use tokio::time::Instant;

/// Maximum number of bytes that are kept. Clients send one request at a time, so that more is sent
/// only by a client that misuses the connection: further bytes are discarded.
const MAX_KEPT_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are appended at a time.
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

    /// Makes room for [`MAX_APPENDED_BYTES`], unless they would be discarded.
    ///
    /// # Errors
    /// Returns an error if there is no memory for them.
    pub(super) fn reserve(&mut self) -> Result<(), MemoryExhausted> {
        let needed_bytes = self.bytes.len() + MAX_APPENDED_BYTES;
        if self.is_discarding || needed_bytes <= self.bytes.capacity() {
            return Ok(());
        }
        let max_capacity = MAX_KEPT_BYTES + MAX_APPENDED_BYTES;
        let capacity = needed_bytes.next_power_of_two().min(max_capacity);
        self.memory.grow_to(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Appends bytes for which room was reserved, or discards them. Returns whether they are kept.
    pub(super) fn append(&mut self, bytes: &[u8]) -> bool {
        self.is_discarding |= self.bytes.len() >= MAX_KEPT_BYTES;
        if self.is_discarding {
            return false;
        }
        self.appended_at = Instant::now();
        self.bytes.extend_from_slice(bytes);
        true
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
