//! The cost of a gateway's work, and its measurement.

use cpu_time::ThreadTime;
use gateway_core::{Action, Event, Gateway, Timestamp};
use stats_alloc::INSTRUMENTED_SYSTEM;

/// Cost of some work of a gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Processor time of this thread, in µs.
    pub(super) cpu_time_us: f64,
    /// Number of allocations.
    pub(super) allocations: u64,
    /// Number of entries of the list of servers that the gateway visited.
    pub(super) visited: u64,
    /// Number of messages sent, one for each receiver.
    pub(super) messages: u64,
    /// Bytes of all messages sent, without headers.
    pub(super) bytes: u64,
    /// Length of the longest message in bytes.
    pub(super) longest_message: u64,
    /// Number of events handled.
    pub(super) events: u64,
}

impl Cost {
    /// Adds another cost to this one.
    pub(super) fn add(&mut self, other: Cost) {
        self.cpu_time_us += other.cpu_time_us;
        self.allocations += other.allocations;
        self.visited += other.visited;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.longest_message = self.longest_message.max(other.longest_message);
        self.events += other.events;
    }

    /// Adds a message that is sent to the given number of gateways.
    pub(super) fn add_message(&mut self, receivers: u64, bytes: &[u8]) {
        let length = bytes.len() as u64;
        self.messages += receivers;
        self.bytes += receivers * length;
        self.longest_message = self.longest_message.max(length);
    }
}

/// Passes an event to a gateway at the time `now`, and measures the cost. The messages among the
/// resulting actions are not counted yet.
pub(super) fn measure_event(
    gateway: &mut Gateway,
    now: Timestamp,
    event: Event,
    actions: &mut Vec<Action>,
) -> Cost {
    let visited_before = gateway.entries_visited();
    let allocations_before = INSTRUMENTED_SYSTEM.stats().allocations;
    let started = ThreadTime::now();
    gateway.handle(now, event, actions);
    let cpu_time_us = started.elapsed().as_nanos() as f64 / 1e3;
    let allocations = INSTRUMENTED_SYSTEM.stats().allocations - allocations_before;
    Cost {
        cpu_time_us,
        allocations: allocations as u64,
        visited: gateway.entries_visited() - visited_before,
        events: 1,
        ..Cost::default()
    }
}

/// Returns the bytes that the whole process has allocated and not freed: between two calls, only
/// the gateway that is measured may allocate.
pub(super) fn live_bytes() -> u64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated) as u64
}

/// Returns whether this program counts its allocations; only a program with the counting allocator
/// does.
pub(super) fn is_counting_allocations() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().allocations;
    drop(std::hint::black_box(Box::new(0u64)));
    INSTRUMENTED_SYSTEM.stats().allocations > before
}
