//! Tests how much memory the buffer of a body takes.

use super::*;

const PIECE: [u8; 128] = [b'p'; 128];
const BODY_BYTES: usize = 64 * 1024;

fn fill(buffer: &mut BodyBuffer, bytes: usize) {
    for _ in 0..bytes / PIECE.len() {
        buffer.append(&PIECE).expect("within the maximum length");
    }
}

/// Guards against clients that declare long bodies, send almost nothing of them, and so use up the
/// memory of the process.
#[test]
fn capacity_follows_received_bytes_and_not_declared_length() {
    let mut buffer = BodyBuffer::new(BODY_BYTES, BODY_BYTES);
    assert_eq!(buffer.bytes.capacity(), 0);
    while buffer.bytes.len() < BODY_BYTES {
        buffer.append(&PIECE).expect("within the maximum length");
        assert!(buffer.bytes.capacity() <= 2 * buffer.bytes.len());
        assert!(buffer.bytes.capacity() <= BODY_BYTES);
    }
    assert_eq!(buffer.into_bytes().len(), BODY_BYTES);
}

#[test]
fn short_body_of_declared_length_takes_exactly_its_length() {
    let mut buffer = BodyBuffer::new(5, BODY_BYTES);
    buffer.append(b"ranks").expect("within the maximum length");
    assert_eq!(buffer.bytes.capacity(), 5);
    assert_eq!(buffer.into_bytes(), "ranks");
}

#[test]
fn body_without_declared_length_may_have_maximum_length_and_no_more() {
    let mut buffer = BodyBuffer::new(0, BODY_BYTES);
    fill(&mut buffer, BODY_BYTES);
    assert_eq!(buffer.bytes.capacity(), BODY_BYTES);
    assert!(matches!(
        buffer.append(b"x"),
        Err(CollectError::TooLong {
            max_bytes: BODY_BYTES
        })
    ));
}
