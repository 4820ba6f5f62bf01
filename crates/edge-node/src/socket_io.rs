//! TCP sockets as hyper reads and writes them.
//!
//! Tokio's own reads and writes treat a short transfer as the sign that the socket has no more data
//! or no more room, and wait for the next edge-triggered event, which may never come: the operating
//! system may shorten any transfer. Here, only a transfer that would block ends the readiness of a
//! socket.

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// Maximum number of bytes of one read. hyper starts with a read buffer of 8 KiB, doubles it when a
/// read fills it, up to the maximum size of a head, and keeps it as long as the connection lives.
/// Reads that never fill the buffer keep it at 8 KiB.
pub(crate) const MAX_READ_BYTES: usize = 4 * 1024;

/// A connected TCP socket that hyper can use.
pub(crate) struct SocketIo {
    stream: TcpStream,
}

impl SocketIo {
    /// Wraps a connected socket.
    pub(crate) fn new(stream: TcpStream) -> SocketIo {
        SocketIo { stream }
    }

    /// Returns the socket, for inspection. It must not be read or written directly.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the operating system has received bytes that have not been read; `None` if it
    /// has received neither bytes nor the end of the stream. Asks the system itself, because the
    /// runtime may not have been notified yet.
    pub(crate) fn has_unread_bytes(&self) -> Option<bool> {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        match peeked {
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            result => Some(result.is_ok_and(|length| length > 0)),
        }
    }

    /// Reads what the operating system has received already, past the runtime, which must not read
    /// from the socket afterwards. Returns the number of bytes.
    ///
    /// # Errors
    /// Returns an error if nothing has been received or the connection is broken.
    pub(crate) fn read_received(&self, buffer: &mut [u8]) -> io::Result<usize> {
        io::Read::read(&mut &*SockRef::from(&self.stream), buffer)
    }

    /// Reads into `buffer`, which must not be empty. Returns the number of bytes; zero at the end
    /// of the stream.
    pub(crate) fn poll_read_slice(
        &self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            if let Some(read) = unless_retryable(self.stream.try_read(buffer)) {
                return Poll::Ready(read);
            }
        }
    }

    /// Reads at most [`MAX_READ_BYTES`], and passes them to `observe` first. Returns the number of
    /// bytes; zero at the end of the stream.
    pub(crate) fn poll_read_bounded(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
        observe: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<usize>> {
        let mut chunk = [0; MAX_READ_BYTES];
        let max_length = buffer.remaining().min(MAX_READ_BYTES);
        let length = ready!(self.poll_read_slice(context, &mut chunk[..max_length]))?;
        observe(&chunk[..length]);
        buffer.put_slice(&chunk[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            if let Some(written) = unless_retryable(write(&self.stream)) {
                return Poll::Ready(written);
            }
        }
    }
}

/// Returns the result of a transfer; `None` if it transferred nothing and must be tried again. A
/// transfer that would block has ended the readiness of the socket.
fn unless_retryable(result: io::Result<usize>) -> Option<io::Result<usize>> {
    match result {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            None
        }
        result => Some(result),
    }
}

impl Read for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_bounded(context, &mut buffer, |_| ())
            .map_ok(drop)
    }
}

impl Write for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Does nothing: a socket has no buffer of its own in this process.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
