//! The process of a server that an address leads to.

use gateway_core::ServerId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A process of a server, as the endpoint list describes it. A server that restarts in place keeps
/// its name and its address, and gets another start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerInstance {
    pub(crate) address: SocketAddr,
    /// Start time as Unix time in milliseconds; 0 if unknown.
    pub(crate) started_at_ms: u64,
}

/// A server and its process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerEndpoint {
    pub(crate) server: ServerId,
    /// Process to connect to; `None` if nothing may be sent to the server.
    pub(crate) instance: Option<ServerInstance>,
}

/// Returns the servers whose address belongs to another server by now, so that whatever is sent to
/// them would reach the other one.
///
/// Of several servers with one address, the process that started last is there. If they started at
/// the same time, which includes unknown times, a server that is `listed` now displaces one that was
/// `known` before; servers of one list do not displace each other then.
pub(crate) fn displaced_servers(
    listed: &[(ServerId, ServerInstance)],
    known: impl Iterator<Item = (ServerId, ServerInstance)>,
) -> Vec<ServerId> {
    let mut latest: HashMap<SocketAddr, (ServerId, u64)> = HashMap::new();
    for (server, instance) in listed {
        let claim = (*server, instance.started_at_ms);
        let owner = latest.entry(instance.address).or_insert(claim);
        if instance.started_at_ms > owner.1 {
            *owner = claim;
        }
    }
    let mut displaced = Vec::new();
    for (server, instance) in known {
        let Some(owner) = latest.get_mut(&instance.address) else {
            continue;
        };
        if instance.started_at_ms > owner.1 {
            *owner = (server, instance.started_at_ms);
        } else if server != owner.0 {
            displaced.push(server);
        }
    }
    let is_displaced = |(server, instance): &&(ServerId, ServerInstance)| {
        let (owner, started_at_ms) = latest[&instance.address];
        *server != owner && instance.started_at_ms < started_at_ms
    };
    displaced.extend(
        listed
            .iter()
            .filter(is_displaced)
            .map(|(server, _)| *server),
    );
    displaced.sort_unstable();
    displaced
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_instance.rs"]
mod tests;
