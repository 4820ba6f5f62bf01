//! A client connection that is read ahead of the HTTP server, so that the end of the stream is
//! detected even behind data that the server has not read yet.

use super::read_ahead_buffer::{ReadAheadBuffer, MAX_APPENDED_BYTES};
use super::transfers::Transfers;
use crate::memory::{MemoryBudget, ReadBufferMemory};
use crate::socket_io::{SocketIo, MAX_READ_BYTES};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of bytes that are discarded before other tasks run.
const MAX_DISCARDED_BYTES: usize = 128 * 1024;
/// Pause between two turns of discarding.
const DISCARD_INTERVAL: Duration = Duration::from_millis(1);
/// A client connection shared by the HTTP server, which reads and writes, and by request handlers,
/// which wait for the client to close it. The socket is closed when the last clone is dropped.
#[derive(Clone)]
pub(super) struct ReadAheadStream(Rc<RefCell<Inner>>);

/// Why the HTTP server may read nothing more from a connection, which must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadRefusal {
    /// The memory for heads is exhausted.
    HeadMemory,
    /// The client has sent so much behind an open request that the rest was discarded.
    Discarded,
}

/// The socket, its read-ahead buffer and its state, shared by all clones of the stream.
struct Inner {
    stream: SocketIo,
    /// What has been read ahead and the HTTP server has not read yet.
    buffer: ReadAheadBuffer,
    /// When the bytes that the HTTP server has read last were read from the socket.
    received_at: Instant,
    /// Whether the stream has ended or failed after the buffered bytes.
    ended: bool,
    /// The buffer of the HTTP server.
    read_buffer: ReadBufferMemory,
    /// Whether the HTTP server has read from the socket since the last request.
    has_read_socket: bool,
    refusal: Option<ReadRefusal>,
    refused: Rc<Notify>,
    transfers: Rc<Transfers>,
}

impl ReadAheadStream {
    /// Wraps an accepted connection. What is buffered of incomplete heads and of later requests
    /// counts against `head_memory`.
    pub(super) fn new(stream: TcpStream, head_memory: &MemoryBudget) -> ReadAheadStream {
        ReadAheadStream(Rc::new(RefCell::new(Inner {
            stream: SocketIo::new(stream),
            buffer: ReadAheadBuffer::new(head_memory),
            received_at: Instant::now(),
            ended: false,
            read_buffer: ReadBufferMemory::new(head_memory),
            has_read_socket: false,
            refusal: None,
            refused: Rc::default(),
            transfers: Rc::default(),
        })))
    }

    /// Returns the record of what was read and written, which outlives the connection.
    pub(super) fn transfers(&self) -> Rc<Transfers> {
        Rc::clone(&self.0.borrow().transfers)
    }

    /// Returns whether bytes have been read ahead that the HTTP server has not read yet, including
    /// discarded ones.
    pub(super) fn has_buffered_bytes(&self) -> bool {
        let inner = self.0.borrow();
        !inner.buffer.bytes().is_empty() || inner.buffer.is_discarding()
    }

    /// Records that the HTTP server has received the head of a request. Returns whether the request
    /// was read together with an earlier one.
    pub(super) fn begin_request(&self) -> bool {
        !std::mem::take(&mut self.0.borrow_mut().has_read_socket)
    }

    /// Returns when the bytes that the HTTP server has read last arrived. Those that were read ahead
    /// have waited since then.
    pub(super) fn received_at(&self) -> Instant {
        self.0.borrow().received_at
    }

    /// Records that a request has been answered, so that the next bytes begin another one.
    pub(super) fn end_request(&self) {
        self.0.borrow_mut().read_buffer.begin_message();
    }

    /// Waits until the HTTP server is refused to read. Returns the reason.
    pub(super) async fn read_refused(&self) -> ReadRefusal {
        let refused = Rc::clone(&self.0.borrow().refused);
        loop {
            if let Some(refusal) = self.0.borrow().refusal {
                return refusal;
            }
            refused.notified().await;
        }
    }

