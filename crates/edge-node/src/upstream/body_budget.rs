//! How much memory the bodies of requests and responses may take.

use std::cell::Cell;
use std::rc::Rc;
use thiserror::Error;

/// Bytes up to which a body is accepted without a reservation, in either direction.
pub(super) const MAX_SMALL_BODY: usize = 64 * 1024;
/// Bytes up to which a body is accepted while the budget allows it. A body without an upper bound
/// could otherwise use up the memory limit of the process.
pub(super) const MAX_LARGE_BODY: usize = 1024 * 1024;

/// Bytes that all large bodies together may occupy. One large body alone is small against the
/// memory limit of the process; many at the same time are not.
pub(crate) struct BodyBudget {
    /// Bytes that are not reserved. Shared with the reservations, which give theirs back.
    available: Rc<Cell<usize>>,
}

impl BodyBudget {
    /// A budget of so many bytes for large bodies.
    pub(crate) fn new(bytes: usize) -> BodyBudget {
        BodyBudget {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    /// Reserves memory for a body that is declared to have at least `declared` bytes. Only large
    /// bodies count against the budget.
    ///
    /// # Errors
    /// No body of that size is accepted, or the budget has too little left at the moment.
    pub(crate) fn reserve(&self, declared: u64) -> Result<BodyReservation, BodyBudgetError> {
        let size = usize::try_from(declared)
            .ok()
            .filter(|size| *size <= MAX_LARGE_BODY);
        let size = size.ok_or(BodyBudgetError::TooLarge { declared })?;
        if size <= MAX_SMALL_BODY {
            return Ok(self.reservation(0, MAX_SMALL_BODY));
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
/// that reads the body is dropped half-way.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    available: Rc<Cell<usize>>,
    /// Bytes that are taken from the budget; 0 for a small body.
    reserved: usize,
    max_bytes: usize,
}

impl BodyReservation {
    /// Bytes up to which the body may be read. A body without a declared length may prove longer
    /// than declared.
    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.reserved);
    }
}

/// Why a body is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyBudgetError {
    /// No body of this size is ever accepted.
    #[error("a body of {declared} bytes is larger than any that is accepted")]
    TooLarge {
        /// Bytes that the body is declared to have.
        declared: u64,
    },
    /// Other large bodies occupy the budget at the moment.
    #[error("a body of {declared} bytes does not fit into what is left of the budget")]
    Exhausted {
        /// Bytes that the body is declared to have.
        declared: u64,
    },
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_body_budget.rs"]
mod tests;
