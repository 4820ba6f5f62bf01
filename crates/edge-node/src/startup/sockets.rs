//! The sockets that the edge node listens on.

use crate::bind;
use crate::config::{Config, PeerAddresses};
use crate::peers::Peers;
use anyhow::{Context, Result};
use gateway_core::GatewayId;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// The sockets that are bound at the start, in the order of their fields.
pub(super) struct Sockets {
    /// Where clients connect.
    pub(super) clients: TcpListener,
    /// The socket to other edge nodes, where some are configured.
    pub(super) peers: Option<Peers>,
    /// Where operators connect, if that is configured.
    pub(super) admin: Option<TcpListener>,
}

impl Sockets {
    /// Binds all sockets; takes the peers' addresses out of the configuration.
    ///
    /// # Errors
    /// An address can't be bound.
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
