//! A record of what was read from and written to a client connection. The stream keeps it up to
//! date; the state of the connection is derived from it.

use std::cell::Cell;
use tokio::time::Instant;

/// When the bytes of a request began to arrive and when the last of them arrived, as far as they
/// have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReceivedSpan {
    pub(super) first: Instant,
    pub(super) last: Instant,
}

/// What was read from and written to a connection.
#[derive(Default)]
pub(super) struct Transfers {
    received: Cell<Option<ReceivedSpan>>,
    last_write: Cell<Option<Instant>>,
    write_blocked: Cell<bool>,
}

impl Transfers {
    /// Records that bytes have been read.
    pub(super) fn record_read(&self) {
        let now = Instant::now();
        let first = self.received.get().map_or(now, |span| span.first);
        self.received.set(Some(ReceivedSpan { first, last: now }));
    }

    /// Records a write; `blocked` if the operating system accepted no byte of it.
    pub(super) fn record_write(&self, blocked: bool) {
        self.write_blocked.set(blocked);
        if !blocked {
            self.last_write.set(Some(Instant::now()));
        }
    }

    /// Records that a request has been answered. `has_unread_bytes` tells whether bytes of the next
    /// request have been read already.
    pub(super) fn record_answer(&self, has_unread_bytes: bool) {
        self.received.set(None);
        if has_unread_bytes {
            self.record_read();
        }
    }

    /// Returns when the bytes of the current request arrived; `None` if none has arrived.
    pub(super) fn received(&self) -> Option<ReceivedSpan> {
        self.received.get()
    }

    /// Returns the time of the last write that the operating system accepted.
    pub(super) fn last_write(&self) -> Option<Instant> {
        self.last_write.get()
    }

    /// Returns whether part of a response is still unwritten because the client reads slowly.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }
}
