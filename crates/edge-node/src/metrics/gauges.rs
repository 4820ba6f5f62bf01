//! Gauges: metrics that are set from a snapshot of the edge node each time the metrics are read.

use super::register;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Gauge with a floating-point value; the default type of a gauge's value is an integer.
type GaugeF64 = Gauge<f64, AtomicU64>;

/// Snapshot of the edge node's current values, taken each time an operator asks for them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatusSnapshot {
    /// Number of requests without a final answer.
    pub(crate) open_requests: usize,
    pub(crate) client_connections: usize,
    /// Number of sockets to servers that are open or being opened.
    pub(crate) server_connections: usize,
    /// Number of file descriptors that the process has open.
    pub(crate) open_descriptors: usize,
    /// Memory of the process that is resident, in bytes.
    pub(crate) resident_memory_bytes: usize,
    /// Memory that the bodies of requests hold, in bytes.
    pub(crate) request_body_bytes: usize,
    /// Memory that the bodies of responses hold, in bytes.
    pub(crate) response_body_bytes: usize,
    /// Number of servers that are ready according to the endpoint list.
    pub(crate) servers_ready: usize,
    /// Number of servers and customers for which the decision library keeps state.
    pub(crate) tracked_entries: usize,
    /// Time since the last endpoint list was applied; `None` before the first.
    pub(crate) list_age: Option<Duration>,
    /// Sequence number of the last endpoint list applied; 0 before the first.
    pub(crate) list_sequence: u64,
    /// Number of datagrams sent to peers since the start of the process.
    pub(crate) datagrams_sent: u64,
    /// Number of datagrams received from peers since the start of the process.
    pub(crate) datagrams_received: u64,
}

/// Registered gauges, which [`Gauges::set`] sets from a [`StatusSnapshot`].
pub(super) struct Gauges {
    open_requests: Gauge,
    client_connections: Gauge,
    server_connections: Gauge,
    open_descriptors: Gauge,
    resident_memory_bytes: Gauge,
    request_body_bytes: Gauge,
    response_body_bytes: Gauge,
    servers_ready: Gauge,
    tracked_entries: Gauge,
    list_age: GaugeF64,
    list_sequence: Gauge,
}

impl Gauges {
    /// Registers all gauges, in the order of the fields.
    pub(super) fn register(registry: &mut Registry) -> Gauges {
        Gauges {
            open_requests: register(registry, "open_requests", "Requests without a final answer"),
            client_connections: register(registry, "client_connections", "Connections of clients"),
            server_connections: register(registry, "server_connections", "Connections to servers"),
            open_descriptors: register(registry, "open_descriptors", "File descriptors held"),
            resident_memory_bytes: register(
                registry,
                "resident_memory_bytes",
                "Memory of the process that is resident",
            ),
            request_body_bytes: register(
                registry,
                "request_body_bytes",
                "Memory that bodies of requests hold",
            ),
            response_body_bytes: register(
                registry,
                "response_body_bytes",
                "Memory that bodies of responses hold",
            ),
            servers_ready: register(
                registry,
                "servers_ready",
                "Servers that the endpoint list calls ready",
            ),
            tracked_entries: register(
                registry,
                "kept_entries",
                "Servers and customers that the decision module keeps state of",
            ),
            list_age: register(
                registry,
                "list_age_seconds",
                "Seconds since the last endpoint list was applied, or since the start",
            ),
            list_sequence: register(
                registry,
                "list_sequence",
                "Number of the last endpoint list applied, 0 before the first",
            ),
        }
    }

    /// Sets all gauges. Before the first endpoint list, the age of the list is set to `uptime`.
    pub(super) fn set(&self, status: &StatusSnapshot, uptime: Duration) {
        self.open_requests.set(gauge_value(status.open_requests));
        self.client_connections
            .set(gauge_value(status.client_connections));
        self.server_connections
            .set(gauge_value(status.server_connections));
        self.open_descriptors
            .set(gauge_value(status.open_descriptors));
        self.resident_memory_bytes
            .set(gauge_value(status.resident_memory_bytes));
        self.request_body_bytes
            .set(gauge_value(status.request_body_bytes));
        self.response_body_bytes
            .set(gauge_value(status.response_body_bytes));
        self.servers_ready.set(gauge_value(status.servers_ready));
        self.tracked_entries
            .set(gauge_value(status.tracked_entries));
        self.list_age
            .set(status.list_age.unwrap_or(uptime).as_secs_f64());
        self.list_sequence.set(gauge_value(status.list_sequence));
    }
}

/// Converts a count to the value of a gauge; a count out of range becomes `i64::MAX`.
fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