    /// Returns whether the operating system has bytes of the client that have not been read.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.0.borrow().stream.has_unread_bytes().unwrap_or(false)
    }

    /// Writes all bytes, without the HTTP server.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub(super) async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.clone();
        while !bytes.is_empty() {
            let written =
                poll_fn(|context| Pin::new(&mut stream).poll_write(context, bytes)).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Tells the client that nothing more will be written.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub(super) fn shutdown_write(&self) -> io::Result<()> {
        let inner = self.0.borrow();
        SockRef::from(inner.stream.stream()).shutdown(Shutdown::Write)
    }

    /// Reads and discards bytes until the stream ends or fails.
    pub(super) async fn discard_until_end(&self) {
        self.0.borrow_mut().buffer.discard_all();
        self.wait_for_client_close().await;
    }

    /// Waits until the client closes the connection, or until the connection breaks.
    ///
    /// Cancel safe: bytes that were read ahead stay in the stream's buffer.
    pub(super) async fn wait_for_client_close(&self) {
        loop {
            let read_ahead = poll_fn(|context| self.0.borrow_mut().poll_read_ahead(context)).await;
            if read_ahead == ReadAhead::Ended {
                return;
            }
            tokio::time::sleep(DISCARD_INTERVAL).await;
        }
    }
}

/// Reason why reading ahead stopped.
#[derive(PartialEq)]
enum ReadAhead {
    /// The stream has ended or failed.
    Ended,
    /// [`MAX_DISCARDED_BYTES`] have been discarded.
    Discarded,
}

impl Inner {
    fn record_write<T>(&mut self, written: Poll<T>) -> Poll<T> {
        self.transfers.record_write(written.is_pending());
        written
    }

    /// Reads from the socket into the buffer of the HTTP server.
    fn poll_read_socket(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read_buffer = &mut self.read_buffer;
        let observe = |bytes: &[u8]| read_buffer.record_read(bytes);
        let length = ready!(self.stream.poll_read_bounded(context, buffer, observe))?;
        if length > 0 {
            self.has_read_socket = true;
            self.received_at = Instant::now();
            self.transfers.record_read();
        }
        Poll::Ready(Ok(()))
    }

    /// Returns why the HTTP server may not read; `None` if it may.
    fn check_read(&mut self) -> Option<ReadRefusal> {
        let has_lost_bytes =
            self.buffer.is_discarding() && self.buffer.bytes().is_empty() && !self.ended;
        if has_lost_bytes {
            return Some(ReadRefusal::Discarded);
        }
        let reserved = self.read_buffer.reserve_read();
        reserved.is_err().then_some(ReadRefusal::HeadMemory)
    }

    /// Reads ahead until the stream ends. Discards what does not fit into the buffer, so that the end of
    /// the stream is found behind it.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<ReadAhead> {
        let mut chunk = [0; MAX_APPENDED_BYTES];
        let mut discarded_bytes = 0;
        while !self.ended {
            if discarded_bytes >= MAX_DISCARDED_BYTES {
                return Poll::Ready(ReadAhead::Discarded);
            }
            let result = ready!(self.stream.poll_read_slice(context, &mut chunk));
            let length = result.unwrap_or(0);
            self.ended = length == 0;
            if length > 0 && self.buffer.append(&chunk[..length]) {
                self.transfers.record_read();
            } else {
                discarded_bytes += length;
            }
        }
        Poll::Ready(ReadAhead::Ended)
    }

    /// Moves bytes that were read ahead into the buffer of the HTTP server. At the end of the stream,
    /// once no such bytes are left, this moves nothing, which signals the end.
    fn read_buffered(&mut self, buffer: &mut ReadBufCursor<'_>) {
        let max_length = buffer.remaining().min(MAX_READ_BYTES);
        let length = self.buffer.bytes().len().min(max_length);
        let bytes = &self.buffer.bytes()[..length];
        self.read_buffer.record_read(bytes);
        buffer.put_slice(bytes);
        if length > 0 {
            self.received_at = self.buffer.appended_at();
        }
        self.buffer.consume(length);
    }
}

impl Read for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        if let Some(refusal) = inner.check_read() {
            // The task of the connection closes it.
            inner.refusal = Some(refusal);
            inner.refused.notify_one();
            return Poll::Pending;
        }
        if inner.buffer.bytes().is_empty() && !inner.ended {
            return inner.poll_read_socket(context, &mut buffer);
        }
        inner.read_buffered(&mut buffer);
        Poll::Ready(Ok(()))
    }
}

impl Write for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write(context, bytes);
        inner.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(context, slices);
        inner.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/read_ahead.rs"]
mod tests;
