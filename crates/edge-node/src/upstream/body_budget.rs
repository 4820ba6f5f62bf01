//! Limits on the memory for the bodies of requests and responses.

use std::cell::Cell;
use std::rc::Rc;
use thiserror::Error;

/// Maximum size of a small body, in either direction. Small bodies do not count against the budget.
pub(super) const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a large body, which is accepted only if the budget has enough bytes left.
/// Without this limit, a single body could use up the memory limit of the process.
pub(super) const MAX_LARGE_BODY_BYTES: usize = 1024 * 1024;

/// Memory budget for all large bodies together. A single large body is small compared with the
/// memory limit of the process; many at the same time are not.
pub(crate) struct BodyBudget {
    /// Bytes that are not reserved. Shared with the reservations, which return their bytes when
    /// they are dropped.
    available: Rc<Cell<usize>>,
}

impl BodyBudget {
    /// Creates a budget of `bytes` for large bodies.
    pub(crate) fn new(bytes: usize) -> BodyBudget {
        BodyBudget {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    /// Reserves memory for a body whose `Content-Length` is `declared` bytes; 0 for a body without
    /// this header. Only large bodies count against the budget.
    ///
    /// # Errors
    /// Returns [`BodyBudgetError::TooLarge`] if `declared` exceeds [`MAX_LARGE_BODY_BYTES`], and
    /// [`BodyBudgetError::Exhausted`] if the body is large and the budget has fewer than `declared`
    /// bytes left.
    pub(crate) fn reserve(&self, declared: u64) -> Result<BodyReservation, BodyBudgetError> {
        let size = usize::try_from(declared)
            .ok()
            .filter(|size| *size <= MAX_LARGE_BODY_BYTES);
        let size = size.ok_or(BodyBudgetError::TooLarge { declared })?;
        if size <= MAX_SMALL_BODY_BYTES {
            return Ok(self.reservation(0, MAX_SMALL_BODY_BYTES));
        }
        let remaining = self.available.get().checked_sub(size);
        let remaining = remaining.ok_or(BodyBudgetError::Exhausted { declared })?;
        self.available.set(remaining);
        Ok(self.reservation(size, size))
    }

    fn reservation(&self, reserved: usize, max_bytes: usize) -> BodyReservation {
        BodyReservation {
            available: Rc::clone(&self.available),
            reserved,
            max_bytes,
        }
    }
}

/// Permission to read one body. Dropping it returns its bytes to the budget, also when the future
/// that reads the body is dropped before the end of the body.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    available: Rc<Cell<usize>>,
    /// Bytes reserved from the budget; 0 for a small body.
    reserved: usize,
    /// Maximum number of bytes that may be read.
    max_bytes: usize,
}

impl BodyReservation {
    /// Returns the maximum number of bytes that may be read. The reader of the body has to enforce
    /// this limit, because a body without a `Content-Length` may be longer.
    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.reserved);
    }
}

/// Reason why a body is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyBudgetError {
    /// The body is larger than [`MAX_LARGE_BODY_BYTES`].
    #[error("a body of {declared} bytes exceeds the maximum body size")]
    TooLarge {
        /// Declared size of the body in bytes.
        declared: u64,
    },
    /// Other large bodies occupy too much of the budget at the moment.
    #[error("a body of {declared} bytes exceeds the remaining body budget")]
    Exhausted {
        /// Declared size of the body in bytes.
        declared: u64,
    },
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_body_budget.rs"]
mod tests;
