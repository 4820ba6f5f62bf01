//! Sockets to servers, which are counted while they are open and record whether anything was
//! written to them.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

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
pub(super) type SharedStream = Rc<RefCell<TokioIo<TcpStream>>>;

/// A socket that records whether a byte has been written to it.
pub(super) struct ObservedStream {
    stream: SharedStream,
    request_written: Rc<Cell<bool>>,
    /// Declared after the stream, so that the socket is closed before it stops being counted.
    _guard: OpenSocketGuard,
}

impl ObservedStream {
    /// Wraps `stream` and sets `request_written` when a byte is written to it.
    pub(super) fn new(
        stream: SharedStream,
        request_written: Rc<Cell<bool>>,
        guard: OpenSocketGuard,
    ) -> Self {
        ObservedStream {
            stream,
            request_written,
            _guard: guard,
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.request_written.set(true);
        }
    }
}

impl Read for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer)
    }
}

impl Write for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, parts);
        self.record_write(&written);
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
