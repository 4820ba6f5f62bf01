//! The resources that this process uses, as the operating system counts them.

/// The directory with one entry per open file descriptor of this process.
const DESCRIPTOR_DIRECTORY: &str = "/proc/self/fd";
/// The file with the memory usage of this process, one value per line.
const STATUS_FILE: &str = "/proc/self/status";
/// Start of the line in [`STATUS_FILE`] with the resident memory in KiB.
const RESIDENT_MEMORY_PREFIX: &str = "VmRSS:";
const BYTES_PER_KIB: usize = 1024;

/// Returns the number of open file descriptors of this process; 0 if it can't be determined.
pub(super) fn open_descriptors() -> usize {
    // The descriptor of the directory being read is not counted.
    std::fs::read_dir(DESCRIPTOR_DIRECTORY).map_or(0, |entries| entries.count().saturating_sub(1))
}

/// Returns the memory of this process that is resident, in bytes; 0 if it can't be determined.
pub(super) fn resident_memory_bytes() -> usize {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    parse_resident_memory(&status).unwrap_or(0)
}

/// Returns the resident memory in bytes that the text of [`STATUS_FILE`] states.
fn parse_resident_memory(status: &str) -> Option<usize> {
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_MEMORY_PREFIX))?;
    let kib: usize = value.trim().strip_suffix(" kB")?.parse().ok()?;
    kib.checked_mul(BYTES_PER_KIB)
}

#[cfg(test)]
#[path = "../../tests/unit/process.rs"]
mod tests;
