//! Reads from a socket that are shorter than the read buffer of the HTTP implementation.

use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read. hyper starts with a read buffer of 8 KiB, doubles it when a
/// read fills it, up to the maximum size of a head, and keeps it as long as the connection lives.
/// Reads that never fill the buffer keep it at 8 KiB.
pub(crate) const MAX_READ_BYTES: usize = 4 * 1024;

/// Reads at most [`MAX_READ_BYTES`] from a socket.
pub(crate) fn poll_bounded_read(
    stream: &mut TokioIo<TcpStream>,
    context: &mut Context<'_>,
    mut buffer: ReadBufCursor<'_>,
) -> Poll<io::Result<()>> {
    let mut chunk = [0; MAX_READ_BYTES];
    let length = buffer.remaining().min(MAX_READ_BYTES);
    let mut chunk = ReadBuf::new(&mut chunk[..length]);
    ready!(Pin::new(stream.inner_mut()).poll_read(context, &mut chunk))?;
    buffer.put_slice(chunk.filled());
    Poll::Ready(Ok(()))
}
