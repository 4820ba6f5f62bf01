//! Sockets to servers, which are counted while they are open, record whether anything was written
//! to them, and refuse to write after a deadline.

use crate::memory::ReadBufferMemory;
use crate::socket_io::SocketIo;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, Ref, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Counts the sockets to servers that are open or being opened.
#[derive(Default)]
pub(super) struct OpenSockets {
    count: Rc<Cell<usize>>,
}

impl OpenSockets {
    /// Returns the number of sockets that are open or being opened.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more socket for as long as the guard lives.
    pub(super) fn add(&self) -> OpenSocketGuard {
        self.count.set(self.count.get() + 1);
        OpenSocketGuard {
            count: Rc::clone(&self.count),
        }
    }
}

/// Counts one open socket. It is dropped together with the socket: by the connection's driver, or
/// by a connection attempt that fails or is dropped.
pub(super) struct OpenSocketGuard {
    count: Rc<Cell<usize>>,
}

impl Drop for OpenSocketGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// A socket shared by the driver, which reads and writes, and by the connection, which inspects the
/// socket between requests.
pub(super) type SharedStream = Rc<RefCell<SocketIo>>;

/// The read buffer of a connection, shared by the connection, which begins requests, and by its
/// socket.
pub(super) type SharedReadBuffer = Rc<RefCell<ReadBufferMemory>>;

/// What has been written of the current request, and until when it may be written. Shared by the
/// connection, which begins requests, and by its socket.
#[derive(Default)]
pub(super) struct RequestWrites {
    /// Latest time at which a byte may be written; `None` without such a limit.
    deadline: Cell<Option<Instant>>,
    has_written: Cell<bool>,
    has_missed_deadline: Cell<bool>,
}

impl RequestWrites {
    /// Clears the record before the next request, which may be written until `deadline`.
    pub(super) fn begin_request(&self, deadline: Option<Instant>) {
        self.deadline.set(deadline);
        self.has_written.set(false);
        self.has_missed_deadline.set(false);
    }

    /// Returns whether any byte of the request was written.
    pub(super) fn has_written(&self) -> bool {
        self.has_written.get()
    }

    /// Returns whether a part of the request was not written because its deadline had passed.
    pub(super) fn has_missed_deadline(&self) -> bool {
        self.has_missed_deadline.get()
    }

    /// Checks that a byte may be written now.
    ///
    /// # Errors
    /// Returns an error if the deadline has passed.
    fn check_deadline(&self) -> io::Result<()> {
        if is_past(self.deadline.get()) {
            self.has_missed_deadline.set(true);
            let message = "the write deadline has passed";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        Ok(())
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.has_written.set(true);
        }
    }
}

/// Returns whether a write deadline has passed; false without a deadline.
pub(super) fn is_past(write_deadline: Option<Instant>) -> bool {
    write_deadline.is_some_and(|deadline| Instant::now() > deadline)
}

/// A socket that records whether a byte has been written to it, and writes none after the deadline
/// of the request.
///
/// The deadline is checked with each write, not only before the first one: a body that the server
/// reads slowly is written in several parts, and the request may be executed once its last byte
/// has arrived.
pub(super) struct ObservedStream {
    stream: SharedStream,
    writes: Rc<RequestWrites>,
    read_buffer: SharedReadBuffer,
    /// Declared after the stream, so that the socket is closed before it stops being counted.
    _guard: OpenSocketGuard,
}

impl ObservedStream {
    /// Wraps `stream`, whose writes are checked against and recorded in `writes`, and whose reads are
    /// counted in `read_buffer`.
    pub(super) fn new(
        stream: SharedStream,
        writes: Rc<RequestWrites>,
        read_buffer: SharedReadBuffer,
        guard: OpenSocketGuard,
    ) -> Self {
        ObservedStream {
            stream,
            writes,
            read_buffer,
            _guard: guard,
        }
    }

    /// Returns the socket, for inspection.
    pub(super) fn socket(&self) -> Ref<'_, SocketIo> {
        self.stream.borrow()
    }
}

impl Read for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_buffer = self.read_buffer.borrow_mut();
        // A server that sends a head without end must not take memory from the other connections.
        read_buffer
            .reserve_read()
            .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
        self.stream
            .borrow()
            .poll_read_bounded(context, &mut buffer, |bytes| read_buffer.record_read(bytes))
            .map_ok(drop)
    }
}

impl Write for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writes.check_deadline()?;
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.writes.record(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writes.check_deadline()?;
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, parts);
        self.writes.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
