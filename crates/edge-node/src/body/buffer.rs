//! The buffer into which a body is read.

use super::CollectError;
use bytes::Bytes;

/// Factor by which the capacity grows, so that a body in many pieces is not moved with each piece.
const GROWTH_FACTOR: usize = 2;

/// The part of a body that has been received. Its capacity is at most [`GROWTH_FACTOR`] times that
/// part, and never exceeds the length of the complete body if that is known.
pub(super) struct BodyBuffer {
    bytes: Vec<u8>,
    /// Length of the complete body as its sender declared it; 0 if it is not known.
    declared_bytes: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer, which has no capacity yet: a sender that declares a long body and
    /// sends nothing uses no memory.
    pub(super) fn new(declared_bytes: usize, max_bytes: usize) -> BodyBuffer {
        BodyBuffer {
            bytes: Vec::new(),
            declared_bytes,
            max_bytes,
        }
    }

    /// Copies the next piece of the body to the end of the buffer.
    ///
    /// # Errors
    /// Returns [`CollectError::TooLong`] if the body exceeds the maximum length.
    pub(super) fn append(&mut self, piece: &[u8]) -> Result<(), CollectError> {
        let length = self.bytes.len() + piece.len();
        if length > self.max_bytes {
            return Err(CollectError::TooLong {
                max_bytes: self.max_bytes,
            });
        }
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the capacity for a body that is at least `length` bytes long.
    fn next_capacity(&self, length: usize) -> usize {
        let grown = length.max(self.bytes.capacity() * GROWTH_FACTOR);
        let max_capacity = if self.declared_bytes >= length {
            self.declared_bytes
        } else {
            self.max_bytes
        };
        grown.min(max_capacity)
    }

    /// Returns the complete body, without spare capacity.
    pub(super) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        Bytes::from(self.bytes)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/body_buffer.rs"]
mod tests;
