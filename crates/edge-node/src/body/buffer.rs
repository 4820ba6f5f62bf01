//! The buffer into which a body is read.

use super::budget::{BodyBudget, BodyReservation};
use super::BodyError;
use bytes::Bytes;
use hyper::body::Body;

/// Factor by which the capacity grows, so that a body in many pieces is not moved with each piece.
const GROWTH_FACTOR: usize = 2;

/// The part of a body that has been received, and the memory reserved for it. The capacity is at
/// most [`GROWTH_FACTOR`] times that part, and never exceeds the length of the complete body if that
/// is known.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    /// Length of the complete body as its sender declared it; 0 if it is not known.
    declared_bytes: usize,
    reservation: BodyReservation,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body. It has no capacity yet: a sender that declares a long
    /// body and sends nothing uses no memory.
    ///
    /// # Errors
    /// Returns an error if the declared length of the body is too large, or exceeds the remaining
    /// budget for large bodies.
    pub(crate) fn new(body: &impl Body, budget: &BodyBudget) -> Result<BodyBuffer, BodyError> {
        BodyBuffer::with_declared_length(body.size_hint().lower(), budget)
    }

    fn with_declared_length(
        declared_bytes: u64,
        budget: &BodyBudget,
    ) -> Result<BodyBuffer, BodyError> {
        let reservation = budget.admit(declared_bytes)?;
        Ok(BodyBuffer {
            bytes: Vec::new(),
            declared_bytes: usize::try_from(declared_bytes).unwrap_or(usize::MAX),
            reservation,
        })
    }

    /// Copies the next piece of the body to the end of the buffer.
    ///
    /// # Errors
    /// Returns an error if the body exceeds its maximum length or the remaining budget.
    pub(super) fn append(&mut self, piece: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + piece.len();
        let max_bytes = self.reservation.max_body_bytes();
        if length > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            self.reservation.grow_to(capacity)?;
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
            self.reservation.max_body_bytes()
        };
        grown.min(max_capacity)
    }

    /// Returns the complete body, without spare capacity. Its memory returns to the budget when the
    /// last clone of the returned bytes is dropped.
    pub(super) fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.capacity());
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
#[path = "../../tests/unit/body_buffer.rs"]
mod tests;
