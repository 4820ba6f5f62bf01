//! The memory of the buffer into which hyper reads from one connection.
//!
//! While the head of a message is incomplete, hyper keeps all of it. Afterwards, pieces of the body
//! leave the buffer as they arrive. The buffer grows in powers of two and is never made smaller, so
//! its memory counts until the connection is closed.

use super::head_end::HeadEnd;
use super::{MemoryBudget, MemoryExhausted, MemoryReservation};
use crate::socket_io::MAX_READ_BYTES;

/// Maximum number of bytes of a head that hyper buffers.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Memory of the buffer that is not counted here, because it is part of what is reserved for every
/// connection: heads up to half of it need no more.
const UNCOUNTED_BYTES: usize = 2 * MAX_READ_BYTES;

/// Counts the buffer of one connection against a budget that many connections share.
#[derive(Debug)]
pub(crate) struct ReadBufferMemory {
    reservation: MemoryReservation,
    head_end: HeadEnd,
}

impl ReadBufferMemory {
    /// Counts a buffer that is empty.
    pub(crate) fn new(budget: &MemoryBudget) -> ReadBufferMemory {
        ReadBufferMemory {
            reservation: budget.reservation(),
            head_end: HeadEnd::new(),
        }
    }

    /// Reserves the memory for the next read of up to [`MAX_READ_BYTES`].
    ///
    /// # Errors
    /// Returns an error if the budget does not have it. Nothing may be read then.
    pub(crate) fn reserve_read(&mut self) -> Result<(), MemoryExhausted> {
        if self.head_end.is_reached() {
            return Ok(());
        }
        self.reservation
            .grow_to(counted_bytes(self.head_end.head_bytes()))
    }

    /// Records bytes that were read into the buffer.
    pub(crate) fn record_read(&mut self, bytes: &[u8]) {
        self.head_end.read(bytes);
    }

    /// Records that the next bytes are the start of a message. Less than [`MAX_READ_BYTES`] of them
    /// may be in the buffer already.
    pub(crate) fn begin_message(&mut self) {
        self.head_end = HeadEnd::new();
    }
}

/// Returns the counted memory of a buffer with this many bytes of a head, before the next read.
fn counted_bytes(head_bytes: usize) -> usize {
    if head_bytes < MAX_READ_BYTES {
        return 0;
    }
    let needed_bytes = head_bytes + UNCOUNTED_BYTES;
    let capacity = needed_bytes.next_power_of_two().min(MAX_HEAD_BYTES);
    capacity - UNCOUNTED_BYTES
}

#[cfg(test)]
#[path = "../../tests/unit/read_buffer.rs"]
mod tests;
