//! Tests how much memory the buffer of a body takes.

use super::*;
use crate::memory::MemoryExhausted;

const PIECE: [u8; 128] = [b'p'; 128];
const BODY_BYTES: usize = 64 * 1024;

/// Creates a buffer of its own budget, which has enough memory for it.
fn buffer(declared_bytes: usize) -> BodyBuffer {
    buffer_of(&BodyBudget::new(BODY_BYTES), declared_bytes)
}

fn buffer_of(budget: &BodyBudget, declared_bytes: usize) -> BodyBuffer {
    BodyBuffer::with_declared_length(declared_bytes as u64, budget).expect("a small body")
}

fn fill(buffer: &mut BodyBuffer, bytes: usize) {
    for _ in 0..bytes / PIECE.len() {
        buffer.append(&PIECE).expect("within the maximum length");
    }
}

/// Guards against clients that declare long bodies, send almost nothing of them, and so use up the
/// memory of the process.
#[test]
fn capacity_follows_received_bytes_and_not_declared_length() {
    let mut buffer = buffer(BODY_BYTES);
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
    let mut buffer = buffer(5);
    buffer.append(b"ranks").expect("within the maximum length");
    assert_eq!(buffer.bytes.capacity(), 5);
    assert_eq!(buffer.into_bytes(), "ranks");
}

#[test]
fn body_without_declared_length_may_have_maximum_length_and_no_more() {
    let mut buffer = buffer(0);
    fill(&mut buffer, BODY_BYTES);
    assert_eq!(buffer.bytes.capacity(), BODY_BYTES);
    assert!(matches!(
        buffer.append(b"x"),
        Err(BodyError::TooLarge {
            max_bytes: BODY_BYTES
        })
    ));
}

/// Guards against bodies that do not count any more while the request or the response that they
/// belong to still exists.
#[test]
fn body_counts_until_its_last_reference_is_dropped() {
    let budget = BodyBudget::new(2 * BODY_BYTES);
    let mut buffer = buffer_of(&budget, 0);
    fill(&mut buffer, BODY_BYTES / 2 + PIECE.len());
    assert_eq!(budget.reserved_bytes(), BODY_BYTES, "the capacity counts");
    let body = buffer.into_bytes();
    assert_eq!(
        budget.reserved_bytes(),
        body.len(),
        "without spare capacity"
    );
    let written = body.slice(..1);
    drop(body);
    assert_eq!(budget.reserved_bytes(), BODY_BYTES / 2 + PIECE.len());
    drop(written);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn body_beyond_budget_is_rejected_and_its_memory_released() {
    let budget = BodyBudget::new(BODY_BYTES);
    let mut first = buffer_of(&budget, BODY_BYTES);
    fill(&mut first, BODY_BYTES);
    let mut second = buffer_of(&budget, BODY_BYTES);
    assert!(matches!(
        second.append(&PIECE),
        Err(BodyError::Exhausted(MemoryExhausted { needed_bytes: 128 }))
    ));
    drop(first);
    assert!(second.append(&PIECE).is_ok());
}
