//! Limits on the memory that the bodies of one direction, of requests or of responses, hold
//! together.

use super::BodyError;
use crate::memory::{MemoryBudget, MemoryReservation};

/// Maximum length of a small body, which is the maximum of the protocol.
pub(super) const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a large body. Without this limit, a single body could use up the memory limit
/// of the process.
pub(super) const MAX_LARGE_BODY_BYTES: usize = 1024 * 1024;
/// Divisor of the budget, which yields the part that large bodies may use. The rest is left to small
/// bodies, so that a few large ones cannot shut them out.
const LARGE_BODY_DIVISOR: usize = 2;

/// Memory budget for all bodies of one direction. A body counts with the memory that its buffer
/// takes, from its first piece until the last reference to it is dropped.
pub(crate) struct BodyBudget(MemoryBudget);

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> BodyBudget {
        BodyBudget(MemoryBudget::new(max_bytes))
    }

    /// Returns the number of bytes that are reserved at the moment.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes()
    }

    /// Admits a body whose `Content-Length` is `declared_bytes`; 0 for a body without this header,
    /// which may be as long as a small body.
    ///
    /// The complete length of a large body is reserved at once, so that large bodies that arrive
    /// together do not all end in the middle. A small body reserves memory as it arrives: clients
    /// that declare a body and send nothing take nothing from the others.
    ///
    /// # Errors
    /// Returns [`BodyError::TooLarge`] if `declared_bytes` exceeds [`MAX_LARGE_BODY_BYTES`], and
    /// [`BodyError::Exhausted`] if the body is large and too much of the budget is reserved.
    pub(super) fn admit(&self, declared_bytes: u64) -> Result<BodyReservation, BodyError> {
        let declared_bytes = usize::try_from(declared_bytes).unwrap_or(usize::MAX);
        if declared_bytes > MAX_LARGE_BODY_BYTES {
            return Err(BodyError::TooLarge {
                max_bytes: MAX_LARGE_BODY_BYTES,
            });
        }
        let is_large = declared_bytes > MAX_SMALL_BODY_BYTES;
        let divisor = if is_large { LARGE_BODY_DIVISOR } else { 1 };
        let mut reservation = BodyReservation {
            memory: self.0.reservation_in_part(divisor),
            max_length: declared_bytes.max(MAX_SMALL_BODY_BYTES),
        };
        if is_large {
            reservation.grow_to(declared_bytes)?;
        }
        Ok(reservation)
    }
}

/// The memory that one body takes from a budget. Dropping it returns the memory.
#[derive(Debug)]
pub(super) struct BodyReservation {
    memory: MemoryReservation,
    max_length: usize,
}

impl BodyReservation {
    /// Returns the maximum length of the body. The reader has to enforce it, because a body without
    /// a `Content-Length` may be longer.
    pub(super) fn max_body_bytes(&self) -> usize {
        self.max_length
    }

    /// Reserves as many more bytes as are missing to a total of `bytes`.
    ///
    /// # Errors
    /// Returns [`BodyError::Exhausted`] if the budget does not have them; the reservation remains as
    /// it was.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        Ok(self.memory.grow_to(bytes)?)
    }

    /// Returns all reserved bytes but `bytes` to the budget.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        self.memory.shrink_to(bytes);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/body_budget.rs"]
mod tests;
