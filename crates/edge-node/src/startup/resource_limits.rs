//! Division of the process's file descriptors and memory among client connections, connections to
//! servers and bodies.

use crate::body::BodyBudget;
use crate::config::Config;
use crate::memory::MemoryBudget;
use crate::upstream::Upstream;
use gateway_core::settings::ResolvedSettings;
use gateway_core::CustomerLimit;
use std::time::Duration;

/// Number of file descriptors reserved for everything except client and server connections: the
/// listener, discovery, peers and the async runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of sides, clients and servers, that share the unreserved descriptors equally.
const CONNECTION_SIDES: usize = 2;
/// Divisor of the memory limit, which yields the memory for the state of customers.
const CUSTOMER_MEMORY_DIVISOR: usize = 16;
/// Memory reserved for the state of one customer, its account or the owned part of its quota, in
/// bytes.
const CUSTOMER_MEMORY_BYTES: usize = 1024;
/// Memory reserved for the program itself, in bytes.
const RESERVED_MEMORY_BYTES: usize = 4 * 1024 * 1024;
/// Memory reserved for each connection that may be open, in bytes: hyper's buffers for reading and
/// writing, which have 8 KiB each at first and 16 KiB for a head in two pieces, the task and the
/// request.
const CONNECTION_MEMORY_BYTES: usize = 28 * 1024;
/// Divisor of the memory limit, which yields the memory that connections may take. Fewer connections
/// than descriptors allow are kept open if they would take more.
const CONNECTIONS_MEMORY_DIVISOR: usize = 2;
/// Divisor of the memory limit, which yields the memory that long heads, and what is read ahead,
/// take on all connections of one side.
const HEAD_MEMORY_DIVISOR: usize = 32;
/// Number of directions, requests and responses, that share the remaining memory equally.
const BODY_DIRECTIONS: usize = 2;
/// Divisors of the memory limit, which yield the smallest and the largest budget for the bodies of
/// one direction. The rest of the memory is left free even if all bodies are in use.
const MIN_BODY_MEMORY_DIVISOR: usize = 8;
const MAX_BODY_MEMORY_DIVISOR: usize = 4;

/// Limits on the resources of the process that connections and requests may take.
pub(super) struct ResourceLimits {
    /// Maximum number of client connections, and also of connections to servers.
    pub(super) connections_per_side: usize,
    /// Maximum memory for the bodies of one direction together, in bytes.
    body_bytes: usize,
    /// Maximum memory for the heads of one side together, in bytes.
    head_bytes: usize,
    /// Maximum number of accounts and owned parts of quotas of customers that are kept.
    customer_entries: usize,
    /// Longest deadline of any class.
    pub(super) longest_deadline: Duration,
}

impl ResourceLimits {
    /// Computes the limits from a configuration.
    pub(super) fn of(config: &Config) -> ResourceLimits {
        let connections = connections(config.max_memory, config.max_file_descriptors);
        ResourceLimits {
            connections_per_side: connections / CONNECTION_SIDES,
            body_bytes: body_bytes(config.max_memory, connections),
            head_bytes: config.max_memory / HEAD_MEMORY_DIVISOR,
            customer_entries: config.max_memory / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_MEMORY_BYTES,
            longest_deadline: config.settings.longest_deadline,
        }
    }

    /// Creates the budget for the bodies of requests.
    pub(super) fn request_bodies(&self) -> BodyBudget {
        BodyBudget::new(self.body_bytes)
    }

    /// Returns the limit on the customers whose state is kept.
    pub(super) fn customer_limit(&self) -> CustomerLimit {
        CustomerLimit {
            entries: self.customer_entries,
            longest_deadline: self.longest_deadline,
        }
    }

    /// Creates the budget for the heads of requests.
    pub(super) fn head_memory(&self) -> MemoryBudget {
        MemoryBudget::new(self.head_bytes)
    }

    /// Creates an empty pool of connections to servers under these limits.
    pub(super) fn upstream(&self, settings: &ResolvedSettings) -> Upstream {
        Upstream::new(
            BodyBudget::new(self.body_bytes),
            self.head_memory(),
            self.connections_per_side,
            settings.connection_idle_timeout,
            settings.connect_timeout,
        )
    }
}

/// Returns the number of connections of both sides that descriptors and memory allow.
fn connections(max_memory: usize, max_file_descriptors: usize) -> usize {
    let by_memory = max_memory / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_MEMORY_BYTES;
    (max_file_descriptors - RESERVED_DESCRIPTORS).min(by_memory)
}

/// Returns the memory for the bodies of one direction, in bytes: an equal share of what the program
/// and its connections leave of the memory limit.
fn body_bytes(max_memory: usize, connections: usize) -> usize {
    let connection_memory = connections.saturating_mul(CONNECTION_MEMORY_BYTES);
    let head_memory = CONNECTION_SIDES * (max_memory / HEAD_MEMORY_DIVISOR);
    let other_memory = RESERVED_MEMORY_BYTES
        .saturating_add(max_memory / CUSTOMER_MEMORY_DIVISOR)
        .saturating_add(connection_memory)
        .saturating_add(head_memory);
    let share = max_memory.saturating_sub(other_memory) / BODY_DIRECTIONS;
    share.clamp(
        max_memory / MIN_BODY_MEMORY_DIVISOR,
        max_memory / MAX_BODY_MEMORY_DIVISOR,
    )
}

#[cfg(test)]
#[path = "../../tests/unit/resource_limits.rs"]
mod tests;
