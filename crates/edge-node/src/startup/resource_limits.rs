//! Division of the process's file descriptors and memory among client connections, connections to
//! servers and large bodies.

use crate::config::Config;
use crate::upstream::{BodyBudget, Upstream};
use gateway_core::settings::ResolvedSettings;
use std::time::Duration;

/// Number of file descriptors reserved for everything except client and server connections: the
/// listener, discovery, peers and the async runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of sides, clients and servers, that share the unreserved descriptors equally.
const CONNECTION_SIDES: usize = 2;
/// Divisor of the memory limit, which yields the budget for all large bodies together. The divisor
/// is high because a body is briefly in memory twice, and a third time while it is written.
const LARGE_BODY_MEMORY_DIVISOR: usize = 8;

/// Limits on the resources of the process that connections and requests may take.
pub(super) struct ResourceLimits {
    /// Maximum number of client connections, and also of connections to servers.
    pub(super) connections_per_side: usize,
    /// Maximum size of all large bodies together, in bytes.
    large_body_bytes: usize,
    /// Longest deadline of any class.
    pub(super) longest_deadline: Duration,
}

impl ResourceLimits {
    /// Computes the limits from a configuration.
    pub(super) fn of(config: &Config) -> ResourceLimits {
        ResourceLimits {
            connections_per_side: (config.max_file_descriptors - RESERVED_DESCRIPTORS)
                / CONNECTION_SIDES,
            large_body_bytes: config.max_memory / LARGE_BODY_MEMORY_DIVISOR,
            longest_deadline: config.settings.longest_deadline,
        }
    }

    /// Creates an empty pool of connections to servers under these limits.
    pub(super) fn upstream(&self, settings: &ResolvedSettings) -> Upstream {
        Upstream::new(
            BodyBudget::new(self.large_body_bytes),
            self.connections_per_side,
            settings.connection_idle_timeout,
            settings.connect_timeout,
        )
    }
}
