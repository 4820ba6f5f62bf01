//! The list of servers that discovery serves, with its versions.
//!
//! Nodes watch the list and know which version they have, as in production. In `world`, discovery
//! itself keeps track of the version that every gateway has, and has outages. `hybrid` and `world`
//! use the same type, [`DrainingServers`](crate::world::draining::DrainingServers), to record what
//! a gateway knows of draining servers.

use super::server_faults::ListedState;
use gateway_core::{CellId, Endpoint, EndpointState, ServerId, Timestamp, ZoneId};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::sync::watch;

/// An entry of the list.
struct RegisteredServer {
    name: String,
    id: ServerId,
    address: SocketAddr,
    state: EndpointState,
    started_at: Option<Timestamp>,
    /// Version in which the entry last changed.
    changed_in_version: u64,
}

impl RegisteredServer {
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            server: self.id,
            zone: ZoneId(0),
            cell: CellId(0),
            state: self.state,
            weight: 1.0,
            started_at: self.started_at,
        }
    }

    fn json(&self) -> serde_json::Value {
        let health = match self.state {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        };
        json!({
            "host": self.name, "dial": self.address, "site": "a", "class": "std", "block": 0, "share": 1.0,
            "born_ms": self.started_at.unwrap_or(Timestamp::EPOCH).as_micros() / 1000, "health": health,
        })
    }
}

/// The list of servers. Versions are counted from 1.
pub(super) struct EndpointRegistry {
    servers: RefCell<Vec<RegisteredServer>>,
    version: watch::Sender<u64>,
}

impl EndpointRegistry {
    /// Creates an empty list.
    pub(super) fn new() -> EndpointRegistry {
        EndpointRegistry {
            servers: RefCell::default(),
            version: watch::Sender::new(1),
        }
    }

    /// Adds a server that has been running for a long time, and therefore has no start time, to
    /// version 1 of the list.
    pub(super) fn add(&self, name: String, id: ServerId, address: SocketAddr) {
        let (state, started_at, changed_in_version) = (EndpointState::Ready, None, 1);
        self.servers.borrow_mut().push(RegisteredServer {
            name,
            id,
            address,
            state,
            started_at,
            changed_in_version,
        });
    }

    /// Changes the state of the server with the given index, and publishes a new version.
    pub(super) fn update(&self, now: Timestamp, server: usize, state: ListedState) {
        let version = self.version() + 1;
        if let Some(server) = self.servers.borrow_mut().get_mut(server) {
            server.changed_in_version = version;
            match state {
                ListedState::Draining => server.state = EndpointState::Draining,
                ListedState::Gone => server.state = EndpointState::Gone,
                ListedState::Restarted => {
                    server.state = EndpointState::Ready;
                    server.started_at = Some(now);
                }
            }
        }
        self.version.send_replace(version);
    }

    fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that is notified of each new version.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the entries that changed after the given version.
    pub(super) fn changes_since(&self, version: u64) -> Vec<Endpoint> {
        let servers = self.servers.borrow();
        let changed = servers
            .iter()
            .filter(|server| server.changed_in_version > version);
        changed.map(RegisteredServer::endpoint).collect()
    }

    /// Returns the entries that changed after the given version, in the JSON of the protocol. For
    /// version 0, returns the whole list without removed servers.
    pub(super) fn json_since(&self, version: u64) -> serde_json::Value {
        let is_whole = version == 0;
        let is_listed = |server: &&RegisteredServer| {
            let is_removed = server.state == EndpointState::Gone;
            server.changed_in_version > version && !(is_whole && is_removed)
        };
        let servers = self.servers.borrow();
        let hosts: Vec<_> = servers
            .iter()
            .filter(is_listed)
            .map(RegisteredServer::json)
            .collect();
        json!({"seq": self.version(), "whole": is_whole, "hosts": hosts})
    }
}
