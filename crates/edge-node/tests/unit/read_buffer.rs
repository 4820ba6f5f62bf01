//! Tests how much memory the head of a message takes from the budget.

use super::*;

const KIB: usize = 1024;

/// Reads a head without end until the budget is exhausted. Returns the number of bytes read.
fn read_endless_head(memory: &mut ReadBufferMemory) -> usize {
    let mut read_bytes = 0;
    while read_bytes < MAX_HEAD_BYTES && memory.reserve_read().is_ok() {
        memory.record_read(&[b'x'; MAX_READ_BYTES]);
        read_bytes += MAX_READ_BYTES;
    }
    read_bytes
}

#[test]
fn short_heads_need_no_memory_of_the_budget() {
    let budget = MemoryBudget::new(0);
    let mut memory = ReadBufferMemory::new(&budget);
    for _ in 0..10 {
        memory.begin_message();
        assert_eq!(memory.reserve_read(), Ok(()));
        memory.record_read(&[b'x'; MAX_READ_BYTES - 1]);
        assert_eq!(memory.reserve_read(), Ok(()));
        memory.record_read(b"\r\n\r\n");
        assert_eq!(memory.reserve_read(), Ok(()), "the head has ended");
    }
}

/// Guards against heads that take the process over its memory limit.
#[test]
fn long_head_counts_until_its_connection_is_closed() {
    let budget = MemoryBudget::new(40 * KIB);
    let mut first = ReadBufferMemory::new(&budget);
    let mut second = ReadBufferMemory::new(&budget);
    assert_eq!(read_endless_head(&mut first), 32 * KIB);
    assert_eq!(budget.reserved_bytes(), 24 * KIB);
    assert_eq!(read_endless_head(&mut second), 12 * KIB);
    first.begin_message();
    assert!(second.reserve_read().is_err(), "the buffer stays as it is");
    drop(first);
    assert!(second.reserve_read().is_ok());
}
