//! A client connection that is read ahead of the HTTP server, so that the end of the stream is
//! detected even behind data that the server has not read yet.

use super::transfers::Transfers;
use crate::socket_io::{SocketIo, MAX_READ_BYTES};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// Number of buffered bytes at which reading ahead stops, which bounds the memory that clients
/// sending at full speed can use. The buffer may exceed it by up to one chunk.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Number of bytes read ahead at a time.
const READ_AHEAD_CHUNK_BYTES: usize = 1024;
/// Interval at which the operating system is asked, while the read-ahead buffer is full, whether it
/// has received the end of the stream. This is sufficient: if a client has sent more than the
/// operating system buffers, the end of its stream has not arrived yet.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A client connection shared by the HTTP server, which reads and writes, and by request handlers,
/// which wait for the client to close it. The socket is closed when the last clone is dropped.
#[derive(Clone)]
pub(super) struct ReadAheadStream(Rc<RefCell<Inner>>);

/// The socket, its read-ahead buffer and its state, shared by all clones of the stream.
struct Inner {
    stream: SocketIo,
    /// Bytes read ahead that the HTTP server has not read yet.
    buffered: Vec<u8>,
    /// Whether the stream has ended or failed after the buffered bytes.
    ended: bool,
    transfers: Rc<Transfers>,
}

impl ReadAheadStream {
    /// Wraps an accepted connection.
    pub(super) fn new(stream: TcpStream) -> ReadAheadStream {
        ReadAheadStream(Rc::new(RefCell::new(Inner {
            stream: SocketIo::new(stream),
            buffered: Vec::new(),
            ended: false,
            transfers: Rc::default(),
        })))
    }

    /// Returns the record of what was read and written, which outlives the connection.
    pub(super) fn transfers(&self) -> Rc<Transfers> {
        Rc::clone(&self.0.borrow().transfers)
    }

    /// Returns whether bytes have been read ahead that the HTTP server has not read yet.
    pub(super) fn has_buffered_bytes(&self) -> bool {
        !self.0.borrow().buffered.is_empty()
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
        loop {
            let read_ahead = poll_fn(|context| self.0.borrow_mut().poll_read_ahead(context)).await;
            self.0.borrow_mut().buffered = Vec::new();
            if read_ahead == ReadAhead::Ended {
                return;
            }
        }
    }

    /// Waits until the client closes the connection, or until the connection breaks.
    ///
    /// Cancel safe: bytes that were read ahead stay in the stream's buffer.
    pub(super) async fn wait_for_client_close(&self) {
        loop {
            let read_ahead = poll_fn(|context| self.0.borrow_mut().poll_read_ahead(context)).await;
            if read_ahead == ReadAhead::Ended || self.0.borrow().is_read_closed() {
                return;
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

/// Reason why reading ahead stopped.
#[derive(PartialEq)]
enum ReadAhead {
    /// The stream has ended or failed.
    Ended,
    /// The buffer holds [`MAX_READ_AHEAD_BYTES`] or more.
    BufferFull,
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
        let length = ready!(self.stream.poll_read_bounded(context, buffer))?;
        if length > 0 {
            self.transfers.record_read();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads ahead until the stream ends or the buffer is full.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<ReadAhead> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        while !self.ended {
            if self.buffered.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Ready(ReadAhead::BufferFull);
            }
            let result = ready!(self.stream.poll_read_slice(context, &mut chunk));
            let length = result.unwrap_or(0);
            self.ended = length == 0;
            if length > 0 {
                self.transfers.record_read();
            }
            self.buffered.extend_from_slice(&chunk[..length]);
        }
        Poll::Ready(ReadAhead::Ended)
    }

    /// Returns whether the operating system has received the end of the stream, even behind unread
    /// data.
    fn is_read_closed(&self) -> bool {
        let stream = self.stream.stream();
        // Read readiness would also be reported for unread data. Priority readiness is reported for
        // urgent data, which no client sends, and for the end of the stream. The future is polled
        // once, without waiting.
        let readiness = pin!(stream.ready(Interest::PRIORITY));
        match readiness.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.is_ok_and(Ready::is_read_closed),
            Poll::Pending => false,
        }
    }
}

impl Read for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        if inner.buffered.is_empty() && !inner.ended {
            return inner.poll_read_socket(context, &mut buffer);
        }
        // At the end of the stream, once the buffer is empty, this puts no bytes into `buffer`,
        // which signals the end to the HTTP server.
        let max_length = buffer.remaining().min(MAX_READ_BYTES);
        let length = inner.buffered.len().min(max_length);
        buffer.put_slice(&inner.buffered[..length]);
        inner.buffered.drain(..length);
        if inner.buffered.is_empty() {
            // Releases the memory, which the connection would otherwise keep as long as it lives.
            inner.buffered = Vec::new();
        }
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
