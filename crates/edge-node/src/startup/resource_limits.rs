//! What clients and servers may take of the descriptors and the memory that the process may use.

use crate::config::Config;
use crate::upstream::{BodyBudget, Upstream};
use gateway_core::settings::ResolvedSettings;
use std::time::Duration;

/// Descriptors reserved for all but clients and servers: the listener, discovery, peers, and the
/// runtime's own.
const RESERVED_DESCRIPTORS: usize = 32;
/// Clients and servers share the other descriptors in equal parts.
const CONNECTION_SIDES: usize = 2;
/// The memory divided by this is for large bodies: each is held twice for a moment, and once more
/// while it is written.
const LARGE_BODY_MEMORY_DIVISOR: usize = 8;

/// What connections and requests may take of the process.
pub(super) struct ResourceLimits {
    /// Connections of clients, and as many to servers.
    pub(super) connections_per_side: usize,
    /// Bytes that all large bodies together may hold.
    large_body_bytes: usize,
    /// No request has a longer deadline.
    pub(super) longest_deadline: Duration,
}

impl ResourceLimits {
    /// The limits under a configuration.
    pub(super) fn of(config: &Config) -> ResourceLimits {
        ResourceLimits {
            connections_per_side: (config.max_file_descriptors - RESERVED_DESCRIPTORS)
                / CONNECTION_SIDES,
            large_body_bytes: config.max_memory / LARGE_BODY_MEMORY_DIVISOR,
            longest_deadline: config.settings.longest_deadline,
        }
    }

    /// The connections to servers within these limits; none is open yet.
    pub(super) fn upstream(&self, settings: &ResolvedSettings) -> Upstream {
        Upstream::new(
            BodyBudget::new(self.large_body_bytes),
            self.connections_per_side,
            settings.connection_idle_timeout,
            settings.connect_timeout,
        )
    }
}
