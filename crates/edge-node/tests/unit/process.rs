//! Tests that the resident memory is read from the operating system's text.

use super::*;

#[test]
fn resident_memory_is_read_in_bytes() {
    let status = "Name:\tedge-node\nVmHWM:\t    4828 kB\nVmRSS:\t    4472 kB\nThreads:\t1\n";
    assert_eq!(parse_resident_memory(status), Some(4472 * 1024));
}

#[test]
fn text_without_readable_resident_memory_has_no_value() {
    for status in ["", "VmHWM: 4828 kB\n", "VmRSS: kB\n", "VmRSS: 4472\n"] {
        assert_eq!(parse_resident_memory(status), None, "{status}");
    }
}

#[test]
fn running_process_has_resident_memory() {
    assert!(resident_memory_bytes() > 0);
}
