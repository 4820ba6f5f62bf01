//! The sockets that the edge node binds at startup.

use crate::bind;
use crate::config::{Config, PeerAddresses};
use crate::peers::Peers;
use anyhow::{Context, Result};
use gateway_core::GatewayId;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Sockets that are bound at startup, in the order of the fields.
pub(super) struct Sockets {
    /// Listener for client connections.
    pub(super) clients: TcpListener,
    /// Socket for datagrams from and to peers; `None` if the configuration names no peers.
    pub(super) peers: Option<Peers>,
    /// Listener for operators; `None` if the configuration sets no admin address.
    pub(super) admin: Option<TcpListener>,
}

impl Sockets {
    /// Binds all sockets. Takes the peers' addresses out of `config`, leaving `None` there.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub(super) async fn bind(config: &mut Config) -> Result<Sockets> {
        let gateway_id = config.settings.settings.gateway_id;
        Ok(Sockets {
            clients: bind_clients(config.listen).await?,
            peers: bind_peers(config.peers.take(), gateway_id).await?,
            admin: bind_admin(config.operator_options.admin.listen).await?,
        })
    }
}

async fn bind_clients(address: SocketAddr) -> Result<TcpListener> {
    bind::with_retry(format!("listen {address}"), || TcpListener::bind(address)).await
}

async fn bind_peers(
    addresses: Option<PeerAddresses>,
    gateway_id: GatewayId,
) -> Result<Option<Peers>> {
    match addresses {
        Some(addresses) => Ok(Some(Peers::bind(addresses, gateway_id).await?)),
        None => Ok(None),
    }
}

async fn bind_admin(address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("admin.listen {address}"))?;
    Ok(Some(listener))
}
