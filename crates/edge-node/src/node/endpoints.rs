//! Endpoint lists of discovery: how they reach the connection pools and the decision library, and
//! what is known of the watch that brings them.

use super::Node;
use crate::endpoint_list::{EndpointEntry, EndpointHealth, EndpointList};
use crate::upstream::ServerAddress;
use gateway_core::settings;
use gateway_core::{
    CellId, Endpoint, EndpointState, EndpointUpdate, Event, ServerId, Timestamp, ZoneId,
};
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::{info, warn};

/// The zone of each server where the settings name no zones: no request crosses a zone boundary
/// then.
const ONLY_ZONE: ZoneId = ZoneId(0);
/// The zone of a server whose zone the settings don't name.
const UNKNOWN_ZONE: ZoneId = ZoneId(u32::MAX);
const MICROS_PER_MILLI: u64 = 1000;
/// Parameters of the hash FNV-1a, 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The endpoint list that was applied last.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedList {
    /// Its number, as discovery counts.
    pub(super) sequence: u64,
    /// When it was applied.
    pub(super) applied_at: Instant,
}

/// What is known of the watch on discovery.
#[derive(Default)]
pub(super) struct WatchStatus {
    /// Whether the watch was logged as lost and no list has come since.
    is_lost: Cell<bool>,
    last_list: Cell<Option<AppliedList>>,
}

impl WatchStatus {
    /// Whether the watch was logged as lost and no list has come since.
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// The list that came last; `None` before the first.
    pub(super) fn last_list(&self) -> Option<AppliedList> {
        self.last_list.get()
    }
}

impl Node {
    /// Applies endpoints: first to the connection pools, then to the decision library. In this order
    /// no request that waits for a connection is sent to a server that has left.
    pub(crate) fn apply_endpoints(self: &Rc<Self>, kind: EndpointUpdate, hosts: &[EndpointEntry]) {
        let zones = &self.settings.zone_names;
        let endpoints = hosts.iter().map(|host| endpoint(host, zones)).collect();
        let addresses = hosts.iter().map(|host| ServerAddress {
            server: server_id(&host.name),
            address: dial_address(host),
        });
        self.upstream.update_endpoints(kind, addresses);
        self.handle_event(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Notes and logs that a list from discovery has been applied.
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
                "discovery: the watch is back"
            );
        }
        let extent = if list.is_snapshot {
            "the whole list"
        } else {
            "changes"
        };
        info!(
            event = "endpoints_updated",
            seq = sequence,
            entries,
            whole = list.is_snapshot,
            "list {sequence} applied: {extent}, {entries} entries"
        );
    }

    /// Counts a watch on discovery that has ended, whatever the reason.
    pub(crate) fn watch_ended(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.record_watch_reset();
        }
    }

    /// Notes and logs that the watch on discovery was lost, for a reason that has not been logged
    /// yet.
    pub(crate) fn watch_lost(&self, address: SocketAddr, error: &dyn fmt::Display) {
        self.watch.is_lost.set(true);
        warn!(event = "watch_lost", %address, cause = %format_args!("{error:#}"), "discovery: {error:#}");
    }
}

/// An entry of discovery's list in the decision library's terms.
fn endpoint(host: &EndpointEntry, zone_names: &[String]) -> Endpoint {
    Endpoint {
        server: server_id(&host.name),
        zone: zone_id(&host.zone, zone_names),
        cell: CellId(host.cell),
        state: endpoint_state(host.health),
        weight: host.weight,
        started_at: (host.started_at_ms > 0).then_some(Timestamp::from_micros(
            host.started_at_ms.saturating_mul(MICROS_PER_MILLI),
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

/// Where new connections to a server go; `None` if it takes none.
fn dial_address(host: &EndpointEntry) -> Option<SocketAddr> {
    host.address
        .filter(|_| host.health == EndpointHealth::Ready)
}

fn zone_id(name: &str, zone_names: &[String]) -> ZoneId {
    if zone_names.is_empty() {
        return ONLY_ZONE;
    }
    settings::zone_by_name(zone_names, name).unwrap_or(UNKNOWN_ZONE)
}

/// A server's id, the same at every edge node: the FNV-1a hash of its name.
fn server_id(name: &str) -> ServerId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    ServerId(name.bytes().fold(FNV_OFFSET_BASIS, step))
}

#[cfg(test)]
#[path = "../../tests/unit/endpoints.rs"]
mod tests;
