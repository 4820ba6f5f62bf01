//! Tests that a body is read completely, and that none of its pieces is kept.

use super::super::BodyBudget;
use super::*;
use hyper::body::Frame;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

const MAX_BYTES: usize = 64 * 1024;
/// Size of hyper's read buffer, of which each piece is a view.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A read buffer that is counted while any view of it exists.
struct ReadBuffer {
    bytes: Vec<u8>,
    live_buffers: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.live_buffers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body without a declared length that arrives in pieces, each of which is a view of a read buffer
/// of its own.
struct PiecewiseBody {
    pieces: VecDeque<Result<Vec<u8>, &'static str>>,
    live_buffers: Arc<AtomicUsize>,
    /// Maximum number of read buffers that existed while the next piece was read.
    max_live_buffers: Arc<AtomicUsize>,
}

impl PiecewiseBody {
    fn new(pieces: impl IntoIterator<Item = Result<Vec<u8>, &'static str>>) -> PiecewiseBody {
        PiecewiseBody {
            pieces: pieces.into_iter().collect(),
            live_buffers: Arc::default(),
            max_live_buffers: Arc::default(),
        }
    }

    fn read_next(&mut self, mut piece: Vec<u8>) -> Bytes {
        let live_buffers = self.live_buffers.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_live_buffers
            .fetch_max(live_buffers, Ordering::Relaxed);
        let length = piece.len();
        piece.resize(length.max(READ_BUFFER_BYTES), 0);
        let buffer = ReadBuffer {
            bytes: piece,
            live_buffers: Arc::clone(&self.live_buffers),
        };
        Bytes::from_owner(buffer).slice(..length)
    }
}

impl Body for PiecewiseBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        let next = self.pieces.pop_front();
        let frame = next.map(|piece| piece.map(|piece| Frame::data(self.read_next(piece))));
        Poll::Ready(frame)
    }
}

/// Reads a body, which never has to be waited for.
fn read_now(mut body: PiecewiseBody) -> Result<Bytes, BodyError> {
    let buffer = BodyBuffer::new(&body, &BodyBudget::new(MAX_BYTES))?;
    let reading = pin!(read(&mut body, buffer));
    match reading.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(result) => result,
        Poll::Pending => panic!("the body is always ready"),
    }
}

/// Guards against bodies in small pieces that hold a read buffer of 8 KiB for each piece: twenty
/// bodies of 64 KiB in pieces of 128 bytes held 44 MiB, and the platform killed the process.
#[test]
fn keeps_no_read_buffer_of_pieces_already_received() {
    for piece_bytes in [1, 128, 1460] {
        let pieces = (0..MAX_BYTES / piece_bytes).map(|number| Ok(vec![number as u8; piece_bytes]));
        let expected: Vec<u8> = pieces.clone().flatten().flatten().collect();
        let body = PiecewiseBody::new(pieces);
        let live_buffers = Arc::clone(&body.live_buffers);
        let max_live_buffers = Arc::clone(&body.max_live_buffers);
        let bytes = read_now(body).expect("the body is complete");
        assert_eq!(bytes, expected);
        assert_eq!(
            (
                max_live_buffers.load(Ordering::Relaxed),
                live_buffers.load(Ordering::Relaxed)
            ),
            (1, 0),
            "pieces of {piece_bytes} bytes"
        );
    }
}

#[test]
fn body_may_have_maximum_length_and_no_more() {
    let whole = || Ok(vec![b'p'; MAX_BYTES]);
    let bytes = read_now(PiecewiseBody::new([whole()]));
    assert_eq!(bytes.expect("the body is complete").len(), MAX_BYTES);
    let longer = PiecewiseBody::new([whole(), Ok(vec![b'p'])]);
    assert!(matches!(
        read_now(longer),
        Err(BodyError::TooLarge {
            max_bytes: MAX_BYTES
        })
    ));
}

#[test]
fn body_that_breaks_off_is_incomplete() {
    let body = PiecewiseBody::new([Ok(vec![b'p'; 10]), Err("connection reset")]);
    match read_now(body) {
        Err(BodyError::Incomplete(source)) => assert_eq!(source.to_string(), "connection reset"),
        other => panic!("{other:?}"),
    }
}
