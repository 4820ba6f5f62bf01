//! A client's connection that can be read ahead: its end must show behind whatever was sent before it.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes read ahead of one request. Guards memory against clients that send at full speed.
const AHEAD_MOST: usize = 16 * 1024;
/// Behind more than that, the machine is asked so often whether it has seen the end. What it knows is enough: a
/// client that has sent more than the machine buffers has not got its end through yet.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// One connection, shared by who speaks on it and who watches for its end.
#[derive(Clone)]
pub struct Ahead(Rc<RefCell<Inner>>);

struct Inner {
    stream: TokioIo<TcpStream>,
    /// What was read ahead and not yet asked for.
    read: Vec<u8>,
    ended: bool,
    /// Whether the machine took nothing of what was last written.
    held_up: Rc<Cell<bool>>,
}

impl Ahead {
    pub fn new(stream: TcpStream) -> Ahead {
        Ahead(Rc::new(RefCell::new(Inner {
            stream: TokioIo::new(stream),
            read: Vec::new(),
            ended: false,
            held_up: Rc::default(),
        })))
    }

    /// Whether the client reads so slowly that the rest of an answer is still to be written; outlives the connection.
    pub fn held_up(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.0.borrow().held_up)
    }

    /// Comes back once the client has ended the connection, or it broke.
    pub async fn end(&self) {
        loop {
            let ended = poll_fn(|context| self.0.borrow_mut().poll_end(context)).await;
            if ended || self.0.borrow().is_shut() {
                return;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
}

impl Inner {
    fn note<T>(&mut self, written: Poll<T>) -> Poll<T> {
        self.held_up.set(written.is_pending());
        written
    }

    /// Reads ahead; whether it came to the end, or to the most that is held.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let mut buffer = [0; 1024];
        while !self.ended {
            if self.read.len() >= AHEAD_MOST {
                return Poll::Ready(false);
            }
            let mut buffer = ReadBuf::new(&mut buffer);
            let came = ready!(Pin::new(self.stream.inner_mut()).poll_read(context, &mut buffer));
            self.ended = came.is_err() || buffer.filled().is_empty();
            self.read.extend_from_slice(buffer.filled());
        }
        Poll::Ready(true)
    }

    /// Whether the machine has seen the end, behind whatever has not been read.
    fn is_shut(&self) -> bool {
        let stream = self.stream.inner();
        // Asked for data out of line, which nobody sends, it speaks of the end alone.
        let shut = pin!(stream.ready(Interest::PRIORITY));
        match shut.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(seen) => seen.is_ok_and(|seen| seen.is_read_closed()),
            Poll::Pending => false,
        }
    }
}

impl Read for Ahead {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        if inner.read.is_empty() && !inner.ended {
            return Pin::new(&mut inner.stream).poll_read(context, into);
        }
        let given = inner.read.len().min(into.remaining());
        into.put_slice(&inner.read[..given]);
        inner.read.drain(..given);
        Poll::Ready(Ok(()))
    }
}

impl Write for Ahead {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write(context, bytes);
        inner.note(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(context, parts);
        inner.note(written)
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
