//! Endpoint lists from discovery: passes them on to the connection pools and the decision library,
//! and records the status of the watch on discovery.

use super::clock::wall_clock_time;
use super::Node;
use crate::endpoint_list::{EndpointEntry, EndpointHealth, EndpointList};
use crate::upstream::{ServerEndpoint, ServerInstance};
use gateway_core::settings;
use gateway_core::{
    CellId, Endpoint, EndpointState, EndpointUpdate, Event, ServerId, Timestamp, ZoneId,
};
use std::cell::Cell;
use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::{info, warn};

/// The zone of every server if the settings name no zones. No request crosses a zone boundary then.
const ONLY_ZONE: ZoneId = ZoneId(0);
/// The zone of a server whose zone name is not in the settings.
const UNKNOWN_ZONE: ZoneId = ZoneId(u32::MAX);
const MICROS_PER_MILLI: u64 = 1000;
/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The endpoint list that was applied last.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedList {
    /// The sequence number that discovery gave the list.
    pub(super) sequence: u64,
    /// Time at which the list was applied.
    pub(super) applied_at: Instant,
}

/// The status of the watch on discovery.
#[derive(Default)]
pub(super) struct WatchStatus {
    /// Whether the watch was logged as lost and no list has been applied since.
    is_lost: Cell<bool>,
    last_list: Cell<Option<AppliedList>>,
}

impl WatchStatus {
    /// Returns whether the watch was logged as lost and no list has been applied since.
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Returns the list that was applied last; `None` before the first list.
    pub(super) fn last_list(&self) -> Option<AppliedList> {
        self.last_list.get()
    }
}

