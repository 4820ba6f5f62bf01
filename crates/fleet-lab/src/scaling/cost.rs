//! The cost of the events that a gateway handles, and the measurement of that cost.

use cpu_time::ThreadTime;
use gateway_core::{Action, Event, Gateway, Timestamp};
use stats_alloc::INSTRUMENTED_SYSTEM;

/// Resources that a gateway has used to handle one or more events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Processor time of the measuring thread, in µs.
    pub(super) cpu_time_us: f64,
    pub(super) allocations: u64,
    /// Number of visits to entries of the gateway's list of servers.
    pub(super) visited: u64,
    /// Number of messages sent, counted once per receiver.
    pub(super) messages: u64,
    /// Bytes of all messages sent, without headers, counted once per receiver.
    pub(super) bytes: u64,
    /// Length of the longest message in bytes.
    pub(super) longest_message: u64,
    pub(super) events: u64,
}

impl Cost {
    /// Adds another cost to this cost. The longest message is the longest of both.
    pub(super) fn add(&mut self, other: Cost) {
        self.cpu_time_us += other.cpu_time_us;
        self.allocations += other.allocations;
        self.visited += other.visited;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.longest_message = self.longest_message.max(other.longest_message);
        self.events += other.events;
    }

    /// Adds the cost of a message that is sent to `receivers` gateways.
    pub(super) fn add_message(&mut self, receivers: u64, bytes: &[u8]) {
        let length = bytes.len() as u64;
        self.messages += receivers;
        self.bytes += receivers * length;
        self.longest_message = self.longest_message.max(length);
    }
}

/// Passes an event to a gateway at the time `now`, and returns the cost. The cost does not include
/// the messages among the resulting actions; [`Cost::add_message`] adds them.
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

/// Returns the number of bytes that the whole process has allocated and not freed. The difference
/// between two calls is the memory of the measured gateway only if nothing else allocates
/// between them.
pub(super) fn live_bytes() -> u64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated) as u64
}

/// Returns whether this program counts its allocations, which requires that the counting allocator
/// is its global allocator.
pub(super) fn is_counting_allocations() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().allocations;
    drop(std::hint::black_box(Box::new(0u64)));
    INSTRUMENTED_SYSTEM.stats().allocations > before
}
