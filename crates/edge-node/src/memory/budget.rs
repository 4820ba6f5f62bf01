//! A limit on the memory that many holders take together.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use thiserror::Error;

/// There is not enough memory left in a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{needed_bytes} more bytes exceed the remaining memory budget")]
pub(crate) struct MemoryExhausted {
    /// Number of bytes for which there was no memory.
    pub(crate) needed_bytes: usize,
}

/// A memory budget. Its clones are the same budget.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    max_bytes: usize,
    /// Bytes that are reserved. Shared with the reservations, which return their bytes when they
    /// are dropped.
    reserved_bytes: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            max_bytes,
            reserved_bytes: Arc::default(),
        }
    }

    /// Returns the number of bytes that are reserved at the moment.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    pub(crate) fn reservation(&self) -> MemoryReservation {
        self.reservation_in_part(1)
    }

    /// Creates an empty reservation that grows only while all reservations together stay below the
    /// budget divided by `divisor`.
    pub(crate) fn reservation_in_part(&self, divisor: usize) -> MemoryReservation {
        MemoryReservation {
            limit: self.max_bytes / divisor,
            reserved: 0,
            total: Arc::clone(&self.reserved_bytes),
        }
    }
}

/// Memory that is reserved in a budget. Dropping it returns the memory.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    /// Number of bytes up to which this reservation may grow together with all others.
    limit: usize,
    /// Bytes of this reservation.
    reserved: usize,
    /// Bytes of all reservations.
    total: Arc<AtomicUsize>,
}

impl MemoryReservation {
    /// Reserves as many more bytes as are missing to a total of `bytes`.
    ///
    /// # Errors
    /// Returns an error if the budget does not have them; the reservation remains as it was.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let needed_bytes = bytes.saturating_sub(self.reserved);
        let total_bytes = self.total.load(Ordering::Relaxed) + needed_bytes;
        if needed_bytes > 0 && total_bytes > self.limit {
            return Err(MemoryExhausted { needed_bytes });
        }
        self.total.store(total_bytes, Ordering::Relaxed);
        self.reserved += needed_bytes;
        Ok(())
    }

    /// Returns all reserved bytes but `bytes` to the budget.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let surplus_bytes = self.reserved.saturating_sub(bytes);
        self.total.fetch_sub(surplus_bytes, Ordering::Relaxed);
        self.reserved -= surplus_bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
