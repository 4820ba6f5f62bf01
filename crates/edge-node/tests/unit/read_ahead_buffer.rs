//! Tests how much is kept of what a client sends behind an open request.

use super::*;

const CHUNK: [u8; MAX_APPENDED_BYTES] = [b'p'; MAX_APPENDED_BYTES];

/// Appends chunks until one is not kept. Returns the number of those that are.
fn fill(buffer: &mut ReadAheadBuffer) -> usize {
    let mut kept = 0;
    while buffer.append(&CHUNK) {
        kept += 1;
    }
    kept
}

/// Guards against memory that grows with what a client sends, and against requests that are served
/// although bytes in front of them are missing.
#[test]
fn bytes_beyond_the_limit_are_discarded_with_all_that_follow() {
    let budget = MemoryBudget::new(2 * MAX_KEPT_BYTES);
    let mut buffer = ReadAheadBuffer::new(&budget);
    let kept = fill(&mut buffer) * MAX_APPENDED_BYTES;
    assert_eq!((kept, buffer.is_discarding()), (MAX_KEPT_BYTES, true));
    buffer.consume(MAX_KEPT_BYTES / 2);
    assert_eq!(fill(&mut buffer), 0, "a gap must not be filled");
    buffer.consume(MAX_KEPT_BYTES / 2);
    assert_eq!((budget.reserved_bytes(), buffer.bytes.capacity()), (0, 0));
    assert!(buffer.is_discarding());
}

/// Guards against bytes that stay unread without memory, so that the end of the stream behind them is
/// not found.
#[test]
fn bytes_without_memory_are_discarded() {
    let budget = MemoryBudget::new(4 * MAX_APPENDED_BYTES);
    let mut buffer = ReadAheadBuffer::new(&budget);
    assert_eq!(fill(&mut buffer), 4);
    assert!(buffer.is_discarding());
    assert_eq!(buffer.bytes().len(), 4 * MAX_APPENDED_BYTES);
}

/// Guards against a connection that discards bytes and allocates memory for them.
#[test]
fn discarding_takes_no_memory() {
    let budget = MemoryBudget::new(MAX_KEPT_BYTES);
    let mut buffer = ReadAheadBuffer::new(&budget);
    buffer.discard_all();
    assert!(!buffer.append(&CHUNK));
    assert_eq!((budget.reserved_bytes(), buffer.bytes.capacity()), (0, 0));
}