impl Node {
    /// Applies endpoints to the connection pools first and then to the decision library. In this
    /// order, a request that waits for a connection is never sent to a server that is no longer
    /// ready.
    pub(crate) fn apply_endpoints(
        self: &Rc<Self>,
        kind: EndpointUpdate,
        entries: &[EndpointEntry],
    ) {
        let zones = &self.settings.zone_names;
        let mut endpoints: Vec<_> = entries.iter().map(|entry| endpoint(entry, zones)).collect();
        let mut processes: Vec<_> = entries.iter().map(process).collect();
        let displaced = self.displaced_servers(kind, entries);
        if !displaced.is_empty() {
            mark_gone(&mut endpoints, &mut processes, &displaced);
        }
        self.convert_start_times(kind, &mut endpoints);
        self.upstream.update_endpoints(kind, processes.into_iter());
        self.handle_event(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Returns the servers whose address belongs to another server with this update. A draining
    /// server still has its address.
    fn displaced_servers(&self, kind: EndpointUpdate, entries: &[EndpointEntry]) -> Vec<ServerId> {
        let listed: Vec<_> = entries.iter().filter_map(listed_instance).collect();
        let named: HashSet<_> = entries.iter().map(|entry| server_id(&entry.name)).collect();
        self.upstream.displaced_servers(kind, &named, &listed)
    }

    /// Converts the start times of endpoints from the wall clock to the node's clock.
    fn convert_start_times(&self, kind: EndpointUpdate, endpoints: &mut [Endpoint]) {
        let now = self.clock.now();
        self.start_times.observe_wall_clock(wall_clock_time(), now);
        for endpoint in endpoints.iter_mut() {
            let server = endpoint.server;
            let convert = |reported| self.start_times.convert(server, reported, now);
            endpoint.started_at = endpoint.started_at.map(convert);
        }
        if kind == EndpointUpdate::Snapshot {
            let listed = endpoints.iter().map(|endpoint| endpoint.server).collect();
            self.start_times.retain_listed(&listed);
        }
    }

    /// Records and logs that a list from discovery has been applied.
    pub(crate) fn endpoint_list_applied(&self, list: &EndpointList) {
        let sequence = list.sequence;
        let entries = list.entries.readable.len();
        self.watch.last_list.set(Some(AppliedList {
            sequence,
            applied_at: Instant::now(),
        }));
        if self.watch.is_lost.take() {
            info!(
                event = "watch_restored",
                seq = sequence,
                "discovery: watch restored"
            );
        }
        let kind = if list.is_snapshot {
            "snapshot"
        } else {
            "delta"
        };
        info!(
            event = "endpoints_updated",
            seq = sequence,
            entries,
            whole = list.is_snapshot,
            "endpoint list {sequence} applied: {kind}, {entries} entries"
        );
    }

    /// Counts a watch on discovery that has ended, for any reason.
    pub(crate) fn watch_ended(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.record_watch_reset();
        }
    }

    /// Records and logs that the watch on discovery was lost. Called once per loss, not for each
    /// failed attempt to reopen the watch.
    pub(crate) fn watch_lost(&self, address: SocketAddr, error: &dyn fmt::Display) {
        self.watch.is_lost.set(true);
        warn!(event = "watch_lost", %address, cause = %format_args!("{error:#}"), "discovery: {error:#}");
    }
}

/// Converts an entry of an endpoint list into the decision library's type.
fn endpoint(entry: &EndpointEntry, zone_names: &[String]) -> Endpoint {
    Endpoint {
        server: server_id(&entry.name),
        zone: zone_id(&entry.zone, zone_names),
        cell: CellId(entry.cell),
        state: endpoint_state(entry.health),
        weight: entry.weight,
        started_at: (entry.started_at_ms > 0).then_some(Timestamp::from_micros(
            entry.started_at_ms.saturating_mul(MICROS_PER_MILLI),
        )),
    }
}

fn endpoint_state(health: EndpointHealth) -> EndpointState {
    match health {
        EndpointHealth::Ready => EndpointState::Ready,
        EndpointHealth::Draining => EndpointState::Draining,
        EndpointHealth::Gone => EndpointState::Gone,
    }
}

/// Returns the process of a server that new connections lead to; none if the server accepts none.
fn process(entry: &EndpointEntry) -> ServerEndpoint {
    let is_ready = entry.health == EndpointHealth::Ready;
    ServerEndpoint {
        server: server_id(&entry.name),
        instance: listed_instance(entry)
            .filter(|_| is_ready)
            .map(|(_server, instance)| instance),
    }
}

/// Returns a server and its process; `None` if the server is gone or has no address.
fn listed_instance(entry: &EndpointEntry) -> Option<(ServerId, ServerInstance)> {
    let address = entry
        .address
        .filter(|_| entry.health != EndpointHealth::Gone)?;
    let instance = ServerInstance {
        address,
        started_at_ms: entry.started_at_ms,
    };
    Some((server_id(&entry.name), instance))
}

/// Changes an update so that it removes these servers.
fn mark_gone(
    endpoints: &mut Vec<Endpoint>,
    processes: &mut Vec<ServerEndpoint>,
    displaced: &[ServerId],
) {
    let mut unlisted: BTreeSet<_> = displaced.iter().copied().collect();
    let displaced = unlisted.clone();
    for (endpoint, process) in endpoints.iter_mut().zip(processes.iter_mut()) {
        if displaced.contains(&endpoint.server) {
            endpoint.state = EndpointState::Gone;
            process.instance = None;
            unlisted.remove(&endpoint.server);
        }
    }
    endpoints.extend(unlisted.iter().copied().map(gone_endpoint));
    processes.extend(unlisted.iter().map(|server| ServerEndpoint {
        server: *server,
        instance: None,
    }));
    for server in displaced {
        info!(
            event = "server_displaced",
            server = server.0,
            "server {} is taken for gone: another server has its address",
            server.0
        );
    }
}

/// Returns the endpoint of a server that is gone. A server that is known keeps its zone and cell.
fn gone_endpoint(server: ServerId) -> Endpoint {
    Endpoint {
        server,
        zone: UNKNOWN_ZONE,
        cell: CellId(0),
        state: EndpointState::Gone,
        weight: 0.0,
        started_at: None,
    }
}

fn zone_id(name: &str, zone_names: &[String]) -> ZoneId {
    if zone_names.is_empty() {
        return ONLY_ZONE;
    }
    settings::zone_by_name(zone_names, name).unwrap_or(UNKNOWN_ZONE)
}

/// Returns the id of a server: the FNV-1a hash of its name, so that all edge nodes use the same id.
fn server_id(name: &str) -> ServerId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    ServerId(name.bytes().fold(FNV_OFFSET_BASIS, step))
}

#[cfg(test)]
#[path = "../../tests/unit/endpoints.rs"]
mod tests;
