//! What work of a gateway costs, and how that is measured.

use cpu_time::ThreadTime;
use gateway_core::{Action, Event, Gateway, Timestamp};
use stats_alloc::INSTRUMENTED_SYSTEM;

/// What some work of a gateway has cost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Processor time of this thread, µs.
    pub(super) cpu_time_us: f64,
    /// Allocations.
    pub(super) allocations: u64,
    /// Entries of the list of servers that the gateway visited.
    pub(super) visited: u64,
    /// Messages sent, one for each receiver.
    pub(super) messages: u64,
    /// Bytes of these messages, without headers.
    pub(super) bytes: u64,
    /// Bytes of the longest message.
    pub(super) longest_message: u64,
    /// Events handled.
    pub(super) events: u64,
}

impl Cost {
    /// Adds another cost.
    pub(super) fn add(&mut self, other: Cost) {
        self.cpu_time_us += other.cpu_time_us;
        self.allocations += other.allocations;
        self.visited += other.visited;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.longest_message = self.longest_message.max(other.longest_message);
        self.events += other.events;
    }

    /// Adds a message that is sent to a number of gateways.
    pub(super) fn add_message(&mut self, receivers: u64, bytes: &[u8]) {
        let length = bytes.len() as u64;
        self.messages += receivers;
        self.bytes += receivers * length;
        self.longest_message = self.longest_message.max(length);
    }
}

/// Gives a gateway an event at a time, and measures what that costs. The messages among the actions are not
/// counted yet.
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

/// Bytes that are allocated and not freed, by the whole process: between two calls only the gateway that is measured
/// may allocate.
pub(super) fn live_bytes() -> u64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated) as u64
}

/// Whether this program counts its allocations: only one with the counting allocator does.
pub(super) fn is_counting_allocations() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().allocations;
    drop(std::hint::black_box(Box::new(0u64)));
    INSTRUMENTED_SYSTEM.stats().allocations > before
}
